// Package roster follows the platform's registry, in which the operator publishes the routing and upstreams register
// themselves, and turns it into the configuration in force.
//
// A few daemons of each availability zone watch the registry; all daemons spread what they know among themselves. Each
// daemon holds a replica of the registry's records. The registry's revisions order all changes, so that it doesn't
// matter from whom a record comes.
package roster

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"cicadacross"
	"cicadacross/internal/peer"
	"cicadacross/internal/peerpb"
)

const (
	// pruneInterval is the time between two looks for old tombstones.
	pruneInterval = time.Minute
	// updateQueue holds the updates that arrive while the control goroutine builds a configuration.
	updateQueue = 64
)

// Options configures a Roster. Host, AvailabilityZone, Registry, Format and Timers are required.
type Options struct {
	// Host is the IP address of this host.
	Host             string
	AvailabilityZone string
	// PeerPort and OperatorPort are the ports of the daemons of all hosts.
	PeerPort     uint16
	OperatorPort uint16
	Registry     cicadacross.Registry
	Format       cicadacross.RegistryFormat
	Timers       cicadacross.Timers
	Log          logr.Logger
	Metrics      metrics.Registry
	Pool         *peer.Pool
	// LinkMbps is the speed of this host's link in Mbit/s; 0 means unknown. Daemons with fast links read first.
	LinkMbps   float64
	Quarantine cicadacross.Quarantine
	// Everyone lets every daemon watch the registry; it is the baseline of the measurements.
	Everyone bool
	// OnApply is called by the control goroutine before a configuration comes into force; it may be nil.
	OnApply func(previous, next *cicadacross.Configuration)
}

// Roster is the control part of a daemon whose configuration comes from a registry. It is safe for concurrent use.
type Roster struct {
	peerpb.UnimplementedReplicationServer

	opts    Options
	replica *replica
	view    *view
	updates chan update
	started time.Time
	current atomic.Pointer[cicadacross.Configuration]
	status  atomic.Pointer[progress]
	// completed is a copy of the replica's revision for other goroutines; 0 when nothing is known.
	completed atomic.Uint64
	// routing is a copy of the latest routing record for other goroutines; nil when nothing is known.
	routing  atomic.Pointer[cicadacross.Record]
	draining atomic.Bool
	hub      hub
	election election
	reader   reader

	changes  metrics.Counter
	rejected metrics.Counter

	cancel  context.CancelFunc
	stopped sync.WaitGroup
}

// progress is what other goroutines may know of the control goroutine's state.
type progress struct {
	confirmed time.Time
	appliedAt time.Time
	applied   cicadacross.Version
	refused   string
	refusedAt time.Time
}

// New returns a control part. Start begins to follow the registry.
func New(opts Options) (*Roster, error) {
	if opts.Registry == nil || opts.Format == nil || opts.Timers == nil || opts.Host == "" {
		return nil, newError("new", KindSetup, "host, registry, format and timers are required")
	}
	if opts.Log.GetSink() == nil {
		opts.Log = logr.Discard()
	}
	if opts.Metrics == nil {
		opts.Metrics = metrics.NewRegistry()
	}
	d := &Roster{
		opts: opts, replica: newReplica(), updates: make(chan update, updateQueue), started: opts.Timers.Now(),
		changes:  metrics.GetOrRegisterCounter("registry.records_changed", opts.Metrics),
		rejected: metrics.GetOrRegisterCounter("registry.routing_rejected", opts.Metrics),
	}
	d.view = newView(&d.opts)
	d.status.Store(&progress{})
	d.hub.init(d)
	d.election.init(d)
	d.reader.roster = d
	return d, nil
}

// Start begins to follow the registry and other daemons until Stop.
func (d *Roster) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.stopped.Add(1)
	go d.run(ctx)
	d.startReading(ctx)
	d.startFollowing(ctx)
}

// Stop ends all goroutines and waits for their end.
func (d *Roster) Stop() {
	if d.cancel != nil {
		d.cancel()
		d.stopped.Wait()
	}
}

