package daemon

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/grpc"

	"cicadacross"
	"cicadacross/internal/admission"
	_ "cicadacross/internal/balance" // registers the balancers
	"cicadacross/internal/drain"
	"cicadacross/internal/failure"
	"cicadacross/internal/fleet"
	"cicadacross/internal/idempotency"
	"cicadacross/internal/ingress"
	"cicadacross/internal/journal"
	"cicadacross/internal/kernel"
	"cicadacross/internal/operator"
	"cicadacross/internal/peer"
	"cicadacross/internal/peerpb"
	"cicadacross/internal/quarantine"
	"cicadacross/internal/quota"
	"cicadacross/internal/relay"
	"cicadacross/internal/timer"
	"cicadacross/internal/upstream"
)

// logLevels maps the values of the setting log-level to levels.
var logLevels = map[string]slog.Level{
	"debug": slog.LevelDebug, "info": slog.LevelInfo, "warn": slog.LevelWarn, "error": slog.LevelError,
}

// peerDrainTimeout is the maximum wait for other daemons to receive the last replies. A peer that doesn't read its
// connection must not delay the shutdown further.
const peerDrainTimeout = 5 * time.Second

// responseFlushTime is the time at the end of a shutdown that is reserved for writing the last responses to callers.
const responseFlushTime = 200 * time.Millisecond

// initialSlots is the number of slots until the first configuration defines that of the target.
const initialSlots = 1

// Options holds the dependencies of a daemon that aren't settings. The zero value is ready for use.
type Options struct {
	// Logger receives the log; the zero Logger discards it.
	Logger logr.Logger
	// Timers is the timer service; nil means the system clock.
	Timers cicadacross.Timers
	// Metrics holds the metrics of the daemon; nil means a new registry.
	Metrics metrics.Registry
}

// Daemon is a daemon with all its components.
type Daemon struct {
	settings        Settings
	log             logr.Logger
	timers          cicadacross.Timers
	metrics         metrics.Registry
	pool            *peer.Pool
	server          *grpc.Server
	controlPlane    controlPlane
	registryControl *registryControl // nil unless upstreams register themselves
	fleet           *fleet.Fleet     // nil when upstreams register themselves
	members         *memberCache     // nil when upstreams register themselves
	readiness       *readiness       // nil unless upstreams register themselves
	keyStore        *idempotency.Store
	quarantine      *quarantine.Tracker
	decisions       *operator.DecisionLog
	upstream        *upstream.Upstream
	admission       cicadacross.Admission
	owner           *relay.Owner
	relayClient     *relay.Client
	pauseDetector   *relay.PauseDetector
	lagMeter        *timer.LagMeter
	drainLimit      *drain.Limit
	quota           *quota.Account // nil unless upstreams register themselves
	ingress         *ingress.Server
	operatorServer  *operatorServer
	serving         sync.WaitGroup
}

// New returns a daemon that is not started. It returns an error that names each invalid or missing setting, or the
// component that can't be built.
func New(settings Settings, opts Options) (*Daemon, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	d := &Daemon{settings: settings, timers: opts.Timers, metrics: opts.Metrics}
	if d.metrics == nil {
		d.metrics = metrics.NewRegistry()
	}
	if d.timers == nil {
		d.timers = timer.System{}
	}
	d.log = opts.Logger.WithValues("host", settings.Host)
	d.drainLimit = drain.NewLimit(d.timers, d.settings.LinkMbps)
	buildControl := d.buildFleetControl
	if settings.UsesRegistry() {
		buildControl = d.buildRegistryControl
	}
	if err := buildControl(); err != nil {
		return nil, err
	}
	if err := d.buildDataPlane(); err != nil {
		return nil, err
	}
	if err := d.buildOperators(); err != nil {
		return nil, err
	}
	return d, nil
}

// NewLog returns a logger that writes lines of key=value pairs to w at the level of the settings.
func (s *Settings) NewLog(w io.Writer) logr.Logger {
	return journal.New(journal.Options{Writer: w, Level: logLevels[s.LogLevel]})
}

