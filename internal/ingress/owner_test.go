package ingress_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/net/idna"
	"gotest.tools/v3/assert"

	"cicadacross"
	"cicadacross/internal/relay"
	standin "cicadacross/internal/standin/upstream"
	"cicadacross/internal/timer"
)

// preemptingAdmission is an admission policy that records the function which preempts the latest preemptible request.
type preemptingAdmission struct {
	*fifoAdmission
	cancel atomic.Pointer[func()]
}

func (p *preemptingAdmission) Acquire(ctx context.Context, w cicadacross.SlotRequest) (cicadacross.Slot, error) {
	if cancel := w.Cancel(); cancel != nil {
		p.cancel.Store(&cancel)
	}
	return p.fifoAdmission.Acquire(ctx, w)
}

// Guards against a preempted request that continues to run or keeps its slot, and against a retry that starts it again
// at once.
func TestPreemptedRequest(t *testing.T) {
	policy := &preemptingAdmission{fifoAdmission: newFIFOAdmission(1)}
	f := newFleet(t, fleetOptions{admission: policy, behavior: standin.Behavior{
		ServiceTimes: map[string]time.Duration{"/pages/slow": time.Minute, "/publish/slow": 100 * time.Millisecond},
	}})
	got := make(chan callResult)
	go func() { got <- f.call(1, "GET", "/pages/slow", nil) }()
	waitFor(t, "the request", func() bool { return f.nodes[0].standin.InProgress() == 1 })
	(*policy.cancel.Load())()
	a := <-got
	assert.Equal(t, a.status, 503)
	assert.Equal(t, a.outcome(), "unknown")
	assert.Equal(t, a.header.Get("X-Mesh-Reason"), relay.FailurePreempted)
	assert.Equal(t, f.nodes[1].standin.Executions().Started, 0)
	policy.cancel.Store(nil)
	a = f.call(1, "POST", "/publish/slow", nil, "Idempotency-Key: k")
	assert.Equal(t, a.outcome(), "done")
	assert.Assert(t, policy.cancel.Load() == nil, "a request that must not repeat can't be ended")
}

// Guards against a keyed request that runs at a target that doesn't own the key, and against one that is refused though
// its daemons agree a moment later.
func TestOwnersMustAgree(t *testing.T) {
	var ownersAgree atomic.Bool
	f := newFleet(t, fleetOptions{ownersAgree: &ownersAgree})
	a := f.call(1, "POST", "/publish/a", strings.NewReader("x"), "Idempotency-Key: k")
	assert.Equal(t, a.status, 503, a.body)
	assert.Equal(t, a.outcome(), "not-run")
	assert.Equal(t, a.header.Get("X-Mesh-Reason"), relay.RefusalMisrouted)
	assert.Equal(t, f.nodes[0].standin.Executions().Started+f.nodes[1].standin.Executions().Started, 0)

	got := make(chan callResult)
	go func() { got <- f.call(1, "POST", "/publish/a", strings.NewReader("x"), "Idempotency-Key: k") }()
	waitFor(t, "the first refusal", func() bool { return f.misroutings.Load() > 3 })
	ownersAgree.Store(true)
	assert.Equal(t, (<-got).outcome(), "done")
}

// Guards against a request that crashes one upstream after another, and against a request that is suspected although it
// only waited for a slot when the upstream crashed.
func TestCrashingRequestIsNotSentAgain(t *testing.T) {
	f := newFleet(t, fleetOptions{slots: 1, behavior: standin.Behavior{
		CrashPath: "/pages/crash", ServiceTimes: map[string]time.Duration{"/pages/slow": 200 * time.Millisecond},
	}})
	n := f.nodes[0]
	address := n.standin.Address()
	slow, waiting := make(chan callResult), make(chan callResult)
	go func() { slow <- f.call(0, "GET", "/pages/slow", nil) }()
	waitFor(t, "the slow request", func() bool { return n.standin.InProgress() == 1 })
	go func() { waiting <- f.call(0, "GET", "/pages/crash", nil) }()
	waitFor(t, "the queue", func() bool { return n.owner.InProgress() == 2 })
	go func() { waiting <- f.call(0, "GET", "/pages/innocent", nil) }()
	waitFor(t, "the queue", func() bool { return n.owner.InProgress() == 3 })
	assert.Equal(t, (<-slow).outcome(), "done")
	<-waiting
	<-waiting
	assert.Equal(t, f.nodes[1].standin.Executions().ByPath["/pages/crash"], 0, "a crash must not spread by a retry")
	next := standin.New(standin.Options{Timers: timer.System{}})
	assert.NilError(t, next.Start(address))
	defer next.Close()
	got := f.call(0, "GET", "/pages/crash", nil)
	assert.Equal(t, got.status, 503)
	assert.Equal(t, got.outcome(), "not-run")
	assert.Equal(t, got.header.Get("X-Mesh-Reason"), relay.RefusalQuarantined)
	assert.Equal(t, f.call(0, "GET", "/pages/innocent", nil).outcome(), "done")
	assert.Equal(t, next.Executions().ByPath["/pages/crash"], 0)
}

