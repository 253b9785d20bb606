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

// world is a fleet of stores over a network that the test controls. It runs within a synctest bubble.
type world struct {
	fail     func(format string, args ...any)
	timers   *timer.Manual
	configs  []*cicadacross.Configuration
	made     []time.Time // when each configuration was published
	daemons  map[string]*daemon
	cut      map[string]bool // by pair of hosts
	messages []*message
	fresh    chan *message
	forwards []*forward
	begins   []*begin
	runs     []*permit
	keys     []*key
	cancel   context.CancelFunc
	ctx      context.Context
	stats    map[string]int
	trace    []string
}

type daemon struct {
	world   *world
	host    string
	store   *idempotency.Store
	config  int // index of the applied configuration
	seen    map[string]cicadacross.Version
	paused  bool
	settled bool
	alive   bool
	life    int // counts restarts
}

type key struct {
	text      string
	timed     bool // a UUIDv7
	firstSent time.Time
	ran       int
}

type forward struct {
	key     *key
	content uint64
	host    string
	sent    time.Time
}

type begin struct {
	forward *forward
	daemon  *daemon
	life    int
	over    bool
	run     cicadacross.KeyExecution
	reply   *cicadacross.StoredResponse
	err     error
}

// permit is a permission to run that the owner hasn't ended.
type permit struct {
	*begin
	deadline time.Time
	started  bool
}

func newWorld(first int, fail func(string, ...any)) *world {
	w := &world{
		timers:  timer.NewManual(time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)),
		daemons: make(map[string]*daemon),
		cut:     make(map[string]bool),
		fresh:   make(chan *message, 1000),
		stats:   make(map[string]int),
	}
	w.fail = func(format string, args ...any) {
		fail("%s\n%s", fmt.Sprintf(format, args...), strings.Join(w.trace, "\n"))
	}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	w.publish(first, hosts...)
	for _, h := range hosts {
		w.daemons[h] = &daemon{world: w, host: h}
		w.start(h, 0)
	}
	w.wait()
	return w
}

func (w *world) close() {
	w.cancel()
	for _, d := range w.daemons {
		if d.alive {
			d.store.Close()
		}
	}
	synctest.Wait()
}

