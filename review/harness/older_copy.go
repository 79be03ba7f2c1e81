package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const (
	// copyAge is how old the copy is from which the store comes back, and awayTime how long it is away.
	copyAge  = 6 * time.Second
	awayTime = 300 * time.Millisecond
	// rewriteTime is how long after that the operator writes the newest configuration again.
	rewriteTime = 1500 * time.Millisecond
	// restartTime is the short delay after which the platform starts a killed process again.
	restartTime = 300 * time.Millisecond
)

// olderCopy checks that a box which starts while the store has come back from an older copy does not accept a
// key that was taken away, and that its neighbor knows to be gone.
func olderCopy(ctx context.Context, p *play) (bool, error) {
	if _, err := p.configure(1, siteRoutes, keptKey, lostKey); err != nil {
		return false, err
	}
	d, err := p.deploy(ctx, 2)
	if d != nil {
		defer func() { stopAll(d.boxes) }()
	}
	if err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	taken := p.store.copy()
	copiedAt := time.Now()
	time.Sleep(200 * time.Millisecond)
	revokedAt, err := p.configure(2, siteRoutes, keptKey)
	if err != nil {
		return false, err
	}
	time.Sleep(time.Until(copiedAt.Add(copyAge - awayTime)))
	if p.trouble {
		p.store.setAway(true)
		p.rec.add("the store is away")
	}
	p.rec.add("box 2 is killed (SIGKILL)")
	_ = d.boxes[1].cmd.Process.Kill()
	_ = d.boxes[1].cmd.Wait()
	time.Sleep(awayTime)
	if p.trouble {
		p.store.restore(taken)
		p.store.setAway(false)
		p.rec.add("the store is back from a copy that is %.1f s old", time.Since(copiedAt).Seconds())
	}
	time.Sleep(restartTime)
	if err := d.boxes[1].restart(ctx, p); err != nil {
		return false, err
	}
	p.rec.add("box 2 is started again")
	list := d.probeUntil(ctx, d.boxes[1], time.Now().Add(rewriteTime-restartTime))
	if _, err := p.configure(2, siteRoutes, keptKey); err != nil {
		return false, err
	}
	list = append(list, d.probeUntil(ctx, d.boxes[1], time.Now().Add(time.Second))...)

	return p.checkRevoked(list, revokedAt), nil
}

// probeUntil sends requests with the key that is taken away to one box, on new channels.
func (d *deployment) probeUntil(ctx context.Context, b *box, until time.Time) []sent {
	var list []sent
	for i := 0; time.Now().Before(until); i++ {
		c := &client{address: b.front, rec: d.p.rec}
		v := sent{id: fmt.Sprintf("%x%04x", time.Now().UnixMilli(), i), at: time.Now()}
		c.send(ctx, request{method: http.MethodGet, path: "/closed/1", id: v.id, key: lostKey})
		c.close()
		list = append(list, v)
		time.Sleep(10 * time.Millisecond)
	}

	return list
}
