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

// client offers requests to a gate in manual time and keeps the slots it got.
type client struct {
	gate      *admission.Gate
	clock     *timer.Manual
	held      map[string][]cicadacross.Slot
	granted   map[string]int
	refused   []*admission.Error
	cancelled int
}

func newClient(slots int) *client {
	clock := timer.NewManual(time.Unix(0, 0))
	opts := cicadacross.AdmissionOptions{Slots: slots, Timers: clock, LeastUrgent: bulkRank.Urgency()}
	return &client{
		gate: admission.NewShare(opts), clock: clock,
		held: make(map[string][]cicadacross.Slot), granted: make(map[string]int),
	}
}

// offer asks for a slot. Only a request with a cancel function may be cancelled; cancelling releases its slot.
func (c *client) offer(kind string, rank cicadacross.Rank, repeatable bool) *admission.Waiter {
	var slot cicadacross.Slot
	return c.gate.Offer(cicadacross.NewSlotRequest(cicadacross.SlotRequestOptions{
		Route: kind, Rank: rank, Repeatable: repeatable, Deadline: c.clock.Now().Add(time.Minute),
		Cancel: func() { c.cancelled++; slot.Release() },
	}), func(s cicadacross.Slot, err error) {
		var refusal *admission.Error
		if errors.As(err, &refusal) {
			c.refused = append(c.refused, refusal)
			return
		}
		slot = s
		c.granted[kind]++
		c.held[kind] = append(c.held[kind], s)
	})
}

// finish ends the oldest request of the kind.
func (c *client) finish(kind string) {
	slot := c.held[kind][0]
	c.held[kind] = c.held[kind][1:]
	slot.Release()
}

// teach makes the service time of a kind known.
func (c *client) teach(kind string, rank cicadacross.Rank, service time.Duration) {
	for range 3 {
		c.offer(kind, rank, false)
		c.clock.Advance(service)
		c.finish(kind)
	}
}

// Guards against uploads that can't be cancelled and hold every slot when a payment comes.
func TestSlowWorkLeavesAReserve(t *testing.T) {
	c := newClient(6)
	c.teach("payment", urgentRank, 50*time.Millisecond)
	c.teach("upload", bulkRank, 2*time.Second)
	for range 20 {
		c.offer("upload", bulkRank, false)
	}
	assert.Assert(t, len(c.held["upload"]) < 6)
	c.offer("payment", urgentRank, false)
	assert.Equal(t, len(c.held["payment"]), 1)
}

// Guards against a payment that waits behind uploads which could be cancelled, and against the cancellation of work
// that must not be repeated.
func TestOnlyRepeatableWorkIsCancelled(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		c := newClient(6)
		c.teach("payment", urgentRank, 50*time.Millisecond)
		c.teach("upload", bulkRank, 5*time.Second)
		// The payments stay away for so long that nothing but the reserve is kept for them.
		c.clock.Advance(5 * time.Minute)
		for range 12 {
			c.offer("upload", bulkRank, repeatable)
			c.clock.Advance(time.Millisecond)
		}
		if repeatable {
			assert.Equal(t, len(c.held["upload"]), 6)
		}
		for range 2 {
			c.watch(c.offer("payment", urgentRank, false))
		}
		if repeatable {
			assert.Equal(t, c.cancelled, 2)
			assert.Equal(t, c.granted["payment"], 5)
		} else {
			assert.Equal(t, c.cancelled, 0)
			assert.Equal(t, c.granted["payment"], 4)
		}
	}
}

// watch lets the time pass that the request may wait.
func (c *client) watch(w *admission.Waiter) {
	for range 20 {
		if w.Wake().IsZero() {
			return
		}
		c.clock.Advance(w.Wake().Sub(c.clock.Now()))
		w.Check()
	}
}

// Guards against capacity that is kept from a kind although no other kind wants it, and against refusals without a
// time to come again.
func TestOneKindAloneGetsAllSlots(t *testing.T) {
	c := newClient(6)
	c.teach("price", urgentRank, 50*time.Millisecond)
	for range 400 {
		c.offer("price", urgentRank, true)
	}
	assert.Equal(t, len(c.held["price"]), 6)
	assert.Assert(t, len(c.refused) > 0)
	for _, e := range c.refused {
		assert.Equal(t, e.Kind(), admission.KindExcess)
		assert.Assert(t, e.RetryAfter() > 0)
	}
}

// Guards against a kind that is starved: whatever the numbers of slots, the demands, the worths and the ranks of the
// kinds are, each gets what it asks for or most of its even part of the slots, although no usual rate is known.
func TestNoKindIsStarved(t *testing.T) {
	assert.NilError(t, flag.Set("rapid.seed", "7"))
	rapid.Check(t, func(r *rapid.T) {
		slots := rapid.IntRange(2, 10).Draw(r, "slots")
		names := []string{"a", "b", "c", "d"}[:rapid.IntRange(2, 4).Draw(r, "kinds")]
		rates := make(map[string]float64)
		var kinds []workload
		for _, name := range names {
			rates[name] = rapid.Float64Range(0.05, 3).Draw(r, "demand "+name)
			worth := rapid.Float64Range(1, 50).Draw(r, "worth "+name)
			urgency := rapid.IntRange(1, 4).Draw(r, "urgency "+name)
			kinds = append(kinds, workload{
				name: name, rank: rank(name, urgency, 2*time.Second, worth), service: 100 * time.Millisecond,
				timeout: 4 * time.Second,
			})
		}
		clock := timer.NewManual(time.Unix(0, 0))
		f := newFixture(clock, admission.NewShare(cicadacross.AdmissionOptions{Slots: slots, Timers: clock}), slots)
		f.tail = 2 * time.Second
		counts, _ := f.run(20*time.Second, kinds, rates)
		for _, name := range names {
			got := counts[name].share() * rates[name]
			if floor := 0.6 * min(rates[name], 1/float64(len(names))); got < floor {
				r.Fatalf("%s got %.3f of the slots, must get %.3f: %+v", name, got, floor, *counts[name])
			}
		}
	})
}
