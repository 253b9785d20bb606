package admission

import (
	"math"
	"slices"
	"time"

	"cicadacross"
	"cicadacross/internal/kernel"
)

// The policy "aim" is designed for services that run close to their capacity, with bursts above it. Queued requests are
// ordered by rank, those that can still meet their target time are served before those that can't, and a request that
// can't be answered before its deadline is refused on arrival.

const (
	// unknownServiceShare is the fraction of the rank's target time that is assumed as the service time of a route without
	// measurements.
	unknownServiceShare = 0.25
	// slowSampleWeight is the weight in the mean service time of a sample above slowSampleFactor times the mean, so that a
	// target that becomes slow is detected within a few requests.
	slowSampleWeight = 0.3
	slowSampleFactor = 2
	// aimWaitFactor is the factor on the estimated wait that decides whether a new request will be on time. It is
	// conservative because a request that is refused on arrival can still be served by another target.
	aimWaitFactor = 2.0
	// overrunShare is the fraction of its elapsed run time for which a request that exceeds its expected service time is
	// assumed to continue.
	overrunShare = 0.3
	// lateSlotShare is the fraction of the slots recently available to late requests that the late queue may count on.
	lateSlotShare = 0.3
	// lateRateWindow is the averaging window of lateSlotsPerSecond.
	lateRateWindow = time.Second
	// staleAfter is the time without a completed request of a route after which its mean service time is discounted, by
	// half in each further staleAfter.
	staleAfter = time.Second
	// Every oldestFirstInterval-th selection serves the request that has waited longest, so that a flood of one route
	// leaves some of the slots to the others.
	oldestFirstInterval = 8
)

func init() {
	kernel.Admissions.Register("aim", func(opts cicadacross.AdmissionOptions) cicadacross.Admission {
		return NewAim(opts)
	})
}

// NewAim returns a gate that orders requests by rank and worth and serves those that can meet their target time first.
func NewAim(opts cicadacross.AdmissionOptions) *Gate {
	g := newGate(opts)
	a := &aimPolicy{gate: g, routesByName: make(map[string]*routeState)}
	a.onTimeQueue.compare = byRankAndWorth
	a.lateQueue.compare = byRankAndWorth
	a.updatedAt = g.timers.Now()
	g.policy = a
	return g
}

// aimPolicy is the policy of NewAim.
type aimPolicy struct {
	gate         *Gate
	routesByName map[string]*routeState
	// onTimeQueue holds the requests that can still be answered by their due time, lateQueue the others.
	onTimeQueue queue
	lateQueue   queue
	// lateSlotsPerSecond is the average rate at which slots became free while onTimeQueue was empty.
	lateSlotsPerSecond float64
	// slotFreed reports whether a request has ended since the last selection.
	slotFreed  bool
	updatedAt  time.Time
	selections int
}

// byRankAndWorth orders requests by rank, then by worth with the highest first, then by due time.
func byRankAndWorth(a, b *ticket) int {
	if order := compareRank(a.request.Rank(), b.request.Rank()); order != 0 {
		return order
	}
	if a.request.Rank().Worth() != b.request.Rank().Worth() {
		if a.request.Rank().Worth() > b.request.Rank().Worth() {
			return -1
		}
		return 1
	}
	return byDue(a, b)
}

func (a *aimPolicy) offer(now time.Time, t *ticket) *Error {
	a.decayLateRate(now)
	t.route = a.routeOf(now, t.request)
	service := a.typicalService(t)
	if t.missesDeadline(now, service) {
		return newRefusal(KindDeadline, 0, "a request of route %q takes %v, which exceeds the time left",
			t.route.name, service)
	}
	if a.gate.queued >= a.gate.maxQueue {
		return newRefusal(KindQueueFull, a.retryAfter(now), "queue is full with %d requests", a.gate.queued)
	}
	wait := a.estimateWait(now, a.countAhead(t))
	if !t.missesDue(now, time.Duration(aimWaitFactor*float64(wait))+a.cautiousService(t)) {
		a.onTimeQueue.push(t)
		return nil
	}
	if !t.request.OnTimeOnly() && a.acceptsLate(now, t, service) {
		t.late = true
		a.lateQueue.push(t)
		return nil
	}
	return newRefusal(KindExcess, a.retryAfter(now), "response not expected within the target time; estimated wait %v",
		wait)
}

// acceptsLate reports whether a late request is likely to get a slot before its deadline, judging by the recent rate of
// slots available to late requests.
func (a *aimPolicy) acceptsLate(now time.Time, t *ticket, service time.Duration) bool {
	remaining := t.deadline.Sub(now) - service
	if t.deadline.IsZero() {
		remaining = lateRateWindow
	}
	if a.gate.paceWait(now, a.gate.queued) > max(remaining, 0) {
		return false
	}
	if len(a.gate.running) < a.gate.usableSlots(now) {
		return true
	}
	lateCount := float64(a.lateQueue.len() + 1)
	return lateCount <= lateSlotShare*a.lateSlotsPerSecond*remaining.Seconds()
}

