package integration_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadacross/integration/harness"
	"cicadacross/platform/standin"
)

// The soak runs the real daemons as processes of their own and injects random faults from outside: links that are cut,
// silent or slow, processes that are stopped, paused, killed and started again, upstreams that end and are born again,
// and a store with faults. A seed chooses the faults; the timing of processes differs from run to run.
//
//	go test ./integration -run TestSoak -soak.seeds=50 -soak.first=100
var (
	soakSeeds = flag.Int("soak.seeds", 2, "number of seeds of the soak")
	soakFirst = flag.Uint64("soak.first", 1, "first seed of the soak")
)

const (
	soakHosts   = 4
	soakCallers = 3 // for each host
	// faultTime is how long faults are injected, faultGap the mean time between two.
	faultTime = 6 * time.Second
	faultGap  = 300 * time.Millisecond
	// settleTime is how long after the last fault the fleet may take to be whole: the time after which the platform
	// counts a daemon as in touch again, and the time of a start.
	settleTime = 5 * time.Second
	// soakApplyLimit is the shortest bound that the platform sets for a change to be in force.
	soakApplyLimit = 2 * time.Second
	soakDeadline   = 1500 * time.Millisecond
	pollInterval   = 100 * time.Millisecond
)

// soak is one run of one seed.
type soak struct {
	t       *testing.T
	seed    uint64
	random  *rand.Rand
	store   *standin.Store
	network *harness.Network
	version atomic.Uint64
	hosts   []*soakHost

	mu sync.Mutex
	// lives holds the upstreams that ever ran.
	lives  []*standin.Upstream
	faults []string
	sent   []soakResult
}

// soakHost is one host with its daemon and its upstream.
type soakHost struct {
	soak     *soak
	n        int
	mu       sync.Mutex
	daemon   *harness.Process
	upstream *standin.Upstream
	born     int
	// disturbed counts the beginnings and the ends of kills and pauses; it is odd during one.
	disturbed int
}

// soakResult is what the caller of one request got.
type soakResult struct {
	id, path   string
	status     int
	body       string
	err        error
	repeatable bool
	disturbed  bool // the daemon was killed or paused meanwhile
}

// Guards against a request that must not repeat and runs twice, one that ran although its answer says that it didn't,
// answers of other requests, routes that are forgotten, configurations that go back, and a fleet that doesn't recover.
func TestSoak(t *testing.T) {
	for i := range *soakSeeds {
		seed := *soakFirst + uint64(i) // #nosec G115
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { runSoak(t, seed) })
	}
}

func runSoak(t *testing.T, seed uint64) {
	s := &soak{
		t: t, seed: seed, random: rand.New(rand.NewPCG(seed, seed)), store: standin.NewStore(),
		network: harness.NewNetwork(t),
	}
	t.Cleanup(s.store.Close)
	s.publish()
	for n := range soakHosts {
		s.hosts = append(s.hosts, &soakHost{soak: s, n: n + 1})
	}
	s.connect()
	for _, h := range s.hosts {
		h.startUpstream()
		h.startDaemon()
	}
	s.awaitWhole(10 * time.Second)
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for _, h := range s.hosts {
		wg.Go(func() { h.watchVersion(ctx) })
		for caller := range soakCallers {
			wg.Go(func() { h.call(ctx, caller) })
		}
	}
	for end := time.Now().Add(faultTime); time.Now().Before(end); {
		s.inject()
		time.Sleep(time.Duration(s.random.ExpFloat64() * float64(faultGap)))
	}
	s.heal()
	s.awaitWhole(settleTime)
	s.publish()
	s.awaitWhole(soakApplyLimit)
	cancel()
	wg.Wait()
	s.check()
}

func (s *soak) slot() uint64 { return s.seed % 200 }

func (h *soakHost) ip() string { return fmt.Sprintf("127.40.%d.%d", h.soak.slot(), h.n) }

