// Package stream contains end-to-end tests of streamed answers under faults of engines, links,
// controllers and the log, in virtual time.
package stream
