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
	"cicadacross/internal/quota"
	"cicadacross/internal/relay"
	standin "cicadacross/internal/standin/upstream"
	"cicadacross/internal/timer"
	"cicadacross/internal/upstream"
)

const fleetKey = "a key for tests only"

// fifoAdmission is an admission policy with a first-come, first-served queue.
type fifoAdmission struct{ free chan struct{} }

func newFIFOAdmission(n int) *fifoAdmission {
	a := &fifoAdmission{free: make(chan struct{}, n)}
	for range n {
		a.free <- struct{}{}
	}
	return a
}

func (a *fifoAdmission) Acquire(ctx context.Context, _ cicadacross.SlotRequest) (cicadacross.Slot, error) {
	select {
	case <-a.free:
		return &fifoSlot{admission: a}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
func (a *fifoAdmission) Load() cicadacross.Load { return cicadacross.Load{Slots: cap(a.free)} }
func (a *fifoAdmission) Resize(int)             {}

type fifoSlot struct {
	admission *fifoAdmission
	once      sync.Once
}

func (s *fifoSlot) Abandon() { s.Release() }

func (s *fifoSlot) Release() { s.once.Do(func() { s.admission.free <- struct{}{} }) }

// memoryKeyStore is an idempotency store in memory.
type memoryKeyStore struct {
	mu      sync.Mutex
	records map[string]*keyExecution
}

type keyExecution struct {
	keys  *memoryKeyStore
	key   string
	ended chan struct{}
	reply *cicadacross.StoredResponse
	once  sync.Once
}

var errKeyUnknown = errors.New("an earlier send may have run")

func (k *memoryKeyStore) Begin(
	ctx context.Context, r cicadacross.KeyedRequest,
) (cicadacross.KeyExecution, *cicadacross.StoredResponse, error) {
	k.mu.Lock()
	earlier, ok := k.records[r.Key]
	if !ok {
		run := &keyExecution{keys: k, key: r.Key, ended: make(chan struct{})}
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

func (r *keyExecution) end(reply *cicadacross.StoredResponse, keep bool) {
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
func (r *keyExecution) Started()                              {}
func (r *keyExecution) Done(reply cicadacross.StoredResponse) { r.end(&reply, true) }
func (r *keyExecution) NotRun()                               { r.end(nil, false) }
func (r *keyExecution) Unknown()                              { r.end(nil, true) }

// testQuarantine blocks every fingerprint that was in progress at a crash.
type testQuarantine struct {
	mu         sync.Mutex
	inProgress map[uint64]int
	blocked    map[uint64]bool
}

func (q *testQuarantine) Enter(_ context.Context, fingerprint uint64) (func(), error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.inProgress[fingerprint]++
	return func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.inProgress[fingerprint]--
	}, nil
}

func (q *testQuarantine) IsQuarantined(fingerprint uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.blocked[fingerprint]
}

func (q *testQuarantine) IsSuspect(uint64) bool { return false }

func (q *testQuarantine) RecordCrash() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for fingerprint, count := range q.inProgress {
		if count > 0 {
			q.blocked[fingerprint] = true
		}
	}
}

func (q *testQuarantine) Suspects() []cicadacross.Suspect {
	q.mu.Lock()
	defer q.mu.Unlock()
	var list []cicadacross.Suspect
	for fingerprint := range q.blocked {
		list = append(list, cicadacross.Suspect{Fingerprint: fingerprint, Crashes: 2})
	}
	return list
}

func (q *testQuarantine) Merge(suspects []cicadacross.Suspect) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, s := range suspects {
		q.blocked[s.Fingerprint] = true
	}
}

// firstTargetBalancer is a balancer that picks the first candidate.
type firstTargetBalancer struct{}

func (firstTargetBalancer) Pick(list []cicadacross.Target) (cicadacross.Target, bool) {
	if len(list) == 0 {
		return cicadacross.Target{}, false
	}
	return list[0], true
}
func (firstTargetBalancer) Begin(string) func()              { return func() {} }
func (firstTargetBalancer) Observe(string, cicadacross.Load) {}

type discardDecisions struct{}

func (discardDecisions) Record(string, string, ...any) {}

// node is one host with a stand-in upstream, an owner and an ingress server.
type node struct {
	host          string
	standin       *standin.Server
	transport     *upstream.Upstream
	owner         *relay.Owner
	ingress       *ingress.Server
	client        *relay.Client
	grpcServer    *grpc.Server
	peerListener  *blackholeListener
	quarantine    *testQuarantine
	callerAddress string
}

// fleet is a set of hosts of one service. The owner of each host is called in process by its own ingress server and
// through gRPC by the others.
type fleet struct {
	t             testing.TB
	nodes         []*node
	configuration *cicadacross.Configuration
	misroutings   atomic.Int32
}

type fleetOptions struct {
	behavior standin.Behavior
	hosts    int
	slots    int
	keyOwner int // index of the host that owns all keys
	// ownersAgree makes owners deny that they own a key while it is false; nil means that they agree.
	ownersAgree *atomic.Bool
	// admission replaces the admission policy of the first host.
	admission cicadacross.Admission
	// upstreamDrain is how long upstreams serve after they have reported that they leave.
	upstreamDrain time.Duration
	// stallTimeout, quota and maxConnections limit the callers of each host.
	stallTimeout   time.Duration
	quota          *quota.Account
	maxConnections int
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
		n := &node{host: fmt.Sprintf("host-%d", i), quarantine: &testQuarantine{
			inProgress: make(map[uint64]int), blocked: make(map[uint64]bool),
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
		if opts.ownersAgree != nil && !opts.ownersAgree.Load() {
			f.misroutings.Add(1)
			return cicadacross.Target{}, false
		}
		return keyOwner(s, key)
	}
	admission := cicadacross.Admission(newFIFOAdmission(opts.slots))
	if opts.admission != nil && n == f.nodes[0] {
		admission = opts.admission
	}
	n.transport = upstream.New(upstream.Options{
		Address: n.standin.Address(), Connections: 16, Timers: clock, Quarantine: n.quarantine,
	})
	f.t.Cleanup(n.transport.Close)
	n.owner = relay.NewOwner(relay.OwnerOptions{
		Host: n.host, Configuration: configuration, KeyOwner: ownerOf, Admission: admission,
		KeyStore: &memoryKeyStore{records: make(map[string]*keyExecution)}, Quarantine: n.quarantine, Upstream: n.transport,
		Timers: clock, Decisions: discardDecisions{}, Classify: classify, UpstreamDrain: opts.upstreamDrain,
	})
	n.grpcServer = peer.NewServer(fleetKey)
	peerpb.RegisterRelayServer(n.grpcServer, n.owner)
	n.peerListener = &blackholeListener{Listener: peerListener}
	go func() { _ = n.grpcServer.Serve(n.peerListener) }()
	f.t.Cleanup(n.grpcServer.Stop)
	pool := peer.NewPool(fleetKey)
	f.t.Cleanup(pool.Close)
	n.client = relay.NewClient(relay.ClientOptions{
		Pool: pool, Host: n.host, Local: n.owner, Timers: clock, SilenceTimeout: 200 * time.Millisecond,
	})
	server, err := ingress.New(ingress.Options{
		Host: n.host, Configuration: configuration, KeyOwner: keyOwner,
		Balancer: firstTargetBalancer{}, Quarantine: n.quarantine, Client: n.client,
		Decisions: discardDecisions{}, Timers: clock, StallTimeout: opts.stallTimeout, Quota: opts.quota,
		MaxConnections: opts.maxConnections,
	})
	assert.NilError(f.t, err)
	n.ingress = server
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(f.t, err)
	n.callerAddress = listener.Addr().String()
	go func() { _ = server.Serve(listener) }()
	f.t.Cleanup(server.Close)
}

func classify(_ relay.Stage, err error) (relay.Classification, bool) {
	if errors.Is(err, errKeyUnknown) {
		return relay.Classification{Kind: relay.FailureEarlierUnknown, Unknown: true}, true
	}
	return relay.Classification{}, false
}

// callResult is the response that a caller received.
type callResult struct {
	status  int
	header  http.Header
	body    string
	trailer http.Header
	err     error // the body is incomplete
}

func (r callResult) outcome() string { return r.header.Get(cicadacross.HeaderOutcome) }

// call sends a request to the ingress server of the host with the index. Headers are "Name: value".
func (f *fleet) call(host int, method, path string, body io.Reader, headers ...string) callResult {
	f.t.Helper()
	request, err := http.NewRequest(method, "http://"+f.nodes[host].callerAddress+path, body)
	assert.NilError(f.t, err)
	request.Host = "portal"
	for _, h := range headers {
		name, value, _ := strings.Cut(h, ": ")
		request.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return callResult{err: err, header: http.Header{}}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return callResult{
		status: response.StatusCode, header: response.Header, body: string(data), trailer: response.Trailer, err: err,
	}
}

// waitFor polls until the condition holds, or fails the test.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	clock := timer.System{}
	for range 1000 {
		if condition() {
			return
		}
		<-clock.After(5 * time.Millisecond).C()
	}
	t.Fatalf("timed out waiting for: %s", what)
}
