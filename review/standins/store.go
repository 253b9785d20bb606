package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The figures of the platform's store in the site files: 4 ms an answer, 20 s of history, pages of 500 items or 1 MB.
const (
	storeDelay   = 4 * time.Millisecond
	storeHistory = 20 * time.Second
	pageItems    = 500
	pageBytes    = 1 << 20
	maxWatchWait = 30 * time.Second
	valueBytes   = 1 << 20
)

// item is a record of the store, or an event.
type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     uint64 `json:"rev"`
	Created uint64 `json:"created,omitempty"`
	Lease   uint64 `json:"lease"`
	Removed bool   `json:"removed,omitempty"`
	at      time.Time
}

// store is a stand-in of the platform's store.
type store struct {
	server  *http.Server
	address string

	mu           sync.Mutex
	items        map[string]item
	history      []item
	historyStart uint64
	revision     uint64
	changed      chan struct{}
}

func newStore(address string) (*store, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{
		items: make(map[string]item), changed: make(chan struct{}), revision: 100, historyStart: 100,
		address: listener.Addr().String(),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-range", s.serveRange)
	mux.HandleFunc("GET /api/kv-watch", s.serveWatch)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

// put writes a record. Its return is the acknowledgement.
func (s *store) put(key, value string) time.Time {
	if len(value) > valueBytes {
		panic(fmt.Sprintf("value of %s has %d bytes", key, len(value)))
	}
	return s.write(item{Key: key, Value: []byte(value)})
}

func (s *store) remove(key string) time.Time { return s.write(item{Key: key, Removed: true}) }

func (s *store) write(i item) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i.Rev, i.at = s.revision, time.Now()
	if i.Removed {
		delete(s.items, i.Key)
	} else {
		i.Created = i.Rev
		if old, ok := s.items[i.Key]; ok {
			i.Created = old.Created
		}
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	s.trim()
	close(s.changed)
	s.changed = make(chan struct{})
	return i.at
}

// trim discards the history that is older than storeHistory. The caller holds mu.
func (s *store) trim() {
	n := 0
	for n < len(s.history) && time.Since(s.history[n].at) > storeHistory {
		s.historyStart = s.history[n].Rev
		n++
	}
	s.history = s.history[n:]
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	page, size, more := []item{}, 0, false
	for _, key := range keys {
		if len(page) == pageItems || (len(page) > 0 && size+len(s.items[key].Value) > pageBytes) {
			more = true
			break
		}
		page = append(page, s.items[key])
		size += len(s.items[key].Value)
	}
	revision := s.revision
	s.mu.Unlock()
	reply(w, map[string]any{"items": page, "hasMore": more, "currentRev": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(query.Get("waitMs"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxWatchWait))
	defer timeout.Stop()
	for {
		s.mu.Lock()
		s.trim()
		if after < s.historyStart {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []item{}
		for _, i := range s.history {
			if i.Rev > after && strings.HasPrefix(i.Key, query.Get("prefix")) {
				events = append(events, i)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, map[string]any{"events": events, "currentRev": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			reply(w, map[string]any{"events": events, "currentRev": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data)
}
