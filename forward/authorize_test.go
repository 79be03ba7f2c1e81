package forward

import (
	"testing"
	"time"

	"github.com/slatebridge/slatebridge/catalog"
	"github.com/slatebridge/slatebridge/result"
)

// TestAuthorize guards against a request that acts for an account on the word of an outdated
// configuration: each route, key and age of the configuration.
func TestAuthorize(t *testing.T) {
	const (
		maxAge  = 4 * time.Second
		current = maxAge
		old     = maxAge + time.Millisecond
		ok      = result.OK
	)
	accounts := []catalog.Account{{Name: "shop", APIKeys: []string{"valid"}}}
	withKeys := catalog.New(1, catalog.Limits{}, nil, nil, accounts, true)
	noKeys := catalog.New(1, catalog.Limits{}, nil, nil, nil, false)
	tests := []struct {
		name    string
		cfg     *catalog.Catalog
		open    bool
		key     string
		age     time.Duration
		account string
		code    result.Code
	}{
		{"closed route, valid key", withKeys, false, "valid", current, "shop", ok},
		{"closed route, unknown key", withKeys, false, "gone", current, "", result.UnknownKey},
		{"closed route, no key", withKeys, false, "", current, "", result.UnknownKey},
		{"closed route, valid key, outdated", withKeys, false, "valid", old, "", result.NotCurrent},
		{"closed route, unknown key, outdated", withKeys, false, "gone", old, "", result.NotCurrent},
		{"closed route, no key, outdated", withKeys, false, "", old, "", result.NotCurrent},
		{"open route, valid key", withKeys, true, "valid", current, "shop", ok},
		{"open route, unknown key", withKeys, true, "gone", current, "", result.UnknownKey},
		{"open route, no key", withKeys, true, "", current, "", ok},
		{"open route, valid key, outdated", withKeys, true, "valid", old, "", result.NotCurrent},
		{"open route, unknown key, outdated", withKeys, true, "gone", old, "", result.NotCurrent},
		{"open route, no key, outdated", withKeys, true, "", old, "", ok},
		{"no accounts, some key", noKeys, false, "any", old, "", ok},
		{"no accounts, no key", noKeys, false, "", old, "", ok},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			account, e := authorize(tt.cfg, &catalog.Route{AllowAnonymous: tt.open}, tt.key, tt.age, maxAge)
			name, code := "", ok
			if account != nil {
				name = account.Name
			}
			if e != nil {
				code = e.Code
			}
			if name != tt.account || code != tt.code {
				t.Errorf("account %q, code %d, want %q, %d", name, code, tt.account, tt.code)
			}
		})
	}
}
