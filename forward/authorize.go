package forward

import (
	"time"

	"github.com/slatebridge/slatebridge/catalog"
	"github.com/slatebridge/slatebridge/overload"
	"github.com/slatebridge/slatebridge/result"
)

// configAgeLimits are up to which time since the configuration was last known to be current its word counts.
type configAgeLimits struct {
	// accept is the limit for running a request for the client account of its API key.
	accept time.Duration
	// reject is the limit for telling a caller that its route or key is unknown, which callers take as
	// final; zero if there is none.
	reject time.Duration
}

// authorize decides for which client account a request with the API key acts on the route; a nil account stands
// for an anonymous request. age is the time since the configuration was last known to be current. A key counts
// on every route, also on one that serves anonymous requests: beyond the limits nobody knows whether the key is
// still its account's, and such a request is refused as not run rather than run for another account or for none.
func authorize(cfg *catalog.Catalog, route *catalog.Route, key string, age time.Duration, limits configAgeLimits) (*catalog.Account, *result.Error) {
	if !cfg.RequireAPIKey || (key == "" && route.AllowAnonymous) {
		return nil, nil
	}
	if age > limits.accept {
		return nil, notCurrent(age)
	}
	account := cfg.Account(key)
	if account == nil {
		return nil, rejection(result.New(result.UnknownKey, "the key is not known"), age, limits)
	}

	return account, nil
}

// rejection returns e, by which a request is rejected since the configuration has no such route or key. Beyond the
// limit on the age a newer configuration may have it, and the request is refused as not run instead.
func rejection(e *result.Error, age time.Duration, limits configAgeLimits) *result.Error {
	if limits.reject > 0 && age > limits.reject {
		return notCurrent(age)
	}

	return e
}

func notCurrent(age time.Duration) *result.Error {
	return result.New(result.NotCurrent, "the configuration was last proved current %s ago", age).WithRetryAfter(overload.MinRetryAfter)
}
