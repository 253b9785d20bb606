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
	"cicadacross/internal/relay"
	"cicadacross/internal/timer"
	"cicadacross/internal/upstream"
)

// logLevels maps the setting to the level.
var logLevels = map[string]slog.Level{
	"debug": slog.LevelDebug, "info": slog.LevelInfo, "warn": slog.LevelWarn, "error": slog.LevelError,
}

// flushLimit bounds the wait for other daemons to take the last answers; a peer that doesn't read must not hold it up.
const flushLimit = 5 * time.Second

// startSlots is the number of slots before the first configuration says how many the target has.
const startSlots = 1

// Options configures what isn't a setting of the operator.
type Options struct {
	// Log receives the log lines; the zero Logger discards them.
	Log logr.Logger
	// Timers is the timer service; nil means the clock of the machine.
	Timers cicadacross.Timers
	// Metrics takes the daemon's counters and histograms; nil means a registry of its own.
	Metrics metrics.Registry
}

// Daemon is one daemon with all its parts.
type Daemon struct {
	settings   Settings
	log        logr.Logger
	timers     cicadacross.Timers
	metrics    metrics.Registry
	pool       *peer.Pool
	server     *grpc.Server
	control    control
	registered *registered  // nil unless upstreams register themselves
	fleet      *fleet.Fleet // nil when upstreams register themselves
	view       *memberView  // nil when upstreams register themselves
	readiness  *readiness   // nil unless upstreams register themselves
	keys       *idempotency.Store
	suspects   *quarantine.Tracker
	decisions  *operator.DecisionLog
	upstream   *upstream.Upstream
	admission  cicadacross.Admission
	owner      *relay.Owner
	client     *relay.Client
	pause      *relay.PauseDetector
	ingress    *ingress.Server
	operators  *operatorServer
	serving    sync.WaitGroup
}

// New builds a daemon. The error names each bad or missing setting.
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
	d.log = opts.Log.WithValues("host", settings.Host)
	build := d.buildControl
	if settings.Registered() {
		build = d.buildRegistered
	}
	if err := build(); err != nil {
		return nil, err
	}
	if err := d.buildTraffic(); err != nil {
		return nil, err
	}
	if err := d.buildOperators(); err != nil {
		return nil, err
	}
	return d, nil
}

// NewLog returns the log of key=value lines at the level of the settings.
func (s *Settings) NewLog(w io.Writer) logr.Logger {
	return journal.New(journal.Options{Writer: w, Level: logLevels[s.LogLevel]})
}

// buildControl builds the parts that distribute configurations.
func (d *Daemon) buildControl() error {
	sources, err := kernel.Sources.Lookup("http")
	if err != nil {
		return err
	}
	source, err := sources(d.settings.Platform)
	if err != nil {
		return wrapError("build", KindPlugin, err, "source")
	}
	d.suspects = quarantine.New(quarantine.Options{
		Host: d.settings.Host, Timers: d.timers, OnCrash: func() { d.control.AnnounceSuspects() },
	})
	local := d.localAddress()
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
		Log:              d.log,
		Metrics:          d.metrics,
		Quarantine:       d.suspects,
		OnApply:          d.applied,
		DialOptions:      []grpc.DialOption{peer.WithLocalAddress(local)},
	})
	if err != nil {
		return wrapError("build", KindPlugin, err, "fleet")
	}
	d.control = d.fleet
	d.view = newMemberView(d.fleet, d.timers)
	d.pool = peer.NewPool(d.settings.FleetKey, peer.WithLocalAddress(local))
	d.keys = idempotency.New(idempotency.Options{
		Host:    d.settings.Host,
		Timers:  d.timers,
		Claimer: idempotency.NewClient(d.pool),
		Seen:    d.view.Seen,
		Members: d.view.Addresses,
		Settled: d.fleet.Settled,
		Window:  d.settings.RepeatWindow,
	})
	return nil
}

// readerPolicies maps the setting to the policy.
var readerPolicies = map[string]fleet.ReaderPolicy{
	ReadersZone: fleet.ReadersElected,
	ReadersAll:  fleet.ReadersAll,
}

// localAddress returns the address that connections to other daemons come from.
func (d *Daemon) localAddress() netip.Addr {
	return netip.MustParseAddrPort(d.settings.ListenPeer).Addr()
}

