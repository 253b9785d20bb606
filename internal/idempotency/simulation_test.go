package idempotency_test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing/synctest"
	"time"

	"github.com/google/uuid"

	"cicadacross"
	"cicadacross/internal/idempotency"
	"cicadacross/internal/timer"
)

const (
	service        = "vault"
	requestTimeout = 30 * time.Second
)

var (
	hosts   = []string{"a", "b", "c", "d"}
	errLost = errors.New("message lost")
)

// simulation is a fleet of stores on a network that the test controls. It runs inside a synctest bubble.
type simulation struct {
	fail        func(format string, args ...any)
	timers      *timer.Manual
	configs     []*cicadacross.Configuration
	publishedAt []time.Time // when each configuration was published
	daemons     map[string]*daemon
	linkDown    map[string]bool // by pair of hosts
	messages    []*message
	newMessages chan *message
	forwards    []*forwardedRequest
	attempts    []*attempt
	executions  []*openExecution
	keys        []*key
	cancel      context.CancelFunc
	ctx         context.Context
	stats       map[string]int
	trace       []string
}

type daemon struct {
	sim         *simulation
	host        string
	store       *idempotency.Store
	config      int // index of the applied configuration
	seen        map[string]cicadacross.Version
	paused      bool
	settled     bool
	alive       bool
	incarnation int // number of process starts on the host
}

type key struct {
	text      string
	hasTime   bool // a UUIDv7
	firstSent time.Time
	runCount  int
}

type forwardedRequest struct {
	key     *key
	content uint64
	host    string
	sent    time.Time
}

type attempt struct {
	forward     *forwardedRequest
	daemon      *daemon
	incarnation int
	returned    bool
	execution   cicadacross.KeyExecution
	reply       *cicadacross.StoredResponse
	err         error
}

// openExecution is a permission to run that has not ended.
type openExecution struct {
	*attempt
	deadline time.Time
	started  bool
}

func newSimulation(first int, fail func(string, ...any)) *simulation {
	sim := &simulation{
		timers:      timer.NewManual(time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)),
		daemons:     make(map[string]*daemon),
		linkDown:    make(map[string]bool),
		newMessages: make(chan *message, 1000),
		stats:       make(map[string]int),
	}
	sim.fail = func(format string, args ...any) {
		fail("%s\n%s", fmt.Sprintf(format, args...), strings.Join(sim.trace, "\n"))
	}
	sim.ctx, sim.cancel = context.WithCancel(context.Background())
	sim.publish(first, hosts...)
	for _, h := range hosts {
		sim.daemons[h] = &daemon{sim: sim, host: h}
		sim.start(h, 0)
	}
	sim.waitIdle()
	return sim
}

func (sim *simulation) close() {
	sim.cancel()
	for _, d := range sim.daemons {
		if d.alive {
			d.store.Close()
		}
	}
	synctest.Wait()
}

