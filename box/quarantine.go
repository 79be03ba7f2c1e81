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
	// shareTime bounds a call that tells the others.
	shareTime = time.Second
	// mostShared is how many entries one call carries: an entry has 1.3 KB at most, and a
	// call 2 MB.
	mostShared = 500
	// trialWait bounds how long a request waits for the consent to a trial. The store
	// takes 4 ms, and on slow days 50 times as long.
	trialWait = 400 * time.Millisecond
	// trialTries is how often consent is asked for when other entries come between.
	trialTries = 4
	// readerBehind is how long the box that reads the store for its hall waits for records
	// that it has heard of to come in a message, and otherBehind the same for the others.
	readerBehind = 100 * time.Millisecond
	otherBehind  = time.Second
)

// errOnTrial says that a request may not be tried now.
var errOnTrial = errors.New("the request is being tried elsewhere, or is held back")

// sharedLedger shares with the other boxes under which requests servers have ended. The store
// has the entries, since boxes that start, and halls that are cut off from each other, have
// to know them. What was written also goes in messages, so that not every box reads it: each
// call to the store has a price.
type sharedLedger struct {
	box      *Box
	ledger   *quarantine.Ledger
	topic    logstore.Keyed
	follower *follow.Follower

	mu sync.Mutex
	// next is up to which offset the topic is known, heard how far it is known to go, and
	// behindAt since when that is further.
	next, heard logstore.Place
	behindAt    time.Time
	// read says that the topic was read.
	read bool
	// apart says that some hall is not heard, so that its news would not be.
	apart bool
}

func newSharedLedger(b *Box) *sharedLedger {
	s := &sharedLedger{box: b, ledger: quarantine.New(), topic: b.platform.Quarantine}
	s.follower = s.newFollower()

	return s
}

// run follows the topic and tells the others what this box finds, until ctx ends.
func (s *sharedLedger) run(ctx context.Context) {
	go s.share(ctx)
	s.follower.Run(ctx)
}

func (s *sharedLedger) newFollower() *follow.Follower {
	f := follow.New(follow.Follower{
		// News come at once, and each call has a price.
		Topic: s.topic, Wait: s.box.settings.Bounds.News, Due: s.due,
		Pause:     func() time.Duration { return otherPause },
		OnCurrent: func(time.Time) { s.noteRead() },
		OnError:   func(err error) { s.box.metrics.storeCall(topicQuarantine, err) },
	})
	f.OnNewest = func(c logstore.Changes, _ time.Duration) { s.learn(0, c.Next, c.Entries) }
	f.OnChanges = func(c logstore.Changes, _ time.Duration) {
		s.learn(c.Next.Plus(-len(c.Entries)), c.Next, c.Entries)
	}

	return f
}

func (s *sharedLedger) noteRead() {
	s.box.metrics.storeCall(topicQuarantine, nil)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.read = true
}

// due returns after which time the topic has to be read: it goes further than messages have told.
// The box that reads the store for its hall also reads it at its start, and while some hall
// is not heard.
func (s *sharedLedger) due() time.Duration {
	reader := s.box.reader.Load()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.heard > s.next {
		wait := otherBehind
		if reader {
			wait = readerBehind
		}

		return wait - clock.Since(s.behindAt)
	}
	if reader && (!s.read || s.apart) {
		return 0
	}

	return notDue
}

// notDue is returned by due while nothing shows that the topic has to be read.
const notDue = time.Hour

// learn takes up the records from one offset to the other, if all before them are known,
// and has the other boxes told of them if they are news here.
func (s *sharedLedger) learn(from, to logstore.Place, entries []logstore.Entry) {
	s.mu.Lock()
	known := from <= s.next && to > s.next
	news := known || to > s.heard
	s.heard = max(s.heard, to)
	if known {
		s.next = to
	}
	switch {
	case s.heard <= s.next:
		s.behindAt = time.Time{}
	case s.behindAt.IsZero():
		s.behindAt = clock.Now()
	}
	behind := s.heard > s.next
	s.mu.Unlock()
	if behind {
		s.follower.Wake()
	}
	if known {
		s.take(entries)
	} else {
		entries = nil
	}
	if news {
		s.box.tell(&quarantineNews{from: from, to: to, entries: entries})
	}
}

