package forward

import (
	"time"

	"github.com/slatebridge/slatebridge/catalog"
	"github.com/slatebridge/slatebridge/overload"
	"github.com/slatebridge/slatebridge/result"
)

// authorize decides for which client account a request with the API key acts on the route; a nil
// account stands for an anonymous request. age is the time since the configuration was last known to
// be current. A key counts on every route, also on one that serves anonymous requests: beyond maxAge
// nobody knows whether the key is still its account's, and such a request is refused rather than run
// for another account or for none.
func authorize(cfg *catalog.Catalog, route *catalog.Route, key string, age, maxAge time.Duration) (*catalog.Account, *result.Error) {
	if !cfg.RequireAPIKey || (key == "" && route.AllowAnonymous) {
		return nil, nil
	}
	if age > maxAge {
		return nil, result.New(result.NotCurrent, "the configuration was last proved current %s ago", age).WithRetryAfter(overload.MinRetryAfter)
	}
	account := cfg.Account(key)
	if account == nil {
		return nil, result.New(result.UnknownKey, "the key is not known")
	}

	return account, nil
}