// behind is where the daemon listens for others, who reach it through a link.
func (h *soakHost) behind() string { return fmt.Sprintf("127.41.%d.%d", h.soak.slot(), h.n) }

func (h *soakHost) zone() string { return fmt.Sprintf("host-%d", h.n) }

func (h *soakHost) registry() string {
	return fmt.Sprintf("127.40.%d.250:%d", h.soak.slot(), registeredPeer)
}

// connect puts a link between each pair of hosts, and between each host and the store.
func (s *soak) connect() {
	var zones []string
	for _, h := range s.hosts {
		s.network.Place(h.behind(), h.zone())
		zones = append(zones, h.zone())
	}
	for _, h := range s.hosts {
		s.network.Entrance(fmt.Sprintf("%s:%d", h.ip(), registeredPeer), fmt.Sprintf("%s:%d", h.behind(), registeredPeer),
			zones)
	}
	s.network.Entrance(s.hosts[0].registry(), s.store.Address(), zones)
}

// publish writes the next version: the route of the version before stays, the one before that goes.
func (s *soak) publish() {
	v := s.version.Add(1)
	rule := func(name, kind, prefix string) string {
		return fmt.Sprintf(`{"name":%q,"kind":%q,"aimS":1,"priority":1,"match":{"prefix":%q},`+
			`"action":{"service":"desk","timeoutS":2,"maxAttempts":2}}`, name, kind, prefix)
	}
	rules := []string{
		rule("look", "safe", "/look/"), rule("pay", "unsafe", "/pay/"), rule("load", "upload", "/load/"),
		rule(fmt.Sprint("v", v), "safe", fmt.Sprintf("/v%d/", v)),
		rule(fmt.Sprint("v", v-1), "safe", fmt.Sprintf("/v%d/", v-1)),
	}
	s.store.Put("op/config", fmt.Sprintf(`{"version":%d,"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576},`+
		`"listeners":[{"host":"shop.example","rules":[%s]}],"clusters":[{"name":"desk","maxConnections":50}]}`, v,
		strings.Join(rules, ",")))
}

func (h *soakHost) startUpstream() {
	h.born++
	id := fmt.Sprintf("i-%d-%d", h.n, h.born)
	u, err := standin.NewUpstream(id, fmt.Sprintf("%s:%d", h.ip(), registeredUpstream))
	if err != nil {
		h.soak.t.Errorf("upstream of host %d: %v", h.n, err)
		return
	}
	h.upstream = u
	h.soak.mu.Lock()
	h.soak.lives = append(h.soak.lives, u)
	h.soak.mu.Unlock()
	h.soak.t.Cleanup(u.Close)
	h.register("ready")
}

func (h *soakHost) register(state string) {
	h.soak.store.Put("servers/"+h.upstream.ID, fmt.Sprintf(`{"address":"%s:%d","born":%d,"info":{"service":"desk",`+
		`"version":"v1","zone":"z%d","slots":4},"status":{"state":%q,"seq":1,"coldRemainingS":0}}`, h.ip(),
		registeredUpstream, h.born, h.n%2, state))
}

