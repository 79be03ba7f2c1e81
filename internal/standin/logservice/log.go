// Package logservice is a stand-in for the log service of a platform with a log service and a
// membership list, on which the gateway and the controller run. Its client is logstore.Log. Package
// platform/standin is for the platform with a store.
//
// It keeps streams in memory, accepts appends at a limited rate, and injects faults: outages,
// delays, appends whose answer is lost after they took effect, and limited retention.
package logservice

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/slatebridge/slatebridge/logstore"
)

// MaxAppendsPerSecond is the rate limit of appends over all streams.
const MaxAppendsPerSecond = 100

// appendBurst is the burst size of the rate limit.
const appendBurst = 20

// maxRecordsPerRead is the maximum number of records that a read returns.
const maxRecordsPerRead = 200

// Faults are the faults that are injected into the log.
type Faults struct {
	// Down makes every call fail before it takes effect.
	Down bool `json:"down"`
	// DropAppendAnswers makes appends return an error after they took effect.
	DropAppendAnswers bool `json:"lose_answers"`
	// Delay is the delay before a call takes effect. Its JSON value is in nanoseconds.
	Delay time.Duration `json:"delay"`
	// RetainedRecords is the number of records that a stream retains; zero retains all.
	RetainedRecords int `json:"keep"`
}

// Service is an in-memory log.
type Service struct {
	mu            sync.Mutex
	faults        Faults
	streams       map[string]*stream
	appendLimiter *rate.Limiter
	appendCount   int
	// appendHook is called after an append took effect and before it is answered.
	appendHook func(stream string)
}

type stream struct {
	oldestOffset int64
	records      []logstore.Record
	// history holds all records ever appended, including those that are no longer retained.
	history []logstore.Record
	// appended is closed and replaced when a record is appended.
	appended chan struct{}
}

var (
	errDown       = errors.Mark(errors.New("log stand-in: down"), logstore.ErrNoValidResponse)
	errAnswerLost = errors.Mark(errors.New("log stand-in: answer lost"), logstore.ErrNoValidResponse)
)

// New returns an empty log without faults.
func New() *Service {
	return &Service{
		streams:       make(map[string]*stream),
		appendLimiter: rate.NewLimiter(MaxAppendsPerSecond, appendBurst),
	}
}

// Client returns a client that accesses the log directly, without a network.
func (s *Service) Client() logstore.Log {
	return logstore.Log{Append: s.Append, Read: s.Read}
}

// SetFaults replaces the injected faults. A lower RetainedRecords takes effect at once.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	for _, st := range s.streams {
		st.trim(f.RetainedRecords)
	}
}

// Appends returns the number of appends that took effect.
func (s *Service) Appends() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.appendCount
}

// Append appends a record to the stream and returns its offset.
func (s *Service) Append(ctx context.Context, name string, data json.RawMessage) (int64, error) {
	if err := s.applyFaults(ctx); err != nil {
		return 0, err
	}
	if err := s.appendLimiter.Wait(ctx); err != nil {
		return 0, errors.Mark(err, logstore.ErrNoValidResponse)
	}
	offset, lost := s.appendRecord(name, data)
	if lost {
		return 0, errAnswerLost
	}

	return offset, nil
}

// appendRecord appends a record and reports whether the answer is lost. DropAppendAnswers is read
// after the hook, because the hook may change the faults.
func (s *Service) appendRecord(name string, data json.RawMessage) (offset int64, lost bool) {
	s.mu.Lock()
	hook := s.appendHook
	st := s.stream(name)
	offset = st.nextOffset()
	record := logstore.Record{Offset: offset, Time: time.Now(), Data: data}
	st.records = append(st.records, record)
	st.history = append(st.history, record)
	st.trim(s.faults.RetainedRecords)
	s.appendCount++
	close(st.appended)
	st.appended = make(chan struct{})
	s.mu.Unlock()
	if hook != nil {
		hook(name)
	}
	s.mu.Lock()
	defer s.mu.Unlock()

	return offset, s.faults.DropAppendAnswers
}

// OnAppend sets a hook that is called with the stream's name after an append took effect and before
// it is answered. Nil removes it.
func (s *Service) OnAppend(hook func(stream string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appendHook = hook
}

// All returns all records ever appended to the stream, including those no longer retained.
func (s *Service) All(name string) []logstore.Record {
	s.mu.Lock()
	defer s.mu.Unlock()

	return slices.Clone(s.stream(name).history)
}

// Read returns records from the offset on. If there are none, it waits up to the given time.
func (s *Service) Read(ctx context.Context, name string, from int64, wait time.Duration) (logstore.Batch, error) {
	if err := s.applyFaults(ctx); err != nil {
		return logstore.Batch{}, err
	}
	if wait <= 0 {
		// Go's race detector crashes when a select uses a timer that has already expired when it is
		// created in a synctest bubble, so no timer is created here.
		b, _ := s.recordsFrom(name, from)

		return b, nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		b, grown := s.recordsFrom(name, from)
		if len(b.Records) > 0 {
			return b, nil
		}
		select {
		case <-grown:
		case <-timer.C:
			return b, nil
		case <-ctx.Done():
			return logstore.Batch{}, errors.Mark(ctx.Err(), logstore.ErrNoValidResponse)
		}
	}
}

func (s *Service) recordsFrom(name string, from int64) (logstore.Batch, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	b := logstore.Batch{OldestOffset: st.oldestOffset, NextOffset: st.nextOffset()}
	skip := max(from-st.oldestOffset, 0)
	if skip < int64(len(st.records)) {
		end := min(skip+maxRecordsPerRead, int64(len(st.records)))
		b.Records = append(b.Records, st.records[skip:end]...)
	}

	return b, st.appended
}

func (s *Service) applyFaults(ctx context.Context) error {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	if f.Delay > 0 {
		select {
		case <-time.After(f.Delay):
		case <-ctx.Done():
			return errors.Mark(ctx.Err(), logstore.ErrNoValidResponse)
		}
	}
	if f.Down {
		return errDown
	}

	return nil
}

func (s *Service) stream(name string) *stream {
	st := s.streams[name]
	if st == nil {
		st = &stream{appended: make(chan struct{})}
		s.streams[name] = st
	}

	return st
}

func (st *stream) nextOffset() int64 {
	return st.oldestOffset + int64(len(st.records))
}

func (st *stream) trim(keep int) {
	n := len(st.records) - keep
	if keep == 0 || n <= 0 {
		return
	}
	st.oldestOffset += int64(n)
	st.records = st.records[n:]
}
