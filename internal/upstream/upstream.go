// Package upstream calls the upstream on the host of the daemon over HTTP/1.1.
//
// Each call uses one connection and is written at most once. The package reads and writes messages with net/http but
// has its own connection pool: http.Transport repeats calls that it considers idempotent when a kept-alive connection
// breaks, and passes each call through two more goroutines.
package upstream

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"cicadacross"
)

const (
	// defaultConnections is used when the register doesn't define how many connections the upstream accepts.
	defaultConnections = 100

	defaultHealthPath     = "/health"
	defaultHealthInterval = time.Second

	// maxResponseHeaderSize limits the memory for the header of a response, in bytes.
	maxResponseHeaderSize = 256 << 10
	// bufferSize is about half of a body chunk between daemons, in bytes, so that small calls need one read and one
	// write.
	bufferSize = 16 << 10
)

// Options configures an Upstream.
type Options struct {
	// Address is the address of the upstream, as IP:port.
	Address string
	// Connections is the number of connections that the upstream accepts; 0 means 100.
	Connections int
	Timers      cicadacross.Timers
	// Quarantine is notified of crashes; it may be nil.
	Quarantine cicadacross.Quarantine
	// HealthPath is the path of the health endpoint; "" means "/health".
	HealthPath string
	// HealthInterval is the time between two probes; 0 means 1 s.
	HealthInterval time.Duration
	// Dialect matches responses to calls. Nil means that each response belongs to the call before it, that the upstream
	// frames all its responses, and that its health endpoint is probed.
	Dialect cicadacross.Dialect
	// OnWarmup is called with the end of the upstream's warm-up and the requests per second that it tolerates until then
	// whenever they may have changed, and repeatedly during the warm-up; it may be nil.
	OnWarmup func(end time.Time, rate float64)
	// LoadObserver receives the reports of the upstream's load; it may be nil.
	LoadObserver cicadacross.UpstreamLoadObserver
	// Logger logs changes of state. The zero value discards them.
	Logger logr.Logger
}

// State is the known state of the upstream. The zero value means that no problem is known.
type State struct {
	// Draining reports that the upstream accepts no new requests.
	Draining bool
	// Unhealthy reports that the last health probe failed. Targets with an unhealthy upstream are only chosen less
	// often.
	Unhealthy bool
	// Down reports that the upstream refuses connections.
	Down bool
	// WarmupEnd is the time until which the upstream warms up; the zero time means that it never did.
	WarmupEnd time.Time
}

// Upstream is the HTTP client of one upstream. It is safe for concurrent use.
type Upstream struct {
	opts       Options
	pool       pool
	crash      crashDetector
	rejections rejectionLog

	drainingByResponse atomic.Bool
	drainingByHealth   atomic.Bool
	unhealthy          atomic.Bool

	warmup WarmupTracker
	// warmupMu keeps the calls of Options.OnWarmup in order.
	warmupMu    sync.Mutex
	warmingUp   bool
	probeWanted chan struct{}
	// loadFaults counts the ignored reports of the load.
	loadFaults atomic.Int64

	cancel  context.CancelFunc
	stopped sync.WaitGroup
}

// New returns a client of the upstream. Call Start to begin the health probes.
func New(opts Options) *Upstream {
	if opts.Connections <= 0 {
		opts.Connections = defaultConnections
	}
	if opts.HealthPath == "" {
		opts.HealthPath = defaultHealthPath
	}
	if opts.HealthInterval <= 0 {
		opts.HealthInterval = defaultHealthInterval
	}
	if opts.Logger.GetSink() == nil {
		opts.Logger = logr.Discard()
	}
	u := &Upstream{opts: opts, probeWanted: make(chan struct{}, 1)}
	u.pool.limit = opts.Connections
	u.crash.upstream = u
	return u
}

// State returns the known state of the upstream.
func (u *Upstream) State() State {
	warmupEnd, _ := u.warmup.State()
	return State{
		WarmupEnd: warmupEnd,
		Draining:  u.drainingByResponse.Load() || u.drainingByHealth.Load(),
		Unhealthy: u.unhealthy.Load(),
		Down:      u.crash.isDown(),
	}
}

// Resize changes the maximum number of connections; connections in use stay open. Values below 1 are ignored.
func (u *Upstream) Resize(connections int) {
	if connections > 0 {
		u.pool.resize(connections)
	}
}

// Start begins the periodic health probes, which end with Close. It must be called at most once.
func (u *Upstream) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	u.cancel = cancel
	u.stopped.Add(1)
	go u.run(ctx)
}

// Close ends the health probes and closes all connections.
func (u *Upstream) Close() {
	if u.cancel != nil {
		u.cancel()
		u.stopped.Wait()
	}
	u.pool.close()
}

// CloseIdle closes the idle connections.
func (u *Upstream) CloseIdle() { u.pool.closeWhere(func(*Connection) bool { return true }) }

// observeDrainHeader records that the upstream is draining if a header of its response says so.
func (u *Upstream) observeDrainHeader(header http.Header) {
	if header.Get(cicadacross.HeaderDraining) == "true" && !u.drainingByResponse.Swap(true) {
		u.opts.Logger.Info("upstream is draining", "signal", "reply header", "upstream", u.opts.Address)
	}
}

// handleRestart resets the draining state that the previous process of the upstream reported.
func (u *Upstream) handleRestart() {
	u.drainingByResponse.Store(false)
	u.drainingByHealth.Store(false)
	u.observeRestart()
	u.opts.Logger.Info("upstream accepts connections again", "upstream", u.opts.Address)
}
