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

// leavingPropagationLimit is the time after which an upstream that leaves must get no new requests.
const leavingPropagationLimit = 3 * time.Second

func outcomeOf(response harness.Response) string {
	return response.Header.Get(cicadacross.HeaderOutcome)
}

func newKey(t *testing.T) string {
	t.Helper()
	key, err := uuid.NewV7()
	assert.NilError(t, err)
	return key.String()
}

func keyHeader(key string) map[string]string {
	return map[string]string{cicadacross.HeaderIdempotencyKey: key}
}

// awaitKeyAcceptance waits until daemons that have just started accept new idempotency keys: the time in a key must be
// later than the start of the daemon by at least the bound on clock skew.
func awaitKeyAcceptance() { time.Sleep(6 * time.Second) }

// ownerOf returns the host that owns the idempotency key according to the register of version 1.
func ownerOf(t *testing.T, f *harness.Fleet, key string) *harness.Host {
	t.Helper()
	service, ok := f.Publication(1, "").Configuration().Service(harness.Service)
	assert.Assert(t, ok)
	owner, ok := idempotency.Owner(service, key)
	assert.Assert(t, ok)
	return f.Host(owner.Host())
}

// keyOwnedBy returns a new idempotency key that the host owns.
func keyOwnedBy(t *testing.T, f *harness.Fleet, host *harness.Host) string {
	t.Helper()
	for {
		if key := newKey(t); ownerOf(t, f, key) == host {
			return key
		}
	}
}

// Guards against a second execution of a non-repeatable request when the same key is sent concurrently through every
// daemon, and against a key that is accepted again with another body.
func TestKeyRunsOnceThroughAllDaemons(t *testing.T) {
	t.Parallel()
	f := harness.NewFleet(t, harness.Options{UpstreamFlags: []string{"--service-time=300ms"}})
	awaitKeyAcceptance()
	key := newKey(t)
	responses := make([]harness.Response, 2*len(f.Hosts("")))
	var group sync.WaitGroup
	for i := range responses {
		group.Go(func() {
			h := f.Hosts("")[i%len(f.Hosts(""))]
			response, err := h.Request(context.Background(), "POST", "/confirm", "lot 7", keyHeader(key))
			assert.Check(t, err)
			responses[i] = response
		})
	}
	group.Wait()
	for _, response := range responses {
		assert.Equal(t, outcomeOf(response), "done", "%v", response)
		assert.Equal(t, response.Body, "lot 7")
	}
	assert.Equal(t, f.ExecutionsOfKey(key), 1)
	other, err := f.Host("zone-a-1").Request(context.Background(), "POST", "/confirm", "lot 8", keyHeader(key))
	assert.NilError(t, err)
	assert.Equal(t, other.Status, http.StatusUnprocessableEntity, "%v", other)
	assert.Equal(t, other.Header.Get(cicadacross.HeaderReason), "key_reused")
	assert.Equal(t, f.ExecutionsOfKey(key), 1)
}

// Guards against a second execution when the daemon that owns the key is killed while the request runs, and the caller
// sends the request again.
func TestKeyRunsOnceWhenOwnerIsKilled(t *testing.T) {
	t.Parallel()
	f := harness.NewFleet(t, harness.Options{UpstreamFlags: []string{"--service-time=1s"}})
	awaitKeyAcceptance()
	owner := f.Host("zone-a-1")
	key := keyOwnedBy(t, f, owner)
	sent := make(chan harness.Response, 1)
	var group sync.WaitGroup
	group.Go(func() {
		response, err := f.Host("zone-b-1").Request(context.Background(), "POST", "/confirm", "lot", keyHeader(key))
		assert.Check(t, err)
		sent <- response
	})
	harness.Eventually(t, executionStartLimit, "the request runs", func() bool { return f.ExecutionsOfKey(key) == 1 })
	owner.Daemon.Kill()
	group.Wait()
	first := <-sent
	assert.Equal(t, outcomeOf(first), "unknown", "%v", first)
	resendThroughAll(t, f, key)
	owner.StartDaemon()
	harness.Eventually(t, recoveryLimit, "the owner is ready again", func() bool { return owner.HasApplied(1) })
	resendThroughAll(t, f, key)
	assert.Equal(t, f.ExecutionsOfKey(key), 1)
}

// executionStartLimit is the longest wait for a request to reach its upstream.
const executionStartLimit = 5 * time.Second

// resendThroughAll sends the key through every running daemon and checks that none responds "done", and that a
// response "not-run" says that the outcome of earlier attempts is unknown.
func resendThroughAll(t *testing.T, f *harness.Fleet, key string) {
	t.Helper()
	for _, h := range f.Hosts("") {
		response, err := h.Request(context.Background(), "POST", "/confirm", "lot", keyHeader(key))
		if err != nil {
			continue // the killed daemon
		}
		assert.Assert(t, outcomeOf(response) != "done", "%s: %v", h.Name(), response)
		if outcomeOf(response) == "not-run" {
			assert.Equal(t, response.Header.Get(cicadacross.HeaderEarlier), "unknown", "%s: %v", h.Name(), response)
		}
	}
}

