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

// workload describes the requests of one route that arrive at random at one target.
type workload struct {
	name       string
	rank       cicadacross.Rank
	service    time.Duration
	timeout    time.Duration
	repeatable bool
	// usualShare is the fraction of the slots that the route uses before a flood.
	usualShare float64
}

// counts holds the number of requests of one route by their result.
type counts struct {
	offered, onTime, late, refused, preempted int
}

// onTimeShare returns the fraction of the requests that were answered within their target time.
func (c *counts) onTimeShare() float64 { return float64(c.onTime) / float64(max(c.offered, 1)) }

// simulation drives a gate on a manual clock from one goroutine, so that a seed always gives the same run.
type simulation struct {
	clock         *timer.Manual
	gate          *admission.Gate
	random        *rand.Rand
	pending       eventHeap
	slots         int
	countsByRoute map[string]*counts
	// end is the end of the measured part of a run. Requests continue to arrive during the cooldown, so that the measured
	// requests see the same load until they are answered.
	end        time.Time
	cooldown   time.Duration
	usefulTime time.Duration
}

func newSimulation(clock *timer.Manual, gate *admission.Gate, slots int) *simulation {
	return &simulation{
		clock: clock, gate: gate, slots: slots,
		random:        rand.New(rand.NewPCG(simulationSeed, 1)),
		countsByRoute: make(map[string]*counts),
	}
}

// run lets the workloads arrive for the given time at their rates, as fractions of the slots, and counts the requests
// that arrive in it. It returns the counts by route and the fraction of the slot time spent on requests answered on
// time.
func (s *simulation) run(
	d time.Duration, workloads []workload, rates map[string]float64,
) (map[string]*counts, float64) {
	s.countsByRoute = make(map[string]*counts)
	s.end = s.clock.Now().Add(d)
	end := s.end.Add(s.cooldown)
	for _, w := range workloads {
		s.countsByRoute[w.name] = &counts{}
		s.scheduleArrivals(w, rates[w.name]*float64(s.slots)/w.service.Seconds(), end)
	}
	for s.pending.Len() > 0 && !s.pending[0].at.After(end) {
		e := heap.Pop(&s.pending).(event)
		s.clock.Advance(e.at.Sub(s.clock.Now()))
		e.call()
	}
	s.clock.Advance(end.Sub(s.clock.Now()))
	usefulTime := s.usefulTime
	s.usefulTime = 0
	return s.countsByRoute, usefulTime.Seconds() / (d.Seconds() * float64(s.slots))
}

func (s *simulation) schedule(at time.Time, call func()) {
	heap.Push(&s.pending, event{at: at, call: call})
}

// scheduleArrivals offers requests with exponentially distributed gaps until the end.
func (s *simulation) scheduleArrivals(w workload, perSecond float64, end time.Time) {
	if perSecond <= 0 {
		return
	}
	next := s.clock.Now().Add(time.Duration(s.random.ExpFloat64() / perSecond * float64(time.Second)))
	if next.After(end) {
		return
	}
	s.schedule(next, func() {
		s.offer(w)
		s.scheduleArrivals(w, perSecond, end)
	})
}

// request is one simulated request.
type request struct {
	sim       *simulation
	workload  workload
	counts    *counts
	arrived   time.Time
	started   time.Time
	slot      cicadacross.Slot
	preempted bool
}

func (s *simulation) offer(w workload) {
	r := &request{sim: s, workload: w, arrived: s.clock.Now(), counts: &counts{}}
	if !r.arrived.After(s.end) {
		r.counts = s.countsByRoute[w.name]
	}
	r.counts.offered++
	waiter := s.gate.Offer(cicadacross.NewSlotRequest(cicadacross.SlotRequestOptions{
		Route: w.name, Rank: w.rank, Deadline: r.arrived.Add(w.timeout), Repeatable: w.repeatable, Cancel: r.preempt,
	}), r.recordDecision)
	s.scheduleCheck(waiter)
}

// scheduleCheck calls Check at the times at which Acquire would.
func (s *simulation) scheduleCheck(w *admission.Waiter) {
	if w.NextCheck().IsZero() {
		return
	}
	s.schedule(w.NextCheck(), func() {
		w.Check()
		s.scheduleCheck(w)
	})
}

func (r *request) recordDecision(slot cicadacross.Slot, err error) {
	if err != nil {
		r.counts.refused++
		return
	}
	r.slot = slot
	r.started = r.sim.clock.Now()
	r.sim.schedule(r.started.Add(lognormal(r.sim.random, r.workload.service)), r.finish)
}

// cancelDelay is the time within which the upstream notices that a request was canceled.
const cancelDelay = 2 * time.Millisecond

func (r *request) preempt() {
	r.preempted = true
	r.counts.preempted++
	r.sim.schedule(r.sim.clock.Now().Add(cancelDelay), func() { r.slot.Release() })
}

func (r *request) finish() {
	if r.preempted {
		return
	}
	now := r.sim.clock.Now()
	if now.Sub(r.arrived) <= r.workload.rank.TargetTime() {
		r.counts.onTime++
		if !now.After(r.sim.end) {
			r.sim.usefulTime += now.Sub(r.started)
		}
	} else {
		r.counts.late++
	}
	r.slot.Release()
}

// lognormal returns a random service time with the given mean; about 1 in 100 takes three times as long.
func lognormal(random *rand.Rand, mean time.Duration) time.Duration {
	const sigma = 0.5
	return time.Duration(float64(mean) * math.Exp(sigma*random.NormFloat64()-sigma*sigma/2))
}

type event struct {
	at   time.Time
	call func()
}

// eventHeap is a heap of future events, ordered by time.
type eventHeap []event

func (e eventHeap) Len() int           { return len(e) }
func (e eventHeap) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e eventHeap) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *eventHeap) Push(x any)        { *e = append(*e, x.(event)) }
func (e *eventHeap) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
