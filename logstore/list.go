package logstore

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/slatebridge/slatebridge"
)

// Members is one reading of the platform's list. It lags and may be wrong.
type Members struct {
	Boxes   []slatebridge.Box           `json:"boxes"`
	Servers []slatebridge.BackendServer `json:"servers"`
}

// List is the platform's list of live and leaving boxes and backend servers.
type List struct {
	// Get returns the list as the platform has it now.
	Get func(ctx context.Context) (Members, error)
}

// NewList returns a client of the list at the base URL.
func NewList(base string, client *http.Client) List {
	get := func(ctx context.Context) (Members, error) {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/v1/members", http.NoBody)
		if err != nil {
			return Members{}, errors.Wrap(err, "logstore: list")
		}
		var m Members
		err = doJSON(client, req, &m)

		return m, err
	}

	return List{Get: get}
}
