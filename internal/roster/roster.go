// Package roster replicates the platform's registry, in which the operator publishes the routing and upstreams register
// themselves, and builds the current configuration from it.
//
// A few daemons of each availability zone watch the registry; all daemons replicate its records among themselves. Each
// daemon holds a replica of all records. The registry's positions order all changes, so that it doesn't matter from
// which daemon a record arrives.
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
	// pruneInterval is the time between two deletions of old tombstones.
	pruneInterval = time.Minute
	// updateQueueSize is the number of updates that can wait while the control goroutine builds a configuration.
	updateQueueSize = 64
)

// Options configures a Roster. Host, AvailabilityZone, Registry, Format and Timers are required.
type Options struct {
	// Host is the IP address of this host.
	Host             string
	AvailabilityZone string
	// PeerPort and OperatorPort are the ports that the daemons of all hosts use.
	PeerPort     uint16
	OperatorPort uint16
	Registry     cicadacross.Registry
	Format       cicadacross.RegistryFormat
	Timers       cicadacross.Timers
	Logger       logr.Logger
	Metrics      metrics.Registry
	Pool         *peer.Pool
	// LinkMbps is the link speed of this host in Mbit/s; 0 means unknown. Daemons with faster links are elected first.
	LinkMbps   float64
	Quarantine cicadacross.Quarantine
	// ZoneRegions maps availability zones to their regions; nil means that no region is known.
	ZoneRegions map[string]string
	// EveryDaemonReads makes every daemon watch the registry; measurements use it as their baseline.
	EveryDaemonReads bool
	// OnApply is called by the control goroutine before next becomes the current configuration. The previous one is nil
	// for the first call. OnApply may be nil.
	OnApply func(previous, next *cicadacross.Configuration)
}

// Roster is the control plane of a daemon whose configuration comes from a registry. It is safe for concurrent use.
type Roster struct {
	peerpb.UnimplementedReplicationServer

	opts    Options
	replica *replica
	builder *builder
	// builtAt is the time of the last rebuild, whose result may have changed by itself since then.
	builtAt time.Time
	updates chan update
	current atomic.Pointer[cicadacross.Configuration]
	state   atomic.Pointer[controlState]
	// replicaPosition is a copy of the replica's position for other goroutines; nil means that nothing is known.
	replicaPosition atomic.Pointer[cicadacross.Position]
	// routingRecord is a copy of the latest routing record for other goroutines; nil means that none is known.
	routingRecord atomic.Pointer[cicadacross.Record]
	draining      atomic.Bool
	publisher     publisher
	election      election
	reader        reader
	suspects      suspectExchange
	// informed reports that this daemon knows the suspects of the daemons that ran before it.
	informed atomic.Bool

	changedRecords   metrics.Counter
	rejectedRoutings metrics.Counter
	// deviationCount is the number of parts of the current routing that are not used as published.
	deviationCount metrics.Gauge
	// failedStreams counts the streams from followed daemons that ended although they were still wanted.
	failedStreams metrics.Counter
	// sentSnapshots counts the frames to followers that hold or name all records.
	sentSnapshots metrics.Counter
	// currentReads counts the reads of the current position, interruptedCalls the calls to the registry that were canceled
	// since they may never be answered.
	currentReads     metrics.Counter
	interruptedCalls metrics.Counter

	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// controlState is the state of the control goroutine that other goroutines may read. See the fields of Status.
type controlState struct {
	confirmedAt  time.Time
	appliedAt    time.Time
	applied      cicadacross.Version
	rejectReason string
	rejectedAt   time.Time
	deviations   []cicadacross.Deviation
}

// New returns a control plane, which is inactive until Start. The error has KindSetup when the host, registry, format
// or timers are missing.
func New(opts Options) (*Roster, error) {
	if opts.Registry == nil || opts.Format == nil || opts.Timers == nil || opts.Host == "" {
		return nil, newError("new", KindSetup, "host, registry, format and timers are required")
	}
	if opts.Logger.GetSink() == nil {
		opts.Logger = logr.Discard()
	}
	if opts.Metrics == nil {
		opts.Metrics = metrics.NewRegistry()
	}
	d := &Roster{
		opts: opts, updates: make(chan update, updateQueueSize),
		changedRecords:   metrics.GetOrRegisterCounter("registry.records_changed", opts.Metrics),
		rejectedRoutings: metrics.GetOrRegisterCounter("registry.routing_rejected", opts.Metrics),
		deviationCount:   metrics.GetOrRegisterGauge("registry.routing_deviations", opts.Metrics),
		failedStreams:    metrics.GetOrRegisterCounter("registry.failed_streams", opts.Metrics),
		currentReads:     metrics.GetOrRegisterCounter("registry.current_reads", opts.Metrics),
		interruptedCalls: metrics.GetOrRegisterCounter("registry.interrupted_calls", opts.Metrics),
		sentSnapshots:    metrics.GetOrRegisterCounter("registry.snapshots_sent", opts.Metrics),
	}
	d.replica, d.builder = newReplica(&d.opts), newBuilder(&d.opts)
	d.state.Store(&controlState{})
	d.publisher.init(d)
	d.election.init(d)
	d.reader.init(d)
	d.suspects.init(d)
	return d, nil
}

// Start starts to replicate records from the registry and other daemons, until Stop.
func (d *Roster) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.goroutines.Add(1)
	go d.run(ctx)
	d.startReader(ctx)
	d.startFollowing(ctx)
	d.startSuspectExchange(ctx)
}

// Stop stops the goroutines of the control plane and waits until they have returned.
func (d *Roster) Stop() {
	if d.cancel != nil {
		d.cancel()
		d.goroutines.Wait()
	}
}

