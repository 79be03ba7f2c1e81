// Package allowance divides the rate limit of a backend server among all boxes.
//
// A server announces a rate. One box, on which all others agree without coordination, issues grants
// for it; each permits one request at a given time. Boxes ask for a grant when a request needs one,
// so that a box without requests reserves nothing, and a single clock enforces the total rate.
//
// The package does no I/O and reads no clock. All times are passed in.
package allowance