// logf appends a line to the trace, which is printed when a check fails.
func (sim *simulation) logf(format string, args ...any) {
	sim.trace = append(sim.trace, sim.timers.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// publish adds a configuration. The number is used only for the first one; later numbers are consecutive.
func (sim *simulation) publish(number int, targets ...string) {
	if len(sim.configs) > 0 {
		number = int(sim.configs[len(sim.configs)-1].Version().Number()) + 1
	}
	opts := cicadacross.ConfigurationOptions{Version: cicadacross.NewVersion(uint64(number), "aa")}
	for _, h := range targets {
		opts.Targets = append(opts.Targets, cicadacross.NewTarget(cicadacross.TargetOptions{
			Name: h, Service: service, Host: h, Peer: h,
		}))
	}
	sim.logf("publish %d: %v", number, targets)
	sim.configs = append(sim.configs, cicadacross.NewConfiguration(opts))
	sim.publishedAt = append(sim.publishedAt, sim.timers.Now())
}

// owner returns the owner of the key by the configuration.
func (sim *simulation) owner(config int, k *key) string {
	s, _ := sim.configs[config].Service(service)
	t, _ := idempotency.Owner(s, k.text)
	return t.Host()
}

func (sim *simulation) linked(a, b string) bool {
	return !sim.linkDown[min(a, b)+max(a, b)]
}

func (sim *simulation) setLink(a, b string, up bool) { sim.linkDown[min(a, b)+max(a, b)] = !up }

// ready reports whether a daemon answers at the address, which is the name of its host.
func (sim *simulation) ready(host string) bool {
	d, ok := sim.daemons[host]
	return ok && d.alive && !d.paused
}

// start starts a new daemon process on the host with the configuration.
func (sim *simulation) start(host string, config int) {
	d := sim.daemons[host]
	d.incarnation++
	d.alive, d.paused, d.settled, d.config = true, false, true, config
	d.seen = make(map[string]cicadacross.Version)
	d.store = idempotency.New(idempotency.Options{
		Host:            host,
		Timers:          sim.timers,
		Claimer:         &claimer{daemon: d, incarnation: d.incarnation},
		LastSeenVersion: func(h string) (cicadacross.Version, bool) { v, ok := d.seen[h]; return v, ok },
		Members:         members,
		Settled:         func() bool { return d.settled },
	})
	sim.logf("start %s with %s", host, sim.configs[config].Version())
	d.store.Start()
	d.store.Applied(nil, sim.configs[config], false)
	sim.waitIdle()
}

func members() []idempotency.Member {
	var list []idempotency.Member
	for _, h := range hosts {
		list = append(list, idempotency.Member{Host: h, Peer: h})
	}
	return list
}

// kill ends the process and discards its state.
func (sim *simulation) kill(host string) {
	d := sim.daemons[host]
	d.alive = false
	sim.logf("kill %s", host)
	sim.failCalls(func(m *message) bool { return m.from == d }, errLost)
	d.store.Close()
	sim.waitIdle()
}

func (sim *simulation) apply(host string, config int) {
	d := sim.daemons[host]
	if !d.alive || config <= d.config {
		return
	}
	old := d.config
	d.config = config
	sim.logf("apply %s on %s", sim.configs[config].Version(), host)
	d.store.Applied(sim.configs[old], sim.configs[config], config != old+1)
	sim.waitIdle()
}

// exchange transfers the versions that each daemon has or has observed to the other one, and settles both.
func (sim *simulation) exchange(a, b string) {
	if !sim.ready(a) || !sim.ready(b) || !sim.linked(a, b) {
		return
	}
	sim.logf("exchange %s %s", a, b)
	for _, pair := range [][2]*daemon{{sim.daemons[a], sim.daemons[b]}, {sim.daemons[b], sim.daemons[a]}} {
		pair[0].settled = true
		pair[0].observeVersion(pair[1].host, sim.configs[pair[1].config].Version())
		for h, v := range pair[1].seen {
			pair[0].observeVersion(h, v)
		}
	}
}

func (d *daemon) observeVersion(host string, v cicadacross.Version) {
	if host != d.host && v.Compare(d.seen[host]) > 0 {
		d.seen[host] = v
	}
}

// send sends a request with the key to its owner by the configuration.
func (sim *simulation) send(k *key, content uint64, config int) {
	if k.firstSent.IsZero() {
		k.firstSent = sim.timers.Now()
	}
	sim.forwards = append(sim.forwards, &forwardedRequest{
		key: k, content: content, host: sim.owner(config, k), sent: sim.timers.Now(),
	})
}

// deliverForward delivers a request to its owner. Callers do not retry after the repeat window, except with UUIDv7
// keys, for which the store must work without this rule.
func (sim *simulation) deliverForward(f *forwardedRequest) {
	sim.forwards = slices.DeleteFunc(sim.forwards, func(g *forwardedRequest) bool { return g == f })
	pastWindow := sim.timers.Now().Sub(f.key.firstSent) >= idempotency.DefaultWindow
	if !sim.ready(f.host) || pastWindow && !f.key.hasTime {
		return
	}
	waiting := 0
	for _, a := range sim.attempts {
		if a.daemon.host == f.host && a.forward.key == f.key {
			waiting++
		}
	}
	// Two waiting attempts would race for the key and make the test irreproducible.
	if waiting <= 1 {
		sim.startAttempt(f)
	}
}

func (sim *simulation) startAttempt(f *forwardedRequest) *attempt {
	d := sim.daemons[f.host]
	a := &attempt{forward: f, daemon: d, incarnation: d.incarnation}
	sim.attempts = append(sim.attempts, a)
	sim.logf("begin %s/%d on %s", f.key.text, f.content, f.host)
	go a.begin(d.store)
	sim.waitIdle()
	return a
}

func (a *attempt) begin(store *idempotency.Store) {
	a.execution, a.reply, a.err = store.Begin(a.daemon.sim.ctx, cicadacross.KeyedRequest{
		Service: service, Key: a.forward.key.text, Fingerprint: a.forward.content,
	})
	a.returned = true
}

// waitIdle waits until all goroutines are blocked, and then collects new messages and finished attempts.
func (sim *simulation) waitIdle() {
	synctest.Wait()
	var arrived []*message
	for len(sim.newMessages) > 0 {
		arrived = append(arrived, <-sim.newMessages)
	}
	slices.SortFunc(arrived, func(a, b *message) int { return cmp.Compare(a.sortKey(), b.sortKey()) })
	sim.messages = append(sim.messages, arrived...)
	sim.messages = slices.DeleteFunc(sim.messages, func(m *message) bool { return m.returned && m.replyReady })
	// Of the requests whose sender gave up, only those among the last eight messages may still be delivered.
	fromNewest := 0
	for i := len(sim.messages) - 1; i >= 0; i-- {
		if fromNewest++; sim.messages[i].returned && fromNewest > 8 {
			sim.messages = slices.Delete(sim.messages, i, i+1)
		}
	}
	rest := sim.attempts[:0]
	for _, a := range sim.attempts {
		switch {
		case !a.returned:
			rest = append(rest, a)
		case a.incarnation == a.daemon.incarnation && a.daemon.alive:
			sim.checkResult(a)
		}
	}
	sim.attempts = rest
}

// checkResult checks the result of an attempt.
func (sim *simulation) checkResult(a *attempt) {
	k := a.forward.key
	sim.logf("  %s on %s: run %v reply %v error %v", k.text, a.daemon.host, a.execution != nil, a.reply != nil, a.err)
	switch {
	case a.execution != nil:
		sim.stats["permitted"]++
		sim.executions = append(sim.executions, &openExecution{
			attempt: a, deadline: a.forward.sent.Add(requestTimeout),
		})
	case a.reply != nil:
		sim.stats["replayed"]++
		if want := fmt.Sprint(k.text, a.forward.content); k.runCount != 1 || string(a.reply.Body) != want {
			sim.fail("key %s: replayed %q, want %q", k.text, a.reply.Body, want)
		}
	default:
		kind, _ := kindOf(a.err)
		sim.stats[string(kind)]++
		if strings.Contains(a.err.Error(), "host") && kind == idempotency.KindEarlierUnknown {
			sim.stats["refused by an earlier owner"]++
		}
		if !idempotency.EarlierUnknown(a.err) && kind != idempotency.KindKeyReused && k.runCount > 0 {
			sim.fail("key %s ran, but a later attempt was refused as if none had run: %v", k.text, a.err)
		}
	}
}

// execute calls the upstream, unless the owner's final check of the deadline forbids it.
func (sim *simulation) execute(p *openExecution) {
	if p.started || !sim.onRunningDaemon(p) || !sim.timers.Now().Before(p.deadline) {
		return
	}
	p.started = true
	p.execution.Started()
	k := p.forward.key
	sim.logf("execute %s on %s", k.text, p.daemon.host)
	k.runCount++
	sim.stats["ran"]++
	if k.runCount > 1 {
		sim.fail("key %s ran %d times, the last time on host %s", k.text, k.runCount, p.daemon.host)
	}
}

func (sim *simulation) onRunningDaemon(p *openExecution) bool {
	return p.incarnation == p.daemon.incarnation && sim.ready(p.daemon.host)
}

// finish ends the execution: as not run if the upstream was not called, and otherwise as done or unknown.
func (sim *simulation) finish(p *openExecution, responseKnown bool) {
	if !sim.onRunningDaemon(p) {
		return
	}
	sim.executions = slices.DeleteFunc(sim.executions, func(q *openExecution) bool { return q == p })
	sim.logf("finish %s on %s: started %v known %v", p.forward.key.text, p.daemon.host, p.started, responseKnown)
	switch {
	case p.started && responseKnown:
		body := fmt.Sprint(p.forward.key.text, p.forward.content)
		p.execution.Done(cicadacross.StoredResponse{Status: http.StatusOK, Body: []byte(body)})
	case p.started:
		p.execution.Unknown()
	default:
		p.execution.NotRun()
	}
	sim.waitIdle()
}

func (sim *simulation) newKey(hasTime bool, skew time.Duration) *key {
	k := &key{text: fmt.Sprint("key-", len(sim.keys)), hasTime: hasTime}
	if hasTime {
		k.text = uuidAt(sim.timers.Now().Add(skew), len(sim.keys))
	}
	sim.keys = append(sim.keys, k)
	return k
}

// uuidAt returns a UUIDv7 with the given time, made unique by the number.
func uuidAt(at time.Time, number int) string {
	var id uuid.UUID
	ms := uint64(at.UnixMilli())
	for i := range 6 {
		id[i] = byte(ms >> (8 * (5 - i)))
	}
	id[6], id[8], id[15], id[14] = 0x70, 0x80, byte(number), byte(number>>8)
	return id.String()
}
