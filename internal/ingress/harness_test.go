package ingress_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	"cicadacross"
	"cicadacross/internal/ingress"
	"cicadacross/internal/peer"
	"cicadacross/internal/peerpb"
	"cicadacross/internal/relay"
	standin "cicadacross/internal/standin/upstream"
	"cicadacross/internal/timer"
	"cicadacross/internal/upstream"
)

const fleetKey = "a key for tests only"

// slots is an admission policy with a first-come queue.
type slots struct{ free chan struct{} }

func newSlots(n int) *slots {
	s := &slots{free: make(chan struct{}, n)}
	for range n {
		s.free <- struct{}{}
	}
	return s
}

func (s *slots) Acquire(ctx context.Context, _ cicadacross.SlotRequest) (cicadacross.Slot, error) {
	select {
	case <-s.free:
		return &slot{s: s}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
func (s *slots) Load() cicadacross.Load { return cicadacross.Load{Slots: cap(s.free)} }
func (s *slots) Resize(int)             {}

type slot struct {
	s    *slots
	once sync.Once
}

func (s *slot) Release() { s.once.Do(func() { s.s.free <- struct{}{} }) }

// keys keeps the records of keys.
type keys struct {
	mu      sync.Mutex
	records map[string]*keyRun
}

type keyRun struct {
	keys  *keys
	key   string
	ended chan struct{}
	reply *cicadacross.StoredResponse
	once  sync.Once
}

var errKeyUnknown = errors.New("an earlier send may have run")

func (k *keys) Begin(
	ctx context.Context, r cicadacross.KeyedRequest,
) (cicadacross.KeyExecution, *cicadacross.StoredResponse, error) {
	k.mu.Lock()
	earlier, ok := k.records[r.Key]
	if !ok {
		run := &keyRun{keys: k, key: r.Key, ended: make(chan struct{})}
		k.records[r.Key] = run
		k.mu.Unlock()
		return run, nil, nil
	}
	k.mu.Unlock()
	select {
	case <-earlier.ended:
	case <-ctx.Done():
		return nil, nil, ctx.Err()
	}
	if earlier.reply == nil {
		return nil, nil, errKeyUnknown
	}
	return nil, earlier.reply, nil
}

func (r *keyRun) end(reply *cicadacross.StoredResponse, keep bool) {
	r.once.Do(func() {
		r.reply = reply
		if !keep {
			r.keys.mu.Lock()
			delete(r.keys.records, r.key)
			r.keys.mu.Unlock()
		}
		close(r.ended)
	})
}
func (r *keyRun) Started()                              {}
func (r *keyRun) Done(reply cicadacross.StoredResponse) { r.end(&reply, true) }
func (r *keyRun) NotRun()                               { r.end(nil, false) }
func (r *keyRun) Unknown()                              { r.end(nil, true) }

// quarantine blocks every fingerprint that was in progress at a crash.
type quarantine struct {
	mu       sync.Mutex
	progress map[uint64]int
	blocked  map[uint64]bool
}

func (q *quarantine) Enter(_ context.Context, fingerprint uint64) (func(), error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.progress[fingerprint]++
	return func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.progress[fingerprint]--
	}, nil
}

func (q *quarantine) IsQuarantined(fingerprint uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.blocked[fingerprint]
}

func (q *quarantine) IsSuspect(uint64) bool { return false }

func (q *quarantine) RecordCrash() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for fingerprint, count := range q.progress {
		if count > 0 {
			q.blocked[fingerprint] = true
		}
	}
}
func (q *quarantine) Suspects() []cicadacross.Suspect { return nil }
func (q *quarantine) Merge([]cicadacross.Suspect)     {}

// firstOf is a balancer that takes the candidates in their order.
type firstOf struct{}

func (firstOf) Pick(list []cicadacross.Target) (cicadacross.Target, bool) {
	if len(list) == 0 {
		return cicadacross.Target{}, false
	}
	return list[0], true
}
func (firstOf) Begin(string) func()              { return func() {} }
func (firstOf) Observe(string, cicadacross.Load) {}

type noDecisions struct{}

func (noDecisions) Record(string, string, ...any) {}

// node is one host: stand-in, owner and ingress.
type node struct {
	host       string
	standin    *standin.Server
	transport  *upstream.Upstream
	owner      *relay.Owner
	ingress    *ingress.Server
	client     *relay.Client
	grpcServer *grpc.Server
	peers      *silenceable
	quarantine *quarantine
	caller     string
}

// fleet is two hosts of one service. Callers talk to the first; host-1 is reached through grpc and host-0 in process.
type fleet struct {
	t             testing.TB
	nodes         []*node
	configuration *cicadacross.Configuration
	disagreements atomic.Int32
}

type fleetOptions struct {
	behavior standin.Behavior
	hosts    int
	slots    int
	keyOwner int // index of the host that owns all keys
	// agreed makes the owners of the targets deny that they own a key while it is false; nil means they agree.
	agreed *atomic.Bool
	// admission replaces the admission policy of the first host.
	admission cicadacross.Admission
}

