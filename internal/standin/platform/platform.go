// Package platform is a stand-in for the platform's service, with faults that tests switch on.
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

// DefaultWatchWait is the time for which a watch is held when the options give none.
const DefaultWatchWait = 30 * time.Second

// Options configures a server. The zero value is ready for use.
type Options struct {
	// Address is where the server listens, as IP:port; empty means a free port on loopback.
	Address string
	// WatchWait is the longest time for which a watch is held; 0 means DefaultWatchWait.
	WatchWait time.Duration
	// Timers is the timer service; nil means the clock of the machine.
	Timers cicadacross.Timers
}

// Faults are the ways in which the server misbehaves. The zero value is a server without faults.
type Faults struct {
	// Down closes every connection without an answer.
	Down bool `json:"down"`
	// Stale answers from the state kept by Freeze.
	Stale bool `json:"stale"`
	// SlowMilliseconds delays each answer.
	SlowMilliseconds int `json:"slow_ms"`
	// Reorder delays every other answer, which then carries an older value than the answers sent before it.
	Reorder bool `json:"reorder"`
	// Truncate cuts each value in half.
	Truncate bool `json:"truncate"`
}

// Counts are the calls that the server has seen.
type Counts struct {
	// Calls counts each call once, a waiting watch too.
	Calls uint64 `json:"calls"`
	// Watches counts the calls that are watches.
	Watches uint64 `json:"watches"`
	// Waiting counts the watches that are held now.
	Waiting int `json:"waiting"`
}

// Server is a platform service in memory. It is safe for concurrent use.
type Server struct {
	opts     Options
	listener net.Listener
	http     *http.Server
	served   chan struct{}

	mu       sync.Mutex
	values   map[string]cicadacross.Value
	frozen   map[string]cicadacross.Value
	revision cicadacross.Revision
	changed  chan struct{} // closed and replaced on each change of values or faults
	faults   Faults
	counts   Counts
	muted    int // grows with each Mute; a watch that began before never answers
}

// New returns a server that doesn't listen yet.
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
		opts:    opts,
		served:  make(chan struct{}),
		values:  make(map[string]cicadacross.Value),
		changed: make(chan struct{}),
	}
	s.http = &http.Server{Handler: s.routes()}
	return s
}

// Start listens and serves until Stop.
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
	defer close(s.served)
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		_ = s.listener.Close()
	}
}

// Stop closes the listener and all connections.
func (s *Server) Stop() {
	_ = s.http.Close()
	if s.listener != nil {
		<-s.served
	}
}

// Address returns where the server listens, as IP:port. The server must have been started.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Set stores one value under a new revision.
func (s *Server) Set(key string, data []byte) { s.SetAll(map[string][]byte{key: data}) }

// SetAll stores the values in one step, each under the same new revision.
func (s *Server) SetAll(values map[string][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	for key, data := range values {
		s.values[key] = cicadacross.NewValue(data, s.revision)
	}
	s.wake()
}

// Delete removes a value.
func (s *Server) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.values, key)
	s.wake()
}

// Freeze keeps a copy of the present state, which the server answers from while Faults.Stale is set.
func (s *Server) Freeze() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozen = maps.Clone(s.values)
}

// SetFaults replaces the faults. Watches that are held answer or break according to them.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.wake()
}

// Mute lets the watches that are held now never answer, as on connections that have gone silent. New calls work.
func (s *Server) Mute() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.muted++
}

// Counts returns the calls so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// wake lets the held watches look again. The lock is held.
func (s *Server) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// view is what one look at the server's state finds.
type view struct {
	value   cicadacross.Value
	found   bool
	changed <-chan struct{}
	faults  Faults
	place   uint64
	muted   int
}

func (s *Server) look(key string) view {
	s.mu.Lock()
	defer s.mu.Unlock()
	values := s.values
	if s.faults.Stale {
		values = s.frozen
	}
	value, found := values[key]
	return view{value: value, found: found, changed: s.changed, faults: s.faults, place: s.counts.Calls, muted: s.muted}
}

// await holds a watch until the value is newer than after, the wait ends or the caller goes away.
func (s *Server) await(ctx context.Context, key string, after cicadacross.Revision) view {
	s.countWaiting(1)
	defer s.countWaiting(-1)
	end := s.opts.Timers.After(s.opts.WatchWait)
	defer end.Stop()
	began := s.look(key).muted
	for {
		v := s.look(key)
		if v.muted != began {
			<-ctx.Done()
			return v
		}
		if v.faults.Down || v.found && v.value.Revision() > after {
			return v
		}
		select {
		case <-v.changed:
		case <-end.C():
			if v = s.look(key); v.muted == began {
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
