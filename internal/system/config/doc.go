// Package config holds tests of changes of configuration under faults of control, with a fleet in virtual time.
package config
