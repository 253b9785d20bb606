package admission

import (
	"math"
	"slices"
	"time"

	"cicadacross"
	"cicadacross/internal/kernel"
)

// The policy "aim" answers the load at which a service is asked for about as much as it can give, with bursts above:
// requests wait in the order of their rank, those that still meet their target time before those that don't, and what
// can't be served before its deadline is refused when it comes.

const (
	// guessShare is the part of the target time that a request of an unknown kind is assumed to take.
	guessShare = 0.25
	// slowWeight is the weight of a service time far above the average: a target that turns slow is known within a few
	// requests.
	slowWeight = 0.3
	slowFactor = 2
	// cautiousWait is the factor on the estimated wait of a request that must be answered in time: one that is refused
	// when it comes can still be served elsewhere.
	cautiousWait = 2.0
	// marginDeviations is how many mean deviations of the service time are left as a margin.
	marginDeviations = 1.0
	// overrun is the part of the time it has run that a request beyond its expected time is assumed to run on.
	overrun = 0.3
	// lateUse is the part of the slots that were left to late requests lately that new ones may count on.
	lateUse = 0.3
	// lateAveraging is the time over which the slots left to late requests are averaged.
	lateAveraging = time.Second
	// staleAfter is the time without a finished request of a kind from which its average counts less, by half in each
	// such time.
	staleAfter = time.Second
	// turnEvery is how often a slot goes to the request that has waited longest, so that a flood of one kind leaves
	// the others a part of the slots.
	turnEvery = 8
)

func init() {
	kernel.Admissions.Register("aim", func(opts cicadacross.AdmissionOptions) cicadacross.Admission {
		return NewAim(opts)
	})
}

// NewAim returns a gate that serves requests in the order of rank and of worth, and first those that meet their target
// time.
func NewAim(opts cicadacross.AdmissionOptions) *Gate {
	g := newGate(opts)
	a := &aim{gate: g, kinds: make(map[string]*kind)}
	a.queue.before = byImportance
	a.late.before = byImportance
	a.updated = g.timers.Now()
	g.discipline = a
	return g
}

// aim is the discipline of NewAim.
type aim struct {
	gate  *Gate
	kinds map[string]*kind
	// queue holds the requests that can meet their target time, late the others.
	queue queue
	late  queue
	// lateRate averages the slots that came free while no request waited that could meet its target time, a second.
	lateRate float64
	// freed says that a request has just ended.
	freed   bool
	updated time.Time
	turns   int
}

// byImportance orders waiting requests by rank, worth and latest start.
func byImportance(a, b *ticket) int {
	if r := compareRank(a.work.Rank(), b.work.Rank()); r != 0 {
		return r
	}
	if a.work.Rank().Worth() != b.work.Rank().Worth() {
		if a.work.Rank().Worth() > b.work.Rank().Worth() {
			return -1
		}
		return 1
	}
	return byDue(a, b)
}

func (a *aim) offer(now time.Time, t *ticket) *Error {
	a.decay(now)
	t.kind = a.kindOf(now, t.work)
	service := a.expected(t)
	if t.expired(now, service) {
		return refusal(KindDeadline, 0, "a request of kind %q takes %v, and less is left", t.kind.name, service)
	}
	if a.gate.queued >= a.gate.maxQueue {
		return refusal(KindQueueFull, a.retryAfter(now), "queue holds %d requests", a.gate.queued)
	}
	wait := a.wait(now, a.aheadOf(t))
	if !t.missed(now, time.Duration(cautiousWait*float64(wait))+service+a.margin(t)) {
		a.queue.push(t)
		return nil
	}
	if !t.work.OnTimeOnly() && a.acceptsLate(now, t, service) {
		t.late = true
		a.late.push(t)
		return nil
	}
	return refusal(KindExcess, a.retryAfter(now), "estimated wait of %v passes the target time", wait)
}

// acceptsLate reports whether a late request is likely to get a slot before its deadline, by the slots that late
// requests were given lately.
func (a *aim) acceptsLate(now time.Time, t *ticket, service time.Duration) bool {
	left := t.deadline.Sub(now) - service
	if t.deadline.IsZero() {
		left = lateAveraging
	}
	if len(a.gate.running) < a.gate.slots {
		return true
	}
	waiting := float64(a.late.len() + 1)
	return waiting <= lateUse*a.lateRate*left.Seconds()
}

// kindOf returns what is known of the request's kind.
func (a *aim) kindOf(now time.Time, w cicadacross.SlotRequest) *kind {
	k, ok := a.kinds[w.Route()]
	if !ok {
		if len(a.kinds) >= maxKinds {
			a.forget(now)
		}
		k = newKind(w.Route())
		a.kinds[w.Route()] = k
	}
	k.seen = now
	return k
}

// maxKinds bounds the kinds of work that are remembered; configurations have a few hundred.
const maxKinds = 4096

// forget drops the kinds that haven't been asked for.
func (a *aim) forget(now time.Time) {
	for name, k := range a.kinds {
		if now.Sub(k.seen) > defaultAveraging {
			delete(a.kinds, name)
		}
	}
}

// expected returns how long the request takes. What was measured long ago counts less and less, so that a target that
// was slow is tried again.
func (a *aim) expected(t *ticket) time.Duration {
	if s := a.measured(t.kind); s > 0 {
		return s
	}
	return time.Duration(guessShare * float64(t.work.Rank().TargetTime()))
}

// margin is how much longer than expected a request may take that must be answered in time.
func (a *aim) margin(t *ticket) time.Duration {
	return time.Duration(marginDeviations * float64(t.kind.deviation))
}

