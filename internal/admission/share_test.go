package admission_test

import (
	"errors"
	"flag"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cicadacross"
	"cicadacross/internal/admission"
	"cicadacross/internal/timer"
)

// gateClient offers requests to a gate on a manual clock and keeps the slots it got.
type gateClient struct {
	gate           *admission.Gate
	clock          *timer.Manual
	heldSlots      map[string][]cicadacross.Slot
	grantedCount   map[string]int
	refused        []*admission.Error
	preemptedCount int
}

func newClient(slots int) *gateClient {
	clock := timer.NewManual(time.Unix(0, 0))
	opts := cicadacross.AdmissionOptions{Slots: slots, Timers: clock, LeastUrgent: bulkRank.Urgency()}
	return &gateClient{
		gate: admission.NewShare(opts), clock: clock,
		heldSlots: make(map[string][]cicadacross.Slot), grantedCount: make(map[string]int),
	}
}

// offer requests a slot. Preempting the request releases its slot; only repeatable requests may be preempted.
func (c *gateClient) offer(route string, rank cicadacross.Rank, repeatable bool) *admission.Waiter {
	var slot cicadacross.Slot
	return c.gate.Offer(cicadacross.NewSlotRequest(cicadacross.SlotRequestOptions{
		Route: route, Rank: rank, Repeatable: repeatable, Deadline: c.clock.Now().Add(time.Minute),
		Cancel: func() { c.preemptedCount++; slot.Release() },
	}), func(s cicadacross.Slot, err error) {
		var refusal *admission.Error
		if errors.As(err, &refusal) {
			c.refused = append(c.refused, refusal)
			return
		}
		slot = s
		c.grantedCount[route]++
		c.heldSlots[route] = append(c.heldSlots[route], s)
	})
}

// finish ends the oldest request in progress of the route.
func (c *gateClient) finish(route string) {
	slot := c.heldSlots[route][0]
	c.heldSlots[route] = c.heldSlots[route][1:]
	slot.Release()
}

// trainServiceTime lets the gate measure the service time of the route.
func (c *gateClient) trainServiceTime(route string, rank cicadacross.Rank, service time.Duration) {
	for range 3 {
		c.offer(route, rank, false)
		c.clock.Advance(service)
		c.finish(route)
	}
}

// Guards against uploads that can't be preempted and hold every slot when a payment arrives.
func TestSlowRouteLeavesReservedSlot(t *testing.T) {
	c := newClient(6)
	c.trainServiceTime("payment", urgentRank, 50*time.Millisecond)
	c.trainServiceTime("upload", bulkRank, 2*time.Second)
	for range 20 {
		c.offer("upload", bulkRank, false)
	}
	assert.Assert(t, len(c.heldSlots["upload"]) < 6)
	c.offer("payment", urgentRank, false)
	assert.Equal(t, len(c.heldSlots["payment"]), 1)
}

// Guards against a payment that waits behind preemptible uploads, and against the preemption of requests that must not
// be repeated.
func TestOnlyRepeatableRequestsArePreempted(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		c := newClient(6)
		c.trainServiceTime("payment", urgentRank, 50*time.Millisecond)
		c.trainServiceTime("upload", bulkRank, 5*time.Second)
		// No payment arrives for so long that only the reserved slot is kept for them.
		c.clock.Advance(5 * time.Minute)
		for range 12 {
			c.offer("upload", bulkRank, repeatable)
			c.clock.Advance(time.Millisecond)
		}
		if repeatable {
			assert.Equal(t, len(c.heldSlots["upload"]), 6)
		}
		for range 2 {
			c.runChecks(c.offer("payment", urgentRank, false))
		}
		if repeatable {
			assert.Equal(t, c.preemptedCount, 2)
			assert.Equal(t, c.grantedCount["payment"], 5)
		} else {
			assert.Equal(t, c.preemptedCount, 0)
			assert.Equal(t, c.grantedCount["payment"], 4)
		}
	}
}

// runChecks advances the clock to the checks of the queued request, up to 20 times.
func (c *gateClient) runChecks(w *admission.Waiter) {
	for range 20 {
		if w.NextCheck().IsZero() {
			return
		}
		c.clock.Advance(w.NextCheck().Sub(c.clock.Now()))
		w.Check()
	}
}

// Guards against slots that are kept from a route although no other route needs them, and against refusals without a
// retry delay.
func TestOnlyRouteGetsAllSlots(t *testing.T) {
	c := newClient(6)
	c.trainServiceTime("price", urgentRank, 50*time.Millisecond)
	for range 400 {
		c.offer("price", urgentRank, true)
	}
	assert.Equal(t, len(c.heldSlots["price"]), 6)
	assert.Assert(t, len(c.refused) > 0)
	for _, e := range c.refused {
		assert.Equal(t, e.Kind(), admission.KindExcess)
		assert.Assert(t, e.RetryAfter() > 0)
	}
}

// Guards against the starvation of a route: for any number of slots, demands, worths and ranks, each route gets what it
// requests or most of an even share of the slots, although no usual rate is known.
func TestNoRouteIsStarved(t *testing.T) {
	assert.NilError(t, flag.Set("rapid.seed", "7"))
	rapid.Check(t, func(r *rapid.T) {
		slots := rapid.IntRange(2, 10).Draw(r, "slots")
		names := []string{"a", "b", "c", "d"}[:rapid.IntRange(2, 4).Draw(r, "routes")]
		rates := make(map[string]float64)
		var workloads []workload
		for _, name := range names {
			rates[name] = rapid.Float64Range(0.05, 3).Draw(r, "demand "+name)
			worth := rapid.Float64Range(1, 50).Draw(r, "worth "+name)
			urgency := rapid.IntRange(1, 4).Draw(r, "urgency "+name)
			workloads = append(workloads, workload{
				name: name, rank: rank(name, urgency, 2*time.Second, worth), service: 100 * time.Millisecond,
				timeout: 4 * time.Second,
			})
		}
		clock := timer.NewManual(time.Unix(0, 0))
		sim := newSimulation(clock, admission.NewShare(cicadacross.AdmissionOptions{Slots: slots, Timers: clock}), slots)
		sim.cooldown = 2 * time.Second
		counts, _ := sim.run(20*time.Second, workloads, rates)
		for _, name := range names {
			servedShare := counts[name].onTimeShare() * rates[name]
			if minShare := 0.6 * min(rates[name], 1/float64(len(names))); servedShare < minShare {
				r.Fatalf("%s got %.3f of the slots, must get %.3f: %+v", name, servedShare, minShare, *counts[name])
			}
		}
	})
}
