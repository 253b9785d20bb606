// Package ingress serves callers over HTTP/1.1. It selects a target for each request, forwards the request to the owner
// of the target, which is the daemon on the target's host, and returns the response.
package ingress

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/proc"
	"github.com/zeromicro/go-zero/core/service"
	"github.com/zeromicro/go-zero/rest"

	"cicadacross"
	"cicadacross/internal/admission"
	"cicadacross/internal/drain"
	"cicadacross/internal/quota"
	"cicadacross/internal/relay"
)

const (
	// maxHeaderSize is the size limit of a request header without a dialect, in bytes.
	maxHeaderSize = 32 << 10
	// maxHeaderReadSize is the size at which the HTTP server stops reading a request header and responds with 431
	// itself, in bytes.
	maxHeaderReadSize = 64 << 10
	// readHeaderTimeout protects against callers that send a request header byte by byte.
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	// acceptGracePeriod is the time after closing the listener in which the HTTP server registers a connection that was
	// just accepted. Without the wait, the server would shut down without serving it.
	acceptGracePeriod = 100 * time.Millisecond

	// forceQuitDelay is in effect infinite. It replaces the 5.5 s after which go-zero would end a process that is still
	// draining.
	forceQuitDelay = 365 * 24 * time.Hour
)

// Options configures a Server.
type Options struct {
	// Host is the name of this host.
	Host string
	// Configuration returns the applied configuration, or nil before the first one.
	Configuration func() *cicadacross.Configuration
	// IsLeaving reports whether a host receives no new requests; nil means that only the configuration decides.
	IsLeaving func(host string) bool
	// IsAlive reports whether the daemon of a host is alive; nil means that all are.
	IsAlive func(host string) bool
	// IsHostSuspect reports whether the daemon of a host recently failed to answer; nil means that none did.
	IsHostSuspect func(host string) bool
	// KeyOwner returns the target that owns an idempotency key of the service, or false when there is none.
	KeyOwner   func(service *cicadacross.Service, key string) (cicadacross.Target, bool)
	Balancer   cicadacross.Balancer
	Quarantine cicadacross.Quarantine
	// ConfinedTarget returns the only target of the service that may run a suspect request; nil means that any target may.
	ConfinedTarget func(service *cicadacross.Service, fingerprint uint64) (cicadacross.Target, bool)
	Client         *relay.Client
	Decisions      cicadacross.DecisionRecorder
	Timers         cicadacross.Timers
	// PauseDetector detects that the process was paused; it may be nil.
	PauseDetector *relay.PauseDetector
	// Dialect implements the header conventions of callers; nil means the X-Mesh headers of cicadacross.
	Dialect cicadacross.Dialect
	// Service is the service of the target on this host, which a dialect reports to upstreams.
	Service string
	// Placer selects targets instead of Balancer; it may be nil.
	Placer cicadacross.Placer
	// RepeatedShare returns the share of the requests in progress at the upstream of this host that it runs once more; nil
	// means none.
	RepeatedShare func() float64
	// RetryBudget limits the retries that reach upstreams; nil means a share of this daemon's requests.
	RetryBudget RetryBudget
	// AcceptedConnections counts the accepted connections of callers; it may be nil.
	AcceptedConnections metrics.Counter
	// Latency measures the time from the header of each request to the end of its response; it may be nil.
	Latency metrics.Timer
	// Lag returns by how much the process lags behind for lack of CPU time; nil means never.
	Lag func() time.Duration
	// DrainLimit limits the time of requests once the daemon stops; nil means no limit.
	DrainLimit *drain.Limit
	// CallGuard records which calls of the upstream on this host found no room; it may be nil.
	CallGuard *admission.CallGuard
	// Quota limits the memory that is used for callers; nil means no limit.
	Quota *quota.Account
	// StallTimeout is the time within which callers must send or read further bytes of a request or response in
	// progress; 0 means no limit.
	StallTimeout time.Duration
	// MaxConnections limits the connections of callers; 0 means no limit.
	MaxConnections int
	// Metrics holds the counters of the limits on callers; it may be nil.
	Metrics metrics.Registry
	// Logger logs events of the server. The zero value discards them.
	Logger logr.Logger
}

// Server serves the requests of callers. It is safe for concurrent use.
type Server struct {
	opts        Options
	http        *http.Server
	budget      RetryBudget
	unavailable unavailableHosts
	draining    atomic.Bool
	// inProgress is the number of requests that have no complete response yet.
	inProgress atomic.Int64
	listener   atomic.Pointer[recordingListener]
	// closeAfterResponse is set when each connection is closed after its next response.
	closeAfterResponse atomic.Bool
	callerTimeouts     longestTimeouts
	backendSplitter    weightedSplitter
	// overload refuses requests that the process lacks the CPU time to forward.
	overload lagGuard
	// rooms refuses requests for services that have no room.
	rooms roomGuards
	// refusedForCPU and refusedForRoom count the requests that overload and rooms refused.
	refusedForCPU, refusedForRoom metrics.Counter
	// upstreamCalls classifies routes as called by upstreams or by callers.
	upstreamCalls upstreamCalls
	// transferSizes holds the mean size of the transfers of each route.
	transferSizes transferSizes
	// serviceTimes holds the times from passing a request on to the end of its response.
	serviceTimes drain.ServiceTimes
	connections  connectionTable
	events       limitEvents
	// acceptance determines how many owners are asked for a slot in time.
	acceptance acceptanceRates
	// previewing is held by PreviewRouting, so that operators don't use more than one CPU.
	previewing sync.Mutex
}