// Guards against a second execution during a partition in which one side has a newer configuration that assigns some
// keys to other owners.
func TestKeyRunsOnceAcrossCutAndChange(t *testing.T) {
	t.Parallel()
	f := harness.NewFleet(t, harness.Options{})
	awaitKeyAcceptance()
	var keys []string
	for range 20 {
		keys = append(keys, newKey(t))
	}
	f.PartitionZone("zone-b", true)
	// Zone-a gets a register without one of its hosts, so that some keys have another owner in zone-a only.
	f.PublishWithout(2, "zone-a-1")
	harness.Eventually(t, convergenceLimit, "version 2 in zone-a", func() bool {
		return f.Host("zone-a-2").HasApplied(2)
	})
	for _, key := range keys {
		for _, name := range []string{"zone-b-1", "zone-a-2", "zone-b-2", "zone-a-1"} {
			_, err := f.Host(name).Request(context.Background(), "POST", "/confirm", "lot", keyHeader(key))
			assert.NilError(t, err)
		}
	}
	f.HealZone("zone-b")
	harness.Eventually(t, recoveryLimit, "version 2 in zone-b", func() bool {
		return f.Host("zone-b-1").HasApplied(2) && f.Host("zone-b-2").HasApplied(2)
	})
	done := 0
	for _, key := range keys {
		response, err := f.Host("zone-b-2").Request(context.Background(), "POST", "/confirm", "lot", keyHeader(key))
		assert.NilError(t, err)
		if outcomeOf(response) == "done" {
			done++
		}
		assert.Assert(t, f.ExecutionsOfKey(key) <= 1, "%d executions of one key", f.ExecutionsOfKey(key))
	}
	assert.Assert(t, done > 0, "no request was done")
}

// Guards against a request that starts after its deadline because the daemon that owns its key was paused.
func TestPausedOwnerDoesNotRunExpiredRequest(t *testing.T) {
	t.Parallel()
	f := harness.NewFleet(t, harness.Options{})
	awaitKeyAcceptance()
	owner := f.Host("zone-a-1")
	key := keyOwnedBy(t, f, owner)
	owner.Daemon.Pause()
	header := keyHeader(key)
	header[cicadacross.HeaderTimeout] = "500"
	response, err := f.Host("zone-b-1").Request(context.Background(), "POST", "/confirm", "lot", header)
	assert.NilError(t, err)
	assert.Assert(t, outcomeOf(response) != "done", "%v", response)
	time.Sleep(time.Second)
	owner.Daemon.Resume()
	time.Sleep(observationPeriod)
	assert.Equal(t, f.ExecutionsOfKey(key), 0)
}

// Guards against new requests to an upstream that leaves, whether the rules, the host list of the platform or the
// upstream itself announces it, and against refusing requests that other upstreams can serve.
func TestLeavingUpstreamGetsNoNewRequests(t *testing.T) {
	t.Parallel()
	f := harness.NewFleet(t, harness.Options{})
	tests := []struct {
		host  string
		leave func(host *harness.Host)
	}{
		{"zone-a-1", func(h *harness.Host) { f.Publish(2, leavingHostRule(h.Name())) }},
		{"zone-a-2", func(*harness.Host) { f.PublishHostList("zone-a-2") }},
		{"zone-b-1", func(h *harness.Host) { h.SetBehavior(map[string]any{"draining": true}) }},
	}
	for _, test := range tests {
		host := f.Host(test.host)
		test.leave(host)
		// Requests must continue meanwhile, since the upstream announces that it drains in its responses.
		for end := time.Now().Add(leavingPropagationLimit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			requestThroughAll(t, f)
		}
		before := host.Executions().Started
		for range 20 {
			requestThroughAll(t, f)
		}
		assert.Equal(t, host.Executions().Started, before, "%s still gets work", test.host)
	}
}

func requestThroughAll(t *testing.T, f *harness.Fleet) {
	t.Helper()
	for _, h := range f.Hosts("") {
		response, err := h.Request(context.Background(), "GET", "/", "", nil)
		assert.NilError(t, err)
		assert.Equal(t, outcomeOf(response), "done", "%s: %v", h.Name(), response)
	}
}

// pieceSize is the size of one piece of a slow body in bytes. A body of several pieces exceeds the 64 KB that a daemon
// buffers before it forwards a request, so that an upstream runs the upload while it still arrives.
const pieceSize = 20_000

// uploadSlots is large enough to run all uploads of a test at one upstream at once: admission refuses an upload that
// waits too long.
const uploadSlots = 40

// slowBody is a request body that is read in pieces, with a pause before each piece.
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