// Configuration returns the configuration in force, or nil when none is known.
func (d *Roster) Configuration() *cicadacross.Configuration { return d.current.Load() }

// Leaving reports whether the target of the host takes no new work, because it said so or is gone.
func (d *Roster) Leaving(host string) bool {
	c := d.current.Load()
	if c == nil {
		return false
	}
	_, present := c.TargetOn(host)
	return !present || c.Leaving(host)
}

// SetDraining says whether this daemon is about to stop.
func (d *Roster) SetDraining(draining bool) { d.draining.Store(draining) }

// run is the control goroutine: it alone changes the replica and builds configurations.
func (d *Roster) run(ctx context.Context) {
	defer d.stopped.Done()
	prune := d.opts.Timers.Every(pruneInterval)
	defer prune.Stop()
	beat := d.opts.Timers.Every(beatInterval)
	defer beat.Stop()
	for {
		lapse, stop := d.lapseTimer()
		select {
		case <-ctx.Done():
			stop()
			return
		case u := <-d.updates:
			d.take(u)
		case request := <-d.hub.requests:
			request.answer <- d.answer(request)
		case f := <-d.hub.leaving:
			delete(d.hub.followers, f)
		case news := <-d.hub.links:
			d.hub.publishLinks(news)
		case <-beat.C():
			d.hub.publish(nil)
		case <-lapse:
			d.rebuild()
		case now := <-prune.C():
			d.replica.prune(now)
		}
		stop()
	}
}

// lapseTimer fires when a record that lapsed during an outage stops to count.
func (d *Roster) lapseTimer() (<-chan time.Time, func()) {
	now := d.opts.Timers.Now()
	next := d.replica.nextLapse(now)
	if next.IsZero() {
		return nil, func() {}
	}
	t := d.opts.Timers.After(next.Sub(now))
	return t.C(), t.Stop
}

// take merges an update and brings what changed into force.
func (d *Roster) take(u update) {
	now := d.opts.Timers.Now()
	changed := d.replica.merge(now, u)
	s := *d.status.Load()
	s.confirmed = d.replica.confirmed
	d.status.Store(&s)
	for _, c := range changed {
		if c.record.Key == d.opts.Format.RoutingKey() {
			d.routing.Store(&c.record)
			d.takeRouting(now, c.record)
		}
	}
	// After the routing, so that who reads the revision first finds a routing that isn't older.
	d.completed.Store(uint64(d.replica.complete))
	if len(changed) == 0 {
		return
	}
	d.changes.Inc(int64(len(changed)))
	d.rebuild()
	d.hub.publish(changed)
}

func (d *Roster) takeRouting(now time.Time, record cicadacross.Record) {
	if err := d.view.readRouting(record); err != nil {
		d.rejected.Inc(1)
		d.opts.Log.Error(err, "routing is not usable; the one in force stays", "revision", uint64(record.Revision))
		s := *d.status.Load()
		s.refused, s.refusedAt = err.Error(), now
		d.status.Store(&s)
	}
}

// rebuild brings the configuration that the records describe into force.
func (d *Roster) rebuild() {
	now := d.opts.Timers.Now()
	next := d.view.build(now, d.replica)
	if next == nil {
		return
	}
	previous := d.current.Load()
	if d.opts.OnApply != nil {
		d.opts.OnApply(previous, next)
	}
	d.current.Store(next)
	d.election.know(next)
	if previous != nil && previous.Version() == next.Version() {
		return
	}
	s := *d.status.Load()
	s.applied, s.appliedAt = next.Version(), now
	d.status.Store(&s)
	d.opts.Log.Info("routing applied", "version", next.Version().Number(), "targets", len(next.Targets()),
		"registry_age", now.Sub(d.replica.confirmed).String())
}

// send passes an update to the control goroutine.
func (d *Roster) send(ctx context.Context, u update) {
	select {
	case d.updates <- u:
	case <-ctx.Done():
	}
}