// take takes up entries.
func (s *sharedLedger) take(entries []logstore.Entry) {
	now := clock.Now()
	for _, e := range entries {
		if err := s.ledger.Take(quarantine.Change{Key: e.Key, Value: e.Value}, now); err != nil {
			s.box.metrics.refused("quarantine")
			event.Log(s.box.logger, event.EntryRefused, zap.String("entry", e.Key), event.Error(err))
		}
	}
}

// hear notes how far the topic goes.
func (s *sharedLedger) hear(to logstore.Place) { s.learn(to, to, nil) }

// offsets returns up to which offset the topic is known, and how far it is known to go.
func (s *sharedLedger) offsets() (next, heard logstore.Place) {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.next, s.heard
}

// share tells the others what this box finds.
func (s *sharedLedger) share(ctx context.Context) {
	for ctx.Err() == nil {
		wait := s.ledger.Wait(clock.Now())
		if wait < 0 {
			wait = time.Hour
		}
		select {
		case <-ctx.Done():
			return
		case <-s.ledger.Changed():
			// It may be due before the others.
			s.tellYoung(ctx)

			continue
		case <-time.After(wait):
		}
		list := s.ledger.Changes(clock.Now())
		for len(list) > 0 {
			n := min(len(list), mostShared)
			if err := s.put(ctx, list[:n]); err != nil {
				s.ledger.Unsaid(list, clock.Now())

				break
			}
			list = list[n:]
		}
	}
}

// youngPause is how long what is told by messages alone is gathered: all that ran at a server
// are found within a few milliseconds to have been there.
const youngPause = 5 * time.Millisecond

// tellYoung tells other boxes by a message of requests under which a first server has ended.
func (s *sharedLedger) tellYoung(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(youngPause):
	}
	if list := s.ledger.Young(); len(list) > 0 {
		s.box.tell(&youngSuspects{list: list})
	}
}

func (s *sharedLedger) put(ctx context.Context, list []quarantine.Change) error {
	ctx, cancel := context.WithTimeout(ctx, shareTime)
	defer cancel()
	entries := make([]logstore.Entry, 0, len(list))
	for _, c := range list {
		entries = append(entries, logstore.Entry{Key: c.Key, Value: c.Value})
	}
	end, err := s.topic.PutAll(ctx, entries)
	s.box.metrics.storeCall(topicQuarantine, err)
	if err == nil {
		s.learn(end.Plus(-len(entries)), end, entries)
	}

	return err
}

// begin asks all boxes for the consent to a trial: it is written into the topic on the
// condition that everything there is known, so that of two boxes one gets it.
func (s *sharedLedger) begin(ctx context.Context, f quarantine.Fingerprint, t quarantine.Trial) error {
	ctx, cancel := context.WithTimeout(ctx, trialWait)
	defer cancel()
	for range trialTries {
		c, err := s.ledger.Proposal(f, t)
		if err != nil {
			return err
		}
		at, _ := s.offsets()
		e := logstore.Entry{Key: c.Key, Value: c.Value}
		err = s.topic.PutAt(ctx, at, e)
		s.box.metrics.storeCall(topicQuarantine, err)
		if err == nil {
			s.ledger.Began(f, t, clock.Now())
			s.learn(at, at.Plus(1), []logstore.Entry{e})

			return nil
		}
		if !errors.Is(err, logstore.ErrConflict) {
			// It may have been written all the same.
			s.ledger.Began(f, t, clock.Now())
			s.ledger.Void(f, t.Number, clock.Now())

			return err
		}
		if err := s.catchUp(ctx, at); err != nil {
			return err
		}
		if v, _ := s.ledger.Judge(f, clock.Now()); v != quarantine.OnTrial {
			return errOnTrial
		}
	}

	return errOnTrial
}

// pageTime bounds a page of the topic.
const pageTime = time.Second

// catchUp reads what was written from the offset on.
func (s *sharedLedger) catchUp(ctx context.Context, from logstore.Place) error {
	c, err := s.topic.Read(ctx, from, 0)
	if errors.IsAny(err, logstore.ErrGone, logstore.ErrReturned) {
		from = 0
		c, err = s.topic.Whole(ctx, pageTime, func() bool { return false })
	}
	s.box.metrics.storeCall(topicQuarantine, err)
	if err == nil {
		s.learn(from, c.Next, c.Entries)
	}

	return err
}