func newFleet(t testing.TB, opts fleetOptions) *fleet {
	t.Helper()
	if opts.hosts == 0 {
		opts.hosts = 2
	}
	if opts.slots == 0 {
		opts.slots = 8
	}
	f := &fleet{t: t}
	var targets []cicadacross.Target
	var listeners []net.Listener
	for i := range opts.hosts {
		n := &node{host: fmt.Sprintf("host-%d", i), quarantine: &quarantine{
			progress: make(map[uint64]int), blocked: make(map[uint64]bool),
		}}
		n.standin = standin.New(standin.Options{Behavior: opts.behavior, Timers: timer.System{}})
		assert.NilError(t, n.standin.Start("127.0.0.1:0"))
		t.Cleanup(n.standin.Close)
		peerListener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		listeners = append(listeners, peerListener)
		f.nodes = append(f.nodes, n)
		targets = append(targets, cicadacross.NewTarget(cicadacross.TargetOptions{
			Name: fmt.Sprintf("t%d", i), Service: "portal", Host: n.host, AvailabilityZone: "a",
			Upstream: n.standin.Address(), Peer: peerListener.Addr().String(), Slots: opts.slots, Connections: 16,
		}))
	}
	rank := cicadacross.NewRank(cicadacross.RankOptions{Name: "reads", Urgency: 1, TargetTime: time.Second, Worth: 1})
	route := func(name, method, prefix string, repeatable bool, timeout time.Duration) cicadacross.Route {
		return cicadacross.NewRoute(cicadacross.RouteOptions{
			Name: name, Service: "portal", Method: method, PathPrefix: prefix, Rank: rank,
			Repeatable: repeatable, Timeout: timeout,
		})
	}
	f.configuration = cicadacross.NewConfiguration(cicadacross.ConfigurationOptions{
		Version: cicadacross.NewVersion(1, "aa"), Targets: targets, Ranks: []cicadacross.Rank{rank},
		Routes: []cicadacross.Route{
			route("pages", "", "/pages", true, 5*time.Second),
			route("publish", "POST", "/publish", false, 5*time.Second),
		},
	})
	for i, n := range f.nodes {
		f.start(n, listeners[i], targets, opts)
	}
	return f
}

func (f *fleet) start(n *node, peerListener net.Listener, targets []cicadacross.Target, opts fleetOptions) {
	clock := timer.System{}
	configuration := func() *cicadacross.Configuration { return f.configuration }
	keyOwner := func(*cicadacross.Service, string) (cicadacross.Target, bool) { return targets[opts.keyOwner], true }
	ownerOf := func(s *cicadacross.Service, key string) (cicadacross.Target, bool) {
		if opts.agreed != nil && !opts.agreed.Load() {
			f.disagreements.Add(1)
			return cicadacross.Target{}, false
		}
		return keyOwner(s, key)
	}
	admission := cicadacross.Admission(newSlots(opts.slots))
	if opts.admission != nil && n == f.nodes[0] {
		admission = opts.admission
	}
	n.transport = upstream.New(upstream.Options{
		Address: n.standin.Address(), Connections: 16, Timers: clock, Quarantine: n.quarantine,
	})
	f.t.Cleanup(n.transport.Close)
	n.owner = relay.NewOwner(relay.OwnerOptions{
		Host: n.host, Configuration: configuration, KeyOwner: ownerOf, Admission: admission,
		Keys: &keys{records: make(map[string]*keyRun)}, Quarantine: n.quarantine, Upstream: n.transport,
		Timers: clock, Decisions: noDecisions{}, Classify: classify,
	})
	n.grpcServer = peer.NewServer(fleetKey)
	peerpb.RegisterRelayServer(n.grpcServer, n.owner)
	n.peers = &silenceable{Listener: peerListener}
	go func() { _ = n.grpcServer.Serve(n.peers) }()
	f.t.Cleanup(n.grpcServer.Stop)
	pool := peer.NewPool(fleetKey)
	f.t.Cleanup(pool.Close)
	n.client = relay.NewClient(relay.ClientOptions{
		Pool: pool, Host: n.host, Local: n.owner, Timers: clock, SilenceLimit: 200 * time.Millisecond,
	})
	server, err := ingress.New(ingress.Options{
		Host: n.host, Configuration: configuration, KeyOwner: keyOwner, Balancer: firstOf{}, Quarantine: n.quarantine,
		Client: n.client, Decisions: noDecisions{}, Timers: clock,
	})
	assert.NilError(f.t, err)
	n.ingress = server
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(f.t, err)
	n.caller = listener.Addr().String()
	go func() { _ = server.Serve(listener) }()
	f.t.Cleanup(server.Close)
}

func classify(_ relay.Stage, err error) (relay.Classification, bool) {
	if errors.Is(err, errKeyUnknown) {
		return relay.Classification{Kind: relay.FailureEarlierUnknown, Unknown: true}, true
	}
	return relay.Classification{}, false
}

// answer is what a caller got.
type answer struct {
	status  int
	header  http.Header
	body    string
	trailer http.Header
	err     error // the body broke off
}

func (a answer) outcome() string { return a.header.Get(cicadacross.HeaderOutcome) }

// call sends a request to the ingress of the host with the index. Headers are "Name: value".
func (f *fleet) call(host int, method, path string, body io.Reader, headers ...string) answer {
	f.t.Helper()
	request, err := http.NewRequest(method, "http://"+f.nodes[host].caller+path, body)
	assert.NilError(f.t, err)
	request.Host = "portal"
	for _, h := range headers {
		name, value, _ := strings.Cut(h, ": ")
		request.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return answer{err: err, header: http.Header{}}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return answer{
		status: response.StatusCode, header: response.Header, body: string(data), trailer: response.Trailer, err: err,
	}
}

// waitFor polls until the condition holds.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	clock := timer.System{}
	for range 1000 {
		if condition() {
			return
		}
		<-clock.After(5 * time.Millisecond).C()
	}
	t.Fatalf("waited in vain for: %s", what)
}
