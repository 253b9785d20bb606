package integration_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
	"gotest.tools/v3/assert"

	"cicadacross"
	"cicadacross/integration/harness"
	"cicadacross/internal/idempotency"
	"cicadacross/internal/peerpb"
)

// leavingLimit is the time within which a leaving upstream must get no new work.
const leavingLimit = 3 * time.Second

func outcome(a harness.Answer) string { return a.Header.Get(cicadacross.HeaderOutcome) }

func newKey(t *testing.T) string {
	t.Helper()
	key, err := uuid.NewV7()
	assert.NilError(t, err)
	return key.String()
}

func keyed(key string) map[string]string {
	return map[string]string{cicadacross.HeaderIdempotencyKey: key}
}

// settle waits until keys made now are accepted by daemons that have just started: their time must be later than the
// start by the bound on clock skew.
func settle() { time.Sleep(6 * time.Second) }

// ownerOf returns the host that owns the key by the register of the fleet.
func ownerOf(t *testing.T, f *harness.Fleet, key string) *harness.Host {
	t.Helper()
	service, ok := f.Publication(1, "").Configuration().Service(harness.Service)
	assert.Assert(t, ok)
	owner, ok := idempotency.Owner(service, key)
	assert.Assert(t, ok)
	return f.Host(owner.Host())
}

// keyOwnedBy returns a new key that the host owns.
func keyOwnedBy(t *testing.T, f *harness.Fleet, host *harness.Host) string {
	t.Helper()
	for {
		if key := newKey(t); ownerOf(t, f, key) == host {
			return key
		}
	}
}

// Guards against a request that must not repeat and runs again when it is sent again, at once and through every daemon.
func TestKeyRunsOnceThroughAllDaemons(t *testing.T) {
	t.Parallel()
	f := harness.NewFleet(t, harness.Options{UpstreamFlags: []string{"--service-time=300ms"}})
	settle()
	key := newKey(t)
	answers := make([]harness.Answer, 2*len(f.Hosts("")))
	var group sync.WaitGroup
	for i := range answers {
		group.Go(func() {
			h := f.Hosts("")[i%len(f.Hosts(""))]
			answer, err := h.Request(context.Background(), "POST", "/confirm", "lot 7", keyed(key))
			assert.Check(t, err)
			answers[i] = answer
		})
	}
	group.Wait()
	for _, a := range answers {
		assert.Equal(t, outcome(a), "done", "%v", a)
		assert.Equal(t, a.Body, "lot 7")
	}
	assert.Equal(t, f.RunsOfKey(key), 1)
	other, err := f.Host("zone-a-1").Request(context.Background(), "POST", "/confirm", "lot 8", keyed(key))
	assert.NilError(t, err)
	assert.Equal(t, other.Status, http.StatusUnprocessableEntity, "%v", other)
	assert.Equal(t, other.Header.Get(cicadacross.HeaderReason), "key_reused")
	assert.Equal(t, f.RunsOfKey(key), 1)
}

// Guards against a second run when the daemon that holds the request is killed and the caller sends it again.
func TestKeyRunsOnceWhenOwnerIsKilled(t *testing.T) {
	t.Parallel()
	f := harness.NewFleet(t, harness.Options{UpstreamFlags: []string{"--service-time=1s"}})
	settle()
	owner := f.Host("zone-a-1")
	key := keyOwnedBy(t, f, owner)
	sent := make(chan harness.Answer, 1)
	var group sync.WaitGroup
	group.Go(func() {
		answer, err := f.Host("zone-b-1").Request(context.Background(), "POST", "/confirm", "lot", keyed(key))
		assert.Check(t, err)
		sent <- answer
	})
	harness.Eventually(t, startOfRun, "the request runs", func() bool { return f.RunsOfKey(key) == 1 })
	owner.Daemon.Kill()
	group.Wait()
	first := <-sent
	assert.Equal(t, outcome(first), "unknown", "%v", first)
	sendAgain(t, f, key)
	owner.StartDaemon()
	harness.Eventually(t, recovery, "the owner is back", func() bool { return owner.AppliedVersion(1) })
	sendAgain(t, f, key)
	assert.Equal(t, f.RunsOfKey(key), 1)
}

// startOfRun bounds the wait for a request to reach its upstream.
const startOfRun = 5 * time.Second

