// Package config contains end-to-end tests of configuration changes under faults of the log, the
// controllers and their links, in virtual time.
package config