// note adds to the trace, which is shown on failure.
func (w *world) note(format string, args ...any) {
	w.trace = append(w.trace, w.timers.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// publish adds a configuration; number is that of the first one.
func (w *world) publish(number int, targets ...string) {
	if len(w.configs) > 0 {
		number = int(w.configs[len(w.configs)-1].Version().Number()) + 1
	}
	opts := cicadacross.ConfigurationOptions{Version: cicadacross.NewVersion(uint64(number), "aa")}
	for _, h := range targets {
		opts.Targets = append(opts.Targets, cicadacross.NewTarget(cicadacross.TargetOptions{
			Name: h, Service: service, Host: h, Peer: h,
		}))
	}
	w.note("publish %d: %v", number, targets)
	w.configs = append(w.configs, cicadacross.NewConfiguration(opts))
	w.made = append(w.made, w.timers.Now())
}

// owner returns the owner of the key by the configuration.
func (w *world) owner(config int, k *key) string {
	s, _ := w.configs[config].Service(service)
	t, _ := idempotency.Owner(s, k.text)
	return t.Host()
}

func (w *world) linked(a, b string) bool {
	return !w.cut[min(a, b)+max(a, b)]
}

func (w *world) setLink(a, b string, up bool) { w.cut[min(a, b)+max(a, b)] = !up }

// ready reports whether a daemon answers at the address, which is the name of its host.
func (w *world) ready(host string) bool {
	d, ok := w.daemons[host]
	return ok && d.alive && !d.paused
}

// start starts the daemon of the host as a new process with the configuration.
func (w *world) start(host string, config int) {
	d := w.daemons[host]
	d.life++
	d.alive, d.paused, d.settled, d.config = true, false, true, config
	d.seen = make(map[string]cicadacross.Version)
	d.store = idempotency.New(idempotency.Options{
		Host:    host,
		Timers:  w.timers,
		Claimer: &claimer{daemon: d, life: d.life},
		Seen:    func(h string) (cicadacross.Version, bool) { v, ok := d.seen[h]; return v, ok },
		Members: members,
		Settled: func() bool { return d.settled },
	})
	w.note("start %s with %s", host, w.configs[config].Version())
	d.store.Start()
	d.store.Applied(nil, w.configs[config], false)
	w.wait()
}

func members() []idempotency.Member {
	var list []idempotency.Member
	for _, h := range hosts {
		list = append(list, idempotency.Member{Host: h, Peer: h})
	}
	return list
}

// kill ends the process with everything that it holds in memory.
func (w *world) kill(host string) {
	d := w.daemons[host]
	d.alive = false
	w.note("kill %s", host)
	w.settle(func(m *message) bool { return m.from == d }, errLost)
	d.store.Close()
	w.wait()
}

func (w *world) apply(host string, config int) {
	d := w.daemons[host]
	if !d.alive || config <= d.config {
		return
	}
	old := d.config
	d.config = config
	w.note("apply %s on %s", w.configs[config].Version(), host)
	d.store.Applied(w.configs[old], w.configs[config], config != old+1)
	w.wait()
}

// exchange lets both daemons hear of each other and of what the other has heard.
func (w *world) exchange(a, b string) {
	if !w.ready(a) || !w.ready(b) || !w.linked(a, b) {
		return
	}
	w.note("exchange %s %s", a, b)
	for _, pair := range [][2]*daemon{{w.daemons[a], w.daemons[b]}, {w.daemons[b], w.daemons[a]}} {
		pair[0].settled = true
		pair[0].hear(pair[1].host, w.configs[pair[1].config].Version())
		for h, v := range pair[1].seen {
			pair[0].hear(h, v)
		}
	}
}

func (d *daemon) hear(host string, v cicadacross.Version) {
	if host != d.host && v.Compare(d.seen[host]) > 0 {
		d.seen[host] = v
	}
}

// send puts a request for the key on its way to the owner by the configuration of some ingress daemon.
func (w *world) send(k *key, content uint64, config int) {
	if k.firstSent.IsZero() {
		k.firstSent = w.timers.Now()
	}
	w.forwards = append(w.forwards, &forward{key: k, content: content, host: w.owner(config, k), sent: w.timers.Now()})
}

// arrive delivers a request to its owner. Callers keep the repeat window, which a UUIDv7 key doesn't even need.
func (w *world) arrive(f *forward) {
	w.forwards = slices.DeleteFunc(w.forwards, func(g *forward) bool { return g == f })
	late := w.timers.Now().Sub(f.key.firstSent) >= idempotency.DefaultWindow
	if !w.ready(f.host) || late && !f.key.timed {
		return
	}
	waiting := 0
	for _, b := range w.begins {
		if b.daemon.host == f.host && b.forward.key == f.key {
			waiting++
		}
	}
	// Two waiting sends would race for the key, and the test would take another course each time.
	if waiting <= 1 {
		w.begin(f)
	}
}

func (w *world) begin(f *forward) *begin {
	d := w.daemons[f.host]
	b := &begin{forward: f, daemon: d, life: d.life}
	w.begins = append(w.begins, b)
	w.note("begin %s/%d on %s", f.key.text, f.content, f.host)
	go b.loop(d.store)
	w.wait()
	return b
}

func (b *begin) loop(store *idempotency.Store) {
	b.run, b.reply, b.err = store.Begin(b.daemon.world.ctx, cicadacross.KeyedRequest{
		Service: service, Key: b.forward.key.text, Fingerprint: b.forward.content,
	})
	b.over = true
}

// wait lets all goroutines come to rest and takes in what they produced.
func (w *world) wait() {
	synctest.Wait()
	var fresh []*message
	for len(w.fresh) > 0 {
		fresh = append(fresh, <-w.fresh)
	}
	slices.SortFunc(fresh, func(a, b *message) int { return cmp.Compare(a.order(), b.order()) })
	w.messages = append(w.messages, fresh...)
	w.messages = slices.DeleteFunc(w.messages, func(m *message) bool { return m.settled && m.answered })
	// Of the requests whose sender gave up, a few may still arrive.
	late := 0
	for i := len(w.messages) - 1; i >= 0; i-- {
		if late++; w.messages[i].settled && late > 8 {
			w.messages = slices.Delete(w.messages, i, i+1)
		}
	}
	rest := w.begins[:0]
	for _, b := range w.begins {
		switch {
		case !b.over:
			rest = append(rest, b)
		case b.life == b.daemon.life && b.daemon.alive:
			w.result(b)
		}
	}
	w.begins = rest
}

// result checks what a send ended with.
func (w *world) result(b *begin) {
	k := b.forward.key
	w.note("  %s on %s: run %v reply %v error %v", k.text, b.daemon.host, b.run != nil, b.reply != nil, b.err)
	switch {
	case b.run != nil:
		w.stats["permitted"]++
		w.runs = append(w.runs, &permit{begin: b, deadline: b.forward.sent.Add(requestTimeout)})
	case b.reply != nil:
		w.stats["replayed"]++
		if want := fmt.Sprint(k.text, b.forward.content); k.ran != 1 || string(b.reply.Body) != want {
			w.fail("key %s: replayed %q, want %q", k.text, b.reply.Body, want)
		}
	default:
		kind, _ := kindOf(b.err)
		w.stats[string(kind)]++
		if strings.Contains(b.err.Error(), "host") && kind == idempotency.KindEarlierUnknown {
			w.stats["refused by an earlier owner"]++
		}
		if !idempotency.EarlierUnknown(b.err) && kind != idempotency.KindKeyReused && k.ran > 0 {
			w.fail("key %s ran, and a later send is refused as if it hadn't: %v", k.text, b.err)
		}
	}
}

// execute calls the upstream, unless the owner's last check of the deadline forbids it.
func (w *world) execute(p *permit) {
	if p.started || !w.holds(p) || !w.timers.Now().Before(p.deadline) {
		return
	}
	p.started = true
	p.run.Started()
	k := p.forward.key
	w.note("execute %s on %s", k.text, p.daemon.host)
	k.ran++
	w.stats["ran"]++
	if k.ran > 1 {
		w.fail("key %s ran %d times, the last time on host %s", k.text, k.ran, p.daemon.host)
	}
}

func (w *world) holds(p *permit) bool { return p.life == p.daemon.life && w.ready(p.daemon.host) }

// finish ends the run as done, or as not run when the upstream wasn't called.
func (w *world) finish(p *permit, known bool) {
	if !w.holds(p) {
		return
	}
	w.runs = slices.DeleteFunc(w.runs, func(q *permit) bool { return q == p })
	w.note("finish %s on %s: started %v known %v", p.forward.key.text, p.daemon.host, p.started, known)
	switch {
	case p.started && known:
		body := fmt.Sprint(p.forward.key.text, p.forward.content)
		p.run.Done(cicadacross.StoredResponse{Status: http.StatusOK, Body: []byte(body)})
	case p.started:
		p.run.Unknown()
	default:
		p.run.NotRun()
	}
	w.wait()
}

func (w *world) newKey(timed bool, skew time.Duration) *key {
	k := &key{text: fmt.Sprint("key-", len(w.keys)), timed: timed}
	if timed {
		k.text = uuidAt(w.timers.Now().Add(skew), len(w.keys))
	}
	w.keys = append(w.keys, k)
	return k
}

// uuidAt returns a UUIDv7 with the time; the rest comes from the number.
func uuidAt(at time.Time, number int) string {
	var id uuid.UUID
	ms := uint64(at.UnixMilli())
	for i := range 6 {
		id[i] = byte(ms >> (8 * (5 - i)))
	}
	id[6], id[8], id[15], id[14] = 0x70, 0x80, byte(number), byte(number>>8)
	return id.String()
}