// routeOf returns the state of the request's route and creates it if there is none.
func (a *aimPolicy) routeOf(now time.Time, request cicadacross.SlotRequest) *routeState {
	r, ok := a.routesByName[request.Route()]
	if !ok {
		if len(a.routesByName) >= maxRoutes {
			a.forgetIdleRoutes(now)
		}
		r = newRouteState(request.Route())
		a.routesByName[request.Route()] = r
	}
	r.lastSeen = now
	return r
}

// maxRoutes is the number of remembered routes from which idle ones are forgotten; configurations have a few hundred.
const maxRoutes = 4096

// forgetIdleRoutes drops the routes without a request within defaultAveragingWindow.
func (a *aimPolicy) forgetIdleRoutes(now time.Time) {
	for name, r := range a.routesByName {
		if now.Sub(r.lastSeen) > defaultAveragingWindow {
			delete(a.routesByName, name)
		}
	}
}

// expectedService returns the mean service time of the request; without measurements, unknownServiceShare of its
// rank's target time. Old measurements are discounted, so that a target that was slow is tried again.
func (a *aimPolicy) expectedService(t *ticket) time.Duration {
	return a.discountOrDefault(t, t.route.meanService)
}

// typicalService returns a service time that the request exceeds as often as not. Like expectedService, it is
// discounted and has a default; it decides whether a request can still be answered in time once it gets a slot.
func (a *aimPolicy) typicalService(t *ticket) time.Duration {
	return a.discountOrDefault(t, t.route.recent.typical())
}

// cautiousService returns a service time that the request rarely exceeds; it decides which requests are accepted.
func (a *aimPolicy) cautiousService(t *ticket) time.Duration {
	return a.discountOrDefault(t, t.route.recent.cautious())
}

// discountOrDefault returns the discounted service time of the request's route or, if that is 0, unknownServiceShare of
// the rank's target time.
func (a *aimPolicy) discountOrDefault(t *ticket, service time.Duration) time.Duration {
	if service = a.discount(t.route, service); service > 0 {
		return service
	}
	return time.Duration(unknownServiceShare * float64(t.request.Rank().TargetTime()))
}

// discount returns a service time of the route, discounted by how long it has been stale unless requests are in
// progress.
func (a *aimPolicy) discount(r *routeState, service time.Duration) time.Duration {
	staleFor := a.updatedAt.Sub(r.lastMeasured) - staleAfter
	if staleFor <= 0 || r.inProgress > 0 {
		return service
	}
	return time.Duration(float64(service) * math.Exp2(-float64(staleFor)/float64(staleAfter)))
}

// countAhead counts the queued requests that are served before t.
func (a *aimPolicy) countAhead(t *ticket) int {
	count := len(a.onTimeQueue.tickets)
	for count > 0 && byRankAndWorth(t, a.onTimeQueue.tickets[count-1]) < 0 {
		count--
	}
	return count
}

// estimateWait estimates how long a request waits for a slot with the given number of queued requests ahead of it. It
// simulates up to maxPredictionSteps completions. While the target warms up, the wait for the pace may be longer.
func (a *aimPolicy) estimateWait(now time.Time, ahead int) time.Duration {
	return max(a.estimateSlotWait(now, ahead), a.gate.paceWait(now, ahead))
}

func (a *aimPolicy) estimateSlotWait(now time.Time, ahead int) time.Duration {
	free := a.gate.usableSlots(now) - len(a.gate.running)
	if ahead < free {
		return 0
	}
	ends := a.remainingTimes(now)
	if len(ends) == 0 {
		return 0
	}
	predicted := min(ahead-max(free, 0)+1, maxPredictionSteps)
	var wait time.Duration
	for i := range predicted {
		wait = ends[0]
		next := time.Duration(0)
		if i < len(a.onTimeQueue.tickets) {
			next = a.expectedService(a.onTimeQueue.tickets[i])
		}
		ends = insertSorted(ends[1:], wait+next)
	}
	return wait
}

// remainingTimes returns the expected remaining times of the requests in progress, in ascending order; at least
// overrunShare of the elapsed time each.
func (a *aimPolicy) remainingTimes(now time.Time) []time.Duration {
	ends := make([]time.Duration, 0, len(a.gate.running)+1)
	for _, t := range a.gate.running {
		elapsed := now.Sub(t.started)
		ends = append(ends, max(a.expectedService(t)-elapsed, time.Duration(overrunShare*float64(elapsed))))
	}
	slices.Sort(ends)
	return ends
}

func (a *aimPolicy) takeNext(now time.Time) *ticket {
	t := a.selectNext(now)
	if t != nil {
		t.route.inProgress++
	}
	return t
}

