// Package upstream implements a fake upstream for tests, measurements and the demo. It counts executions and can be
// configured to drain, to be slow, to crash, to become unresponsive and to send invalid responses.
package upstream

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"cicadacross"
)

// Options configures a Server.
type Options struct {
	Behavior Behavior
	Timers   cicadacross.Timers
	// Crash is called to simulate a crash, for example to exit the process; nil means that the server closes its listener
	// and all connections.
	Crash func()
}

// Server is a fake upstream. It is safe for concurrent use.
//
// The control API has GET /executions, POST /control/behavior with a Behavior as JSON, and POST /control/reset.
// On a request with the header X-Standin-Call, the server calls the URL in its value, http://ADDRESS/PATH, with the
// service in X-Standin-Service as host and the X-Mesh headers of the request, and forwards the response.
type Server struct {
	opts     Options
	behavior atomic.Pointer[Behavior]
	counts   executionCounter
	http     *http.Server
	client   *http.Client
	listener net.Listener

	mu           sync.Mutex
	conns        map[net.Conn]bool // open connections; true for those that get no responses
	waitingCount int               // requests that wait for a slot
	runningCount int               // requests that hold a slot
	slotFreed    chan struct{}     // closed and replaced each time a slot is released
}

// New returns a server that is not started.
func New(opts Options) *Server {
	s := &Server{
		opts: opts, conns: make(map[net.Conn]bool), slotFreed: make(chan struct{}),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}},
	}
	s.counts.reset()
	s.SetBehavior(opts.Behavior)
	s.http = &http.Server{Handler: http.HandlerFunc(s.handle), ConnState: s.connState, ConnContext: withConn}
	return s
}

type connKey struct{}

func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// SetBehavior replaces the behavior. If b.Unresponsive is set, the connections that are open get no more responses.
func (s *Server) SetBehavior(b Behavior) {
	s.behavior.Store(&b)
	if b.Unresponsive {
		s.silenceConnections()
	}
}

// silenceConnections suppresses responses on the open connections.
func (s *Server) silenceConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		s.conns[conn] = true
	}
}

func (s *Server) isSilenced(conn net.Conn) bool {
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

// InProgress returns the number of requests in progress, including those that wait for a slot.
func (s *Server) InProgress() int { return s.counts.inProgress() }

// Reset sets the counts to zero.
func (s *Server) Reset() { s.counts.reset() }

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Start listens on the address, as IP:port, and serves until Close is called. It returns an error when it can't listen.
func (s *Server) Start(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return wrapError("start", KindListen, err, "listening")
	}
	s.mu.Lock()
	s.listener = listener
	s.mu.Unlock()
	go s.run(listener)
	return nil
}

func (s *Server) run(listener net.Listener) { _ = s.http.Serve(listener) }

// Address returns the address on which the server listens, as IP:port. The server must have been started.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listener.Addr().String()
}

// Close closes the listener and all connections immediately.
func (s *Server) Close() {
	_ = s.http.Close()
	s.client.CloseIdleConnections()
}

// crash simulates a crash. See Options.Crash.
func (s *Server) crash() {
	if s.opts.Crash != nil {
		s.opts.Crash()
		return
	}
	s.Close()
}
