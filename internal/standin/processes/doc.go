// Package processes holds tests that run the programs as real processes and
// kill, stop and continue them.
package processes
