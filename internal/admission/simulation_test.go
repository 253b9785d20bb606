package admission_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"cicadacross"
	"cicadacross/internal/admission"
	"cicadacross/internal/timer"
)

// workload is one kind of work that arrives at random at one target.
type workload struct {
	name       string
	rank       cicadacross.Rank
	service    time.Duration
	timeout    time.Duration
	repeatable bool
	// usual is the part of the slots that the kind takes before a flood.
	usual float64
}

// tally counts what became of the requests of one kind.
type tally struct {
	offered, inTime, late, refused, cancelled int
}

// share returns the part of the requests that were answered within their target time.
func (t *tally) share() float64 { return float64(t.inTime) / float64(max(t.offered, 1)) }

// fixture drives a gate in manual time from one goroutine, so that a seed always gives the same run.
type fixture struct {
	clock  *timer.Manual
	gate   *admission.Gate
	random *rand.Rand
	events events
	slots  int
	tally  map[string]*tally
	// end is the end of the counted part of a run; the arrivals go on for the tail, so that the requests counted see the
	// same load until they are answered.
	end    time.Time
	tail   time.Duration
	useful time.Duration
}

func newFixture(clock *timer.Manual, gate *admission.Gate, slots int) *fixture {
	return &fixture{
		clock: clock, gate: gate, slots: slots,
		random: rand.New(rand.NewPCG(fixtureSeed, 1)),
		tally:  make(map[string]*tally),
	}
}

// run lets the kinds arrive at their rates, as a part of the slots, for the given time, and counts the requests that
// arrive in it. It returns the counts by kind and the part of the slot time spent on requests that ended in time.
func (f *fixture) run(d time.Duration, kinds []workload, rates map[string]float64) (map[string]*tally, float64) {
	f.tally = make(map[string]*tally)
	f.end = f.clock.Now().Add(d)
	end := f.end.Add(f.tail)
	for _, k := range kinds {
		f.tally[k.name] = &tally{}
		f.arrivals(k, rates[k.name]*float64(f.slots)/k.service.Seconds(), end)
	}
	for f.events.Len() > 0 && !f.events[0].at.After(end) {
		e := heap.Pop(&f.events).(event)
		f.clock.Advance(e.at.Sub(f.clock.Now()))
		e.call()
	}
	f.clock.Advance(end.Sub(f.clock.Now()))
	useful := f.useful
	f.useful = 0
	return f.tally, useful.Seconds() / (d.Seconds() * float64(f.slots))
}

func (f *fixture) at(at time.Time, call func()) { heap.Push(&f.events, event{at: at, call: call}) }

// arrivals offers requests with exponential gaps until the end.
func (f *fixture) arrivals(k workload, perSecond float64, end time.Time) {
	if perSecond <= 0 {
		return
	}
	next := f.clock.Now().Add(time.Duration(f.random.ExpFloat64() / perSecond * float64(time.Second)))
	if next.After(end) {
		return
	}
	f.at(next, func() {
		f.offer(k)
		f.arrivals(k, perSecond, end)
	})
}

// request is one request of the fixture.
type request struct {
	f         *fixture
	kind      workload
	tally     *tally
	arrived   time.Time
	started   time.Time
	slot      cicadacross.Slot
	cancelled bool
}

func (f *fixture) offer(k workload) {
	r := &request{f: f, kind: k, arrived: f.clock.Now(), tally: &tally{}}
	if !r.arrived.After(f.end) {
		r.tally = f.tally[k.name]
	}
	r.tally.offered++
	waiter := f.gate.Offer(cicadacross.NewSlotRequest(cicadacross.SlotRequestOptions{
		Route: k.name, Rank: k.rank, Deadline: r.arrived.Add(k.timeout), Repeatable: k.repeatable, Cancel: r.cancel,
	}), r.decided)
	f.watch(waiter)
}

// watch does what Acquire does while it waits.
func (f *fixture) watch(w *admission.Waiter) {
	if w.Wake().IsZero() {
		return
	}
	f.at(w.Wake(), func() {
		w.Check()
		f.watch(w)
	})
}

func (r *request) decided(slot cicadacross.Slot, err error) {
	if err != nil {
		r.tally.refused++
		return
	}
	r.slot = slot
	r.started = r.f.clock.Now()
	r.f.at(r.started.Add(lognormal(r.f.random, r.kind.service)), r.finish)
}

// cancelDelay is the time in which an upstream notices that a request was cancelled.
const cancelDelay = 2 * time.Millisecond

func (r *request) cancel() {
	r.cancelled = true
	r.tally.cancelled++
	r.f.at(r.f.clock.Now().Add(cancelDelay), func() { r.slot.Release() })
}

func (r *request) finish() {
	if r.cancelled {
		return
	}
	now := r.f.clock.Now()
	if now.Sub(r.arrived) <= r.kind.rank.TargetTime() {
		r.tally.inTime++
		if !now.After(r.f.end) {
			r.f.useful += now.Sub(r.started)
		}
	} else {
		r.tally.late++
	}
	r.slot.Release()
}

// lognormal returns a service time with the mean; the spread lets 1 in 100 take three times as long.
func lognormal(random *rand.Rand, mean time.Duration) time.Duration {
	const sigma = 0.5
	return time.Duration(float64(mean) * math.Exp(sigma*random.NormFloat64()-sigma*sigma/2))
}

type event struct {
	at   time.Time
	call func()
}

// events is a heap of what is to happen, the next first.
type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
