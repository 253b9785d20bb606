// Package upstream is a stand-in for an upstream, for tests, measurements and the demo. It counts executions and can be
// told to drain, to be slow, to crash, to go silent and to answer wrongly.
package upstream

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"cicadacross"
)

// Options configures a stand-in.
type Options struct {
	Behavior Behavior
	Timers   cicadacross.Timers
	// Crash ends the process, or what stands for it in a test; nil means that all connections and the listener close.
	Crash func()
}

// Server is one stand-in. It is safe for concurrent use.
//
// The control interface has GET /executions, POST /control/behavior with a Behavior as JSON, and POST /control/reset.
// A request with the header X-Standin-Call calls the address in its value, as http://ADDRESS/PATH, with the service in
// X-Standin-Service as host and the X-Mesh headers it got, and answers with that answer.
type Server struct {
	opts     Options
	behavior atomic.Pointer[Behavior]
	counts   counter
	http     *http.Server
	client   *http.Client
	listener net.Listener

	mu      sync.Mutex
	conns   map[net.Conn]bool
	waiting int
	running int
	freed   chan struct{}
}

// New returns a stand-in that Serve or Start sets to work.
func New(opts Options) *Server {
	s := &Server{
		opts: opts, conns: make(map[net.Conn]bool), freed: make(chan struct{}),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}},
	}
	s.counts.reset()
	s.SetBehavior(opts.Behavior)
	s.http = &http.Server{Handler: http.HandlerFunc(s.route), ConnState: s.connState, ConnContext: withConn}
	return s
}

type connKey struct{}

func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// SetBehavior replaces the behavior. With Silent, the connections that are open now go silent.
func (s *Server) SetBehavior(b Behavior) {
	s.behavior.Store(&b)
	if b.Silent {
		s.silence()
	}
}

// silence marks the open connections.
func (s *Server) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		s.conns[conn] = true
	}
}

func (s *Server) silent(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns[conn]
}

func (s *Server) connState(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[conn] = false
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, conn)
	}
}

// Executions returns the counts since the start or the last Reset.
func (s *Server) Executions() Executions { return s.counts.snapshot() }

// InProgress returns the number of requests that are running.
func (s *Server) InProgress() int { return s.counts.inProgress() }

// Reset sets the counts to zero.
func (s *Server) Reset() { s.counts.reset() }

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Start listens on the address, as IP:port, and serves until Close.
func (s *Server) Start(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return wrapError("start", KindListen, err, "the address can't be opened")
	}
	s.mu.Lock()
	s.listener = listener
	s.mu.Unlock()
	go s.run(listener)
	return nil
}

func (s *Server) run(listener net.Listener) { _ = s.http.Serve(listener) }

// Address returns the address of Start, as IP:port.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listener.Addr().String()
}

// Close ends the listener and all connections at once.
func (s *Server) Close() {
	_ = s.http.Close()
	s.client.CloseIdleConnections()
}

// crash ends the process or what stands for it.
func (s *Server) crash() {
	if s.opts.Crash != nil {
		s.opts.Crash()
		return
	}
	s.Close()
}
