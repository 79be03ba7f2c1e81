// Package stream holds tests of streamed answers under faults of engines, with a fleet in virtual time.
package stream
