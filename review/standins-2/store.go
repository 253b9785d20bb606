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

// item is one record of the store, or one event of a watch.
type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     uint64 `json:"rev"`
	Created uint64 `json:"created,omitempty"`
	Lease   uint64 `json:"lease"`
	Removed bool   `json:"removed,omitempty"`
}

// store is a stand-in of the platform's metadata store. It serves reads and watches, and loses nothing that it has
// acknowledged.
type store struct {
	address string
	server  *http.Server

	mu      sync.Mutex
	items   map[string]item
	history []item
	rev     uint64
	changed chan struct{}
	// staleBy is how old the answers to reads that allow it are.
	staleBy time.Duration
	// watching counts the pending watches by the IP address of the caller.
	watching map[string]int
	// written holds the time of each revision.
	written map[uint64]time.Time
}

// newStore starts an empty store on loopback.
func newStore(ip string) (*store, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &store{
		address: listener.Addr().String(), items: make(map[string]item), rev: 100, changed: make(chan struct{}),
		written: make(map[uint64]time.Time), watching: make(map[string]int),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", s.serveKey)
	mux.HandleFunc("GET /api/kv-range", s.serveRange)
	mux.HandleFunc("GET /api/kv-watch", s.serveWatch)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// put writes a record and returns the time of the acknowledgement.
func (s *store) put(key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.write(item{Key: key, Value: data})
}

// remove removes a record.
func (s *store) remove(key string) time.Time { return s.write(item{Key: key, Removed: true}) }

func (s *store) write(i item) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	i.Rev = s.rev
	s.written[s.rev] = time.Now()
	s.history = append(s.history, i)
	if i.Removed {
		delete(s.items, i.Key)
	} else {
		i.Created = s.rev
		if old, ok := s.items[i.Key]; ok {
			i.Created = old.Created
		}
		s.items[i.Key] = i
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return time.Now()
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, i)
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	list := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, i)
		}
	}
	rev := s.rev
	if r.URL.Query().Get("allowStale") != "" {
		for rev > 100 && time.Since(s.written[rev]) < s.staleBy {
			rev--
		}
		kept := list[:0]
		for _, i := range list {
			if i.Rev <= rev {
				kept = append(kept, i)
			}
		}
		list = kept
	}
	s.mu.Unlock()
	sort.Slice(list, func(a, b int) bool { return list[a].Key < list[b].Key })
	answer(w, map[string]any{"items": list, "hasMore": false, "currentRev": rev})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err1 := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(query.Get("waitMs"))
	if err1 != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	caller, _, _ := net.SplitHostPort(r.RemoteAddr)
	s.countWatch(caller, 1)
	defer s.countWatch(caller, -1)
	end := time.NewTimer(time.Duration(min(wait, 30_000)) * time.Millisecond)
	defer end.Stop()
	for {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Rev > after && strings.HasPrefix(i.Key, query.Get("prefix")) {
				events = append(events, i)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, map[string]any{"events": events, "currentRev": rev})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			answer(w, map[string]any{"events": events, "currentRev": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) countWatch(caller string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watching[caller] += n
}

// isWatching reports whether a watch of the caller is pending.
func (s *store) isWatching(caller string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watching[caller] > 0
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
