// Package overload decides what becomes of requests when there is more work than
// room: whether one that was turned away is offered again, how long it may wait, and
// when its caller may come back.
//
// The decisions are functions of what is known to what is done: nothing here reads a
// clock, draws a number, logs or sends. Times and random numbers are given. The
// packages fleet (which servers), retry (how much may be sent again) and place (who
// holds which layers) decide the rest in the same way.
package overload