// sendAgain sends the key through every daemon that is alive and checks that none claims that it was done or is known
// never to have run.
func sendAgain(t *testing.T, f *harness.Fleet, key string) {
	t.Helper()
	for _, h := range f.Hosts("") {
		answer, err := h.Request(context.Background(), "POST", "/confirm", "lot", keyed(key))
		if err != nil {
			continue // the killed daemon
		}
		assert.Assert(t, outcome(answer) != "done", "%s: %v", h.Name(), answer)
		if outcome(answer) == "not-run" {
			assert.Equal(t, answer.Header.Get(cicadacross.HeaderEarlier), "unknown", "%s: %v", h.Name(), answer)
		}
	}
}

// Guards against a second run across a cut, while the configuration gives the key to another owner.
func TestKeyRunsOnceAcrossCutAndChange(t *testing.T) {
	t.Parallel()
	f := harness.NewFleet(t, harness.Options{})
	settle()
	var keys []string
	for range 20 {
		keys = append(keys, newKey(t))
	}
	f.CutZone("zone-b", true)
	// Zone-a learns of a register without one of its hosts, so that some keys change their owner there only.
	f.PublishWithout(2, "zone-a-1")
	harness.Eventually(t, convergence, "version 2 in zone-a", func() bool {
		return f.Host("zone-a-2").AppliedVersion(2)
	})
	for _, key := range keys {
		for _, name := range []string{"zone-b-1", "zone-a-2", "zone-b-2", "zone-a-1"} {
			_, err := f.Host(name).Request(context.Background(), "POST", "/confirm", "lot", keyed(key))
			assert.NilError(t, err)
		}
	}
	f.HealZone("zone-b")
	harness.Eventually(t, recovery, "version 2 in zone-b", func() bool {
		return f.Host("zone-b-1").AppliedVersion(2) && f.Host("zone-b-2").AppliedVersion(2)
	})
	done := 0
	for _, key := range keys {
		answer, err := f.Host("zone-b-2").Request(context.Background(), "POST", "/confirm", "lot", keyed(key))
		assert.NilError(t, err)
		if outcome(answer) == "done" {
			done++
		}
		assert.Assert(t, f.RunsOfKey(key) <= 1, "%d runs of one key", f.RunsOfKey(key))
	}
	assert.Assert(t, done > 0, "no key ran at all")
}

// Guards against a request that starts after its deadline because the daemon that held it was paused.
func TestPausedOwnerDoesNotStartLate(t *testing.T) {
	t.Parallel()
	f := harness.NewFleet(t, harness.Options{})
	settle()
	owner := f.Host("zone-a-1")
	key := keyOwnedBy(t, f, owner)
	owner.Daemon.Pause()
	header := keyed(key)
	header[cicadacross.HeaderTimeout] = "500"
	answer, err := f.Host("zone-b-1").Request(context.Background(), "POST", "/confirm", "lot", header)
	assert.NilError(t, err)
	assert.Assert(t, outcome(answer) != "done", "%v", answer)
	time.Sleep(time.Second)
	owner.Daemon.Resume()
	time.Sleep(observation)
	assert.Equal(t, f.RunsOfKey(key), 0)
}

// Guards against new work for an upstream that leaves, whichever source says so first, and against a refusal of what
// the others can serve.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	t.Parallel()
	f := harness.NewFleet(t, harness.Options{})
	tests := []struct {
		host  string
		leave func(host *harness.Host)
	}{
		{"zone-a-1", func(h *harness.Host) { f.Publish(2, leaving(h.Name())) }},
		{"zone-a-2", func(*harness.Host) { f.PublishHosts("zone-a-2") }},
		{"zone-b-1", func(h *harness.Host) { h.SetBehavior(map[string]any{"draining": true}) }},
	}
	for _, test := range tests {
		host := f.Host(test.host)
		test.leave(host)
		// Work goes on meanwhile, since the word of the upstream itself comes with its answers.
		for end := time.Now().Add(leavingLimit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			requestAll(t, f)
		}
		before := host.Executions().Started
		for range 20 {
			requestAll(t, f)
		}
		assert.Equal(t, host.Executions().Started, before, "%s still gets work", test.host)
	}
}

func requestAll(t *testing.T, f *harness.Fleet) {
	t.Helper()
	for _, h := range f.Hosts("") {
		answer, err := h.Request(context.Background(), "GET", "/", "", nil)
		assert.NilError(t, err)
		assert.Equal(t, outcome(answer), "done", "%s: %v", h.Name(), answer)
	}
}

