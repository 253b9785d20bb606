// Package platform implements a fake of the platform's service for tests, measurements and the demo, with faults that
// can be injected.
package platform

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"sync"
	"time"

	"cicadacross"
	"cicadacross/internal/timer"
)

// DefaultWatchWait is the default of Options.WatchWait.
const DefaultWatchWait = 30 * time.Second

// Options configures a server. The zero value is ready for use.
type Options struct {
	// Address is where the server listens, as IP:port; empty means a free port on loopback.
	Address string
	// WatchWait is the maximum time after which the server responds to a watch; 0 means DefaultWatchWait.
	WatchWait time.Duration
	// Timers is the timer service; nil means the system clock.
	Timers cicadacross.Timers
}

// Faults selects the faults to inject. The zero value means none.
type Faults struct {
	// Down closes the connection of each call without a response.
	Down bool `json:"down"`
	// Stale responds with the values copied by Freeze.
	Stale bool `json:"stale"`
	// SlowMilliseconds is the delay of each response.
	SlowMilliseconds int `json:"slow_ms"`
	// Reorder delays every other response, which may then have an older value than responses sent before it.
	Reorder bool `json:"reorder"`
	// Truncate closes the connection after half of each value.
	Truncate bool `json:"truncate"`
}

// Counts holds the numbers of calls that the server has received.
type Counts struct {
	// Calls is the number of calls; a waiting watch counts once.
	Calls uint64 `json:"calls"`
	// Watches is the number of calls that are watches.
	Watches uint64 `json:"watches"`
	// Waiting is the number of watches that are waiting at present.
	Waiting int `json:"waiting"`
}

// Server is a fake of the platform's service that holds its values in memory. It is safe for concurrent use.
type Server struct {
	opts      Options
	listener  net.Listener
	http      *http.Server
	serveDone chan struct{}

	mu           sync.Mutex
	values       map[string]cicadacross.Value
	frozenValues map[string]cicadacross.Value
	revision     cicadacross.Revision
	changed      chan struct{} // closed and replaced on each change of values or faults
	faults       Faults
	counts       Counts
	muteCount    int // number of calls of SuppressWatches; a watch that began before the last one gets no response
}

// New returns a server that is not started.
func New(opts Options) *Server {
	if opts.Address == "" {
		opts.Address = "127.0.0.1:0"
	}
	if opts.WatchWait == 0 {
		opts.WatchWait = DefaultWatchWait
	}
	if opts.Timers == nil {
		opts.Timers = timer.System{}
	}
	s := &Server{
		opts:      opts,
		serveDone: make(chan struct{}),
		values:    make(map[string]cicadacross.Value),
		changed:   make(chan struct{}),
	}
	s.http = &http.Server{Handler: s.routes()}
	return s
}

// Start listens and serves until Stop is called. It returns an error when it can't listen.
func (s *Server) Start() error {
	listener, err := net.Listen("tcp", s.opts.Address)
	if err != nil {
		return wrapError("start", KindListen, err, "address %s", s.opts.Address)
	}
	s.listener = listener
	go s.run()
	return nil
}

func (s *Server) run() {
	defer close(s.serveDone)
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		_ = s.listener.Close()
	}
}

// Stop closes the listener and all connections, and waits until the server has stopped.
func (s *Server) Stop() {
	_ = s.http.Close()
	if s.listener != nil {
		<-s.serveDone
	}
}

// Address returns the address on which the server listens, as IP:port. The server must have been started.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Set stores one value under a new revision.
func (s *Server) Set(key string, data []byte) { s.SetAll(map[string][]byte{key: data}) }

// SetAll stores the values atomically under one new revision.
func (s *Server) SetAll(values map[string][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	for key, data := range values {
		s.values[key] = cicadacross.NewValue(data, s.revision)
	}
	s.notifyWatches()
}

// Delete removes a value.
func (s *Server) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.values, key)
	s.notifyWatches()
}

// Freeze copies the current values. While Faults.Stale is set, the server responds with the copies.
func (s *Server) Freeze() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozenValues = maps.Clone(s.values)
}

// SetFaults replaces the faults, which also apply to the watches that are waiting.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.notifyWatches()
}

// SuppressWatches suppresses the responses to the watches that are waiting, as on connections that have become
// unresponsive. New calls are served.
func (s *Server) SuppressWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.muteCount++
}

// Counts returns the numbers of calls since the start.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// notifyWatches makes the waiting watches check the state again. The caller must hold the lock.
func (s *Server) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// snapshot is a consistent view of one value and the server's state.
type snapshot struct {
	value     cicadacross.Value
	found     bool
	changed   <-chan struct{}
	faults    Faults
	callCount uint64 // Counts.Calls when the snapshot was taken
	muteCount int
}

func (s *Server) read(key string) snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	values := s.values
	if s.faults.Stale {
		values = s.frozenValues
	}
	value, found := values[key]
	return snapshot{
		value: value, found: found, changed: s.changed, faults: s.faults, callCount: s.counts.Calls,
		muteCount: s.muteCount,
	}
}

// holdWatch waits until the value is newer than after, the wait ends or the client closes the connection. It returns at
// once with the fault Down. If SuppressWatches is called during the wait, only the client can end it.
func (s *Server) holdWatch(ctx context.Context, key string, after cicadacross.Revision) snapshot {
	s.countWaiting(1)
	defer s.countWaiting(-1)
	timeout := s.opts.Timers.After(s.opts.WatchWait)
	defer timeout.Stop()
	initialMuteCount := s.read(key).muteCount
	for {
		v := s.read(key)
		if v.muteCount != initialMuteCount {
			<-ctx.Done()
			return v
		}
		if v.faults.Down || v.found && v.value.Revision() > after {
			return v
		}
		select {
		case <-v.changed:
		case <-timeout.C():
			if v = s.read(key); v.muteCount == initialMuteCount {
				return v
			}
		case <-ctx.Done():
			return v
		}
	}
}

func (s *Server) countWaiting(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Waiting += n
}

func (s *Server) countCall(watch bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Calls++
	if watch {
		s.counts.Watches++
	}
}
