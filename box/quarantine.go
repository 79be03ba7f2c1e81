package box

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/slatebridge/slatebridge/clock"
	"github.com/slatebridge/slatebridge/event"
	"github.com/slatebridge/slatebridge/follow"
	"github.com/slatebridge/slatebridge/logstore"
	"github.com/slatebridge/slatebridge/mesh"
	"github.com/slatebridge/slatebridge/quarantine"
)

const (
	// publishTimeout bounds a call that publishes entries.
	publishTimeout = time.Second
	// maxEntriesPerCall limits the entries of one call: an entry has at most 1.3 KB, and a call
	// 2 MB.
	maxEntriesPerCall = 500
	// trialClaimTimeout bounds how long a request waits for a trial to be written to the store, which
	// may be slow.
	trialClaimTimeout = 400 * time.Millisecond
	// maxTrialClaimAttempts limits the attempts to write a trial if other writes to the topic
	// intervene.
	maxTrialClaimAttempts = 4
	// readerMaxLag is how long the store reader of a hall waits for known missing records to arrive
	// in a message before it reads them, and peerMaxLag is the same for the other boxes.
	readerMaxLag = 100 * time.Millisecond
	peerMaxLag   = time.Second
)

// errTrialUnavailable reports that no trial of the request could be claimed although the store
// answered.
var errTrialUnavailable = errors.New("no trial of the request could be claimed: its verdict has changed, or other writes to the topic kept intervening")

// replicatedLedger shares the quarantine ledger between the boxes. Its entries are in the store,
// for boxes that start and for halls that are cut off from each other. Records also spread in
// messages, so that not every box reads them: each call to the store is billed.
type replicatedLedger struct {
	box      *Box
	ledger   *quarantine.Ledger
	topic    logstore.KeyedTopic
	follower *follow.Follower

	mu sync.Mutex
	// next is the position up to which the topic is known here, end the position that it is known
	// to have reached, and laggingSince the time since which end has been ahead.
	next, end    logstore.Position
	laggingSince time.Time
	// hasRead reports whether the topic has been read once.
	hasRead bool
	// isolated reports whether some hall is not seen, or no other box is heard, so that records may
	// not arrive in messages.
	isolated bool
}

func newReplicatedLedger(b *Box) *replicatedLedger {
	s := &replicatedLedger{box: b, ledger: quarantine.New(), topic: b.platform.Quarantine}
	s.follower = s.newFollower()

	return s
}

// run follows the topic and publishes local findings until ctx ends.
func (s *replicatedLedger) run(ctx context.Context) {
	go s.publishLoop(ctx)
	s.follower.Run(ctx)
}

func (s *replicatedLedger) newFollower() *follow.Follower {
	f := follow.New(follow.Follower{
		// A long wait delays nothing, since changes end it, and saves calls, which are billed.
		Topic: s.topic, LongPollWait: s.box.settings.Bounds.MaxStaleness, ReadDelay: s.readDelay,
		Backoff:     func() time.Duration { return peerRetryPause },
		OnConfirmed: func(time.Time) { s.markRead() },
		OnError:     func(err error) { s.box.metrics.storeCall(topicQuarantine, err) },
	})
	f.OnSnapshot = func(c logstore.Changes, _ time.Duration) { s.advance(0, c.NextPosition, c.Entries) }
	f.OnChanges = func(c logstore.Changes, _ time.Duration) {
		s.advance(c.NextPosition.Advance(-len(c.Entries)), c.NextPosition, c.Entries)
	}

	return f
}

func (s *replicatedLedger) markRead() {
	s.box.metrics.storeCall(topicQuarantine, nil)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hasRead = true
}

// readDelay returns the time after which the topic must be read because it has advanced further
// than the records received in messages. The store reader of the hall also reads it at startup, and
// while it is isolated.
func (s *replicatedLedger) readDelay() time.Duration {
	reader := s.box.isReader.Load()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.end > s.next {
		maxLag := peerMaxLag
		if reader {
			maxLag = readerMaxLag
		}

		return maxLag - clock.Since(s.laggingSince)
	}
	if reader && (!s.hasRead || s.isolated) {
		return 0
	}

	return noReadDue
}

// noReadDue is the delay while nothing indicates that the topic must be read.
const noReadDue = time.Hour

// advance applies the records between two positions if all earlier ones are known, and passes them
// on to the other boxes if they are new.
func (s *replicatedLedger) advance(from, to logstore.Position, entries []logstore.Entry) {
	s.mu.Lock()
	known := from <= s.next && to > s.next
	isNew := known || to > s.end
	s.end = max(s.end, to)
	if known {
		s.next = to
	}
	switch {
	case s.end <= s.next:
		s.laggingSince = time.Time{}
	case s.laggingSince.IsZero():
		s.laggingSince = clock.Now()
	}
	lagging := s.end > s.next
	s.mu.Unlock()
	if lagging {
		s.follower.Wake()
	}
	if known {
		s.apply(entries)
	} else {
		entries = nil
	}
	if isNew {
		s.box.post(&quarantineUpdate{from: from, to: to, entries: entries})
	}
}

