// Package session holds tests of calls, leaving servers, membership and orders of the whole system, with a fleet in virtual time.
package session
