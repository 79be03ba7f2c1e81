// Package scenarios contains end-to-end tests of calls, draining, membership, placement orders and
// operators, in virtual time.
package scenarios