// buildTraffic builds the parts that carry requests.
func (d *Daemon) buildTraffic() error {
	if d.settings.Registered() {
		return d.buildRegisteredTraffic()
	}
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
	})
	decisions := newTally(d.decisions, d.metrics)
	d.upstream = upstream.New(upstream.Options{
		Address: d.settings.Upstream, Timers: d.timers, Quarantine: d.suspects,
		HealthPath: d.settings.HealthPath, Logger: d.log.WithName("upstream"),
	})
	d.admission = admissions(cicadacross.AdmissionOptions{
		Slots: startSlots, MaxQueue: d.settings.MaxQueue, Timers: d.timers,
	})
	d.pause = relay.NewPauseDetector(d.timers)
	d.owner = relay.NewOwner(relay.OwnerOptions{
		Host: d.settings.Host, Configuration: d.fleet.Configuration, Leaving: d.fleet.Leaving,
		Settled: d.fleet.Settled, KeyOwner: idempotency.Owner, Admission: d.admission, Keys: d.keys,
		Quarantine: d.suspects, Upstream: d.upstream, Timers: d.timers, Decisions: decisions, Pause: d.pause,
		Classify: classify,
	})
	d.client = relay.NewClient(relay.ClientOptions{
		Pool: d.pool, Host: d.settings.Host, Local: d.owner, Timers: d.timers,
	})
	d.ingress, err = ingress.New(ingress.Options{
		Host: d.settings.Host, Configuration: d.fleet.Configuration, Leaving: d.fleet.Leaving,
		Suspect: d.view.Suspect, KeyOwner: idempotency.Owner, Quarantine: d.suspects,
		Confine: quarantine.ConfinedTarget, Client: d.client,
		Balancer: balancers(cicadacross.BalancerOptions{
			AvailabilityZone: d.settings.AvailabilityZone, Timers: d.timers,
		}),
		Decisions: decisions, Timers: d.timers, Pause: d.pause, Logger: d.log.WithName("ingress"),
	})
	if err != nil {
		return wrapError("build", KindPlugin, err, "ingress")
	}
	d.server = peer.NewServer(d.settings.FleetKey, grpc.StatsHandler(d.fleet.StatsHandler()))
	d.fleet.Register(d.server)
	peerpb.RegisterRelayServer(d.server, d.owner)
	peerpb.RegisterIdempotencyServer(d.server, idempotency.NewServer(d.keys))
	return nil
}

// decisionLines turns the setting, in which 0 means none, into the option, in which 0 means the default.
func decisionLines(setting int) int {
	if setting == 0 {
		return -1
	}
	return setting
}

// buildOperators builds the endpoint for operators.
func (d *Daemon) buildOperators() error {
	d.registerGauges()
	handler := operator.NewHandler(operator.HandlerOptions{
		Fleet:     d.stateSource(),
		Decisions: d.decisions,
		Metrics:   d.metrics,
	})
	var err error
	d.operators, err = newOperatorServer(handler)
	return err
}

// applied is called by the control goroutine before a configuration comes into force.
func (d *Daemon) applied(previous, next *cicadacross.Configuration) {
	// A version in between may have been in force elsewhere, with owners of keys that this daemon never learned of.
	skipped := previous != nil && next.Version().Number() != previous.Version().Number()+1
	d.keys.Applied(previous, next, skipped)
	target, ok := next.TargetOn(d.settings.Host)
	if !ok {
		d.log.Info("host is not in the register", "version", next.Version().String())
		return
	}
	if target.Upstream() != d.settings.Upstream {
		d.log.Info("upstream of the register differs from the setting, which is used",
			"register", target.Upstream(), "setting", d.settings.Upstream)
	}
	d.resize(target)
}

func (d *Daemon) resize(target cicadacross.Target) {
	d.admission.Resize(target.Slots())
	d.upstream.Resize(target.Connections())
}

// classify explains refusals of the parts to the relay.
func classify(_ relay.Stage, err error) (relay.Classification, bool) {
	if kind, ok := failure.KindOf[idempotency.Kind](err); ok {
		return keyVerdict(kind, err), true
	}
	if kind, ok := failure.KindOf[quarantine.Kind](err); ok {
		if kind == quarantine.KindWaiting {
			return relay.Classification{Kind: relay.RefusalDeadline}, true
		}
		return relay.Classification{Kind: relay.RefusalQuarantined}, true
	}
	if kind, ok := failure.KindOf[admission.Kind](err); ok {
		return admissionVerdict(kind, err), true
	}
	return relay.Classification{}, false
}

