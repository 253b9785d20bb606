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
	"cicadacross/internal/timer"
	"cicadacross/internal/upstream"
)

const (
	// softMemoryLimitShare is the fraction of the memory limit that becomes the soft limit of the Go runtime, so that the
	// garbage collector runs more often before the process reaches the limit.
	softMemoryLimitShare = 0.7
	// callerDrainTime is how long new requests are accepted after SIGTERM. The platform probes readiness once per second
	// and stops sending callers after two failed probes; requests sent until then still need a response.
	callerDrainTime = 2500 * time.Millisecond
	// shutdownMargin is the part of the grace time that is reserved for the process to exit.
	shutdownMargin = 400 * time.Millisecond
	// registryDecisionCapacity is the number of decisions that are kept. Hosts that use a registry have only a few
	// hundred MB of memory.
	registryDecisionCapacity = 4096
	// readinessHeaderTimeout and readinessIdleTimeout are the time limits of connections to the readiness endpoint for
	// receiving a request header and for being idle.
	readinessHeaderTimeout = 5 * time.Second
	readinessIdleTimeout   = time.Minute
)

// registryControl is the control plane when upstreams register themselves. It implements operator.StateProvider and is
// safe for concurrent use.
type registryControl struct {
	*roster.Roster
	settings *Settings
	timers   cicadacross.Timers
	draining *atomic.Bool
	// warmupRemaining returns the time for which the upstream on this host still warms up.
	warmupRemaining func() time.Duration
}

// buildRegistryControl builds the control plane that reads configurations from a registry.
func (d *Daemon) buildRegistryControl() error {
	if d.settings.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(softMemoryLimitShare * d.settings.MemoryLimit * (1 << 20)))
	}
	newRegistry, err := kernel.Registries.Lookup(d.settings.RegistryFormat)
	if err != nil {
		return wrapError("build", KindPlugin, err, "registry")
	}
	registry, err := newRegistry(d.settings.Registry, d.localAddress())
	if err != nil {
		return wrapError("build", KindPlugin, err, "registry")
	}
	newFormat, err := kernel.Formats.Lookup(d.settings.RegistryFormat)
	if err != nil {
		return wrapError("build", KindPlugin, err, "registry format")
	}
	d.quarantine = quarantine.New(quarantine.Options{
		Host: d.settings.Host, Timers: d.timers, OnCrash: func() { d.controlPlane.AnnounceSuspects() },
	})
	d.pool = peer.NewPool(d.settings.FleetKey, peer.WithLocalAddress(d.localAddress()))
	rosterControl, err := roster.New(roster.Options{
		Host:             d.settings.Host,
		AvailabilityZone: d.settings.AvailabilityZone,
		PeerPort:         netip.MustParseAddrPort(d.settings.ListenPeer).Port(),
		OperatorPort:     netip.MustParseAddrPort(d.settings.ListenOperator).Port(),
		Registry:         registry,
		Format:           newFormat(),
		Timers:           d.timers,
		Logger:           d.log,
		Metrics:          d.metrics,
		Pool:             d.pool,
		Quarantine:       d.quarantine,
		LinkMbps:         d.settings.LinkMbps,
		ZoneRegions:      d.settings.zoneRegions(),
		EveryDaemonReads: d.settings.Readers == ReadersAll,
		OnApply:          d.onRegistryApply,
	})
	if err != nil {
		return wrapError("build", KindPlugin, err, "roster")
	}
	draining := new(atomic.Bool)
	d.registryControl = &registryControl{
		Roster: rosterControl, settings: &d.settings, timers: d.timers, draining: draining,
		warmupRemaining: d.warmupRemaining,
	}
	d.controlPlane = d.registryControl
	d.readiness = newReadiness(func() bool { return !draining.Load() && rosterControl.Configuration() != nil })
	return nil
}

// SetDraining sets whether this daemon is shutting down, which makes its readiness endpoint respond with 503.
func (r *registryControl) SetDraining(draining bool) { r.draining.Store(draining) }

// onRegistryApply is called by the control goroutine before next becomes the current configuration.
func (d *Daemon) onRegistryApply(previous, next *cicadacross.Configuration) {
	d.owner.ObserveTarget(previous, next)
	if target, ok := next.TargetOn(d.settings.Host); ok && target.Service() == d.settings.Service {
		d.resize(target)
		d.configureWarmup(target)
	}
}

