package admission_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadacross"
	"cicadacross/internal/admission"
	"cicadacross/internal/failure"
	"cicadacross/internal/timer"
)

// aimRequest describes a request in the tests of policy "aim".
type aimRequest struct {
	route      string
	urgency    int
	worth      float64
	target     time.Duration
	deadline   time.Duration
	onTimeOnly bool
}

// aimGate is a gate with policy "aim" on a manual clock.
type aimGate struct {
	*admission.Gate
	clock *timer.Manual
}

func newAimGate(slots int) *aimGate {
	clock := timer.NewManual(time.Unix(1000, 0))
	return &aimGate{
		Gate:  admission.NewAim(cicadacross.AdmissionOptions{Slots: slots, MaxQueue: 100, Timers: clock}),
		clock: clock,
	}
}

// decision is the result of an offered request; both fields are nil while it is queued.
type decision struct {
	slot cicadacross.Slot
	err  error
}

func (g *aimGate) offer(request aimRequest) *decision {
	d := &decision{}
	g.Offer(cicadacross.NewSlotRequest(cicadacross.SlotRequestOptions{
		Route: request.route, Deadline: g.clock.Now().Add(request.deadline), OnTimeOnly: request.onTimeOnly,
		Rank: cicadacross.NewRank(cicadacross.RankOptions{
			Name: request.route, Urgency: request.urgency, TargetTime: request.target, Worth: request.worth,
		}),
	}), func(slot cicadacross.Slot, err error) { d.slot, d.err = slot, err })
	return d
}

// trainServiceTime lets the gate measure the service time of the route.
func (g *aimGate) trainServiceTime(request aimRequest, service time.Duration) {
	for range 20 {
		d := g.offer(request)
		g.clock.Advance(service)
		d.slot.Release()
	}
}

func errorKind(err error) admission.Kind {
	kind, _ := failure.KindOf[admission.Kind](err)
	return kind
}

var (
	lookup = aimRequest{
		route: "lookup", urgency: 2, worth: 1, target: 500 * time.Millisecond, deadline: 1200 * time.Millisecond,
	}
	payment = aimRequest{
		route: "pay", urgency: 2, worth: 2, target: 600 * time.Millisecond, deadline: 1500 * time.Millisecond,
	}
	quote = aimRequest{
		route: "quote", urgency: 1, worth: 1, target: 300 * time.Millisecond, deadline: 500 * time.Millisecond,
	}
)

// Guards against an urgent request that waits behind a less urgent one, and a payment behind a lookup of equal urgency.
func TestAimServesByRankAndWorth(t *testing.T) {
	g := newAimGate(1)
	for _, request := range []aimRequest{lookup, payment, quote} {
		g.trainServiceTime(request, 50*time.Millisecond)
	}
	held := g.offer(lookup)
	first, second, third := g.offer(lookup), g.offer(payment), g.offer(quote)
	held.slot.Release()
	assert.Assert(t, third.slot != nil)
	third.slot.Release()
	assert.Assert(t, second.slot != nil)
	second.slot.Release()
	assert.Assert(t, first.slot != nil)
}

// Guards against a request that is queued although it can't be answered on time, while another target could answer it:
// it is refused on arrival, with the time after which the queue is expected to be empty.
func TestAimRefusesLateRequestImmediately(t *testing.T) {
	g := newAimGate(1)
	onTimeOnly := lookup
	onTimeOnly.onTimeOnly = true
	g.trainServiceTime(lookup, 200*time.Millisecond)
	g.offer(lookup)
	g.offer(lookup)
	late := g.offer(onTimeOnly)
	assert.Equal(t, errorKind(late.err), admission.KindExcess)
	var refused *admission.Error
	assert.Assert(t, asError(late.err, &refused))
	assert.Assert(t, refused.RetryAfter() >= 200*time.Millisecond, "%v", refused.RetryAfter())
}

func asError(err error, target **admission.Error) bool {
	e, ok := err.(*admission.Error) //nolint:errorlint // the gate gives it unwrapped
	*target = e
	return ok
}

// Guards against a request that takes a slot although it can't meet its deadline, and against one that blocks its
// caller until the deadline.
func TestAimRefusesUnmeetableDeadlineImmediately(t *testing.T) {
	g := newAimGate(2)
	g.trainServiceTime(lookup, 200*time.Millisecond)
	short := lookup
	short.deadline = 100 * time.Millisecond
	assert.Equal(t, errorKind(g.offer(short).err), admission.KindDeadline)
}

// Guards against a target that was slow for a while and never gets requests again, since by the old measurements every
// request would be late.
func TestAimRetriesSlowTarget(t *testing.T) {
	g := newAimGate(4)
	g.trainServiceTime(lookup, 100*time.Millisecond)
	g.trainServiceTime(lookup, 1150*time.Millisecond)
	onTimeOnly := lookup
	onTimeOnly.onTimeOnly = true
	assert.Assert(t, g.offer(onTimeOnly).err != nil)
	g.clock.Advance(5 * time.Second)
	assert.Assert(t, g.offer(onTimeOnly).slot != nil)
}