// apply applies entries to the ledger.
func (s *replicatedLedger) apply(entries []logstore.Entry) {
	now := clock.Now()
	for _, e := range entries {
		if err := s.ledger.Apply(quarantine.Change{Key: e.Key, Value: e.Value}, now); err != nil {
			s.box.metrics.entryRefused("quarantine")
			event.Log(s.box.logger, event.EntryRefused, zap.String("entry", e.Key), event.Error(err))
		}
	}
}

// noteTopicEnd records the position that the topic has reached.
func (s *replicatedLedger) noteTopicEnd(to logstore.Position) { s.advance(to, to, nil) }

// positions returns the position up to which the topic is known, and the position that it is known
// to have reached.
func (s *replicatedLedger) positions() (next, end logstore.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.next, s.end
}

// publishLoop publishes local changes as they become due.
func (s *replicatedLedger) publishLoop(ctx context.Context) {
	for ctx.Err() == nil {
		wait := s.ledger.TimeUntilDue(clock.Now())
		if wait < 0 {
			wait = time.Hour
		}
		select {
		case <-ctx.Done():
			return
		case <-s.ledger.Changed():
			s.sendEarlySuspects(ctx)

			// A change may now be due before the planned time.
			continue
		case <-time.After(wait):
		}
		changes := s.ledger.DueChanges(clock.Now())
		for len(changes) > 0 {
			n := min(len(changes), maxEntriesPerCall)
			if err := s.publish(ctx, changes[:n]); err != nil {
				s.ledger.RequeueChanges(changes, clock.Now())

				break
			}
			changes = changes[n:]
		}
	}
}

// earlySuspectDelay is how long early suspect requests are collected before they are sent: all
// requests that ran at a crashed server are identified within a few milliseconds.
const earlySuspectDelay = 5 * time.Millisecond

// sendEarlySuspects sends early suspect requests (see earlySuspects) to other boxes, in messages
// only.
func (s *replicatedLedger) sendEarlySuspects(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(earlySuspectDelay):
	}
	if list := s.ledger.EarlySuspects(); len(list) > 0 {
		s.box.post(&earlySuspects{list: list})
	}
}

func (s *replicatedLedger) publish(ctx context.Context, changes []quarantine.Change) error {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	entries := make([]logstore.Entry, 0, len(changes))
	for _, c := range changes {
		entries = append(entries, logstore.Entry{Key: c.Key, Value: c.Value})
	}
	end, err := s.topic.PutBatch(ctx, entries)
	s.box.metrics.storeCall(topicQuarantine, err)
	if err == nil {
		s.advance(end.Advance(-len(entries)), end, entries)
	}

	return err
}

// beginTrial claims a trial for this box: it writes the trial to the topic on condition that all
// records there are known here, so that only one of two competing boxes succeeds.
func (s *replicatedLedger) beginTrial(ctx context.Context, subject quarantine.Subject, f quarantine.Fingerprint, t quarantine.Trial) error {
	ctx, cancel := context.WithTimeout(ctx, trialClaimTimeout)
	defer cancel()
	for range maxTrialClaimAttempts {
		c, err := s.ledger.TrialChange(f, t)
		if err != nil {
			return err
		}
		at, _ := s.positions()
		e := logstore.Entry{Key: c.Key, Value: c.Value}
		err = s.topic.PutIfEnd(ctx, at, e)
		s.box.metrics.storeCall(topicQuarantine, err)
		if err == nil {
			s.ledger.RecordTrial(f, t, clock.Now())
			s.advance(at, at.Advance(1), []logstore.Entry{e})

			return nil
		}
		if !errors.Is(err, logstore.ErrConflict) {
			// The write may have succeeded nevertheless.
			s.ledger.RecordTrial(f, t, clock.Now())
			s.ledger.CancelTrial(f, t.ID, clock.Now())

			return err
		}
		if err := s.catchUp(ctx, at); err != nil {
			return err
		}
		if d := s.ledger.Decide(subject, clock.Now()); d.Verdict != quarantine.TrialOnly || d.Blamed != f {
			return errTrialUnavailable
		}
	}

	return errTrialUnavailable
}

// pageTimeout bounds the read of one page of the topic.
const pageTimeout = time.Second

// catchUp reads the topic from the given position to its end.
func (s *replicatedLedger) catchUp(ctx context.Context, from logstore.Position) error {
	for {
		c, err := s.topic.Read(ctx, from, 0)
		if errors.IsAny(err, logstore.ErrCompacted, logstore.ErrRolledBack) {
			from = 0
			c, err = s.topic.ListAll(ctx, pageTimeout, func() bool { return false })
		}
		s.box.metrics.storeCall(topicQuarantine, err)
		if err != nil {
			return err
		}
		s.advance(from, c.NextPosition, c.Entries)
		if !c.Partial() {
			return nil
		}
		from = c.NextPosition
	}
}

