// Package ingress takes the requests of callers over HTTP/1.1, chooses a target for each and passes the answer back.
package ingress

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/proc"
	"github.com/zeromicro/go-zero/core/service"
	"github.com/zeromicro/go-zero/rest"

	"cicadacross"
	"cicadacross/internal/relay"
)

const (
	// maxHeader is the largest request header that is accepted, in bytes.
	maxHeader = 32 << 10
	// hardMaxHeader is where the HTTP server stops reading; it then answers 431 by itself.
	hardMaxHeader = 64 << 10
	// headerLimit bounds the time for a request header, against callers that send it byte by byte.
	headerLimit = 10 * time.Second
	idleLimit   = 2 * time.Minute
	// acceptedLimit is the time after the end of the listener in which a connection that was just accepted is noticed by
	// the HTTP server, which otherwise ends without it.
	acceptedLimit = 100 * time.Millisecond

	// neverForceQuit replaces the 5.5 s after which the library would end a process that is still draining.
	neverForceQuit = 365 * 24 * time.Hour
)

// Options configures the entry point for callers.
type Options struct {
	// Host is the name of this host.
	Host          string
	Configuration func() *cicadacross.Configuration
	// Leaving reports whether a host takes no new work; nil means that only the configuration says so.
	Leaving func(host string) bool
	// Alive reports whether the daemon of a host answers; nil means that all do.
	Alive func(host string) bool
	// Suspect reports whether the daemon of a host failed to answer lately; nil means that none did.
	Suspect func(host string) bool
	// KeyOwner returns the target that owns a key of the service.
	KeyOwner   func(service *cicadacross.Service, key string) (cicadacross.Target, bool)
	Balancer   cicadacross.Balancer
	Quarantine cicadacross.Quarantine
	// Confine returns the one target of the service that takes a suspect request; nil means that any target does.
	Confine   func(service *cicadacross.Service, fingerprint uint64) (cicadacross.Target, bool)
	Client    *relay.Client
	Decisions cicadacross.DecisionRecorder
	Timers    cicadacross.Timers
	// Pause detects that the process was stopped; it may be nil.
	Pause *relay.PauseDetector
	// Dialect is how callers mark their requests; nil means the product's own headers.
	Dialect cicadacross.Dialect
	// Service is the service of this host, which a dialect names to upstreams.
	Service string
	// Placer chooses targets in place of Balancer; it may be nil.
	Placer cicadacross.Placer
	// Budget bounds the retries that reach upstreams; nil means a share of this daemon's requests.
	Budget RetryBudget
	// Connections counts the connections of callers that were accepted; it may be nil.
	Connections metrics.Counter
	// Latency takes the time from the head of each request to the end of its answer; it may be nil.
	Latency metrics.Timer
	// Logger takes events of the server. The zero value discards them.
	Logger logr.Logger
}

// Server is the entry point for callers. It is safe for concurrent use.
type Server struct {
	opts     Options
	http     *http.Server
	budget   RetryBudget
	evidence evidence
	draining atomic.Bool
	listener atomic.Pointer[wireListener]
	// closing says that connections are closed after their next answer.
	closing  atomic.Bool
	patience patience
	splits   splits
	// acceptance says how many owners are worth asking.
	acceptance acceptance
}

// New returns a server. Serve accepts callers.
func New(opts Options) (*Server, error) {
	if opts.Logger.GetSink() == nil {
		opts.Logger = logr.Discard()
	}
	s := &Server{opts: opts, budget: opts.Budget}
	if s.budget == nil {
		s.budget = newRetryBudget(opts.Timers)
	}
	s.evidence.timers = opts.Timers
	handler, err := newHandler(s)
	if err != nil {
		return nil, err
	}
	s.http = &http.Server{
		Handler:           handler,
		MaxHeaderBytes:    hardMaxHeader,
		ReadHeaderTimeout: headerLimit,
		IdleTimeout:       idleLimit,
		ErrorLog:          errorLog(opts.Logger),
		ConnContext:       withWire,
	}
	return s, nil
}

// newHandler builds the handler chain of go-zero's rest. The listening server around it is our own: rest's server ends
// the process 5.5 s after SIGTERM, whatever is in progress, and offers no way to wait longer.
func newHandler(s *Server) (http.Handler, error) {
	conf := rest.RestConf{
		ServiceConf: service.ServiceConf{
			Name:     "ingress",
			Mode:     service.TestMode, // no load shedding and no periodic reports
			Log:      logx.LogConf{Mode: "console", Level: "severe"},
			Shutdown: proc.ShutdownConf{WaitTime: neverForceQuit},
		},
		// The zero value switches all middlewares off. Shedding, breaking and time limits are the work of the owner
		// of the target, and nothing may buffer or cut a body.
		Middlewares: rest.MiddlewaresConf{},
	}
	server, err := rest.NewServer(conf, rest.WithRouter(&router{handler: s}))
	if err != nil {
		return nil, wrapError("setup", KindSetup, err, "rest server")
	}
	serverless, err := rest.NewServerless(server)
	if err != nil {
		return nil, wrapError("setup", KindSetup, err, "rest handler")
	}
	return http.HandlerFunc(serverless.Serve), nil
}

// router sends every request to one handler, since the routes change with the configuration. It implements
// httpx.Router.
type router struct{ handler http.Handler }

// ServeHTTP passes the request on.
func (r *router) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	r.handler.ServeHTTP(w, request)
}

// Handle ignores the route: rest adds none.
func (r *router) Handle(string, string, http.Handler) error { return nil }

// SetNotFoundHandler has no effect, since every request is taken.
func (r *router) SetNotFoundHandler(http.Handler) {}

// SetNotAllowedHandler has no effect, since every request is taken.
func (r *router) SetNotAllowedHandler(http.Handler) {}

// Serve accepts callers until Shutdown; it then returns nil.
func (s *Server) Serve(listener net.Listener) error {
	accepting := &wireListener{Listener: listener, accepted: s.opts.Connections}
	s.listener.Store(accepting)
	err := s.http.Serve(accepting)
	if errors.Is(err, http.ErrServerClosed) || (s.draining.Load() && errors.Is(err, net.ErrClosed)) {
		return nil
	}
	return err
}

// BeginClosing lets callers go: each answer closes its connection. Requests are still served.
func (s *Server) BeginClosing() { s.closing.Store(true) }

// Drain refuses new requests as not run while those in progress continue.
func (s *Server) Drain() { s.draining.Store(true) }

// Shutdown refuses new requests, closes the listeners and waits until no request is in progress, or until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Drain()
	if listener := s.listener.Load(); listener != nil {
		if err := listener.Close(); err != nil {
			s.opts.Logger.Error(err, "listener not closed")
		}
		t := s.opts.Timers.After(acceptedLimit)
		defer t.Stop()
		select {
		case <-t.C():
		case <-ctx.Done():
		}
	}
	if err := s.http.Shutdown(ctx); err != nil {
		return wrapError("shutdown", KindDrain, err, "requests are still in progress")
	}
	return nil
}

// Close ends all requests at once.
func (s *Server) Close() { _ = s.http.Close() }
