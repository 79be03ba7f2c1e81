// Package answer decides whether what a client reads over HTTP/1.1 is an answer at all, and a whole one.
//
// net/http is lenient with servers. What it would pass on of a server in trouble ends here with an error, as
// if the connection had broken.
package answer
