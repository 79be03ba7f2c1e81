// Package overload decides how requests proceed when there is more work than capacity, or when
// servers fail or respond slowly: whether a request is retried after a rejection or a failure, how
// long it may wait, when it is sent to a second server as well (hedging), and when a refused caller
// should retry.
//
// The decisions are pure functions: nothing here reads a clock, generates random numbers, logs or
// does I/O. Times and random numbers are arguments. The packages fleet (server selection), relay
// (selection of relays), retry (retry budget), place (placement of layers) and quarantine (poison
// requests) do no I/O and no logging either, and get the time from their caller.
package overload
