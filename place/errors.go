package place

import "github.com/cockroachdb/errors"

// ErrFenced reports that a server has seen a newer fencing token, which means that the box that
// sent the order no longer holds the lease.
var ErrFenced = errors.New("place: the server has seen a newer fencing token")

// ErrRefused reports that a server has refused an order and will not carry it out.
var ErrRefused = errors.New("place: the server refused the order")