// buildRegistryDataPlane builds the components that forward requests in the dialect that belongs to the registry
// format.
func (d *Daemon) buildRegistryDataPlane() error {
	newDialect, err := kernel.Dialects.Lookup(d.settings.RegistryFormat)
	if err != nil {
		return wrapError("build", KindPlugin, err, "dialect")
	}
	dialect := newDialect()
	newAdmission, err := kernel.Admissions.Lookup(d.settings.Admission)
	if err != nil {
		return err
	}
	newBalancer, err := kernel.Balancers.Lookup(d.settings.Balancer)
	if err != nil {
		return err
	}
	d.decisions = operator.NewDecisionLog(operator.DecisionLogOptions{
		Timers: d.timers, Logger: d.log.WithName("decision"),
		LinesPerSecond: decisionLinesPerSecond(d.settings.DecisionLines),
		Capacity:       registryDecisionCapacity,
	})
	recorder := newOutcomeCounter(d.decisions, d.metrics)
	d.admission = newAdmission(cicadacross.AdmissionOptions{
		Slots: initialSlots, MaxQueue: d.settings.MaxQueue, Timers: d.timers,
		WarmupOvershoot: d.settings.WarmupOvershoot, WarmupSlack: d.settings.WarmupSlack,
	})
	d.upstream = upstream.New(upstream.Options{
		Address: d.settings.Upstream, Timers: d.timers, Quarantine: d.quarantine, Dialect: dialect,
		Logger: d.log.WithName("upstream"), OnWarmup: d.onWarmup, LoadObserver: d.loadObserver(),
	})
	d.pauseDetector, d.lagMeter = relay.NewPauseDetector(d.timers), timer.NewLagMeter(d.timers)
	callGuard := admission.NewCallGuard(d.timers)
	metrics.NewRegisteredFunctionalGauge("requests.refused_for_calls", d.metrics, callGuard.RefusedCount)
	d.buildQuota()
	d.owner = relay.NewOwner(relay.OwnerOptions{
		Host: d.settings.Host, Configuration: d.controlPlane.Configuration, IsLeaving: d.controlPlane.IsLeaving,
		AvailabilityZone: d.settings.AvailabilityZone,
		Admission:        d.admission, Quarantine: d.quarantine, Upstream: d.upstream, Timers: d.timers, Decisions: recorder,
		PauseDetector: d.pauseDetector, Classify: classify, Dialect: dialect,
		Bodies: admission.NewLink(admission.LinkOptions{
			Mbps: d.settings.LinkMbps, Timers: d.timers, Lag: d.lagMeter.Lag,
		}),
		DrainLimit: d.drainLimit, CallGuard: callGuard, Quota: d.quota, ArrivingShare: d.settings.BodySlotShare,
		UpstreamDrain: d.settings.UpstreamDrain,
	})
	d.relayClient = relay.NewClient(relay.ClientOptions{
		Pool: d.pool, Host: d.settings.Host, Local: d.owner, Timers: d.timers,
	})
	balancer := newBalancer(cicadacross.BalancerOptions{
		AvailabilityZone: d.settings.AvailabilityZone, Timers: d.timers, Host: d.settings.Host, OwnLoad: d.ownLoad,
		TransferDelay: d.settings.ZoneTransferDelay,
	})
	placer, _ := balancer.(cicadacross.Placer)
	d.registerPlacementGauges(placer)
	d.ingress, err = ingress.New(ingress.Options{
		Host: d.settings.Host, Configuration: d.controlPlane.Configuration, IsLeaving: d.controlPlane.IsLeaving,
		Quarantine: d.quarantine, Client: d.relayClient, Balancer: balancer, Placer: placer,
		Decisions: recorder, Timers: d.timers, PauseDetector: d.pauseDetector, Logger: d.log.WithName("ingress"),
		Dialect: dialect, Service: d.settings.Service, Lag: d.lagMeter.Lag, DrainLimit: d.drainLimit,
		CallGuard: callGuard,
		Quota:     d.quota, StallTimeout: d.settings.StallTimeout, MaxConnections: d.settings.maxConnections(),
		RepeatedShare: d.owner.RepeatedShare,

		Metrics:             d.metrics,
		AcceptedConnections: metrics.GetOrRegisterCounter("callers.connections", d.metrics),
		Latency:             metrics.GetOrRegisterTimer("requests.latency_ns", d.metrics),
		RetryBudget: ingress.NewFleetRetryBudget(ingress.FleetRetryBudgetOptions{
			Ratio: d.settings.RetryRatio, Extra: d.settings.RetryExtra, Window: d.settings.RetryWindow,
			Timers: d.timers, DaemonCount: d.registryControl.DaemonCount,
		}),
	})
	if err != nil {
		return wrapError("build", KindPlugin, err, "ingress")
	}
	d.server = peer.NewServer(d.settings.FleetKey)
	d.controlPlane.Register(d.server)
	peerpb.RegisterRelayServer(d.server, d.owner)
	return nil
}

