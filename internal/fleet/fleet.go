// Package fleet distributes configurations among the daemons.
//
// One goroutine, the control goroutine, owns the control state. Network calls run in their own goroutines and send
// their results to it as messages. Request handling reads immutable snapshots through atomic pointers and never waits
// for the control goroutine.
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
	// inboxCapacity is larger than the number of messages that the calls begun in one tick can produce.
	inboxCapacity = 256
	// connectionIdleTimeout is the time after which connections to peers that are no longer partners are closed.
	connectionIdleTimeout = 30 * time.Second
	// connectionBufferSize is the size of the read and of the write buffer of a connection, in bytes. It bounds the memory
	// of a connection; a typical message has a few hundred bytes.
	connectionBufferSize = 4 << 10
)

// Fleet distributes published configurations and applies them in this daemon. Its methods are safe for concurrent use.
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

	// Read by other goroutines.
	current  atomic.Pointer[cicadacross.Configuration]
	values   atomic.Pointer[valueSet]
	leaving  atomic.Pointer[map[string]bool]
	lastTick atomic.Pointer[time.Time]
	ready    atomic.Bool
	settled  atomic.Bool

	// Owned by the control goroutine.
	members             *memberTable
	partners            partnerSet
	readers             readerElection
	fetches             fetchState
	refusals            refusalList
	conflict            *Conflict
	history             []AppliedVersion
	settingsMismatch    string
	coldStart           coldStart
	pause               pauseState
	incarnation         uint64
	draining            bool
	selfListedLeavingAt time.Time // when a reader last saw this host listed as leaving; zero if never
	leavingChanges      []string  // hosts that began to leave or returned, not announced yet
	leavingAnnouncedAt  time.Time // when changes of leaving hosts were last announced
	hostList            platform.HostList
	nextExchangeAt      time.Time
	followUpAt          time.Time // when to announce the applied version again; zero if not due
	budget              *sourceBudget
	callsInFlight       int // network calls in progress, without the watches of the source
	// suspectsPending means that the suspects of the quarantine, which are requests, are to be announced;
	// suspectsAnnouncedAt is when they last were.
	suspectsPending     bool
	suspectsAnnouncedAt time.Time
}

// message is the result of a task, a call by a peer, an answer of the source, or a call of a method of Fleet. The
// control goroutine handles it.
type message interface{ handle(f *Fleet) }

// task is one network call. perform runs in its own goroutine and returns the result, or nil when there is nothing to
// handle.
type task interface {
	perform(ctx context.Context) message
}

// New returns a Fleet that isn't started. It returns an error of KindOption for an invalid option.
func New(opts Options) (*Fleet, error) {
	opts = opts.withDefaults()
	if err := opts.check(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	f := &Fleet{
		opts:   opts,
		timers: opts.Timers,
		log:    opts.Logger.WithName("fleet"),
		meter:  newMeter(opts.Metrics),
		ctx:    ctx,
		cancel: cancel,
		inbox:  make(chan message, inboxCapacity),
		budget: newSourceBudget(),
	}
	f.pool = peer.NewPool(opts.FleetKey, append([]grpc.DialOption{
		grpc.WithStatsHandler(f.StatsHandler()),
		grpc.WithIdleTimeout(connectionIdleTimeout),
		grpc.WithReadBufferSize(connectionBufferSize),
		grpc.WithWriteBufferSize(connectionBufferSize),
	}, opts.DialOptions...)...)
	now := f.timers.Now()
	f.incarnation = uint64(max(1, now.UnixMilli()))
	f.members = newMemberTable(opts.Host)
	f.fetches = newFetchState()
	f.readers = newReaderElection(now)
	f.values.Store(&valueSet{})
	f.leaving.Store(&map[string]bool{})
	f.lastTick.Store(&now)
	return f, nil
}

// Register registers the Distribution service on a server, which must be created with peer.NewServer.
func (f *Fleet) Register(r grpc.ServiceRegistrar) { peerpb.RegisterDistributionServer(r, f) }

// Start starts the control goroutine. It must be called once, after the peer server listens.
func (f *Fleet) Start() {
	f.started.Store(true)
	f.tasks.Add(1)
	go f.run()
}

// Stop stops all goroutines and waits for them. The current configuration stays readable.
func (f *Fleet) Stop() {
	f.cancel()
	f.tasks.Wait()
	f.pool.Close()
}

// run is the control goroutine. It owns the control state until Stop.
func (f *Fleet) run() {
	defer f.tasks.Done()
	ticker := f.timers.Every(tickPeriod)
	defer ticker.Stop()
	f.beginColdStart(f.timers.Now())
	for {
		select {
		case <-f.ctx.Done():
			f.stopReading()
			return
		case m := <-f.inbox:
			f.detectPause(f.timers.Now())
			m.handle(f)
			f.flushLeavingChanges(f.timers.Now())
		case <-ticker.C():
			f.tick(f.timers.Now())
		}
	}
}

// tick runs all time-driven work.
func (f *Fleet) tick(now time.Time) {
	f.detectPause(now)
	f.lastTick.Store(&now)
	f.tickColdStart(now)
	f.tickPause(now)
	f.tickLeaving(now)
	f.tickSuspects(now)
	f.tickPartners(now)
	f.tickReaders(now)
	f.tickExchange(now)
	f.tickFollowUp(now)
	f.tickFetch(now)
}

// post sends a message to the control goroutine, waiting while the inbox is full. It drops the message when the fleet
// has stopped.
func (f *Fleet) post(m message) {
	select {
	case f.inbox <- m:
	case <-f.ctx.Done():
	}
}

// startTask performs the task in a goroutine of its own, which posts the result. Only the control goroutine calls it.
func (f *Fleet) startTask(t task) {
	f.callsInFlight++
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

// taskEnded carries the result of a task, which may be nil.
type taskEnded struct{ result message }

func (m taskEnded) handle(f *Fleet) {
	f.callsInFlight--
	if m.result != nil {
		m.result.handle(f)
	}
}

// withJitter returns d changed by a random share of up to jitterShare in either direction.
func withJitter(d time.Duration) time.Duration {
	return d + time.Duration((2*rand.Float64()-1)*jitterShare*float64(d))
}
