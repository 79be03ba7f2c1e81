package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"time"

	"github.com/slatebridge/slatebridge"
)

// checker checks values and collects the problems found.
type checker struct {
	problems []Problem
}

func (c *checker) addf(key, format string, args ...any) {
	c.problems = append(c.problems, Problem{Key: key, Message: fmt.Sprintf(format, args...)})
}

func (c *checker) notEmpty(key, value string) {
	if value == "" {
		c.addf(key, "must not be empty")
	}
}

// listenAddress checks a listen address: an IP address and a port.
func (c *checker) listenAddress(key, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.addf(key, "%q is not an IP address with a port, such as 127.0.0.1:8080", value)
	}
}

// distinctAddresses checks that no two listeners share an address. Port 0 is exempt, because the
// system then assigns a free port.
func (c *checker) distinctAddresses(listeners ...listener) {
	seen := make(map[string]string)
	for _, l := range listeners {
		if !hasFixedPort(l.addr) {
			continue
		}
		if other, ok := seen[l.addr]; ok {
			c.addf(l.key, "%q is already the address of %s", l.addr, other)
		}
		seen[l.addr] = l.key
	}
}

// listener is a listen address and its settings key.
type listener struct {
	key  string
	addr string
}

func hasFixedPort(addr string) bool {
	a, err := netip.ParseAddrPort(addr)

	return err == nil && a.Port() != 0
}

// baseURL checks the base URL of another process: scheme http, a host given by IP address and port,
// and no path.
func (c *checker) baseURL(key, value string) {
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" || u.Path != "" {
		c.addf(key, "%q is not a base URL such as http://127.0.0.1:8080", value)

		return
	}
	if _, err := netip.ParseAddrPort(u.Host); err != nil {
		c.addf(key, "the host of %q is not an IP address with a port", value)
	}
}

func (c *checker) baseURLs(key string, values []string) {
	if len(values) == 0 {
		c.addf(key, "must contain at least one base URL")
	}
	for _, v := range values {
		c.baseURL(key, v)
	}
}

func (c *checker) positive(key string, value int64) {
	if value <= 0 {
		c.addf(key, "is %d, but must be greater than zero", value)
	}
}

func (c *checker) durationBetween(key string, value slatebridge.Duration, lower, upper time.Duration) {
	d := time.Duration(value)
	if d < lower || d > upper {
		c.addf(key, "is %s, but must be between %s and %s", d, lower, upper)
	}
}
