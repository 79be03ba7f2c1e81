package forward

import (
	"testing"
	"time"

	"github.com/slatebridge/slatebridge/catalog"
	"github.com/slatebridge/slatebridge/result"
)

// TestAuthorize guards against a request that acts for an account, or is rejected for good, on the word of an
// outdated configuration: each route, key and age of the configuration.
func TestAuthorize(t *testing.T) {
	const (
		maxAge  = 4 * time.Second
		reject  = 2 * time.Second
		current = reject
		// A change may have been missed at this age, but a key still counts.
		stale = maxAge
		old   = maxAge + time.Millisecond
		ok    = result.OK
	)
	accounts := []catalog.Account{{Name: "shop", APIKeys: []string{"valid"}}}
	withKeys := catalog.New(1, catalog.Limits{}, nil, nil, accounts, true)
	noKeys := catalog.New(1, catalog.Limits{}, nil, nil, nil, false)
	tests := []struct {
		name    string
		cfg     *catalog.Catalog
		open    bool
		noRoute bool
		key     string
		age     time.Duration
		account string
		code    result.Code
	}{
		{"closed route, valid key", withKeys, false, false, "valid", current, "shop", ok},
		{"closed route, unknown key", withKeys, false, false, "gone", current, "", result.UnknownKey},
		{"closed route, no key", withKeys, false, false, "", current, "", result.UnknownKey},
		{"closed route, valid key, outdated", withKeys, false, false, "valid", old, "", result.NotCurrent},
		{"closed route, unknown key, outdated", withKeys, false, false, "gone", old, "", result.NotCurrent},
		{"closed route, no key, outdated", withKeys, false, false, "", old, "", result.NotCurrent},
		{"open route, valid key", withKeys, true, false, "valid", current, "shop", ok},
		{"open route, unknown key", withKeys, true, false, "gone", current, "", result.UnknownKey},
		{"open route, no key", withKeys, true, false, "", current, "", ok},
		{"open route, valid key, outdated", withKeys, true, false, "valid", old, "", result.NotCurrent},
		{"open route, unknown key, outdated", withKeys, true, false, "gone", old, "", result.NotCurrent},
		{"open route, no key, outdated", withKeys, true, false, "", old, "", ok},
		{"no accounts, some key", noKeys, false, false, "any", old, "", ok},
		{"no accounts, no key", noKeys, false, false, "", old, "", ok},
		{"closed route, valid key, stale", withKeys, false, false, "valid", stale, "shop", ok},
		{"closed route, unknown key, just stale", withKeys, false, false, "gone", current + time.Millisecond, "", result.NotCurrent},
		{"closed route, unknown key, stale", withKeys, false, false, "gone", stale, "", result.NotCurrent},
		{"closed route, no key, stale", withKeys, false, false, "", stale, "", result.NotCurrent},
		{"open route, unknown key, stale", withKeys, true, false, "gone", stale, "", result.NotCurrent},
		{"open route, no key, stale", withKeys, true, false, "", stale, "", ok},
		{"no route", withKeys, false, true, "valid", current, "", result.UnknownRoute},
		{"no route, just stale", withKeys, false, true, "valid", current + time.Millisecond, "", result.NotCurrent},
		{"no route, outdated", withKeys, false, true, "valid", old, "", result.NotCurrent},
		{"no route, no accounts", noKeys, false, true, "", current, "", result.UnknownRoute},
		{"no route, no accounts, stale", noKeys, false, true, "", stale, "", result.NotCurrent},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			limits := configAgeLimits{accept: maxAge, reject: reject}
			account, e := authorize(tt.cfg, &catalog.Route{AllowAnonymous: tt.open}, tt.key, tt.age, limits)
			if tt.noRoute {
				account, e = nil, rejection(result.New(result.UnknownRoute, "no route"), tt.age, limits)
			}
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