func keyVerdict(kind idempotency.Kind, err error) relay.Classification {
	verdict := relay.Classification{Kind: relay.RefusalEarlierUnknown, EarlierUnknown: idempotency.EarlierUnknown(err)}
	switch kind {
	case idempotency.KindMisrouted:
		verdict.Kind = relay.RefusalMisrouted
	case idempotency.KindUnsettled:
		verdict.Kind = relay.RefusalUnsettled
	case idempotency.KindKeyReused:
		verdict.Kind = relay.RefusalKeyReused
	case idempotency.KindStoreFull:
		verdict.Kind = relay.RefusalStoreFull
	case idempotency.KindInvalidKey:
		verdict.Kind = relay.RefusalInvalidKey
	case idempotency.KindEarlierUnknown, idempotency.KindClaim:
	}
	return verdict
}

func admissionVerdict(kind admission.Kind, err error) relay.Classification {
	verdict := relay.Classification{Kind: relay.RefusalShed}
	switch kind {
	case admission.KindDeadline:
		verdict.Kind = relay.RefusalDeadline
	case admission.KindCanceled:
		verdict.Kind = relay.RefusalCanceled
	case admission.KindQueueFull, admission.KindExcess, admission.KindShed:
	}
	var refused *admission.Error
	if errors.As(err, &refused) {
		verdict.RetryAfter = refused.RetryAfter()
	}
	return verdict
}

// Start listens on all addresses and starts all parts. When it fails, nothing is left running.
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
	d.startParts()
	endpoints := []endpoint{
		{name: "peers", serve: d.server.Serve, listener: listeners[0]},
		{name: "callers", serve: d.ingress.Serve, listener: listeners[1]},
		{name: "operators", serve: d.operators.Serve, listener: listeners[2]},
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

// startParts starts the parts that don't listen.
func (d *Daemon) startParts() {
	d.pause.Start()
	d.upstream.Start()
	d.client.Start()
	if d.keys != nil {
		d.keys.Start()
	}
	d.control.Start()
	if d.view != nil {
		d.view.Start()
	}
}

// endpoint is one listening server.
type endpoint struct {
	name     string
	serve    func(net.Listener) error
	listener net.Listener
}

func (e endpoint) run(d *Daemon) {
	defer d.serving.Done()
	if err := e.serve(e.listener); err != nil {
		d.log.Error(err, "server ended", "serves", e.name)
	}
}

// Fleet returns the control part.
func (d *Daemon) Fleet() *fleet.Fleet { return d.fleet }

// InProgress returns the number of requests for the target of this host that the daemon holds, queued ones included.
func (d *Daemon) InProgress() int { return d.owner.InProgress() }

// Shutdown ends the daemon gracefully: it tells the fleet that this host leaves, refuses new requests as not run,
// waits until no request is in progress, and stops. The wait ends early with ctx or after the drain limit.
func (d *Daemon) Shutdown(ctx context.Context) error {
	if limit := d.drainLimit(); limit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, limit)
		defer cancel()
	}
	d.log.Info("daemon is draining", "in_progress", d.owner.InProgress())
	d.control.SetDraining(true)
	if d.readiness != nil {
		d.letCallersGo(ctx)
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

// drainPeers closes the connections of other daemons once they have taken the answers that are still in the buffers,
// which Stop would throw away.
func (d *Daemon) drainPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushLimit)
	defer cancel()
	drain := &serverDrain{server: d.server, done: make(chan struct{})}
	go drain.run()
	select {
	case <-drain.done:
	case <-ctx.Done():
	}
}

// serverDrain is a graceful stop in progress. It ends at the latest when the server is stopped.
type serverDrain struct {
	server *grpc.Server
	done   chan struct{}
}

func (s *serverDrain) run() {
	defer close(s.done)
	s.server.GracefulStop()
}

// Close ends the daemon at once.
func (d *Daemon) Close() {
	d.ingress.Close()
	d.server.Stop()
	d.operators.Close()
	if d.view != nil {
		d.view.Stop()
	}
	if d.readiness != nil {
		d.readiness.Close()
	}
	d.control.Stop()
	if d.keys != nil {
		d.keys.Close()
	}
	d.client.Stop()
	d.upstream.Close()
	d.pause.Stop()
	d.pool.Close()
	d.serving.Wait()
}