func (h *soakHost) startDaemon() {
	address := func(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	h.daemon = harness.Start(h.soak.t, "daemon "+h.ip(), harness.Daemon, nil,
		"--host="+h.ip(), fmt.Sprintf("--availability-zone=z%d", h.n%2), "--service=desk", "--registry="+h.registry(),
		"--listen-caller="+address(h.ip(), registeredCaller), "--listen-peer="+address(h.behind(), registeredPeer),
		"--listen-operator="+address(h.ip(), registeredOperator), "--listen-ready="+address(h.ip(), registeredReady),
		"--upstream="+address(h.ip(), registeredUpstream), "--fleet-key="+harness.FleetKey, "--admission=aim",
		"--balancer=swift", "--grace=4s")
}

// inject makes one random fault; it ends by itself or when the fleet is healed.
func (s *soak) inject() {
	h := s.hosts[s.random.IntN(len(s.hosts))]
	other := s.hosts[s.random.IntN(len(s.hosts))]
	link := s.network.Link(h.zone(), fmt.Sprintf("%s:%d", other.behind(), registeredPeer))
	store := s.network.Link(h.zone(), s.store.Address())
	faults := []struct {
		name string
		do   func()
	}{
		{"kill", h.kill},
		{"pause", h.pause},
		{"stop", h.stop},
		{"upstream crash", h.crash},
		{"cut", link.Cut},
		{"silence", func() { link.Heal(); link.Silence() }},
		{"delay", func() { link.Heal(); link.Delay(20 + s.random.IntN(400)) }},
		{"heal", link.Heal},
		{"store cut", store.Cut},
		{"store silence", func() { store.Heal(); store.Silence() }},
		{"store heal", store.Heal},
		{"store down", func() { s.store.SetFaults(standin.Faults{Status: http.StatusServiceUnavailable}) }},
		{"store up", func() { s.store.SetFaults(standin.Faults{}) }},
		{"store forgets", s.store.Forget},
		{"publish", s.publish},
	}
	f := faults[s.random.IntN(len(faults))]
	s.mu.Lock()
	s.faults = append(s.faults, fmt.Sprintf("%s host %d to %d", f.name, h.n, other.n))
	s.mu.Unlock()
	f.do()
}

func (h *soakHost) disturb(what func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.disturbed++
	what()
	h.disturbed++
}

func (h *soakHost) disturbances() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.disturbed
}

func (h *soakHost) kill() {
	h.disturb(func() {
		h.daemon.Kill()
		h.startDaemon()
	})
}

func (h *soakHost) pause() {
	h.disturb(func() {
		h.daemon.Pause()
		time.Sleep(time.Duration(h.soak.random.IntN(1200)) * time.Millisecond)
		h.daemon.Resume()
	})
}

// stop ends the daemon gracefully and starts it again.
func (h *soakHost) stop() {
	h.daemon.Terminate()
	if ended, err := h.daemon.Wait(5 * time.Second); !ended || err != nil {
		h.soak.t.Errorf("daemon of host %d: ended %v, %v after SIGTERM", h.n, ended, err)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.startDaemon()
}

func (h *soakHost) process() *harness.Process {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.daemon
}

func (h *soakHost) crash() {
	h.upstream.Close()
	h.soak.store.Remove("servers/" + h.upstream.ID)
	h.startUpstream()
}

func (s *soak) heal() {
	s.store.SetFaults(standin.Faults{})
	for _, from := range s.hosts {
		s.network.Link(from.zone(), s.store.Address()).Heal()
		for _, to := range s.hosts {
			s.network.Link(from.zone(), fmt.Sprintf("%s:%d", to.behind(), registeredPeer)).Heal()
		}
	}
}

// awaitWhole waits until each daemon serves the newest route.
func (s *soak) awaitWhole(limit time.Duration) {
	s.t.Helper()
	missing := ""
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(pollInterval / 4) {
		missing = ""
		for _, h := range s.hosts {
			path := fmt.Sprintf("/v%d/x", s.version.Load())
			if r := h.send(path, "whole", nil, true); r.status != http.StatusOK {
				missing += fmt.Sprintf("host %d: %d %v; ", h.n, r.status, r.err)
			}
		}
		if missing == "" {
			return
		}
	}
	s.t.Errorf("not whole within %v: %s faults: %v", limit, missing, s.faults)
}

// call sends requests until ctx ends, most on one connection.
func (h *soakHost) call(ctx context.Context, caller int) {
	random := rand.New(rand.NewPCG(h.soak.seed, uint64(100*h.n+caller))) // #nosec G115
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("%d-%d-%d", h.n, caller, i)
		var r soakResult
		switch random.IntN(4) {
		case 0:
			r = h.send("/look/run=20ms", id, nil, true)
		case 1:
			r = h.send("/load/x", id, bytes.Repeat([]byte("x"), 1+random.IntN(200_000)), false)
		default:
			r = h.send("/pay/run=50ms", id, []byte("1"), false)
		}
		h.soak.mu.Lock()
		h.soak.sent = append(h.soak.sent, r)
		h.soak.mu.Unlock()
		time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
	}
}

