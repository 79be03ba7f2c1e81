// Package lab plays load patterns against the decisions of a box, in virtual time: the
// choice of paths (fleet), what becomes of requests without room (overload), what may
// be sent again (retry), and which server holds which layers (place). Servers, links,
// news between boxes and callers are emulated; the decisions are the real ones.
//
// A pattern is a data file. Equal patterns give equal results on every run.
package lab
