// Package fleet distributes configurations among the daemons.
//
// One goroutine owns the control state. Network calls run in goroutines of their own and send their results to it as
// messages. Traffic reads immutable snapshots through atomic pointers and never waits for the control goroutine.
package fleet

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/grpc"

	"cicadacross"
	"cicadacross/internal/peer"
	"cicadacross/internal/peerpb"
	"cicadacross/internal/platform"
)

const (
	// inboxLength is above the number of messages that one tick's calls can answer with.
	inboxLength = 256
	// idleTimeout closes connections to peers that are no longer partners.
	idleTimeout = 30 * time.Second
	// bufferSize bounds the memory of a connection; the usual message has a few hundred bytes.
	bufferSize = 4 << 10
)

// Fleet is the part of a daemon that follows the published configuration. Its methods are safe for concurrent use.
type Fleet struct {
	peerpb.UnimplementedDistributionServer

	opts   Options
	timers cicadacross.Timers
	log    logr.Logger
	pool   *peer.Pool
	meter  *meter

	ctx     context.Context
	cancel  context.CancelFunc
	inbox   chan message
	tasks   sync.WaitGroup
	started atomic.Bool

	// Published for other goroutines.
	current  atomic.Pointer[cicadacross.Configuration]
	values   atomic.Pointer[valueSet]
	leaving  atomic.Pointer[map[string]bool]
	lastTick atomic.Pointer[time.Time]
	ready    atomic.Bool
	settled  atomic.Bool

	// Owned by the run goroutine.
	members     *memberTable
	partners    partnerSet
	readers     readership
	fetches     fetchState
	refusals    refusalList
	conflict    *Conflict
	history     []AppliedVersion
	mismatch    string
	cold        coldStart
	pause       pauseState
	incarnation uint64
	draining    bool
	selfListed  time.Time // when a reader last saw this host among the leaving hosts; zero when never
	leavingNews []string  // hosts that began to leave or came back, not announced yet
	newsAt      time.Time // when news was last announced
	hostList    platform.HostList
	exchangeAt  time.Time
	followUpAt  time.Time // when to announce the applied version again; zero when done
	budget      *sourceBudget
	calls       int // network calls under way, without the watches of the source
	// suspectsWaiting means that suspects are to be announced, suspectsAt is when they last were.
	suspectsWaiting bool
	suspectsAt      time.Time
}

// message is the result of a network call or a question, handled by the run goroutine.
type message interface{ handle(f *Fleet) }

// task is one network call. It runs in a goroutine of its own and returns its result, or nil.
type task interface {
	perform(ctx context.Context) message
}

// New returns a fleet that isn't started. The error names a bad option.
func New(opts Options) (*Fleet, error) {
	opts = opts.withDefaults()
	if err := opts.check(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	f := &Fleet{
		opts:   opts,
		timers: opts.Timers,
		log:    opts.Log.WithName("fleet"),
		meter:  newMeter(opts.Metrics),
		ctx:    ctx,
		cancel: cancel,
		inbox:  make(chan message, inboxLength),
		budget: newSourceBudget(),
	}
	f.pool = peer.NewPool(opts.FleetKey, append([]grpc.DialOption{
		grpc.WithStatsHandler(f.StatsHandler()),
		grpc.WithIdleTimeout(idleTimeout),
		grpc.WithReadBufferSize(bufferSize),
		grpc.WithWriteBufferSize(bufferSize),
	}, opts.DialOptions...)...)
	now := f.timers.Now()
	f.incarnation = uint64(max(1, now.UnixMilli()))
	f.members = newMemberTable(opts.Host)
	f.fetches = newFetchState()
	f.readers = newReadership(now)
	f.values.Store(&valueSet{})
	f.leaving.Store(&map[string]bool{})
	f.lastTick.Store(&now)
	return f, nil
}

// Register adds the fleet's service to a server, which must be made with peer.NewServer.
func (f *Fleet) Register(r grpc.ServiceRegistrar) { peerpb.RegisterDistributionServer(r, f) }

// Start begins to follow the configuration. It must be called once, after the peer server listens.
func (f *Fleet) Start() {
	f.started.Store(true)
	f.tasks.Add(1)
	go f.run()
}

// Stop ends all work and waits for it. The present configuration stays readable.
func (f *Fleet) Stop() {
	f.cancel()
	f.tasks.Wait()
	f.pool.Close()
}

// run owns the control state until Stop.
func (f *Fleet) run() {
	defer f.tasks.Done()
	ticker := f.timers.Every(tickPeriod)
	defer ticker.Stop()
	f.startCold(f.timers.Now())
	for {
		select {
		case <-f.ctx.Done():
			f.stopReading()
			return
		case m := <-f.inbox:
			f.detectPause(f.timers.Now())
			m.handle(f)
			f.flushNews(f.timers.Now())
		case <-ticker.C():
			f.tick(f.timers.Now())
		}
	}
}

// tick drives everything that happens without a message.
func (f *Fleet) tick(now time.Time) {
	f.detectPause(now)
	f.lastTick.Store(&now)
	f.tickCold(now)
	f.tickPause(now)
	f.tickLeaving(now)
	f.tickSuspects(now)
	f.tickPartners(now)
	f.tickReaders(now)
	f.tickExchange(now)
	f.tickSpread(now)
	f.tickFetch(now)
}

// post sends a message to the run goroutine, or drops it when the fleet has stopped.
func (f *Fleet) post(m message) {
	select {
	case f.inbox <- m:
	case <-f.ctx.Done():
	}
}

// begin starts a task.
func (f *Fleet) begin(t task) {
	f.calls++
	f.tasks.Add(1)
	go taskRun{fleet: f, task: t}.run()
}

type taskRun struct {
	fleet *Fleet
	task  task
}

func (r taskRun) run() {
	defer r.fleet.tasks.Done()
	r.fleet.post(taskEnded{result: r.task.perform(r.fleet.ctx)})
}

// taskEnded carries the result of a task, or nil.
type taskEnded struct{ result message }

func (m taskEnded) handle(f *Fleet) {
	f.calls--
	if m.result != nil {
		m.result.handle(f)
	}
}

// jittered returns d with its jitter.
func jittered(d time.Duration) time.Duration {
	return d + time.Duration((2*rand.Float64()-1)*jitterShare*float64(d))
}
