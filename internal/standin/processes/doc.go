// Package processes contains tests that run the programs as processes and kill, stop and continue
// them with signals.
package processes