// Guards against a graceful shutdown that aborts an upload in progress, both at the daemon that received it and at the
// daemon whose upstream runs it.
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
	harness.Eventually(t, executionStartLimit, "the uploads run", func() bool { return f.ExecutionCount() > 0 })
	time.Sleep(time.Second)
	f.Host("zone-a-2").Daemon.Terminate()
	f.Host("zone-a-1").Daemon.Terminate()
	group.Wait()
	for _, h := range f.Hosts("") {
		ended, err := h.Daemon.Wait(recoveryLimit)
		assert.Assert(t, ended, "%s did not exit", h.Name())
		assert.NilError(t, err)
	}
}

// Guards against a request that crashes every upstream that runs it and takes down the service when callers keep
// sending it. The stated limit is two crashed targets.
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
	requestThroughAll(t, f)
}

// Guards against a connection between daemons that carries no more data and blocks requests other than its own.
func TestUnresponsiveConnectionBlocksOnlyItsRequests(t *testing.T) {
	t.Parallel()
	f := harness.NewFleet(t, harness.Options{})
	requestThroughAll(t, f)
	for _, h := range f.Hosts("zone-b") {
		f.Network().Link("zone-a", h.PeerAddress()).Blackhole()
	}
	h := f.Host("zone-a-1")
	for range 20 {
		response, err := h.Request(context.Background(), "GET", "/", "", nil)
		assert.NilError(t, err)
		assert.Equal(t, outcomeOf(response), "done", "%v", response)
	}
}

// Guards against a peer address that accepts calls without the fleet key.
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

// Guards against accepting invalid requests, and against refusals without the outcome "not-run".
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
		response, err := f.Host("zone-a-1").Request(context.Background(), "POST", test.path, "", test.header)
		assert.NilError(t, err, test.name)
		assert.Equal(t, response.Status, test.status, "%s: %v", test.name, response)
		assert.Equal(t, outcomeOf(response), "not-run", test.name)
	}
	assert.Equal(t, f.ExecutionCount(), 0)
}

// Guards against nested requests that fail at the depth that users need: each upstream calls its daemon again, so that
// the deadline and the rank must be passed on 28 times.
func TestChainOfCalls(t *testing.T) {
	t.Parallel()
	f := harness.NewFleet(t, harness.Options{Slots: 40})
	const depth = 29
	response, err := f.Host("zone-a-1").NestedRequests(context.Background(), depth)
	assert.NilError(t, err)
	assert.Equal(t, outcomeOf(response), "done", "%v", response)
	assert.Equal(t, f.ExecutionCount(), depth)
}

// Guards against refusing repeatable requests that other targets could serve, because attempts at leaving hosts, dead
// hosts or hosts with a dead upstream use up the attempts or the retry budget.
func TestLeavingAndDeadHostsFailNoRequests(t *testing.T) {
	t.Parallel()
	f := harness.NewFleet(t, harness.Options{Zones: 2, HostsPerZone: 5})
	requestThroughAll(t, f)
	f.Host("zone-a-2").SetBehavior(map[string]any{"draining": true})
	for _, name := range []string{"zone-a-3", "zone-a-4", "zone-b-5"} {
		f.Host(name).Daemon.Kill()
	}
	for _, name := range []string{"zone-a-1", "zone-a-5", "zone-b-1", "zone-b-2", "zone-b-3"} {
		f.Host(name).Upstream.Kill()
	}
	for range 40 {
		response, err := f.Host("zone-a-1").Request(context.Background(), "GET", "/", "", nil)
		assert.NilError(t, err)
		assert.Equal(t, outcomeOf(response), "done", "%v", response)
	}
}

// Guards against requests with idempotency keys that are still refused after ordinary events in a healthy fleet: a
// change of the register and a restart of one daemon.
func TestKeysAreServedSoonAfterChangeAndRestart(t *testing.T) {
	t.Parallel()
	f := harness.NewFleet(t, harness.Options{HostsPerZone: 3})
	awaitKeyAcceptance()
	f.PublishWithout(2, "zone-b-3")
	harness.Eventually(t, convergenceLimit, "version 2 everywhere", fleetAtVersion(f, 2))
	harness.Eventually(t, convergenceLimit, "keys are served after the change", func() bool { return keysServed(t, f) })
	f.Publish(3, "")
	harness.Eventually(t, convergenceLimit, "version 3 everywhere", fleetAtVersion(f, 3))
	harness.Eventually(t, convergenceLimit, "keys are served after the host is back", func() bool {
		return keysServed(t, f)
	})
	restarted := f.Host("zone-a-2")
	restarted.Daemon.Kill()
	restarted.StartDaemon()
	harness.Eventually(t, recoveryLimit, "keys are served after the restart", func() bool { return keysServed(t, f) })
}

// keysServed reports whether twelve requests with new idempotency keys are all done.
func keysServed(t *testing.T, f *harness.Fleet) bool {
	t.Helper()
	for range 12 {
		response, err := f.Host("zone-a-1").Request(context.Background(), "POST", "/confirm", "lot", keyHeader(newKey(t)))
		assert.NilError(t, err)
		if outcomeOf(response) != "done" {
			return false
		}
	}
	return true
}