// buildFleetControl builds the control plane that reads configurations from the platform and distributes them.
func (d *Daemon) buildFleetControl() error {
	newSource, err := kernel.Sources.Lookup("http")
	if err != nil {
		return err
	}
	source, err := newSource(d.settings.Platform)
	if err != nil {
		return wrapError("build", KindPlugin, err, "source")
	}
	d.quarantine = quarantine.New(quarantine.Options{
		Host: d.settings.Host, Timers: d.timers, OnCrash: func() { d.controlPlane.AnnounceSuspects() },
	})
	localAddress := d.localAddress()
	d.fleet, err = fleet.New(fleet.Options{
		Host:             d.settings.Host,
		AvailabilityZone: d.settings.AvailabilityZone,
		Peer:             d.settings.AdvertisePeer,
		Operator:         d.settings.ListenOperator,
		Seeds:            d.settings.Seeds,
		FleetKey:         d.settings.FleetKey,
		Source:           source,
		Readers:          readerPolicies[d.settings.Readers],
		Timers:           d.timers,
		Logger:           d.log,
		Metrics:          d.metrics,
		Quarantine:       d.quarantine,
		OnApply:          d.onFleetApply,
		DialOptions:      []grpc.DialOption{peer.WithLocalAddress(localAddress)},
	})
	if err != nil {
		return wrapError("build", KindPlugin, err, "fleet")
	}
	d.controlPlane = d.fleet
	d.members = newMemberCache(d.fleet, d.timers)
	d.pool = peer.NewPool(d.settings.FleetKey, peer.WithLocalAddress(localAddress))
	d.keyStore = idempotency.New(idempotency.Options{
		Host:            d.settings.Host,
		Timers:          d.timers,
		Claimer:         idempotency.NewClient(d.pool),
		LastSeenVersion: d.members.LastVersion,
		Members:         d.members.PeerAddresses,
		Settled:         d.fleet.Settled,
		Window:          d.settings.RepeatWindow,
	})
	return nil
}

// readerPolicies maps the values of the setting readers to policies.
var readerPolicies = map[string]fleet.ReaderPolicy{
	ReadersZone: fleet.ReadersElected,
	ReadersAll:  fleet.ReadersAll,
}

// localAddress returns the local IP address of connections to other daemons.
func (d *Daemon) localAddress() netip.Addr {
	return netip.MustParseAddrPort(d.settings.ListenPeer).Addr()
}

// buildDataPlane builds the components that forward requests.
func (d *Daemon) buildDataPlane() error {
	if d.settings.UsesRegistry() {
		return d.buildRegistryDataPlane()
	}
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
	})
	recorder := newOutcomeCounter(d.decisions, d.metrics)
	d.upstream = upstream.New(upstream.Options{
		Address: d.settings.Upstream, Timers: d.timers, Quarantine: d.quarantine,
		HealthPath: d.settings.HealthPath, Logger: d.log.WithName("upstream"),
	})
	d.admission = newAdmission(cicadacross.AdmissionOptions{
		Slots: initialSlots, MaxQueue: d.settings.MaxQueue, Timers: d.timers,
	})
	d.pauseDetector, d.lagMeter = relay.NewPauseDetector(d.timers), timer.NewLagMeter(d.timers)
	d.owner = relay.NewOwner(relay.OwnerOptions{
		Host: d.settings.Host, Configuration: d.fleet.Configuration, IsLeaving: d.fleet.IsLeaving,
		Settled: d.fleet.Settled, KeyOwner: idempotency.Owner, Admission: d.admission, KeyStore: d.keyStore,
		Quarantine: d.quarantine, Upstream: d.upstream, Timers: d.timers, Decisions: recorder, PauseDetector: d.pauseDetector,
		Classify: classify, DrainLimit: d.drainLimit,
	})
	d.relayClient = relay.NewClient(relay.ClientOptions{
		Pool: d.pool, Host: d.settings.Host, Local: d.owner, Timers: d.timers,
	})
	d.ingress, err = ingress.New(ingress.Options{
		Host: d.settings.Host, Configuration: d.fleet.Configuration, IsLeaving: d.fleet.IsLeaving,
		IsHostSuspect: d.members.IsSuspect, KeyOwner: idempotency.Owner, Quarantine: d.quarantine,
		ConfinedTarget: quarantine.ConfinedTarget, Client: d.relayClient,
		Balancer: newBalancer(cicadacross.BalancerOptions{
			AvailabilityZone: d.settings.AvailabilityZone, Timers: d.timers,
		}),
		Decisions: recorder, Timers: d.timers, PauseDetector: d.pauseDetector, Logger: d.log.WithName("ingress"),
		DrainLimit: d.drainLimit,
	})
	if err != nil {
		return wrapError("build", KindPlugin, err, "ingress")
	}
	d.server = peer.NewServer(d.settings.FleetKey, grpc.StatsHandler(d.fleet.StatsHandler()))
	d.fleet.Register(d.server)
	peerpb.RegisterRelayServer(d.server, d.owner)
	peerpb.RegisterIdempotencyServer(d.server, idempotency.NewServer(d.keyStore))
	return nil
}