// pieceSize is the size of one piece of a slow body. A body of several pieces is longer than the 64 KB that a daemon
// reads before it sends a request on, so that the upload is in progress at an upstream while it arrives.
const pieceSize = 20_000

// uploadSlots lets all uploads of a test run at one upstream at once: admission refuses an upload that waits too long.
const uploadSlots = 40

// slowBody is a body that arrives piece by piece.
type slowBody struct {
	pieces int
	pause  time.Duration
}

func (b *slowBody) Read(p []byte) (int, error) {
	if b.pieces == 0 {
		return 0, io.EOF
	}
	b.pieces--
	time.Sleep(b.pause)
	return copy(p, strings.Repeat("x", pieceSize)), nil
}

// Guards against a graceful shutdown that cuts an upload in progress, at the daemon that took it and at the one that
// runs it.
func TestShutdownCutsNoUpload(t *testing.T) {
	t.Parallel()
	f := harness.NewFleet(t, harness.Options{Zones: 1, HostsPerZone: 2, Slots: uploadSlots})
	var group sync.WaitGroup
	const uploads, pieces = 6, 40
	for range uploads {
		group.Go(func() {
			body := &slowBody{pieces: pieces, pause: 100 * time.Millisecond}
			request, err := http.NewRequest("PUT", f.Host("zone-a-1").URL("/upload"), body)
			assert.Check(t, err)
			request.Host = harness.Service
			response, err := http.DefaultClient.Do(request)
			if !assert.Check(t, err) {
				return
			}
			defer func() { _ = response.Body.Close() }()
			data, err := io.ReadAll(response.Body)
			assert.Check(t, err)
			assert.Check(t, len(data) == pieces*pieceSize, "%d bytes, status %d", len(data), response.StatusCode)
		})
	}
	harness.Eventually(t, startOfRun, "the uploads run", func() bool { return f.Runs() > 0 })
	time.Sleep(time.Second)
	f.Host("zone-a-2").Daemon.Terminate()
	f.Host("zone-a-1").Daemon.Terminate()
	group.Wait()
	for _, h := range f.Hosts("") {
		ended, err := h.Daemon.Wait(recovery)
		assert.Assert(t, ended, "%s does not end", h.Name())
		assert.NilError(t, err)
	}
}

// Guards against one request that crashes each upstream that runs it and takes the service down when it is sent again
// and again. The stated bound is two targets.
func TestCrashingRequestIsConfined(t *testing.T) {
	t.Parallel()
	f := harness.NewFleet(t, harness.Options{Zones: 2, HostsPerZone: 3, UpstreamFlags: []string{"--crash-path=/crash"}})
	const sends, targets = 15, 2
	for i := range sends {
		h := f.Hosts("")[i%len(f.Hosts(""))]
		_, err := h.Request(context.Background(), "GET", "/crash", "", nil)
		assert.NilError(t, err)
		time.Sleep(200 * time.Millisecond)
	}
	crashed := 0
	for _, h := range f.Hosts("") {
		if ended, _ := h.Upstream.Wait(0); ended {
			crashed++
		}
	}
	assert.Assert(t, crashed <= targets, "%d upstreams crashed", crashed)
	requestAll(t, f)
}

// Guards against a connection between daemons that went silent and blocks more than its own requests.
func TestSilentConnectionCostsItsOwnRequests(t *testing.T) {
	t.Parallel()
	f := harness.NewFleet(t, harness.Options{})
	requestAll(t, f)
	for _, h := range f.Hosts("zone-b") {
		f.Network().Link("zone-a", h.PeerAddress()).Silence()
	}
	h := f.Host("zone-a-1")
	for range 20 {
		answer, err := h.Request(context.Background(), "GET", "/", "", nil)
		assert.NilError(t, err)
		assert.Equal(t, outcome(answer), "done", "%v", answer)
	}
}

// Guards against calls on the peer address by anyone but a daemon.
func TestPeerCallsNeedTheFleetKey(t *testing.T) {
	t.Parallel()
	f := harness.NewFleet(t, harness.Options{Zones: 1, HostsPerZone: 1})
	conn, err := grpc.NewClient("passthrough:///"+f.Host("zone-a-1").PeerAddress(),
		grpc.WithTransportCredentials(insecure.NewCredentials()))
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = peerpb.NewDistributionClient(conn).Exchange(context.Background(), &peerpb.ExchangeRequest{})
	assert.Equal(t, status.Code(err), codes.Unauthenticated, "%v", err)
}

