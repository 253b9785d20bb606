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

// aimWork is one request of the policy's tests.
type aimWork struct {
	kind     string
	urgency  int
	worth    float64
	target   time.Duration
	deadline time.Duration
	onTime   bool
}

// aimGate plays requests against a gate on a manual clock.
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

// outcome is how a request was decided.
type outcome struct {
	slot cicadacross.Slot
	err  error
}

func (g *aimGate) offer(w aimWork) *outcome {
	o := &outcome{}
	g.Offer(cicadacross.NewSlotRequest(cicadacross.SlotRequestOptions{
		Route: w.kind, Deadline: g.clock.Now().Add(w.deadline), OnTimeOnly: w.onTime,
		Rank: cicadacross.NewRank(cicadacross.RankOptions{
			Name: w.kind, Urgency: w.urgency, TargetTime: w.target, Worth: w.worth,
		}),
	}), func(slot cicadacross.Slot, err error) { o.slot, o.err = slot, err })
	return o
}

// learn lets the gate measure the service time of the kind.
func (g *aimGate) learn(w aimWork, service time.Duration) {
	for range 20 {
		o := g.offer(w)
		g.clock.Advance(service)
		o.slot.Release()
	}
}

func kindOf(err error) admission.Kind {
	kind, _ := failure.KindOf[admission.Kind](err)
	return kind
}

var (
	lookup = aimWork{
		kind: "lookup", urgency: 2, worth: 1, target: 500 * time.Millisecond, deadline: 1200 * time.Millisecond,
	}
	pay = aimWork{
		kind: "pay", urgency: 2, worth: 2, target: 600 * time.Millisecond, deadline: 1500 * time.Millisecond,
	}
	quote = aimWork{
		kind: "quote", urgency: 1, worth: 1, target: 300 * time.Millisecond, deadline: 500 * time.Millisecond,
	}
)

// Guards against an urgent request that waits behind a less urgent one, and a payment behind a lookup of its rank.
func TestAimServesByRankAndWorth(t *testing.T) {
	g := newAimGate(1)
	for _, w := range []aimWork{lookup, pay, quote} {
		g.learn(w, 50*time.Millisecond)
	}
	held := g.offer(lookup)
	first, second, third := g.offer(lookup), g.offer(pay), g.offer(quote)
	held.slot.Release()
	assert.Assert(t, third.slot != nil)
	third.slot.Release()
	assert.Assert(t, second.slot != nil)
	second.slot.Release()
	assert.Assert(t, first.slot != nil)
}

// Guards against a request that waits although it can't be answered in time, where another target could: it is refused
// when it comes, with the time at which the queue is expected to be empty.
func TestAimRefusesAtOnceWhatWouldBeLate(t *testing.T) {
	g := newAimGate(1)
	strict := lookup
	strict.onTime = true
	g.learn(lookup, 200*time.Millisecond)
	g.offer(lookup)
	g.offer(lookup)
	late := g.offer(strict)
	assert.Equal(t, kindOf(late.err), admission.KindExcess)
	var refused *admission.Error
	assert.Assert(t, asError(late.err, &refused))
	assert.Assert(t, refused.RetryAfter() >= 200*time.Millisecond, "%v", refused.RetryAfter())
}

func asError(err error, target **admission.Error) bool {
	e, ok := err.(*admission.Error) //nolint:errorlint // the gate gives it unwrapped
	*target = e
	return ok
}

// Guards against a request without time that takes a slot, and against one that holds its caller until the deadline.
func TestAimRefusesAtOnceWithoutTime(t *testing.T) {
	g := newAimGate(2)
	g.learn(lookup, 200*time.Millisecond)
	short := lookup
	short.deadline = 100 * time.Millisecond
	assert.Equal(t, kindOf(g.offer(short).err), admission.KindDeadline)
}

// Guards against a target that was slow for a while and gets no work ever after, since the old times say that each
// request would be late.
func TestAimTriesASlowTargetAgain(t *testing.T) {
	g := newAimGate(4)
	g.learn(lookup, 100*time.Millisecond)
	g.learn(lookup, 1150*time.Millisecond)
	strict := lookup
	strict.onTime = true
	assert.Assert(t, g.offer(strict).err != nil)
	g.clock.Advance(5 * time.Second)
	assert.Assert(t, g.offer(strict).slot != nil)
}

// Guards against a target that turned slow and whose owner notices it only after many late answers.
func TestAimNoticesASlowTarget(t *testing.T) {
	g := newAimGate(4)
	g.learn(lookup, 100*time.Millisecond)
	for range 3 {
		o := g.offer(lookup)
		g.clock.Advance(800 * time.Millisecond)
		o.slot.Release()
	}
	assert.Assert(t, g.Estimate("lookup").ServiceTime > 400*time.Millisecond, "%v", g.Estimate("lookup").ServiceTime)
}

// Guards against a flood of payments that leaves lookups of the same rank no slot at all.
func TestAimLeavesOthersATurn(t *testing.T) {
	g := newAimGate(1)
	g.learn(pay, 10*time.Millisecond)
	g.learn(lookup, 10*time.Millisecond)
	held := g.offer(pay)
	waiting := g.offer(lookup)
	for range 16 {
		next := g.offer(pay)
		g.clock.Advance(10 * time.Millisecond)
		held.slot.Release()
		if waiting.slot != nil {
			return
		}
		held = next
	}
	t.Fatal("the lookup got no slot while payments came")
}

// Plays the load that the policy answers: lookups and payments at 1.3 times of what the slots can give, for 20 s.
// Guards against slots that stand still, payments that are lost to lookups, and answers that come late.
func TestAimAtThirtyPercentOverload(t *testing.T) {
	const slots, step, service = 9, time.Millisecond, 180 * time.Millisecond
	g := newAimGate(slots)
	g.learn(lookup, service)
	g.learn(pay, service)
	type sent struct {
		o       *outcome
		pay     bool
		started time.Time
		due     time.Time
	}
	var open []*sent
	counts := map[bool]int{}
	inTime := map[bool]int{}
	busy := 0
	// 65 requests a second fill 11.7 slots; three of ten are payments.
	next := 0.0
	for i := range 20_000 {
		g.clock.Advance(step)
		now := g.clock.Now()
		next += 65 * step.Seconds()
		for ; next >= 1; next-- {
			w := lookup
			isPay := (counts[true]+counts[false])%10 < 3
			if isPay {
				w = pay
			}
			w.onTime = true
			counts[isPay]++
			open = append(open, &sent{o: g.offer(w), pay: isPay, due: now.Add(w.target)})
		}
		kept := open[:0]
		for _, s := range open {
			if s.o.slot != nil && s.started.IsZero() {
				s.started = now
			}
			switch {
			case s.o.err != nil:
				continue
			case !s.started.IsZero() && now.Sub(s.started) >= service:
				s.o.slot.Release()
				if !now.After(s.due) {
					inTime[s.pay]++
				}
				continue
			}
			kept = append(kept, s)
		}
		open = kept
		if i > 2000 {
			busy += g.Load().InProgress
		}
	}
	t.Logf("payments in time %d of %d, lookups %d of %d, slots busy %.3f", inTime[true], counts[true], inTime[false],
		counts[false], float64(busy)/float64(slots*18_000))
	assert.Assert(t, float64(inTime[true]) > 0.95*float64(counts[true]))
	assert.Assert(t, float64(busy) > 0.9*slots*18_000)
	served := float64(inTime[true] + inTime[false])
	assert.Assert(t, served > 0.9*20*slots/service.Seconds(), "%v", served)
}