// decisionLinesPerSecond converts the setting, in which 0 means none, to the option, in which 0 means the default and a
// negative value means none.
func decisionLinesPerSecond(setting int) int {
	if setting == 0 {
		return -1
	}
	return setting
}

// buildOperators builds the operator endpoint and registers its gauges.
func (d *Daemon) buildOperators() error {
	d.registerGauges()
	handler := operator.NewHandler(operator.HandlerOptions{
		StateProvider: d.operatorStateProvider(),
		Decisions:     d.decisions,
		Metrics:       d.metrics,
		Previewer:     d.ingress,
	})
	var err error
	d.operatorServer, err = newOperatorServer(handler)
	return err
}

// onFleetApply is called by the control goroutine before next becomes the current configuration. The previous one is
// nil for the first call.
func (d *Daemon) onFleetApply(previous, next *cicadacross.Configuration) {
	// Other daemons may have applied a version in between, in which keys had owners that are unknown to this daemon.
	skipped := previous != nil && next.Version().Number() != previous.Version().Number()+1
	d.keyStore.Applied(previous, next, skipped)
	target, ok := next.TargetOn(d.settings.Host)
	if !ok {
		d.log.Info("host is not in the register", "version", next.Version().String())
		return
	}
	if target.Upstream() != d.settings.Upstream {
		d.log.Info("upstream in the register differs from the setting; using the setting",
			"register", target.Upstream(), "setting", d.settings.Upstream)
	}
	d.resize(target)
}

func (d *Daemon) resize(target cicadacross.Target) {
	d.admission.Resize(target.Slots())
	d.upstream.Resize(target.Connections())
}

// classify maps the errors of the idempotency store, the quarantine and the admission policy to refusals of the relay.
// It returns false for any other error.
func classify(_ relay.Stage, err error) (relay.Classification, bool) {
	if kind, ok := failure.KindOf[idempotency.Kind](err); ok {
		return classifyKeyError(kind, err), true
	}
	if kind, ok := failure.KindOf[quarantine.Kind](err); ok {
		if kind == quarantine.KindWaiting {
			return relay.Classification{Kind: relay.RefusalDeadline}, true
		}
		return relay.Classification{Kind: relay.RefusalQuarantined}, true
	}
	if kind, ok := failure.KindOf[admission.Kind](err); ok {
		return classifyAdmissionError(kind, err), true
	}
	return relay.Classification{}, false
}

func classifyKeyError(kind idempotency.Kind, err error) relay.Classification {
	classification := relay.Classification{
		Kind: relay.RefusalEarlierUnknown, EarlierUnknown: idempotency.EarlierUnknown(err),
	}
	switch kind {
	case idempotency.KindMisrouted:
		classification.Kind = relay.RefusalMisrouted
	case idempotency.KindUnsettled:
		classification.Kind = relay.RefusalUnsettled
	case idempotency.KindKeyReused:
		classification.Kind = relay.RefusalKeyReused
	case idempotency.KindStoreFull:
		classification.Kind = relay.RefusalStoreFull
	case idempotency.KindInvalidKey:
		classification.Kind = relay.RefusalInvalidKey
	case idempotency.KindEarlierUnknown, idempotency.KindClaim:
	}
	return classification
}

func classifyAdmissionError(kind admission.Kind, err error) relay.Classification {
	classification := relay.Classification{Kind: relay.RefusalShed}
	switch kind {
	case admission.KindDeadline:
		classification.Kind = relay.RefusalDeadline
	case admission.KindCanceled:
		classification.Kind = relay.RefusalCanceled
	case admission.KindQueueFull, admission.KindExcess, admission.KindShed:
	}
	var refused *admission.Error
	if errors.As(err, &refused) {
		classification.RetryAfter = refused.RetryAfter()
	}
	return classification
}

