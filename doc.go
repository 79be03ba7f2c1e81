// Package slatebridge holds the core types of a router for pipelines of model
// layers: boxes, backend servers, templates, pipelines and routing snapshots.
//
// Every value in this package is immutable once built. A method whose name
// starts with With returns a changed copy and leaves its receiver alone, so a
// value may be shared between goroutines without a lock.
package slatebridge