// helpLagging tells boxes that report to this one, and have not heard all, what is known of
// the whole topic. After a start of all boxes only the readers of the halls read it then.
func (c *control) helpLagging(now time.Time) {
	s := c.box.quarantine
	next, _ := s.offsets()
	if next == 0 || now.Sub(c.helpedAt) < otherBehind/2 {
		return
	}
	var to []mesh.Target
	for _, o := range c.reporters(now) {
		if o.last.Quarantine < next {
			to = append(to, o.target())
		}
	}
	all := s.ledger.All()
	size := 0
	for _, v := range all {
		size += len(v.Key) + len(v.Value)
	}
	if len(to) == 0 || size > mostNews {
		return
	}
	c.helpedAt = now
	msg := mesh.Message{Kind: mesh.News, Box: c.settings.Box, Hall: c.settings.Hall, Quarantine: next}
	for _, v := range all {
		msg.Entries = append(msg.Entries, mesh.Keyed{Key: v.Key, Value: v.Value})
	}
	c.send(msg, to)
}

// mostNews is how many bytes of entries a message carries; boxes that lack more read them.
const mostNews = 30 << 10

// pushQuarantine tells other boxes at once what is new in the topic of the quarantine: the
// relays, and those that report to this one. A relay also tells the other halls.
func (c *control) pushQuarantine(m *quarantineNews, now time.Time) {
	msg := mesh.Message{Kind: mesh.News, Box: c.settings.Box, Hall: c.settings.Hall, Quarantine: m.to, From: m.to}
	size := 0
	for _, e := range m.entries {
		size += len(e.Key) + len(e.Value)
	}
	if size <= mostNews && len(m.entries) > 0 {
		msg.From = m.from
		for _, e := range m.entries {
			msg.Entries = append(msg.Entries, mesh.Keyed{Key: e.Key, Value: e.Value})
		}
	}
	c.send(msg, c.concerned(now))
}

// pushYoung tells other boxes at once of requests under which a first server has ended: the
// relays, and those that report to this one. A relay also tells the other halls.
func (c *control) pushYoung(list []quarantine.Change, now time.Time) {
	msg := mesh.Message{Kind: mesh.News, Box: c.settings.Box, Hall: c.settings.Hall}
	for _, v := range list {
		msg.Young = append(msg.Young, mesh.Keyed{Key: v.Key, Value: v.Value})
	}
	c.send(msg, c.concerned(now))
}

// concerned returns whom this box tells at once: the relays, and those that report to it. A
// relay also tells those of the other halls.
func (c *control) concerned(now time.Time) []mesh.Target {
	to := append(c.relays(now), c.reporters(now)...)
	if c.isRelay(now) {
		for _, hall := range c.farHalls() {
			to = append(to, c.farRelays(hall, now)...)
		}
	}
	targets := make([]mesh.Target, 0, len(to))
	for _, o := range to {
		targets = append(targets, o.target())
	}

	return targets
}

// takeYoung takes up requests under which a first server has ended at another box. A relay
// passes on what is news.
func (c *control) takeYoung(msg mesh.Message, now time.Time) {
	var news []quarantine.Change
	for _, v := range msg.Young {
		change := quarantine.Change{Key: v.Key, Value: v.Value}
		ok, err := c.box.quarantine.ledger.TakeYoung(change, now)
		if err != nil {
			c.box.metrics.refused("quarantine")
			event.Log(c.box.logger, event.EntryRefused, zap.String("entry", v.Key), event.Error(err))
		}
		if ok {
			news = append(news, change)
		}
	}
	if len(news) > 0 && c.isRelay(now) {
		c.pushYoung(news, now)
	}
}

// takeQuarantine takes up what another box tells of the topic of the quarantine.
func (c *control) takeQuarantine(msg mesh.Message) {
	entries := make([]logstore.Entry, 0, len(msg.Entries))
	for _, e := range msg.Entries {
		entries = append(entries, logstore.Entry{Key: e.Key, Value: e.Value})
	}
	c.box.quarantine.learn(msg.From, msg.Quarantine, entries)
}

// noteApart notes whether some hall is not heard.
func (c *control) noteApart() {
	apart := false
	for _, hall := range c.farHalls() {
		if _, heard := c.hallHeard[hall]; !heard {
			apart = true
		}
	}
	s := c.box.quarantine
	s.mu.Lock()
	defer s.mu.Unlock()
	if apart = apart || c.liveBoxes() == 1; apart != s.apart {
		s.apart = apart
		s.follower.Wake()
	}
}