// Start listens on all addresses and starts all components. When it returns an error, no listener is open and no
// component is running.
func (d *Daemon) Start() error {
	listeners := make([]net.Listener, 0, 4)
	addresses := []string{d.settings.ListenPeer, d.settings.ListenCaller, d.settings.ListenOperator}
	if d.readiness != nil {
		addresses = append(addresses, d.settings.ListenReady)
	}
	for _, address := range addresses {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			for _, open := range listeners {
				_ = open.Close()
			}
			return wrapError("start", KindListen, err, "address %q", address)
		}
		listeners = append(listeners, listener)
	}
	d.startComponents()
	endpoints := []endpoint{
		{name: "peers", serve: d.server.Serve, listener: listeners[0]},
		{name: "callers", serve: d.ingress.Serve, listener: listeners[1]},
		{name: "operators", serve: d.operatorServer.Serve, listener: listeners[2]},
	}
	if d.readiness != nil {
		endpoints = append(endpoints, endpoint{name: "readiness", serve: d.readiness.Serve, listener: listeners[3]})
	}
	for _, e := range endpoints {
		d.serving.Add(1)
		go e.run(d)
	}
	d.log.Info("daemon started", "availability_zone", d.settings.AvailabilityZone,
		"callers", d.settings.ListenCaller, "peers", d.settings.ListenPeer, "operators", d.settings.ListenOperator)
	return nil
}

// startComponents starts the components that have no listener.
func (d *Daemon) startComponents() {
	d.pauseDetector.Start()
	d.lagMeter.Start()
	d.upstream.Start()
	d.relayClient.Start()
	if d.keyStore != nil {
		d.keyStore.Start()
	}
	d.controlPlane.Start()
	if d.members != nil {
		d.members.Start()
	}
}

// endpoint is a server with its listener.
type endpoint struct {
	name     string
	serve    func(net.Listener) error
	listener net.Listener
}

func (e endpoint) run(d *Daemon) {
	defer d.serving.Done()
	if err := e.serve(e.listener); err != nil {
		d.log.Error(err, "server stopped unexpectedly", "serves", e.name)
	}
}

// Fleet returns the control plane, or nil when the daemon uses a registry.
func (d *Daemon) Fleet() *fleet.Fleet { return d.fleet }

// InProgress returns the number of requests for the target of this host, including queued requests.
func (d *Daemon) InProgress() int { return d.owner.InProgress() }

// Shutdown stops the daemon gracefully: it announces to the fleet that this host is draining, refuses new requests with
// the outcome not-run, waits until no request is in progress, and closes the daemon. Requests that would still be in
// progress responseFlushTime before ctx or the shutdown timeout ends are refused or broken off, with a response. The
// wait ends early when ctx or the timeout ends; Shutdown then returns an error.
func (d *Daemon) Shutdown(ctx context.Context) error {
	if limit := d.shutdownTimeout(); limit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, limit)
		defer cancel()
	}
	if deadline, ok := ctx.Deadline(); ok {
		d.drainLimit.Begin(deadline.Add(-responseFlushTime))
	}
	d.log.Info("daemon is draining", "in_progress", d.owner.InProgress())
	d.controlPlane.SetDraining(true)
	if d.readiness != nil {
		d.drainCallers(ctx)
	}
	d.ingress.Drain()
	err := d.owner.Drain(ctx)
	if ingressErr := d.ingress.Shutdown(ctx); err == nil {
		err = ingressErr
	}
	d.drainPeers(ctx)
	d.Close()
	d.decisions.Flush()
	d.log.Info("daemon stopped", "drained", err == nil)
	return err
}

// drainPeers closes the connections of other daemons after they have received the replies that are still buffered,
// which Stop would discard. It waits at most for peerDrainTimeout or until ctx ends.
func (d *Daemon) drainPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, peerDrainTimeout)
	defer cancel()
	graceful := &gracefulStop{server: d.server, done: make(chan struct{})}
	go graceful.run()
	select {
	case <-graceful.done:
	case <-ctx.Done():
	}
}

// gracefulStop is a GracefulStop call in progress. It returns at the latest when Stop is called on the server.
type gracefulStop struct {
	server *grpc.Server
	done   chan struct{}
}

func (s *gracefulStop) run() {
	defer close(s.done)
	s.server.GracefulStop()
}

// Close stops the daemon immediately, without waiting for requests in progress.
func (d *Daemon) Close() {
	d.ingress.Close()
	d.server.Stop()
	d.operatorServer.Close()
	if d.members != nil {
		d.members.Stop()
	}
	if d.readiness != nil {
		d.readiness.Close()
	}
	d.controlPlane.Stop()
	if d.keyStore != nil {
		d.keyStore.Close()
	}
	d.relayClient.Stop()
	d.upstream.Close()
	d.pauseDetector.Stop()
	d.lagMeter.Stop()
	d.drainLimit.Close()
	d.pool.Close()
	d.serving.Wait()
}
