// Package upstream calls the upstream on the host of the daemon over HTTP/1.1.
//
// Each call uses one connection and is written at most once. The package reads and writes messages with net/http and
// holds its own connection pool: http.Transport repeats calls that it takes for idempotent when a kept-alive connection
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
	// defaultConnections is used when the register doesn't say how many connections the upstream accepts.
	defaultConnections = 100

	defaultHealthPath     = "/health"
	defaultHealthInterval = time.Second

	// maxReplyHeader bounds the memory for the header of an answer.
	maxReplyHeader = 256 << 10
	// bufferSize is half a chunk between daemons, so that small calls need one read and one write.
	bufferSize = 16 << 10
)

// Options configures a transport.
type Options struct {
	// Address is the address of the upstream, as IP:port.
	Address string
	// Connections is the number of connections that the upstream accepts; 0 means 100.
	Connections int
	Timers      cicadacross.Timers
	// Quarantine is told of crashes; it may be nil.
	Quarantine cicadacross.Quarantine
	// HealthPath is the path of the health endpoint; "" means "/health".
	HealthPath string
	// HealthInterval is the time between two probes; 0 means 1 s.
	HealthInterval time.Duration
	// Dialect tells which answer belongs to a call; nil means that each answer belongs to the call before it, and that
	// the upstream frames all its answers and is probed.
	Dialect cicadacross.Dialect
	// Logger takes changes of state. The zero value discards them.
	Logger logr.Logger
}

// State is what is known about the upstream. The zero value means that nothing speaks against it.
type State struct {
	// Draining reports that the upstream asked for no new work.
	Draining bool
	// Unhealthy reports that the health endpoint failed. It only lowers preference.
	Unhealthy bool
	// Down reports that the upstream refuses connections.
	Down bool
}

// Upstream is the transport to one upstream. It is safe for concurrent use.
type Upstream struct {
	opts  Options
	pool  pool
	crash crashDetector

	drainingByReply  atomic.Bool
	drainingByHealth atomic.Bool
	unhealthy        atomic.Bool

	cancel  context.CancelFunc
	stopped sync.WaitGroup
}

// New returns a transport. Start begins the health probes.
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
	u := &Upstream{opts: opts}
	u.pool.limit = opts.Connections
	u.crash.upstream = u
	return u
}

// State returns what is known about the upstream.
func (u *Upstream) State() State {
	return State{
		Draining:  u.drainingByReply.Load() || u.drainingByHealth.Load(),
		Unhealthy: u.unhealthy.Load(),
		Down:      u.crash.isDown(),
	}
}

// Resize changes the number of connections; connections in use stay.
func (u *Upstream) Resize(connections int) {
	if connections > 0 {
		u.pool.resize(connections)
	}
}

// Start begins the health probes, which end with Close.
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

// observeReply reads the signals that the upstream puts into its answers.
func (u *Upstream) observeReply(header http.Header) {
	if header.Get(cicadacross.HeaderDraining) == "true" && !u.drainingByReply.Swap(true) {
		u.opts.Logger.Info("upstream drains", "signal", "reply header", "upstream", u.opts.Address)
	}
}

// restarted forgets what the previous process of the upstream said.
func (u *Upstream) restarted() {
	u.drainingByReply.Store(false)
	u.drainingByHealth.Store(false)
	u.opts.Logger.Info("upstream accepts connections again", "upstream", u.opts.Address)
}
