package crowd

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
)

// maxEndlessBytes ends what a server sends, so that a test ends whatever the process does.
const maxEndlessBytes = 256 << 20

// Endless is an answer that does not end.
type Endless struct {
	// First comes first, with a gap for the ID of the request, and Again follows again and again.
	First, Again string
}

// EndlessAnswers are kinds of answers that do not end.
var EndlessAnswers = map[string]Endless{
	"a line of the head":     {"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nPadding: ", "x"},
	"lines of the head":      {"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n", "Padding: x\r\n"},
	"interim answers":        {"HTTP/1.1 103 Early Hints\r\nLink: %s\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
	"bytes that are no head": {"%s", "x"},
	"a body without length":  {"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: s\r\nConnection: close\r\n\r\n", "x"},
	"small chunks":           {"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	"a chunk extension":      {"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
	"trailers":               {"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "Padding: x\r\n"},
}

// Serve answers each request at the listener with the answer, until the listener is closed.
func (e Endless) Serve(ln net.Listener) {
	const writeBytes = 64 << 10
	block := []byte(strings.Repeat(e.Again, 1+writeBytes/len(e.Again)))
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = c.Close() }()
			r, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return
			}
			_, err = fmt.Fprintf(c, e.First, r.Header.Get("Attempt-Id"))
			for sent := 0; sent < maxEndlessBytes && err == nil; sent += len(block) {
				_, err = c.Write(block)
			}
		}()
	}
}

// ServeHTTP answers a request with the answer from behind its head: First has the head of the answer too,
// and is not sent.
func (e Endless) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	const writeBytes = 64 << 10
	block := []byte(strings.Repeat(e.Again, 1+writeBytes/len(e.Again)))
	var err error
	for sent := 0; sent < maxEndlessBytes && err == nil; sent += len(block) {
		_, err = w.Write(block)
	}
}