// Guards against refusals that don't say that the request did not run, and against requests that should be refused.
func TestBadRequestsAreRefused(t *testing.T) {
	t.Parallel()
	f := harness.NewFleet(t, harness.Options{Zones: 1, HostsPerZone: 1})
	tests := []struct {
		name   string
		path   string
		header map[string]string
		status int
	}{
		{"unknown rank", "/", map[string]string{cicadacross.HeaderRank: "highest"}, http.StatusBadRequest},
		{"time limit in the past", "/", map[string]string{cicadacross.HeaderTimeout: "-5"}, http.StatusBadRequest},
		{"time limit not a number", "/", map[string]string{cicadacross.HeaderTimeout: "soon"}, http.StatusBadRequest},
		{"too deep", "/", map[string]string{cicadacross.HeaderDepth: "33"}, http.StatusBadRequest},
		{"forged internal header", "/", map[string]string{"X-Mesh-Internal-Owner": "me"}, http.StatusBadRequest},
		{"no key", "/confirm", nil, http.StatusPreconditionRequired},
	}
	for _, test := range tests {
		answer, err := f.Host("zone-a-1").Request(context.Background(), "POST", test.path, "", test.header)
		assert.NilError(t, err, test.name)
		assert.Equal(t, answer.Status, test.status, "%s: %v", test.name, answer)
		assert.Equal(t, outcome(answer), "not-run", test.name)
	}
	assert.Equal(t, f.Runs(), 0)
}

// Guards against chains of calls that lose the deadline or the rank on the way down, up to the depth that users need.
func TestChainOfCalls(t *testing.T) {
	t.Parallel()
	f := harness.NewFleet(t, harness.Options{Slots: 40})
	const depth = 29
	answer, err := f.Host("zone-a-1").Chain(context.Background(), depth)
	assert.NilError(t, err)
	assert.Equal(t, outcome(answer), "done", "%v", answer)
	assert.Equal(t, f.Runs(), depth)
}

// Guards against repeatable requests that are refused, though other targets could serve them, because hosts that leave
// or die, or whose upstreams are dead, use up the attempts or the retry budget.
func TestLeavingAndDeadHostsCostNoRequests(t *testing.T) {
	t.Parallel()
	f := harness.NewFleet(t, harness.Options{Zones: 2, HostsPerZone: 5})
	requestAll(t, f)
	f.Host("zone-a-2").SetBehavior(map[string]any{"draining": true})
	for _, name := range []string{"zone-a-3", "zone-a-4", "zone-b-5"} {
		f.Host(name).Daemon.Kill()
	}
	for _, name := range []string{"zone-a-1", "zone-a-5", "zone-b-1", "zone-b-2", "zone-b-3"} {
		f.Host(name).Upstream.Kill()
	}
	for range 40 {
		answer, err := f.Host("zone-a-1").Request(context.Background(), "GET", "/", "", nil)
		assert.NilError(t, err)
		assert.Equal(t, outcome(answer), "done", "%v", answer)
	}
}

// Guards against keyed requests that stay refused after ordinary events in a healthy fleet: a change of the register
// and a restart of one daemon.
func TestKeysAreServedSoonAfterChangeAndRestart(t *testing.T) {
	t.Parallel()
	f := harness.NewFleet(t, harness.Options{HostsPerZone: 3})
	settle()
	f.PublishWithout(2, "zone-b-3")
	harness.Eventually(t, convergence, "version 2 everywhere", atVersion(f, 2))
	harness.Eventually(t, convergence, "keys are served after the change", func() bool { return keysServed(t, f) })
	f.Publish(3, "")
	harness.Eventually(t, convergence, "version 3 everywhere", atVersion(f, 3))
	harness.Eventually(t, convergence, "keys are served after the host is back", func() bool { return keysServed(t, f) })
	restarted := f.Host("zone-a-2")
	restarted.Daemon.Kill()
	restarted.StartDaemon()
	harness.Eventually(t, recovery, "keys are served after the restart", func() bool { return keysServed(t, f) })
}

// keysServed reports whether twelve new keys are all served.
func keysServed(t *testing.T, f *harness.Fleet) bool {
	t.Helper()
	for range 12 {
		answer, err := f.Host("zone-a-1").Request(context.Background(), "POST", "/confirm", "lot", keyed(newKey(t)))
		assert.NilError(t, err)
		if outcome(answer) != "done" {
			return false
		}
	}
	return true
}
