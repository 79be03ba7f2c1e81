package mesh

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// helpPath is where a box gives its state to others.
const helpPath = "/mesh/state"

// maxHelp is the largest state that is read, in bytes.
const maxHelp = 16 << 20

// Help is the state that a box gives to one that cannot reach the store, as it
// came from there.
type Help struct {
	Config  []byte            `json:"config"`
	Servers map[string][]byte `json:"servers"`
	// Next is the offset up to which Servers is known.
	Next int64 `json:"next"`
}

// HelpHandler serves the state.
func HelpHandler(state func() Help) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+helpPath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// A failed write means that the other box has gone.
		_ = json.NewEncoder(w).Encode(state())
	})

	return mux
}

// Ask gets the state of the box at the address.
func Ask(ctx context.Context, client *http.Client, address string) (Help, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+helpPath, http.NoBody)
	if err != nil {
		return Help{}, errors.Wrap(err, "mesh: help")
	}
	resp, err := client.Do(req)
	if err != nil {
		return Help{}, errors.Wrap(err, "mesh: help")
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxHelp))
	if err != nil {
		return Help{}, errors.Wrap(err, "mesh: help")
	}
	var h Help

	return h, errors.Wrap(json.Unmarshal(data, &h), "mesh: help")
}
