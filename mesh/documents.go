package mesh

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/slatebridge/slatebridge/logstore"
)

const (
	// Paths of the state documents. Config and servers are separate because servers change many
	// times as often as the config, which may be large.
	configPath  = "/mesh/config"
	serversPath = "/mesh/servers"
	// fromParam is the query parameter with the position up to which the requesting box knows the
	// servers.
	fromParam = "from"
)

// maxDocumentBytes limits the size of a decompressed state document.
const maxDocumentBytes = 16 << 20

// StateSource provides the state that a box serves to boxes that cannot reach the store, as it was
// read from there. Both functions return nil while nothing is known.
type StateSource struct {
	Config func() *Document
	// Servers returns the server entries for a box that knows them up to the position, or all
	// entries if the position is zero.
	Servers func(from logstore.Position) *Document
}

// ServerEntries are all server entries, or the changes since a position.
type ServerEntries struct {
	Entries map[string]ServerEntry `json:"entries,omitempty"`
	// Changes, if not empty, are the changes since the requested position, and Entries is empty.
	Changes []ServerChange `json:"changes,omitempty"`
	// NextPosition is the position up to which the entries are known.
	NextPosition logstore.Position `json:"next"`
}

// ServerEntry is the value of a server's entry and its position in the store, which orders the
// entries of one server.
type ServerEntry struct {
	Value    []byte            `json:"value"`
	Position logstore.Position `json:"offset"`
}

// Document is a part of the state. It is compressed for slow links: a config of 1,400 routes
// shrinks to about a twentieth of its size. It is compressed only once, on first use, because
// dozens of boxes request the same document within a second.
type Document struct {
	write func(w io.Writer) error
	once  sync.Once
	data  []byte
	err   error
}

// NewConfigDocument returns a Document with the config exactly as read from the store. It is not
// decoded and encoded again, which would take the processor long for a large config.
func NewConfigDocument(raw []byte) *Document {
	return &Document{write: func(w io.Writer) error {
		_, err := w.Write(raw)

		return err
	}}
}

// NewServersDocument returns a Document with server entries.
func NewServersDocument(s ServerEntries) *Document {
	return &Document{write: func(w io.Writer) error { return json.NewEncoder(w).Encode(s) }}
}

// encoded returns the compressed document.
func (d *Document) encoded() ([]byte, error) {
	d.once.Do(func() {
		var buf bytes.Buffer
		w, err := gzip.NewWriterLevel(&buf, gzip.BestSpeed)
		if err != nil {
			d.err = err

			return
		}
		d.err = errors.CombineErrors(d.write(w), w.Close())
		d.data = buf.Bytes()
	})

	return d.data, d.err
}

// StateHandler serves the state documents over HTTP.
func StateHandler(src StateSource) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+configPath, func(w http.ResponseWriter, _ *http.Request) { serveDocument(w, src.Config()) })
	mux.HandleFunc("GET "+serversPath, func(w http.ResponseWriter, r *http.Request) {
		// A missing or malformed position is taken as zero, which returns all entries.
		from, _ := strconv.ParseInt(r.URL.Query().Get(fromParam), 10, 64)
		serveDocument(w, src.Servers(logstore.Position(from)))
	})

	return mux
}

func serveDocument(w http.ResponseWriter, d *Document) {
	if d == nil {
		http.Error(w, "nothing is known yet", http.StatusNotFound)

		return
	}
	data, err := d.encoded()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)

		return
	}
	w.Header().Set("Content-Type", "application/gzip")
	// A write error means that the requesting box has disconnected.
	_, _ = w.Write(data)
}

// FetchConfig fetches the config from the box at the address, exactly as that box read it from the
// store.
func FetchConfig(ctx context.Context, client *http.Client, address string) ([]byte, error) {
	return fetch(ctx, client, "http://"+address+configPath, io.ReadAll)
}

// FetchServers fetches the server entries from the box at the address: the changes since the
// position, or all entries if it is zero.
func FetchServers(ctx context.Context, client *http.Client, address string, from logstore.Position) (ServerEntries, error) {
	return fetch(ctx, client, fmt.Sprintf("http://%s%s?%s=%d", address, serversPath, fromParam, from), readServers)
}

func readServers(r io.Reader) (ServerEntries, error) {
	var s ServerEntries
	err := json.NewDecoder(r).Decode(&s)

	return s, err
}

func fetch[T any](ctx context.Context, client *http.Client, url string, read func(io.Reader) (T, error)) (T, error) {
	var v T
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return v, errors.Wrap(err, "mesh: fetch state")
	}
	resp, err := client.Do(req)
	if err != nil {
		return v, errors.Wrap(err, "mesh: fetch state")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return v, errors.Newf("mesh: fetch state: %s returned %s", url, resp.Status)
	}

	return decodeDocument(resp.Body, read)
}

// decodeDocument decompresses and decodes a state document.
func decodeDocument[T any](r io.Reader, read func(io.Reader) (T, error)) (T, error) {
	var v T
	body, err := gzip.NewReader(r)
	if err != nil {
		return v, errors.Wrap(err, "mesh: decode state")
	}
	v, err = read(io.LimitReader(body, maxDocumentBytes))

	return v, errors.Wrap(err, "mesh: decode state")
}