// New returns a server that doesn't serve callers until Serve is called.
func New(opts Options) (*Server, error) {
	if opts.Logger.GetSink() == nil {
		opts.Logger = logr.Discard()
	}
	s := &Server{opts: opts, budget: opts.RetryBudget}
	if s.budget == nil {
		s.budget = newLocalRetryBudget(opts.Timers)
	}
	s.unavailable.timers = opts.Timers
	if s.opts.Metrics == nil {
		s.opts.Metrics = metrics.NewRegistry()
	}
	s.refusedForCPU = metrics.GetOrRegisterCounter("requests.refused_for_cpu", s.opts.Metrics)
	s.refusedForRoom = metrics.GetOrRegisterCounter("requests.refused_for_room", s.opts.Metrics)
	s.events = newLimitEvents(&opts)
	s.connections.limit, s.connections.closed = opts.MaxConnections, s.events.connectionClosed
	handler, err := newHandler(s)
	if err != nil {
		return nil, err
	}
	s.http = &http.Server{
		Handler:           handler,
		MaxHeaderBytes:    maxHeaderReadSize,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          newErrorLog(opts.Logger),
		ConnContext:       withConn,
		BaseContext:       func(net.Listener) context.Context { return opts.DrainLimit.Reached() },
	}
	return s, nil
}

// newHandler returns the handler chain of go-zero's rest package. The chain runs in a separate HTTP server, since that
// of rest ends the process 5.5 s after SIGTERM even with requests in progress, and has no option to wait longer.
func newHandler(s *Server) (http.Handler, error) {
	conf := rest.RestConf{
		ServiceConf: service.ServiceConf{
			Name:     "ingress",
			Mode:     service.TestMode, // no load shedding and no periodic reports
			Log:      logx.LogConf{Mode: "console", Level: "severe"},
			Shutdown: proc.ShutdownConf{WaitTime: forceQuitDelay},
		},
		// The zero value disables all middlewares. The owner of the target is responsible for load shedding, circuit
		// breaking and timeouts, and no middleware may buffer or truncate a body.
		Middlewares: rest.MiddlewaresConf{},
	}
	server, err := rest.NewServer(conf, rest.WithRouter(&router{handler: s}))
	if err != nil {
		return nil, wrapError("setup", KindSetup, err, "cannot create rest server")
	}
	serverless, err := rest.NewServerless(server)
	if err != nil {
		return nil, wrapError("setup", KindSetup, err, "cannot create rest handler")
	}
	return http.HandlerFunc(serverless.Serve), nil
}

// router passes all requests to one handler, since the routes change with the configuration. It implements
// httpx.Router.
type router struct{ handler http.Handler }

// ServeHTTP passes the request to the handler.
func (r *router) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	r.handler.ServeHTTP(w, request)
}

// Handle ignores the route, since rest adds none.
func (r *router) Handle(string, string, http.Handler) error { return nil }

// SetNotFoundHandler has no effect, since the handler serves every request.
func (r *router) SetNotFoundHandler(http.Handler) {}

// SetNotAllowedHandler has no effect, since the handler serves every request.
func (r *router) SetNotAllowedHandler(http.Handler) {}

// Serve accepts connections of callers until Shutdown or Close, after which it returns nil.
func (s *Server) Serve(listener net.Listener) error {
	accepting := &recordingListener{
		Listener: listener, accepted: s.opts.AcceptedConnections, quota: s.opts.Quota,
	}
	s.listener.Store(accepting)
	err := s.http.Serve(&limitedListener{recordingListener: accepting, table: &s.connections})
	if errors.Is(err, http.ErrServerClosed) || (s.draining.Load() && errors.Is(err, net.ErrClosed)) {
		return nil
	}
	return err
}

// CloseAfterResponse closes each connection of a caller after its next response. Requests are still served.
func (s *Server) CloseAfterResponse() { s.closeAfterResponse.Store(true) }

// Drain refuses new requests with the outcome not-run; those in progress continue.
func (s *Server) Drain() { s.draining.Store(true) }

// Shutdown refuses new requests, closes the listener and waits until no request is in progress, or until ctx ends. It
// returns an error of KindDrain when requests are still in progress.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Drain()
	if listener := s.listener.Load(); listener != nil {
		if err := listener.Close(); err != nil {
			s.opts.Logger.Error(err, "cannot close listener")
		}
		t := s.opts.Timers.After(acceptGracePeriod)
		defer t.Stop()
		select {
		case <-t.C():
		case <-ctx.Done():
		}
	}
	// The HTTP server also waits for connections that callers opened without a request, and half a second for those whose
	// request was refused before its body was complete.
	if err := s.http.Shutdown(ctx); err != nil && s.inProgress.Load() > 0 {
		return wrapError("shutdown", KindDrain, err, "requests are still in progress")
	}
	return nil
}

// Close ends all requests immediately.
func (s *Server) Close() { _ = s.http.Close() }