// sendQuarantine sends the whole quarantine to the reporting boxes that lag behind, so that only
// the store readers of the halls read the topic when all boxes start together.
func (c *control) sendQuarantine(now time.Time) {
	s := c.box.quarantine
	next, _ := s.positions()
	if next == 0 || now.Sub(c.quarantineSentAt) < peerMaxLag/2 {
		return
	}
	var to []mesh.Target
	for _, o := range c.reportingPeers(now) {
		if o.lastMessage.QuarantinePosition < next {
			to = append(to, o.target())
		}
	}
	all := s.ledger.Snapshot()
	size := 0
	for _, v := range all {
		size += len(v.Key) + len(v.Value)
	}
	if len(to) == 0 || size > maxUpdateBytes {
		return
	}
	c.quarantineSentAt = now
	msg := mesh.Message{Kind: mesh.Update, Box: c.settings.Box, Hall: c.settings.Hall, QuarantinePosition: next}
	for _, v := range all {
		msg.QuarantineEntries = append(msg.QuarantineEntries, mesh.KeyedRecord{Key: v.Key, Value: v.Value})
	}
	c.send(msg, to)
}

// maxUpdateBytes limits the entries in one message; boxes that lack more read them from the store.
const maxUpdateBytes = 30 << 10

// pushQuarantine immediately sends new records of the quarantine topic to other boxes.
func (c *control) pushQuarantine(m *quarantineUpdate, now time.Time) {
	msg := mesh.Message{Kind: mesh.Update, Box: c.settings.Box, Hall: c.settings.Hall, QuarantinePosition: m.to, QuarantineFrom: m.to}
	size := 0
	for _, e := range m.entries {
		size += len(e.Key) + len(e.Value)
	}
	if size <= maxUpdateBytes && len(m.entries) > 0 {
		msg.QuarantineFrom = m.from
		for _, e := range m.entries {
			msg.QuarantineEntries = append(msg.QuarantineEntries, mesh.KeyedRecord{Key: e.Key, Value: e.Value})
		}
	}
	c.send(msg, c.immediateTargets(now))
}

// pushEarlySuspects immediately sends early suspect requests (see earlySuspects) to other boxes.
func (c *control) pushEarlySuspects(suspects []quarantine.Change, now time.Time) {
	msg := mesh.Message{Kind: mesh.Update, Box: c.settings.Box, Hall: c.settings.Hall}
	for _, v := range suspects {
		msg.EarlySuspects = append(msg.EarlySuspects, mesh.KeyedRecord{Key: v.Key, Value: v.Value})
	}
	c.send(msg, c.immediateTargets(now))
}

// immediateTargets returns the boxes that receive immediate updates: the relays and the boxes that
// report to this one, and from a relay also the relays of the other halls.
func (c *control) immediateTargets(now time.Time) []mesh.Target {
	to := append(c.relays(now), c.reportingPeers(now)...)
	if c.isRelay(now) {
		for _, hall := range c.remoteHalls() {
			to = append(to, c.remoteRelays(hall, now)...)
		}
	}
	targets := make([]mesh.Target, 0, len(to))
	for _, o := range to {
		targets = append(targets, o.target())
	}

	return targets
}

// applyEarlySuspects applies early suspect requests that another box reports. A relay passes the
// new ones on.
func (c *control) applyEarlySuspects(msg mesh.Message, now time.Time) {
	var added []quarantine.Change
	for _, v := range msg.EarlySuspects {
		change := quarantine.Change{Key: v.Key, Value: v.Value}
		isNew, err := c.box.quarantine.ledger.ApplyEarlySuspect(change, now)
		if err != nil {
			c.box.metrics.entryRefused("quarantine")
			event.Log(c.box.logger, event.EntryRefused, zap.String("entry", v.Key), event.Error(err))
		}
		if isNew {
			added = append(added, change)
		}
	}
	if len(added) > 0 && c.isRelay(now) {
		c.pushEarlySuspects(added, now)
	}
}

// applyQuarantine applies quarantine records from a message of another box.
func (c *control) applyQuarantine(msg mesh.Message) {
	entries := make([]logstore.Entry, 0, len(msg.QuarantineEntries))
	for _, e := range msg.QuarantineEntries {
		entries = append(entries, logstore.Entry{Key: e.Key, Value: e.Value})
	}
	c.box.quarantine.advance(msg.QuarantineFrom, msg.QuarantinePosition, entries)
}

// noteIsolation records whether some hall is not seen, or no other box is heard.
func (c *control) noteIsolation() {
	isolated := false
	for _, hall := range c.remoteHalls() {
		if _, seen := c.hallSeenAt[hall]; !seen {
			isolated = true
		}
	}
	s := c.box.quarantine
	s.mu.Lock()
	defer s.mu.Unlock()
	if isolated = isolated || c.liveBoxes() == 1; isolated != s.isolated {
		s.isolated = isolated
		s.follower.Wake()
	}
}
