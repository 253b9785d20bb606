package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"cicadacross"
	"cicadacross/internal/admission"
	"cicadacross/internal/ingress"
	"cicadacross/internal/kernel"
	"cicadacross/internal/operator"
	"cicadacross/internal/peer"
	"cicadacross/internal/peerpb"
	"cicadacross/internal/quarantine"
	"cicadacross/internal/relay"
	"cicadacross/internal/roster"
	"cicadacross/internal/upstream"
)

const (
	// memoryShare of the limit is where the garbage collector works harder, below what the process may use.
	memoryShare = 0.7
	// callersLeave is how long after SIGTERM callers are still served: the platform asks for readiness once a second,
	// sends no callers after two misses, and what they sent last needs an answer.
	callersLeave = 2500 * time.Millisecond
	// graceMargin is kept from the grace time for the end of the process.
	graceMargin = 400 * time.Millisecond
	// registeredDecisions is the number of decisions kept in memory on hosts with a few hundred MB.
	registeredDecisions = 4096
	// readyHeaderLimit and readyIdleLimit bound the connections of the readiness endpoint.
	readyHeaderLimit = 5 * time.Second
	readyIdleLimit   = time.Minute
)

// registered is the control part when upstreams register themselves, as operators see it.
type registered struct {
	*roster.Roster
	settings *Settings
	timers   cicadacross.Timers
	draining *atomic.Bool
}

// buildRegistered builds the control part that follows a registry.
func (d *Daemon) buildRegistered() error {
	if d.settings.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(memoryShare * d.settings.MemoryLimit * (1 << 20)))
	}
	registries, err := kernel.Registries.Lookup(d.settings.RegistryFormat)
	if err != nil {
		return wrapError("build", KindPlugin, err, "registry")
	}
	registry, err := registries(d.settings.Registry, d.localAddress())
	if err != nil {
		return wrapError("build", KindPlugin, err, "registry")
	}
	formats, err := kernel.Formats.Lookup(d.settings.RegistryFormat)
	if err != nil {
		return wrapError("build", KindPlugin, err, "registry format")
	}
	d.suspects = quarantine.New(quarantine.Options{
		Host: d.settings.Host, Timers: d.timers, OnCrash: func() { d.control.AnnounceSuspects() },
	})
	d.pool = peer.NewPool(d.settings.FleetKey, peer.WithLocalAddress(d.localAddress()))
	control, err := roster.New(roster.Options{
		Host:             d.settings.Host,
		AvailabilityZone: d.settings.AvailabilityZone,
		PeerPort:         netip.MustParseAddrPort(d.settings.ListenPeer).Port(),
		OperatorPort:     netip.MustParseAddrPort(d.settings.ListenOperator).Port(),
		Registry:         registry,
		Format:           formats(),
		Timers:           d.timers,
		Log:              d.log,
		Metrics:          d.metrics,
		Pool:             d.pool,
		Quarantine:       d.suspects,
		LinkMbps:         d.settings.LinkMbps,
		Everyone:         d.settings.Readers == ReadersAll,
		OnApply:          d.appliedRegistered,
	})
	if err != nil {
		return wrapError("build", KindPlugin, err, "roster")
	}
	draining := new(atomic.Bool)
	d.registered = &registered{Roster: control, settings: &d.settings, timers: d.timers, draining: draining}
	d.control = d.registered
	d.readiness = newReadiness(func() bool { return !draining.Load() && control.Configuration() != nil })
	return nil
}

// SetDraining says whether this daemon is about to stop.
func (r *registered) SetDraining(draining bool) { r.draining.Store(draining) }

// appliedRegistered is called by the control goroutine before a configuration comes into force.
func (d *Daemon) appliedRegistered(_, next *cicadacross.Configuration) {
	if target, ok := next.TargetOn(d.settings.Host); ok && target.Service() == d.settings.Service {
		d.resize(target)
	}
}

