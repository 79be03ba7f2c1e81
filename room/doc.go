// Package room decides which requests get room at servers that are nearly full. A ledger adds to
// the work in flight that boxes have reported the room that it has granted since, so that boxes
// which choose servers by the same reports do not choose more than there is room for.
//
// The package is pure: it reads no clock, sends no messages and writes no log.
package room
