// Package slatebridge defines the core types of a router for pipelines of model layers: boxes,
// backend servers, templates, pipelines and routing snapshots.
//
// Values of these types are immutable once created: methods whose names start with With return a
// modified copy. They can therefore be shared between goroutines without locks.
package slatebridge