// buildRegisteredTraffic builds the parts that carry requests in the dialect of the registry.
func (d *Daemon) buildRegisteredTraffic() error {
	dialects, err := kernel.Dialects.Lookup(d.settings.RegistryFormat)
	if err != nil {
		return wrapError("build", KindPlugin, err, "dialect")
	}
	dialect := dialects()
	admissions, err := kernel.Admissions.Lookup(d.settings.Admission)
	if err != nil {
		return err
	}
	balancers, err := kernel.Balancers.Lookup(d.settings.Balancer)
	if err != nil {
		return err
	}
	d.decisions = operator.NewDecisionLog(operator.DecisionLogOptions{
		Timers: d.timers, Log: d.log.WithName("decision"), LinesPerSecond: decisionLines(d.settings.DecisionLines),
		Capacity: registeredDecisions,
	})
	decisions := newTally(d.decisions, d.metrics)
	d.upstream = upstream.New(upstream.Options{
		Address: d.settings.Upstream, Timers: d.timers, Quarantine: d.suspects, Dialect: dialect,
		Logger: d.log.WithName("upstream"),
	})
	d.admission = admissions(cicadacross.AdmissionOptions{
		Slots: startSlots, MaxQueue: d.settings.MaxQueue, Timers: d.timers,
	})
	d.pause = relay.NewPauseDetector(d.timers)
	d.owner = relay.NewOwner(relay.OwnerOptions{
		Host: d.settings.Host, Configuration: d.control.Configuration, Leaving: d.control.Leaving,
		Admission: d.admission, Quarantine: d.suspects, Upstream: d.upstream, Timers: d.timers, Decisions: decisions,
		Pause: d.pause, Classify: classify, Dialect: dialect,
		Bodies: admission.NewLink(admission.LinkOptions{Mbps: d.settings.LinkMbps, Timers: d.timers}),
	})
	d.client = relay.NewClient(relay.ClientOptions{
		Pool: d.pool, Host: d.settings.Host, Local: d.owner, Timers: d.timers,
	})
	balancer := balancers(cicadacross.BalancerOptions{
		AvailabilityZone: d.settings.AvailabilityZone, Timers: d.timers, Host: d.settings.Host, OwnLoad: d.ownLoad,
	})
	placer, _ := balancer.(cicadacross.Placer)
	d.ingress, err = ingress.New(ingress.Options{
		Host: d.settings.Host, Configuration: d.control.Configuration, Leaving: d.control.Leaving,
		Quarantine: d.suspects, Client: d.client, Balancer: balancer, Placer: placer,
		Decisions: decisions, Timers: d.timers, Pause: d.pause, Logger: d.log.WithName("ingress"),
		Dialect: dialect, Service: d.settings.Service,
		Connections: metrics.GetOrRegisterCounter("callers.connections", d.metrics),
		Latency:     metrics.GetOrRegisterTimer("requests.latency_ns", d.metrics),
		Budget: ingress.NewFleetRetryBudget(ingress.FleetRetryBudgetOptions{
			Ratio: d.settings.RetryRatio, Extra: d.settings.RetryExtra, Window: d.settings.RetryWindow,
			Timers: d.timers, Daemons: d.registered.Daemons,
		}),
	})
	if err != nil {
		return wrapError("build", KindPlugin, err, "ingress")
	}
	d.server = peer.NewServer(d.settings.FleetKey)
	d.control.Register(d.server)
	peerpb.RegisterRelayServer(d.server, d.owner)
	return nil
}

// ownLoad returns the load of the upstream on this host.
func (d *Daemon) ownLoad(kind string) cicadacross.Load {
	if estimator, ok := d.admission.(cicadacross.Estimator); ok {
		return estimator.Estimate(kind)
	}
	return d.admission.Load()
}

// drainLimit returns the longest time of a shutdown; 0 means no limit.
func (d *Daemon) drainLimit() time.Duration {
	if d.readiness != nil {
		return max(d.settings.Grace-graceMargin, minGrace/2)
	}
	return d.settings.DrainLimit
}

// letCallersGo tells the platform that the daemon isn't ready and serves until callers have noticed.
func (d *Daemon) letCallersGo(ctx context.Context) {
	d.ingress.BeginClosing()
	t := d.timers.After(min(callersLeave, d.settings.Grace/2))
	defer t.Stop()
	select {
	case <-t.C():
	case <-ctx.Done():
	}
}

// State implements operator.Fleet.
func (r *registered) State() operator.State {
	s := r.Status()
	state := operator.State{
		Host: r.settings.Host, AvailabilityZone: r.settings.AvailabilityZone,
		Version: operator.Version{Version: s.Applied}, Reader: s.Reader, Ready: r.Configuration() != nil,
		Draining: r.draining.Load(),
	}
	if !s.AppliedAt.IsZero() {
		state.AppliedAge = operator.NewAge(max(0, r.timers.Now().Sub(s.AppliedAt)))
	}
	if !s.Confirmed.IsZero() {
		state.SourceAge = operator.NewAge(max(0, r.timers.Now().Sub(s.Confirmed)))
	}
	if s.Refused != "" {
		state.Refused = &operator.Refusal{
			Reason: s.Refused, Age: operator.Age(max(0, r.timers.Now().Sub(s.RefusedAt))),
		}
	}
	return state
}

// Members implements operator.Fleet.
func (r *registered) Members() []operator.Member {
	c := r.Configuration()
	if c == nil {
		return nil
	}
	var members []operator.Member
	for _, t := range c.Targets() {
		members = append(members, operator.Member{
			Host: t.Host(), AvailabilityZone: t.AvailabilityZone(), Peer: t.Peer(), Operator: t.Operator(),
			Registered: true, Leaving: c.Leaving(t.Host()),
		})
	}
	return members
}

// readiness answers the platform's question whether the daemon takes callers.
type readiness struct {
	ready func() bool
	http  *http.Server
}

func newReadiness(ready func() bool) *readiness {
	r := &readiness{ready: ready}
	r.http = &http.Server{Handler: r, ReadHeaderTimeout: readyHeaderLimit, IdleTimeout: readyIdleLimit}
	return r
}

// ServeHTTP answers 200 when the daemon takes callers, else 503. The address serves nothing else.
func (r *readiness) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	status := http.StatusServiceUnavailable
	if r.ready() {
		status = http.StatusOK
	}
	w.WriteHeader(status)
}

// Serve accepts connections until Close; it then returns nil.
func (r *readiness) Serve(listener net.Listener) error {
	err := r.http.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Close ends all connections.
func (r *readiness) Close() { _ = r.http.Close() }

var _ control = (*registered)(nil)
