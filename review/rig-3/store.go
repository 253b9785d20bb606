package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store. It follows PROTOCOL.md, except that it has no rate limit.
type store struct {
	address string

	mu      sync.Mutex
	rev     uint64
	items   map[string]item
	history []item
	// watchers holds the number of pending watches of each machine, by IP address.
	watchers map[string]int
	changed  chan struct{}
	// rangeReads receives the IP address of the machine of each range read; it never blocks.
	rangeReads chan string
}

type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     uint64 `json:"rev"`
	Created uint64 `json:"created,omitempty"`
	Lease   uint64 `json:"lease"`
	Removed bool   `json:"removed,omitempty"`
}

func newStore(address string) (*store, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{
		address: address, rev: 10, items: make(map[string]item), watchers: make(map[string]int),
		changed: make(chan struct{}), rangeReads: make(chan string, 1),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", s.key)
	mux.HandleFunc("GET /api/kv-range", s.readRange)
	mux.HandleFunc("GET /api/kv-watch", s.watch)
	go func() { _ = http.Serve(listener, mux) }()
	return s, nil
}

// put writes the value and returns the time at which the store acknowledged it.
func (s *store) put(key, value string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	created := s.items[key].Created
	if created == 0 {
		created = s.rev
	}
	i := item{Key: key, Value: []byte(value), Rev: s.rev, Created: created}
	s.items[key] = i
	s.append(i)
	return time.Now()
}

func (s *store) remove(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	delete(s.items, key)
	s.append(item{Key: key, Rev: s.rev, Removed: true})
	return time.Now()
}

// awaitRangeRead waits for the next range read by the machine.
func (s *store) awaitRangeRead(ip string, timeout time.Duration) bool {
	select {
	case <-s.rangeReads:
	default:
	}
	for end := time.After(timeout); ; {
		select {
		case reader := <-s.rangeReads:
			if reader == ip {
				return true
			}
		case <-end:
			return false
		}
	}
}

func (s *store) append(i item) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// readers returns the machines that have a pending watch.
func (s *store) readers() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []string
	for ip, n := range s.watchers {
		if n > 0 {
			list = append(list, ip)
		}
	}
	sort.Strings(list)
	return list
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]string{"error": "no such key"})
		return
	}
	reply(w, http.StatusOK, i)
}

func (s *store) readRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			items = append(items, i)
		}
	}
	rev := s.rev
	s.mu.Unlock()
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": false, "currentRev": rev})
	ip, _, _ := net.SplitHostPort(r.RemoteAddr)
	select {
	case s.rangeReads <- ip:
	default:
	}
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.NewTimer(time.Duration(min(wait, 30_000)) * time.Millisecond)
	defer end.Stop()
	ip, _, _ := net.SplitHostPort(r.RemoteAddr)
	s.mu.Lock()
	s.watchers[ip]++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.watchers[ip]--
		s.mu.Unlock()
	}()
	for {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Rev > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "currentRev": rev})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			reply(w, http.StatusOK, map[string]any{"events": events, "currentRev": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}
