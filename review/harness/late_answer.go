package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// A server runs callSlots requests at once, which take callWork, and queues callQueue more.
	callSlots = 6
	callQueue = 24
	callWork  = 60 * time.Millisecond
	// callTime is how long clients send.
	callTime = 7 * time.Second
	// garbleShare is the share of the answers of a faulty server that it spoils, and garbleTime for how long.
	garbleShare = 0.03
	garbleTime  = 5 * time.Second
)

// callCase sends calls that may not be repeated, while one server breaks off some answers and sends others a
// second time, late.
type callCase struct {
	// servers is the number of servers of the service, and clients that of clients, each with a kept channel.
	servers, clients int
}

func (v callCase) play(ctx context.Context, p *play) (bool, error) {
	address, err := p.serveStore(ctx)
	if err != nil {
		return false, err
	}
	config, err := configOf(1, siteRoutes, keptKey)
	if err != nil {
		return false, err
	}
	p.store.put(topicConfig, "config", config)
	var servers []*server
	for i := range v.servers {
		id := fmt.Sprintf("i-7f3a91c%d", i)
		s := &server{
			id: id, service: plainService, slots: callSlots, queue: callQueue, work: callWork,
			put:   func(k string, v []byte) { p.store.put(topicServers, k, v) },
			onRun: func(request, tenant string) { p.rec.ran(id, request, tenant) },
		}
		if p.trouble && i == 0 {
			s.garble = &garble{share: garbleShare, log: p.rec.add}
		}
		if err := s.listen(ctx); err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	boxes, err := startBoxes(ctx, p, 1, address)
	defer func() { stopAll(boxes) }()
	if err != nil {
		return false, err
	}
	if g := servers[0].garble; g != nil {
		g.mu.Lock()
		g.until = time.Now().Add(garbleTime)
		g.mu.Unlock()
	}
	callCtx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()

	return p.sendCalls(callCtx, boxes[0].front, v.clients), nil
}

// sendCalls sends calls that may not be repeated until the context ends, and reports whether one of them ran
// more than once, or ran although the answer says that it did not.
func (p *play) sendCalls(ctx context.Context, address string, clients int) bool {
	var mu sync.Mutex
	var wg sync.WaitGroup
	answers := make(map[string]int)
	for n := range clients {
		wg.Go(func() {
			c := &client{address: address, rec: p.rec}
			defer c.close()
			for i := 0; ctx.Err() == nil; i++ {
				id := fmt.Sprintf("%04x%012x", n, i)
				a := c.send(context.WithoutCancel(ctx), request{method: http.MethodPost, path: "/call/1", id: id, key: keptKey})
				mu.Lock()
				answers[id] = a.status
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	broken := false
	for id, status := range answers {
		n := p.rec.runCount(id)
		switch {
		case n > 1:
			p.rec.add("BROKEN: %s may not be repeated and ran %d times; its client got %d", id, n, status)
			broken = true
		case n > 0 && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests):
			p.rec.add("BROKEN: %s ran, and its client got %d", id, status)
			broken = true
		}
	}

	return broken
}
