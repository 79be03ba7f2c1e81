package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// revokeTime is bounds.revoke_ms of the settings.
	revokeTime = 5 * time.Second
	// keptKey stays in force; lostKey is taken away.
	keptKey = "n2ctnfzs989anu6wsjnb"
	lostKey = "anfqasnmgkcuyj8pjbvk"
	tenant  = "hule930"
	// siteRoutes is the number of idle routes of a small site.
	siteRoutes = 110
	// lapseBeats is the number of missed writes after which the store removes a server's entry.
	lapseBeats = 3
)

// configOf returns a configuration with a route that needs a key, one that needs none, one of calls that may
// not be repeated, and idle routes.
func configOf(version, idleRoutes int, keys ...string) ([]byte, error) {
	route := func(name, prefix, kind string, anonymous bool) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": 1500, "target_latency_ms": 300,
			"priority": 2, "service": plainService, "max_attempts": 2, "allow_anonymous": anonymous,
		}
	}
	routes := []any{route("r-2ey3rcs", "/closed/", "safe", false), route("r-32qhe4i", "/open/", "safe", true), route("r-33fmfsj", "/call/", "unsafe", false)}
	for i := range idleRoutes {
		routes = append(routes, route(fmt.Sprintf("r-i%05d", i), fmt.Sprintf("/idle%04d/", i), "safe", true))
	}

	return json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{"name": plainService, "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": tenant, "api_keys": keys, "priority": 1}},
	})
}

// plainService is a service without a model.
const plainService = "xano55b"

// deployment is a zone with boxes and two servers of a service without a model. The link leads from the
// zone to the store.
type deployment struct {
	p     *play
	boxes []*box
	link  *link

	mu     sync.Mutex
	missed map[string]int
}

// deploy starts a zone with n boxes.
func (p *play) deploy(ctx context.Context, n int) (*deployment, error) {
	address, err := p.serveStore(ctx)
	if err != nil {
		return nil, err
	}
	l, linkAddress, err := newLink(ctx, address)
	if err != nil {
		return nil, err
	}
	d := &deployment{p: p, link: l, missed: make(map[string]int)}
	for i := range 2 {
		id := fmt.Sprintf("i-7f3a91c%d", i)
		s := &server{
			id: id, service: plainService, slots: callSlots, queue: callQueue, work: 5 * time.Millisecond, put: d.putEntry,
			onRun: func(request, tenant string) { p.rec.ran(id, request, tenant) },
		}
		if err := s.listen(ctx); err != nil {
			return nil, err
		}
	}
	d.boxes, err = startBoxes(ctx, p, n, linkAddress)

	return d, err
}

// putEntry writes a server's entry. While the zone is cut off, the store misses the writes and removes the
// entry after lapseBeats of them.
func (d *deployment) putEntry(key string, value []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.link.isCut() {
		d.missed[key] = 0
		d.p.store.put(topicServers, key, value)

		return
	}
	if d.missed[key]++; d.missed[key] == lapseBeats {
		d.p.store.put(topicServers, key, nil)
	}
}

// cut cuts the zone off from the store, unless the case is played without trouble, and returns the time.
func (d *deployment) cut() time.Time {
	if d.p.trouble {
		d.link.cut()
		d.p.rec.add("the zone is cut off from the store")
	}

	return time.Now()
}

// heal ends the cut.
func (d *deployment) heal() {
	if d.p.trouble {
		d.link.heal()
		d.p.rec.add("the cut is over")
	}
}

// configure writes a configuration as the operator does, and returns when the store has confirmed it.
func (p *play) configure(version, idleRoutes int, keys ...string) (time.Time, error) {
	config, err := configOf(version, idleRoutes, keys...)
	if err != nil {
		return time.Time{}, err
	}
	p.store.put(topicConfig, "config", config)
	p.rec.add("the store confirms configuration %d, %d bytes, keys %v", version, len(config), keys)

	return time.Now(), nil
}

// sent is a request with the time at which it was sent.
type sent struct {
	id string
	at time.Time
}

// probe sends requests with the key that is taken away on one kept channel to each box, until the context
// ends, and returns them.
func (d *deployment) probe(ctx context.Context, path string, pause time.Duration) []sent {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var list []sent
	for n, b := range d.boxes {
		wg.Go(func() {
			c := &client{address: b.front, rec: d.p.rec}
			defer c.close()
			for i := 0; ctx.Err() == nil; i++ {
				v := sent{id: fmt.Sprintf("%04x%012x", 1+n, i), at: time.Now()}
				c.send(context.WithoutCancel(ctx), request{method: http.MethodGet, path: path, id: v.id, key: lostKey})
				mu.Lock()
				list = append(list, v)
				mu.Unlock()
				time.Sleep(pause)
			}
		})
	}
	wg.Wait()

	return list
}

// checkRevoked reports whether a request ran for the tenant of its key although it was sent later than
// revokeTime after the key was taken away.
func (p *play) checkRevoked(list []sent, revokedAt time.Time) bool {
	broken := false
	for _, v := range list {
		late := v.at.Sub(revokedAt)
		if as := p.rec.tenantOf(v.id); late > revokeTime && as != "" {
			p.rec.add("BROKEN: %s was sent %.3f s after its key was taken away, and ran as tenant %s", v.id, late.Seconds(), as)
			broken = true
		}
	}

	return broken
}

// revocationCase takes a key away while a zone is cut off from the store.
type revocationCase struct {
	boxes int
	// path is that of the requests with the key.
	path string
	// idleRoutes is the number of idle routes, and storm that of configurations in quick succession before
	// the key is taken away.
	idleRoutes, storm int
	// cutTime is how long the zone is cut off, and probeTime how long requests are sent from the start of
	// the cut.
	cutTime, probeTime time.Duration
	pause              time.Duration
}

// stormPause is the time between two configurations of a storm.
const stormPause = 80 * time.Millisecond

func (v revocationCase) play(ctx context.Context, p *play) (bool, error) {
	if _, err := p.configure(1, v.idleRoutes, keptKey, lostKey); err != nil {
		return false, err
	}
	d, err := p.deploy(ctx, v.boxes)
	if d != nil {
		defer func() { stopAll(d.boxes) }()
	}
	if err != nil {
		return false, err
	}
	cutAt := d.cut()
	probeCtx, cancel := context.WithDeadline(ctx, cutAt.Add(v.probeTime))
	defer cancel()
	results := make(chan []sent, 1)
	go func() { results <- d.probe(probeCtx, v.path, v.pause) }()
	for i := range v.storm {
		if _, err := p.configure(2+i, v.idleRoutes, keptKey, lostKey); err != nil {
			return false, err
		}
		time.Sleep(stormPause)
	}
	revokedAt, err := p.configure(2+v.storm, v.idleRoutes, keptKey)
	if err != nil {
		return false, err
	}
	time.Sleep(time.Until(cutAt.Add(v.cutTime)))
	d.heal()

	return p.checkRevoked(<-results, revokedAt), nil
}