// Guards against an ingress daemon that sends a quarantined request to the next target, although the refusal of the
// first owner shows that it crashes upstreams.
func TestRefusalInformsOfQuarantinedRequests(t *testing.T) {
	f := newFleet(t, fleetOptions{})
	informed := f.nodes[0].quarantine
	fingerprint := relay.Fingerprint("portal", "GET", "/pages/crash", nil)
	informed.Merge([]cicadacross.Suspect{{Fingerprint: fingerprint, Crashes: 2}})
	got := f.call(1, "GET", "/pages/crash", nil)
	assert.Equal(t, got.outcome(), "not-run", got.body)
	assert.Assert(t, f.nodes[1].quarantine.IsQuarantined(fingerprint))
	assert.Equal(t, f.nodes[1].standin.Executions().Started, 0)
}

// Guards against a second attempt with a key that is refused before its owner is asked, and whose response then denies
// the run of the first attempt: here the body doesn't arrive in time.
func TestRefusalOfAFurtherSendDoesNotDenyTheFirst(t *testing.T) {
	f := newFleet(t, fleetOptions{})
	got := f.call(0, "POST", "/publish/a", strings.NewReader("x"), "Idempotency-Key: k")
	assert.Equal(t, got.outcome(), "done", got.body)
	body, late := io.Pipe()
	defer func() { _ = late.Close() }()
	got = f.call(0, "POST", "/publish/a", body, "Idempotency-Key: k", "X-Mesh-Timeout: 50")
	assert.NilError(t, got.err)
	assert.Equal(t, got.outcome(), "not-run")
	assert.Equal(t, got.header.Get("X-Mesh-Earlier"), "unknown", "%d %s", got.status, got.body)
}

// Guards against responses that are lost at the lengths where the messages between daemons change: one message, a head
// with a first chunk, several chunks.
func TestAnswersOfAllLengths(t *testing.T) {
	f := newFleet(t, fleetOptions{})
	const head, chunk = relay.MaxInlineBody, relay.ChunkSize
	for _, size := range []int{
		0, 1, head - 1, head, head + 1, (head + chunk) / 2, chunk - 1, chunk, chunk + 1, head + chunk,
		2 * chunk, 10*chunk + 7,
	} {
		body := strings.Repeat("x", size)
		for host := range 2 {
			got := f.call(host, "POST", "/pages/a", strings.NewReader(body))
			assert.NilError(t, got.err, "%d bytes", size)
			assert.Equal(t, got.outcome(), "done", "%d bytes", size)
			assert.Equal(t, len(got.body), size)
		}
	}
}

// Guards against a service that callers can't address, since host names in HTTP ignore case and allow only ASCII.
func TestHostNamesTheService(t *testing.T) {
	f := newFleet(t, fleetOptions{hosts: 1})
	cyrillic, err := idna.ToASCII("портал")
	assert.NilError(t, err)
	for host, want := range map[string]string{
		"portal": "", "PORTAL": "", "Portal:8080": "", cyrillic: "no service \"портал\"", "nowhere": "no service \"nowhere\"",
	} {
		request, err := http.NewRequest("GET", "http://"+f.nodes[0].callerAddress+"/pages/a", http.NoBody)
		assert.NilError(t, err)
		request.Host = host
		response, err := http.DefaultClient.Do(request)
		assert.NilError(t, err)
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, strings.TrimSpace(string(body)), want, host)
	}
}
