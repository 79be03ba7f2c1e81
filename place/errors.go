package place

import "github.com/cockroachdb/errors"

// ErrFenced says that a server has seen a newer fencing token, so that the
// box that gave the order is no longer the one that gives them.
var ErrFenced = errors.New("place: a newer fencing token was seen")

// ErrRefused says that a server has refused an order, and will not carry it
// out.
var ErrRefused = errors.New("place: the server has refused the order")