func (a *aim) measured(k *kind) time.Duration {
	age := a.updated.Sub(k.measuredAt) - staleAfter
	if age <= 0 || k.inProgress > 0 {
		return k.service
	}
	return time.Duration(float64(k.service) * math.Exp2(-float64(age)/float64(staleAfter)))
}

// aheadOf counts the waiting requests that are served before the request.
func (a *aim) aheadOf(t *ticket) int {
	n := len(a.queue.list)
	for n > 0 && byImportance(t, a.queue.list[n-1]) < 0 {
		n--
	}
	return n
}

// wait estimates how long a request waits that has the given number of others before it.
func (a *aim) wait(now time.Time, ahead int) time.Duration {
	free := a.gate.slots - len(a.gate.running)
	if ahead < free {
		return 0
	}
	ends := a.ends(now)
	if len(ends) == 0 {
		return 0
	}
	steps := min(ahead-max(free, 0)+1, maxSteps)
	var wait time.Duration
	for i := range steps {
		wait = ends[0]
		next := time.Duration(0)
		if i < len(a.queue.list) {
			next = a.expected(a.queue.list[i])
		}
		ends = insertSorted(ends[1:], wait+next)
	}
	return wait
}

// ends returns the times until the requests in progress are expected to end, in order.
func (a *aim) ends(now time.Time) []time.Duration {
	ends := make([]time.Duration, 0, len(a.gate.running)+1)
	for _, t := range a.gate.running {
		ran := now.Sub(t.started)
		ends = append(ends, max(a.expected(t)-ran, time.Duration(overrun*float64(ran))))
	}
	slices.Sort(ends)
	return ends
}

func (a *aim) next(now time.Time) *ticket {
	t := a.choose(now)
	if t != nil {
		t.kind.inProgress++
	}
	return t
}

func (a *aim) choose(now time.Time) *ticket {
	a.decay(now)
	if a.freed && a.queue.len() == 0 {
		a.lateRate += 1 / lateAveraging.Seconds()
	}
	a.freed = false
	a.turns++
	if a.turns%turnEvery == 0 {
		if t := a.longestWaiting(now); t != nil {
			return t
		}
	}
	for a.queue.len() > 0 {
		t := a.queue.pop()
		if !t.missed(now, a.expected(t)) {
			return t
		}
		a.becomesLate(now, t)
	}
	for a.late.len() > 0 {
		t := a.late.pop()
		if t.expired(now, a.expected(t)) {
			a.gate.shed(t, refusal(KindDeadline, 0, "no slot came free in time"))
			continue
		}
		return t
	}
	return nil
}

// longestWaiting removes and returns the request that can still meet its target time and came first.
func (a *aim) longestWaiting(now time.Time) *ticket {
	var first *ticket
	for _, t := range a.queue.list {
		if (first == nil || t.arrived.Before(first.arrived)) && !t.missed(now, a.expected(t)) {
			first = t
		}
	}
	if first != nil {
		a.queue.remove(first)
	}
	return first
}

// becomesLate keeps or refuses a request that waited too long to meet its target time.
func (a *aim) becomesLate(now time.Time, t *ticket) {
	service := a.expected(t)
	if t.work.OnTimeOnly() || t.expired(now, service) || !a.acceptsLate(now, t, service) {
		a.gate.shed(t, refusal(KindExcess, a.retryAfter(now), "waited too long to meet the target time"))
		return
	}
	t.late = true
	a.late.push(t)
}

func (a *aim) withdraw(t *ticket) {
	a.queue.remove(t)
	a.late.remove(t)
}

// check refuses a waiting request as soon as it can't be served before its deadline.
func (a *aim) check(now time.Time, t *ticket) time.Time {
	if t.state != waiting || t.deadline.IsZero() {
		return time.Time{}
	}
	service := a.expected(t)
	if t.expired(now, service) {
		a.withdraw(t)
		a.gate.shed(t, refusal(KindDeadline, 0, "no slot came free in time"))
		return time.Time{}
	}
	if !t.late && t.missed(now, service) {
		a.queue.remove(t)
		a.becomesLate(now, t)
		if t.state != waiting {
			return time.Time{}
		}
	}
	if !t.late {
		return t.due.Add(minCheck - service)
	}
	return t.deadline.Add(minCheck - service)
}

func (a *aim) ended(now time.Time, t *ticket) {
	a.decay(now)
	a.freed = true
	took := now.Sub(t.started)
	k := t.kind
	k.inProgress--
	k.measuredAt = now
	if k.service > 0 && took > slowFactor*k.service {
		k.service += time.Duration(slowWeight * float64(took-k.service))
		return
	}
	k.measure(took)
}

// decay lets the rate of late slots fall.
func (a *aim) decay(now time.Time) {
	passed := now.Sub(a.updated)
	if passed <= 0 {
		return
	}
	a.updated = now
	a.lateRate *= math.Exp(-float64(passed) / float64(lateAveraging))
}

// retryAfter returns when a refused request may come again: when those that wait now are served.
func (a *aim) retryAfter(now time.Time) time.Duration {
	return max(a.wait(now, a.queue.len()+a.late.len()), minRetryAfter)
}

// estimate implements estimator.
func (a *aim) estimate(now time.Time, kind string) (wait, work time.Duration) {
	a.decay(now)
	wait = a.wait(now, a.queue.len())
	if k, ok := a.kinds[kind]; ok {
		work = a.measured(k)
	}
	return wait, work
}
