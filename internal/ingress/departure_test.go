package ingress_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	standin "cicadacross/internal/standin/upstream"
)

// Guards against requests that wait for a slot of an upstream that leaves, and reach it when it has ended or is about
// to (review/10): their callers lost them. Others that must not repeat are sent elsewhere at once.
func TestWaitingRequestsMoveFromALeavingUpstream(t *testing.T) {
	const drain, slow = 2 * time.Second, 1500 * time.Millisecond
	f := newFleet(t, fleetOptions{slots: 1, upstreamDrain: drain, behavior: standin.Behavior{
		ServiceTimes: map[string]time.Duration{"/pages/slow": slow, "/publish/slow": slow},
	}})
	leaving, other := f.nodes[0], f.nodes[1]
	results := make(chan callResult, 10)
	call := func(method, path string) {
		go func() { results <- f.call(1, method, path, strings.NewReader("x"), "Idempotency-Key: "+path) }()
	}
	call("GET", "/pages/slow")
	waitFor(t, "the running request", func() bool { return leaving.standin.InProgress() == 1 })
	for n := 2; n <= 4; n++ {
		call("GET", "/pages/slow")
		waitFor(t, "the queue", func() bool { return leaving.owner.InProgress() == n })
	}
	leaving.owner.UpstreamLeaves("t0")
	began := time.Now()
	waitFor(t, "the requests to leave the queue", func() bool { return leaving.owner.InProgress() <= 1 })
	assert.Assert(t, time.Since(began) < drain/2, "they left it after %v", time.Since(began))
	for range 4 {
		got := <-results
		assert.Check(t, got.status == 200 || got.status == 503, "got status %d: %s", got.status, got.body)
	}
	assert.Equal(t, leaving.standin.Executions().Started, 1)
	assert.Assert(t, other.standin.Executions().Started >= 1)
}

// Guards against an upstream that gets no requests, or refuses those that wait for it, after another one has left its
// host.
func TestNextUpstreamOfAHostIsNotLeaving(t *testing.T) {
	f := newFleet(t, fleetOptions{slots: 1, upstreamDrain: time.Second, behavior: standin.Behavior{
		ServiceTimes: map[string]time.Duration{"/pages/slow": 300 * time.Millisecond},
	}})
	owner := f.nodes[0].owner
	owner.UpstreamLeaves("t0")
	time.Sleep(600 * time.Millisecond)
	owner.UpstreamServes()
	results := make(chan callResult, 3)
	for range 3 {
		go func() { results <- f.call(0, "GET", "/pages/slow", nil) }()
	}
	for range 3 {
		assert.Equal(t, (<-results).outcome(), "done")
	}
	assert.Equal(t, f.nodes[0].standin.Executions().Started, 3)
}