// selectNext removes and returns the queued request that gets a free slot, or nil when there is none. It moves requests
// that have become late to lateQueue, or refuses them.
func (a *aimPolicy) selectNext(now time.Time) *ticket {
	a.decayLateRate(now)
	if a.slotFreed && a.onTimeQueue.len() == 0 {
		a.lateSlotsPerSecond += 1 / lateRateWindow.Seconds()
	}
	a.slotFreed = false
	a.selections++
	if a.selections%oldestFirstInterval == 0 {
		if t := a.takeLongestWaiting(now); t != nil {
			return t
		}
	}
	for a.onTimeQueue.len() > 0 {
		t := a.onTimeQueue.pop()
		if !t.missesDue(now, a.typicalService(t)) {
			return t
		}
		a.moveLate(now, t)
	}
	for a.lateQueue.len() > 0 {
		t := a.lateQueue.pop()
		if t.missesDeadline(now, a.typicalService(t)) {
			a.gate.shed(t, newRefusal(KindDeadline, 0, "no slot became free in time"))
			continue
		}
		return t
	}
	return nil
}

// takeLongestWaiting removes and returns the request that has waited longest among those that can still be answered by
// their due time, or nil when there is none.
func (a *aimPolicy) takeLongestWaiting(now time.Time) *ticket {
	var first *ticket
	for _, t := range a.onTimeQueue.tickets {
		if (first == nil || t.arrived.Before(first.arrived)) && !t.missesDue(now, a.typicalService(t)) {
			first = t
		}
	}
	if first != nil {
		a.onTimeQueue.remove(first)
	}
	return first
}

// moveLate moves a request that can't be answered by its due time any more to lateQueue, or refuses it. The caller has
// removed it from onTimeQueue.
func (a *aimPolicy) moveLate(now time.Time, t *ticket) {
	service := a.typicalService(t)
	if t.request.OnTimeOnly() || t.missesDeadline(now, service) || !a.acceptsLate(now, t, service) {
		a.gate.shed(t, newRefusal(KindExcess, a.retryAfter(now), "queued too long to meet the target time"))
		return
	}
	t.late = true
	a.lateQueue.push(t)
}

func (a *aimPolicy) remove(t *ticket) {
	a.onTimeQueue.remove(t)
	a.lateQueue.remove(t)
}

// recheck refuses a queued request as soon as it can't be answered before its deadline, and moves it to lateQueue or
// refuses it when it can't be answered by its due time. Requests without a deadline aren't checked.
func (a *aimPolicy) recheck(now time.Time, t *ticket) time.Time {
	if t.state != waiting || t.deadline.IsZero() {
		return time.Time{}
	}
	service := a.typicalService(t)
	if t.missesDeadline(now, service) {
		a.remove(t)
		a.gate.shed(t, newRefusal(KindDeadline, 0, "no slot became free in time"))
		return time.Time{}
	}
	if !t.late && t.missesDue(now, service) {
		a.onTimeQueue.remove(t)
		a.moveLate(now, t)
		if t.state != waiting {
			return time.Time{}
		}
	}
	if !t.late {
		return t.due.Add(minCheckInterval - service)
	}
	return t.deadline.Add(minCheckInterval - service)
}

func (a *aimPolicy) recordEnd(now time.Time, t *ticket) {
	a.decayLateRate(now)
	a.slotFreed = true
	serviceTime := now.Sub(t.started)
	r := t.route
	r.inProgress--
	if !t.measures(serviceTime) {
		return
	}
	r.lastMeasured = now
	r.recent.add(serviceTime)
	if r.meanService > 0 && serviceTime > slowSampleFactor*r.meanService {
		r.meanService += time.Duration(slowSampleWeight * float64(serviceTime-r.meanService))
		return
	}
	r.recordService(serviceTime)
}

// decayLateRate decays lateSlotsPerSecond by the time since the last update.
func (a *aimPolicy) decayLateRate(now time.Time) {
	elapsed := now.Sub(a.updatedAt)
	if elapsed <= 0 {
		return
	}
	a.updatedAt = now
	a.lateSlotsPerSecond *= math.Exp(-float64(elapsed) / float64(lateRateWindow))
}

// retryAfter returns the delay after which a refused request may be retried: the expected time until the requests
// queued now are served, at least minRetryAfter.
func (a *aimPolicy) retryAfter(now time.Time) time.Duration {
	return max(a.estimateWait(now, a.onTimeQueue.len()+a.lateQueue.len()), minRetryAfter)
}

// estimateTimes implements estimator.
func (a *aimPolicy) estimateTimes(now time.Time, route string) (wait, service time.Duration) {
	a.decayLateRate(now)
	wait = a.estimateWait(now, a.onTimeQueue.len())
	if r, ok := a.routesByName[route]; ok {
		service = a.discount(r, r.meanService)
	}
	return wait, service
}