// Guards against an idle target that refuses requests since two of the last ten took much longer than usual: with a
// heavy tail of service times, the next one is still answered on time almost always.
func TestAimAcceptsWhenIdleDespiteOutliers(t *testing.T) {
	g := newAimGate(4)
	onTimeOnly := lookup
	onTimeOnly.onTimeOnly = true
	onTimeOnly.target = 400 * time.Millisecond
	g.trainServiceTime(onTimeOnly, 110*time.Millisecond)
	for i := range 40 {
		service := time.Duration(110+30*(i%3)) * time.Millisecond
		if i%10 == 5 || i%10 == 7 {
			service = 800 * time.Millisecond
		}
		d := g.offer(onTimeOnly)
		assert.Assert(t, d.slot != nil, "request %d: %v", i, d.err)
		g.clock.Advance(service)
		d.slot.Release()
	}
}

// Guards against a target that looks fast since it rejects requests at once: it would attract the requests of the whole
// fleet and queue what it can't serve.
func TestAbandonedRequestsAreNotMeasured(t *testing.T) {
	g := newAimGate(4)
	g.trainServiceTime(lookup, 300*time.Millisecond)
	for range 50 {
		d := g.offer(lookup)
		g.clock.Advance(time.Millisecond)
		d.slot.Abandon()
	}
	assert.Equal(t, g.Estimate("lookup").ServiceTime, 300*time.Millisecond)
	for range 20 {
		d := g.offer(lookup)
		g.clock.Advance(900 * time.Millisecond)
		d.slot.Abandon()
	}
	assert.Assert(t, g.Estimate("lookup").ServiceTime > 600*time.Millisecond)
}

// Guards against a target that becomes slow and is detected as slow only after many late responses.
func TestAimDetectsSlowTarget(t *testing.T) {
	g := newAimGate(4)
	g.trainServiceTime(lookup, 100*time.Millisecond)
	for range 3 {
		d := g.offer(lookup)
		g.clock.Advance(800 * time.Millisecond)
		d.slot.Release()
	}
	assert.Assert(t, g.Estimate("lookup").ServiceTime > 400*time.Millisecond, "%v", g.Estimate("lookup").ServiceTime)
}

// Guards against a flood of payments that leaves no slot at all to lookups with the same urgency.
func TestAimFloodDoesNotStarveOtherRoutes(t *testing.T) {
	g := newAimGate(1)
	g.trainServiceTime(payment, 10*time.Millisecond)
	g.trainServiceTime(lookup, 10*time.Millisecond)
	held := g.offer(payment)
	waiting := g.offer(lookup)
	for range 16 {
		next := g.offer(payment)
		g.clock.Advance(10 * time.Millisecond)
		held.slot.Release()
		if waiting.slot != nil {
			return
		}
		held = next
	}
	t.Fatal("the lookup got no slot while payments arrived")
}

// Offers lookups and payments at 1.3 times the capacity for 20 s, the load for which the policy is designed. Guards
// against idle slots, payments lost in favor of lookups, and late responses.
func TestAimAtThirtyPercentOverload(t *testing.T) {
	const slots, step, service = 9, time.Millisecond, 180 * time.Millisecond
	g := newAimGate(slots)
	g.trainServiceTime(lookup, service)
	g.trainServiceTime(payment, service)
	type sentRequest struct {
		decision  *decision
		isPayment bool
		started   time.Time
		due       time.Time
	}
	var pending []*sentRequest
	counts := map[bool]int{}
	onTime := map[bool]int{}
	busySlotSteps := 0
	// 65 requests/s fill 11.7 slots; three of ten are payments.
	arrivalsDue := 0.0
	for i := range 20_000 {
		g.clock.Advance(step)
		now := g.clock.Now()
		arrivalsDue += 65 * step.Seconds()
		for ; arrivalsDue >= 1; arrivalsDue-- {
			request := lookup
			isPayment := (counts[true]+counts[false])%10 < 3
			if isPayment {
				request = payment
			}
			request.onTimeOnly = true
			counts[isPayment]++
			pending = append(pending, &sentRequest{
				decision: g.offer(request), isPayment: isPayment, due: now.Add(request.target),
			})
		}
		kept := pending[:0]
		for _, s := range pending {
			if s.decision.slot != nil && s.started.IsZero() {
				s.started = now
			}
			switch {
			case s.decision.err != nil:
				continue
			case !s.started.IsZero() && now.Sub(s.started) >= service:
				s.decision.slot.Release()
				if !now.After(s.due) {
					onTime[s.isPayment]++
				}
				continue
			}
			kept = append(kept, s)
		}
		pending = kept
		if i > 2000 {
			busySlotSteps += g.Load().InProgress
		}
	}
	t.Logf("payments on time %d of %d, lookups %d of %d, slots busy %.3f", onTime[true], counts[true], onTime[false],
		counts[false], float64(busySlotSteps)/float64(slots*18_000))
	assert.Assert(t, float64(onTime[true]) > 0.95*float64(counts[true]))
	assert.Assert(t, float64(busySlotSteps) > 0.9*slots*18_000)
	served := float64(onTime[true] + onTime[false])
	assert.Assert(t, served > 0.9*20*slots/service.Seconds(), "%v", served)
}