// ownLoad returns the current load of the upstream on this host. When the admission policy is an Estimator, it includes
// the estimated times for a request of the route.
func (d *Daemon) ownLoad(route string) cicadacross.Load {
	if estimator, ok := d.admission.(cicadacross.Estimator); ok {
		return estimator.Estimate(route)
	}
	return d.admission.Load()
}

// shutdownTimeout returns the time limit of a shutdown; 0 means no limit.
func (d *Daemon) shutdownTimeout() time.Duration {
	if d.readiness != nil {
		return max(d.settings.Grace-shutdownMargin, minGrace/2)
	}
	return d.settings.DrainLimit
}

// drainCallers makes each response to a caller close its connection and waits for callerDrainTime, at most half of the
// grace time, until the platform sends no more callers. New requests are accepted meanwhile. It returns early when ctx
// ends.
func (d *Daemon) drainCallers(ctx context.Context) {
	d.ingress.CloseAfterResponse()
	timer := d.timers.After(min(callerDrainTime, d.settings.Grace/2))
	defer timer.Stop()
	select {
	case <-timer.C():
	case <-ctx.Done():
	}
}

// State returns the state of this daemon. It implements operator.StateProvider.
func (r *registryControl) State() operator.State {
	status := r.Status()
	state := operator.State{
		Host: r.settings.Host, AvailabilityZone: r.settings.AvailabilityZone,
		Version: operator.Version{Version: status.Applied}, Reader: status.IsReader, Ready: r.Configuration() != nil,
		Draining: r.draining.Load(), SourceEra: status.Era,
	}
	if !status.AppliedAt.IsZero() {
		state.AppliedAge = operator.NewAge(max(0, r.timers.Now().Sub(status.AppliedAt)))
	}
	if !status.ConfirmedAt.IsZero() {
		state.SourceAge = operator.NewAge(max(0, r.timers.Now().Sub(status.ConfirmedAt)))
	}
	if status.RejectReason != "" {
		state.Refused = &operator.Refusal{
			Reason: status.RejectReason, Age: operator.Age(max(0, r.timers.Now().Sub(status.RejectedAt))),
		}
	}
	if remaining := r.warmupRemaining(); remaining > 0 {
		state.WarmupRemaining = operator.NewAge(remaining)
	}
	for _, deviation := range status.Deviations {
		state.Deviations = append(state.Deviations, operator.Deviation{Route: deviation.Route, Text: deviation.Text})
	}
	if configuration := r.Configuration(); configuration != nil {
		for _, zone := range configuration.EvacuatedZones() {
			state.EvacuatedZones = append(state.EvacuatedZones, operator.EvacuatedZone{
				AvailabilityZone: zone, Upstreams: configuration.TargetCountIn(zone),
			})
		}
	}
	return state
}

// Members returns the hosts of the current configuration, or nil when there is none. It implements
// operator.StateProvider.
func (r *registryControl) Members() []operator.Member {
	configuration := r.Configuration()
	if configuration == nil {
		return nil
	}
	var members []operator.Member
	for _, t := range configuration.Targets() {
		members = append(members, operator.Member{
			Host: t.Host(), AvailabilityZone: t.AvailabilityZone(), Peer: t.Peer(), Operator: t.Operator(),
			Registered: true, Leaving: configuration.Leaving(t.Host()),
		})
	}
	return members
}

// readiness is the server of the platform's readiness probe.
type readiness struct {
	ready func() bool
	http  *http.Server
}

func newReadiness(ready func() bool) *readiness {
	r := &readiness{ready: ready}
	r.http = &http.Server{Handler: r, ReadHeaderTimeout: readinessHeaderTimeout, IdleTimeout: readinessIdleTimeout}
	return r
}

// ServeHTTP responds with 200 when the daemon accepts callers, otherwise with 503, whatever the path.
func (r *readiness) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	status := http.StatusServiceUnavailable
	if r.ready() {
		status = http.StatusOK
	}
	w.WriteHeader(status)
}

// Serve accepts connections until Close is called; it then returns nil.
func (r *readiness) Serve(listener net.Listener) error {
	err := r.http.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Close closes the listener and all connections immediately.
func (r *readiness) Close() { _ = r.http.Close() }

var _ controlPlane = (*registryControl)(nil)