// soakClient keeps connections open until the daemon closes them.
var soakClient = &http.Client{
	Transport: &http.Transport{MaxIdleConnsPerHost: soakCallers}, Timeout: soakDeadline + 2*time.Second,
}

func (h *soakHost) send(path, id string, body []byte, repeatable bool) soakResult {
	result := soakResult{id: id, path: path, repeatable: repeatable}
	before := h.disturbances()
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost,
		fmt.Sprintf("http://%s:%d%s", h.ip(), registeredCaller, path), bytes.NewReader(body))
	if err != nil {
		result.err = err
		return result
	}
	// Without it the client sends again by itself on a connection that was closed.
	r.GetBody = nil
	r.Host = "shop.example"
	r.Header["X-Attempt-Id"] = []string{id}
	r.Header["X-Deadline-Remaining"] = []string{fmt.Sprint(soakDeadline.Milliseconds())}
	response, err := soakClient.Do(r)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		result.status, result.body = response.StatusCode, string(data)
		if err == nil && result.status == http.StatusOK && result.body != fmt.Sprintf("%s %d", path, len(body)) {
			h.soak.t.Errorf("%s: answer %q to %s with %d bytes", id, result.body, path, len(body))
		}
	}
	result.err = err
	result.disturbed = h.disturbances() != before || before%2 == 1
	return result
}

// watchVersion checks that the version of the daemon doesn't go back while the process lives.
func (h *soakHost) watchVersion(ctx context.Context) {
	var process *harness.Process
	last := uint64(0)
	for ctx.Err() == nil {
		time.Sleep(pollInterval)
		before := h.process()
		response, err := soakClient.Get(fmt.Sprintf("http://%s:%d/v1/state", h.ip(), registeredOperator)) //nolint:noctx
		if err != nil {
			continue
		}
		var state struct {
			Version struct {
				Number uint64 `json:"number"`
			} `json:"version"`
		}
		err = json.NewDecoder(response.Body).Decode(&state)
		_ = response.Body.Close()
		if err != nil || before != h.process() {
			continue
		}
		if before == process && state.Version.Number < last {
			h.soak.t.Errorf("host %d went back from version %d to %d", h.n, last, state.Version.Number)
		}
		process, last = before, state.Version.Number
	}
}

// fault returns which promise the outcome breaks for a request that ran so often, or "".
func (r *soakResult) fault(runs int) string {
	notRun := slices.Contains([]int{
		http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout,
	}, r.status)
	cut := errors.Is(r.err, io.EOF) || errors.Is(r.err, syscall.ECONNRESET)
	switch {
	case !r.repeatable && runs > 1:
		return "ran more than once"
	case !r.repeatable && runs > 0 && notRun:
		return "ran although it was called not run"
	case r.status == http.StatusOK && r.err == nil && runs == 0:
		return "was answered and didn't run"
	case r.status == http.StatusNotFound:
		return "got 404 for a route that all versions have"
	case runs > 0 && !r.disturbed && cut:
		return "was cut although its daemon wasn't killed"
	}
	return ""
}

// check looks at all requests after the end, when none can run any more.
func (s *soak) check() {
	served := 0
	for _, r := range s.sent {
		runs := 0
		for _, u := range s.lives {
			runs += u.Runs(r.id)
		}
		fault := r.fault(runs)
		if fault != "" {
			s.t.Errorf("seed %d: request %s %s %s: status %d, %v, %d runs; faults: %v", s.seed, r.id, r.path, fault, r.status,
				r.err, runs, s.faults)
		}
		if r.status == http.StatusOK {
			served++
		}
	}
	assert.Assert(s.t, served > 0)
	s.t.Logf("seed %d: %d of %d requests served, %d faults", s.seed, served, len(s.sent), len(s.faults))
}