// Configuration returns the current configuration, or nil when none is known.
func (d *Roster) Configuration() *cicadacross.Configuration { return d.current.Load() }

// IsLeaving reports whether the target on the host must receive no new requests, because it registered as draining or
// is not part of the configuration. It returns false while no configuration is known.
func (d *Roster) IsLeaving(host string) bool {
	c := d.current.Load()
	if c == nil {
		return false
	}
	_, present := c.TargetOn(host)
	return !present || c.Leaving(host)
}

// SetDraining records whether this daemon is about to stop.
func (d *Roster) SetDraining(draining bool) { d.draining.Store(draining) }

// run is the control goroutine, the only one that changes the replica and builds configurations.
func (d *Roster) run(ctx context.Context) {
	defer d.goroutines.Done()
	prune := d.opts.Timers.Every(pruneInterval)
	defer prune.Stop()
	heartbeat := d.opts.Timers.Every(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		deadline, stopTimer := d.deadlineTimer()
		select {
		case <-ctx.Done():
			stopTimer()
			return
		case u := <-d.updates:
			d.applyUpdate(u)
		case request := <-d.publisher.followRequests:
			request.reply <- d.addFollower(request)
		case f := <-d.publisher.departures:
			delete(d.publisher.followers, f)
		case links := <-d.publisher.linkUpdates:
			d.publisher.publishLinks(links)
		case <-heartbeat.C():
			d.publisher.publish(nil, false)
		case <-deadline:
			d.endHolds()
			d.rebuild()
		case <-prune.C():
			d.replica.prune(d.opts.Timers.Now())
		}
		stopTimer()
	}
}

// endHolds publishes the records whose removal isn't held any more.
func (d *Roster) endHolds() {
	if changed := d.replica.endHolds(d.opts.Timers.Now()); len(changed) > 0 {
		d.publisher.publish(changed, false)
	}
}

// deadlineTimer returns the channel of a timer that fires when the next grace period or hold of a removed record ends,
// and a function that stops the timer. The channel is nil when there is no such record.
func (d *Roster) deadlineTimer() (<-chan time.Time, func()) {
	now := d.opts.Timers.Now()
	next := d.replica.nextDeadline(d.builtAt)
	if next.IsZero() {
		return nil, func() {}
	}
	t := d.opts.Timers.After(max(0, next.Sub(now)))
	return t.C(), t.Stop
}

// position returns the position up to which the replica is complete, or the zero Position when nothing is known. It is
// safe for concurrent use.
func (d *Roster) position() cicadacross.Position { return loadPosition(&d.replicaPosition) }

func loadPosition(p *atomic.Pointer[cicadacross.Position]) cicadacross.Position {
	if position := p.Load(); position != nil {
		return *position
	}
	return cicadacross.Position{}
}

// applyUpdate merges an update into the replica, rebuilds the configuration if records changed, and publishes them.
func (d *Roster) applyUpdate(u update) {
	now := d.opts.Timers.Now()
	previousEra, previousHistoryStart := d.replica.position.Era(), d.replica.historyStart
	previousRouting := d.replica.record(d.opts.Format.RoutingKey())
	changed := d.replica.merge(now, u)
	s := *d.state.Load()
	s.confirmedAt = d.replica.confirmedAt
	d.state.Store(&s)
	for _, c := range changed {
		if c.record.Key == d.opts.Format.RoutingKey() {
			d.routingRecord.Store(&c.record)
			d.applyRouting(now, c.record)
		}
	}
	// Stored after the routing record, so that a goroutine that reads the position first gets a routing record that
	// isn't older than it.
	position := d.replica.position
	d.replicaPosition.Store(&position)
	if len(changed) > 0 {
		d.changedRecords.Inc(int64(len(changed)))
		d.rebuild()
	}
	switch {
	case position.Era() != previousEra:
		d.publisher.publishEra(previousRouting)
	case len(changed) > 0 || d.replica.historyStart != previousHistoryStart:
		d.publisher.publish(changed, d.replica.historyStart != previousHistoryStart)
	}
}

// applyRouting passes a routing record to the builder. If the builder rejects it, the current routing stays in use and
// the reason is kept for Status.
func (d *Roster) applyRouting(now time.Time, record cicadacross.Record) {
	if err := d.builder.updateRouting(record); err != nil {
		d.rejectedRoutings.Inc(1)
		d.opts.Logger.Error(err, "routing record rejected; keeping the current routing",
			"revision", uint64(record.Position.Revision()))
		s := *d.state.Load()
		s.rejectReason, s.rejectedAt = err.Error(), now
		d.state.Store(&s)
	}
}

// rebuild builds the configuration from the replica and makes it the current one.
func (d *Roster) rebuild() {
	now := d.opts.Timers.Now()
	d.builtAt = now
	next := d.builder.build(now, d.replica)
	if next == nil {
		return
	}
	previous := d.current.Load()
	if d.opts.OnApply != nil {
		d.opts.OnApply(previous, next)
	}
	d.current.Store(next)
	d.election.setHosts(next)
	if previous != nil && previous.Version() == next.Version() {
		return
	}
	s := *d.state.Load()
	s.applied, s.appliedAt = next.Version(), now
	s.deviations = d.builder.routing.Deviations
	d.deviationCount.Update(int64(len(s.deviations)))
	d.state.Store(&s)
	d.opts.Logger.Info("routing applied", "version", next.Version().Number(), "targets", len(next.Targets()),
		"registry_age", now.Sub(d.replica.confirmedAt).String())
}

// enqueue passes an update to the control goroutine. It waits while the queue is full, and drops the update when ctx
// ends.
func (d *Roster) enqueue(ctx context.Context, u update) {
	select {
	case d.updates <- u:
	case <-ctx.Done():
	}
}
