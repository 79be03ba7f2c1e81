package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	// defaultReadKB is the size of a read answer if the call does not state one.
	defaultReadKB = 1024
	bytesPerKB    = 1024
	lengthBytes   = 4
)

// store is a stand-in for the platform's store. Every topic has one partition and one record per key
// that is newest.
type store struct {
	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{}
	// era is the number of times that the store has come back from a copy, and away is set while it turns all
	// calls away.
	era  int
	away bool
}

type topic struct {
	records [][]byte
	newest  map[string]newestRecord
}

type newestRecord struct {
	value  []byte
	offset int
}

func newStore() *store {
	return &store{topics: make(map[string]*topic), changed: make(chan struct{})}
}

// copy returns a copy of all topics.
func (s *store) copy() map[string]*topic {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]*topic, len(s.topics))
	for name, t := range s.topics {
		out[name] = &topic{records: slices.Clone(t.records), newest: maps.Clone(t.newest)}
	}

	return out
}

// restore makes the store come back from a copy.
func (s *store) restore(topics map[string]*topic) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics = topics
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
}

// put appends a record of a keyed topic. Without a value, it removes the key.
func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(name, append(append([]byte{byte(len(key))}, key...), value...))
}

func (s *store) append(name string, record []byte) {
	t := s.topic(name)
	t.records = append(t.records, record)
	n := int(record[0]) + 1
	key, value := string(record[1:n]), record[n:]
	if len(value) == 0 {
		delete(t.newest, key)
	} else {
		t.newest[key] = newestRecord{value: value, offset: len(t.records) - 1}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) topic(name string) *topic {
	t, ok := s.topics[name]
	if !ok {
		t = &topic{newest: make(map[string]newestRecord)}
		s.topics[name] = t
	}

	return t
}

// ServeHTTP answers the calls of boxes.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	away := s.away
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	s.mu.Unlock()
	if away {
		w.WriteHeader(http.StatusServiceUnavailable)

		return
	}
	switch r.URL.Path {
	case "/api/log-newest":
		s.serveNewest(w, r)
	case "/api/log-read":
		s.serveRead(w, r)
	case "/api/log-append":
		s.serveAppend(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	items := make([]item, 0, len(t.newest))
	for k, v := range t.newest {
		items = append(items, item{k, base64.StdEncoding.EncodeToString(v.value), v.offset})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "more": false, "end": len(t.records)})
}

// serveRead answers as soon as there is a record at the offset, with at most max_kb of records.
func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	ms, _ := strconv.Atoi(q.Get("wait_ms"))
	maxKB, err := strconv.Atoi(q.Get("max_kb"))
	if err != nil {
		maxKB = defaultReadKB
	}
	wait := time.After(time.Duration(ms) * time.Millisecond)
	for {
		s.mu.Lock()
		records, changed := s.topic(q.Get("topic")).records, s.changed
		w.Header().Set("Store-Era", strconv.Itoa(s.era))
		s.mu.Unlock()
		if from > len(records) {
			w.WriteHeader(http.StatusGone)

			return
		}
		if from < len(records) {
			_, _ = w.Write(encodeRecords(len(records), records[from:], maxKB*bytesPerKB))

			return
		}
		select {
		case <-changed:
		case <-wait:
			_, _ = w.Write(encodeRecords(len(records), nil, 0))

			return
		case <-r.Context().Done():
			return
		}
	}
}

// encodeRecords returns the end of the topic, the first offset kept, and records of up to limit bytes, but
// at least one.
func encodeRecords(end int, records [][]byte, limit int) []byte {
	out := binary.BigEndian.AppendUint64(nil, uint64(end))
	out = binary.BigEndian.AppendUint64(out, 0)
	size := 0
	for i, rec := range records {
		if size += lengthBytes + len(rec); size > limit && i > 0 {
			break
		}
		out = binary.BigEndian.AppendUint32(out, uint32(len(rec)))
		out = append(out, rec...)
	}

	return out
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	q := r.URL.Query()
	name := q.Get("topic")
	s.mu.Lock()
	defer s.mu.Unlock()
	first := len(s.topic(name).records)
	w.Header().Set("Content-Type", "application/json")
	if at := q.Get("at"); at != "" && at != strconv.Itoa(first) {
		w.WriteHeader(http.StatusPreconditionFailed)
		_, _ = fmt.Fprintf(w, `{"end":%d}`, first)

		return
	}
	for len(body) >= lengthBytes {
		n := lengthBytes + int(binary.BigEndian.Uint32(body))
		s.append(name, body[lengthBytes:n])
		body = body[n:]
	}
	_, _ = fmt.Fprintf(w, `{"offset":%d,"end":%d}`, first, len(s.topic(name).records))
}
