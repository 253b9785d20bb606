package ingress_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadacross/internal/ingress"
)

const (
	// cpuOfRequest and cpuOfRefusal are the CPU time that the simulated process needs for an accepted and for a refused
	// request; callerPatience is the time after which a caller leaves.
	cpuOfRequest   = 4 * time.Millisecond
	cpuOfRefusal   = 400 * time.Microsecond
	callerPatience = 500 * time.Millisecond
	// stepsOfRequest is the number of times that an accepted request waits in the run queue.
	stepsOfRequest = 10
)

// cpuSimulation is a process that serves requests in the order in which they need the CPU.
type cpuSimulation struct {
	now     time.Time
	backlog time.Duration // CPU time of the requests that were accepted and are not finished
	guard   *ingress.OverloadGuard
}

// result counts the requests of one urgency.
type result struct{ offered, accepted, onTime int }

// run offers the number of requests per second for the duration, of urgencies 1 and 2 in turn.
func (c *cpuSimulation) run(perSecond int, duration time.Duration) map[int]*result {
	results := map[int]*result{1: {}, 2: {}}
	interval := time.Second / time.Duration(perSecond)
	for i := range int(duration / interval) {
		c.now = c.now.Add(interval)
		c.backlog = max(0, c.backlog-interval)
		urgency := i%2 + 1
		r := results[urgency]
		r.offered++
		// A goroutine waits for one of the steps of each request before it.
		if c.guard != nil && !c.guard.Admits(c.now, c.backlog/stepsOfRequest, urgency) {
			c.backlog += cpuOfRefusal
			continue
		}
		r.accepted++
		c.backlog += cpuOfRequest
		if c.backlog <= callerPatience {
			r.onTime++
		}
	}
	return results
}

// Guards against a daemon that accepts more requests than its CPU can forward and finishes them after their callers
// have left: with twice as many as it can forward, most of those that it can must be answered in time.
func TestOverloadedProcessAnswersWhatItAccepts(t *testing.T) {
	const perSecond = 500 // the CPU forwards 250
	unguarded := (&cpuSimulation{now: time.Unix(1000, 0)}).run(perSecond, 10*time.Second)
	assert.Assert(t, unguarded[1].onTime+unguarded[2].onTime < perSecond)
	guarded := &cpuSimulation{now: time.Unix(1000, 0), guard: &ingress.OverloadGuard{}}
	results := guarded.run(perSecond, 10*time.Second)
	onTime := results[1].onTime + results[2].onTime
	accepted := results[1].accepted + results[2].accepted
	assert.Assert(t, onTime >= 10*perSecond*2/5, "%d of %d on time", onTime, 10*perSecond)
	assert.Assert(t, float64(onTime) >= 0.9*float64(accepted), "%d of %d accepted ones on time", onTime, accepted)
}

// Guards against an overload in which urgent requests are refused before less urgent ones, and against less urgent ones
// that get no service at all.
func TestOverloadRefusesTheLeastUrgentFirst(t *testing.T) {
	c := &cpuSimulation{now: time.Unix(1000, 0), guard: &ingress.OverloadGuard{}}
	results := c.run(400, 10*time.Second)
	urgent, other := results[1], results[2]
	assert.Assert(t, float64(urgent.accepted) >= 0.9*float64(urgent.offered), "%+v", urgent)
	assert.Assert(t, other.accepted < urgent.accepted)
	assert.Assert(t, float64(other.accepted) >= 0.04*float64(other.offered), "%+v", other)
}

// Guards against refusals that go on after the overload has ended, and against any without an overload.
func TestRefusalsEndWithTheOverload(t *testing.T) {
	c := &cpuSimulation{now: time.Unix(1000, 0), guard: &ingress.OverloadGuard{}}
	calm := c.run(200, 5*time.Second)
	assert.Equal(t, calm[1].accepted+calm[2].accepted, calm[1].offered+calm[2].offered)
	c.run(800, 5*time.Second)
	c.run(100, 2*time.Second)
	after := c.run(200, 5*time.Second)
	assert.Equal(t, after[1].accepted+after[2].accepted, after[1].offered+after[2].offered)
}

// Guards against a lag that is measured before a pause without requests and applied after it.
func TestRefusalsEndWithoutRequests(t *testing.T) {
	guard := &ingress.OverloadGuard{}
	now := time.Unix(1000, 0)
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		guard.Admits(now, 200*time.Millisecond, 1)
	}
	now = now.Add(5 * time.Second)
	for range 10 {
		assert.Assert(t, guard.Admits(now, 0, 1))
	}
}

// Guards against transfers whose size is known only from the responses and that cross availability zones, and against
// one large response that makes a route count as large.
func TestTransferSizesAreLearned(t *testing.T) {
	var sizes ingress.TransferSizes
	assert.Assert(t, !sizes.IsLarge("sheet"))
	for range 20 {
		sizes.Record("sheet", 90_000)
		sizes.Record("lookup", 5_000)
	}
	sizes.Record("lookup", 200_000)
	assert.Assert(t, sizes.IsLarge("sheet"))
	assert.Assert(t, !sizes.IsLarge("lookup"))
}

// Guards against the calls of running requests that are refused like new requests, since one owner has just started and
// doesn't know them, and against a route of callers that is exempt from refusals.
func TestMostOwnersTellUpstreamCalls(t *testing.T) {
	var calls ingress.UpstreamCalls
	assert.Assert(t, !calls.Contains("profile"))
	for i := range 100 {
		calls.Record("profile", i%5 != 0)
		calls.Record("lookup", i%5 == 0)
	}
	assert.Assert(t, calls.Contains("profile"))
	assert.Assert(t, !calls.Contains("lookup"))
	for range 20 {
		calls.Record("profile", false)
	}
	assert.Assert(t, !calls.Contains("profile"))
}
