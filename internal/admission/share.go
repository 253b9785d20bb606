package admission

import (
	"slices"
	"time"

	"cicadacross"
	"cicadacross/internal/kernel"
)

const (
	// defaultAveragingWindow is the time over which the usual rate of a route is averaged when none is configured.
	defaultAveragingWindow = 60 * time.Second
	// learnInterval is the shortest time between two updates of the usual rates.
	learnInterval = 100 * time.Millisecond
	// overloadHoldTime is how long after a refusal due to overload the learned rates stay frozen.
	overloadHoldTime = time.Second
	// usualRateMargin is the factor on its usual rate up to which a route counts as within it, since arrivals are random.
	usualRateMargin = 1.25
	// shortageShare is the fraction of its usual rate that a route keeps when the target has fewer slots than the usual
	// rates of all routes need.
	shortageShare = 0.25
	// minUsualShare is the fraction of the slots that even the rarest route has as its usual rate.
	minUsualShare = 0.01
	// initialWorthShare is the fraction of the slots that a newly started policy divides by worth. With 0.5, a flood of
	// the most urgent route that began when the policy started left uploads 0.49 to 0.82 of their requests; with 0.2, 0.78
	// to 0.97.
	initialWorthShare = 0.2
	// forgetAfterWindows is the number of averaging windows without a request after which a route is forgotten.
	forgetAfterWindows = 10
	// minRetryAfter is the shortest delay after which a refused request is asked to retry.
	minRetryAfter = 100 * time.Millisecond
)

func init() {
	kernel.Admissions.Register("share", func(opts cicadacross.AdmissionOptions) cicadacross.Admission {
		return NewShare(opts)
	})
}

// NewShare returns a gate that first gives each route its usual rate, serving the requests with the least time left
// before the others, and divides the remaining slots by worth among the routes above their usual rate.
func NewShare(opts cicadacross.AdmissionOptions) *Gate {
	g := newGate(opts)
	s := &sharePolicy{
		gate: g, routesByName: make(map[string]*routeState), leastUrgent: opts.LeastUrgent,
		averagingWindow: opts.AveragingWindow,
	}
	if s.averagingWindow <= 0 {
		s.averagingWindow = defaultAveragingWindow
	}
	s.updatedAt = g.timers.Now()
	s.learnedAt = s.updatedAt
	g.policy = s
	return g
}

// sharePolicy is the policy of NewShare.
type sharePolicy struct {
	gate            *Gate
	routesByName    map[string]*routeState
	routes          []*routeState
	averagingWindow time.Duration
	// leastUrgent is the highest urgency number that is configured or was seen.
	leastUrgent int

	// currentVirtualTime is the virtual time of the last request that started above the usual rate of its route.
	currentVirtualTime float64
	// slotShortage reports whether the target has fewer slots than the usual rates of all routes need.
	slotShortage bool
	// meanSlowSlots is the moving average of the slots held by slow routes.
	meanSlowSlots float64

	updatedAt    time.Time
	learnedAt    time.Time
	overloadedAt time.Time
}

func (s *sharePolicy) offer(now time.Time, t *ticket) *Error {
	s.update(now)
	r := s.routeOf(now, t.request)
	t.route = r
	r.offeredTime += r.expectedService()
	if t.missesDeadline(now, r.expectedService()) {
		return newRefusal(KindDeadline, 0, "a request of route %q takes longer than its deadline allows", r.name)
	}
	if err := s.refuseLate(now, t); err != nil {
		s.overloadedAt = now
		return err
	}
	if s.gate.queued >= s.gate.maxQueue {
		s.overloadedAt = now
		if !s.shedFromLongestQueue(t) {
			return newRefusal(KindQueueFull, s.retryAfter(r), "queue is full with %d requests", s.gate.queued)
		}
	}
	r.onTimeQueue.push(t)
	return nil
}

// routeOf returns the state of the request's route with its current rank, and creates it if there is none.
func (s *sharePolicy) routeOf(now time.Time, request cicadacross.SlotRequest) *routeState {
	r, ok := s.routesByName[request.Route()]
	if !ok {
		r = newRouteState(request.Route())
		s.routesByName[request.Route()] = r
		s.routes = append(s.routes, r)
		r.rank = request.Rank()
		s.setUsualRates()
		r.allowance = time.Duration(r.usualRate * float64(allowanceWindow))
	}
	r.rank = request.Rank()
	r.lastSeen = now
	s.leastUrgent = max(s.leastUrgent, r.rank.Urgency())
	return r
}

// takeNext removes and returns the request that gets a free slot: one of a route within its usual rate, or else one of
// the route that has received the least slot time above its usual rate in proportion to its worth. It returns nil when
// no queued request may start.
func (s *sharePolicy) takeNext(now time.Time) *ticket {
	s.update(now)
	var best *routeState
	for _, r := range s.routes {
		s.moveLate(now, r)
		if r.queuedCount() == 0 || !s.mayStart(r) {
			continue
		}
		if best == nil || s.servedBefore(r, best) {
			best = r
		}
	}
	if best == nil {
		return nil
	}
	return s.startNext(best)
}

// servedBefore reports whether a queued request of a is served before one of b. Both routes must have queued requests.
// Among routes within their usual rates the time left decides and not the rank, since all of them can be answered on
// time unless there are too few slots: ordered by rank, the least urgent of the routes with short service times missed
// its target time in 4 to 29 of 100 requests.
func (s *sharePolicy) servedBefore(a, b *routeState) bool {
	if a.withinUsualRate() != b.withinUsualRate() {
		return a.withinUsualRate()
	}
	if !a.withinUsualRate() {
		if s.nextVirtualTime(a) != s.nextVirtualTime(b) {
			return s.nextVirtualTime(a) < s.nextVirtualTime(b)
		}
		return a.rank.MoreUrgent(b.rank)
	}
	if s.isSlow(a) != s.isSlow(b) {
		return s.isSlow(b)
	}
	if order := compareRank(a.rank, b.rank); s.slotShortage && order != 0 {
		return order < 0
	}
	return a.latestStart().Before(b.latestStart())
}

// startNext removes and returns the next queued request of the route and charges its expected slot time.
func (s *sharePolicy) startNext(r *routeState) *ticket {
	var t *ticket
	if r.onTimeQueue.len() > 0 {
		t = r.onTimeQueue.pop()
	} else {
		t = r.lateQueue.pop()
	}
	t.chargedTime = r.expectedService()
	t.excess = !r.withinUsualRate()
	if t.excess {
		s.currentVirtualTime = s.nextVirtualTime(r)
		r.virtualTime = s.currentVirtualTime
	}
	s.chargeSlotTime(t, t.chargedTime)
	r.inProgress++
	return t
}

// chargeSlotTime deducts slot time from the allowance of the request's route, or adds it to the virtual time of the
// route when the request started above the usual rate. A negative amount corrects an earlier charge.
func (s *sharePolicy) chargeSlotTime(t *ticket, amount time.Duration) {
	if t.excess {
		t.route.virtualTime += amount.Seconds() / t.route.worth()
		return
	}
	t.route.allowance -= amount
}

// nextVirtualTime returns the virtual time of the next request of the route above its usual rate; the lowest is served
// first. A route that has not been above its usual rate for a while can't claim slots for that time.
func (s *sharePolicy) nextVirtualTime(r *routeState) float64 {
	return max(r.virtualTime, s.currentVirtualTime)
}

// moveLate moves requests that can't be answered by their due time behind the others, and refuses those that can't be
// answered before their deadline. Requests of a route above its usual rate are refused in both cases.
func (s *sharePolicy) moveLate(now time.Time, r *routeState) {
	for r.onTimeQueue.len() > 0 && r.onTimeQueue.tickets[0].missesDue(now, r.conservativeService()) {
		t := r.onTimeQueue.pop()
		t.late = true
		r.lateQueue.push(t)
	}
	for r.lateQueue.len() > 0 {
		t := r.lateQueue.tickets[0]
		if r.withinUsualRate() && !t.missesDeadline(now, r.expectedService()) {
			return
		}
		r.lateQueue.pop()
		s.overloadedAt = now
		s.gate.shed(t, newRefusal(KindDeadline, s.retryAfter(r), "queued too long to be answered on time"))
	}
}

func (s *sharePolicy) remove(t *ticket) {
	t.route.onTimeQueue.remove(t)
	t.route.lateQueue.remove(t)
}

func (s *sharePolicy) recordEnd(now time.Time, t *ticket) {
	s.update(now)
	r := t.route
	r.inProgress--
	serviceTime := now.Sub(t.started)
	s.chargeSlotTime(t, serviceTime-t.chargedTime)
	if t.measures(serviceTime) {
		r.recordService(serviceTime)
	}
}

// update refills the allowances and updates the usual rates.
func (s *sharePolicy) update(now time.Time) {
	elapsed := now.Sub(s.updatedAt)
	if elapsed <= 0 {
		return
	}
	s.updatedAt = now
	s.updateSlowSlots(elapsed)
	if sinceLearned := now.Sub(s.learnedAt); sinceLearned >= learnInterval {
		s.learnRates(now, sinceLearned)
		s.learnedAt = now
	}
	for _, r := range s.routes {
		r.refill(elapsed)
	}
}

// learnRates updates the average rates of the routes for the elapsed time, forgets routes without requests for
// forgetAfterWindows averaging windows, and sets the usual rates.
func (s *sharePolicy) learnRates(now time.Time, elapsed time.Duration) {
	overloaded := !s.overloadedAt.IsZero() && now.Sub(s.overloadedAt) < overloadHoldTime
	kept := s.routes[:0]
	for _, r := range s.routes {
		if now.Sub(r.lastSeen) > forgetAfterWindows*s.averagingWindow && r.inProgress == 0 && r.queuedCount() == 0 {
			delete(s.routesByName, r.name)
			continue
		}
		kept = append(kept, r)
		r.updateRates(elapsed, s.averagingWindow, overloaded)
	}
	clear(s.routes[len(kept):])
	s.routes = kept
	s.setUsualRates()
}

// setUsualRates sets the usual rate of each route, in slots, and the refill rates that follow from them. A newly
// started policy has learned none and uses initial rates: most of the slots divided evenly, so that a flood in progress
// can't shut out a route, and the rest by worth.
func (s *sharePolicy) setUsualRates() {
	totalWorth := 0.0
	for _, r := range s.routes {
		totalWorth += r.worth()
	}
	slots := float64(s.gate.slots)
	for _, r := range s.routes {
		initialRate := slots * ((1-initialWorthShare)/float64(len(s.routes)) + initialWorthShare*r.worth()/totalWorth)
		r.setUsualRate(initialRate, slots*minUsualShare)
	}
	s.setRefillRates()
}

// setRefillRates sets the rates, in slots, at which the allowances grow: up to usualRateMargin times the usual rates as
// far as there are slots. They are set in order of urgency, so that the most urgent ranks keep their usual rates when
// the target has fewer slots than the usual rates need; every route keeps at least shortageShare of its own.
func (s *sharePolicy) setRefillRates() {
	totalUsual := 0.0
	for _, r := range s.routes {
		totalUsual += r.usualRate
	}
	remaining := float64(s.gate.slots)
	s.slotShortage = totalUsual > remaining
	factor := max(1, min(usualRateMargin, remaining/totalUsual))
	byRank := slices.SortedStableFunc(slices.Values(s.routes), func(a, b *routeState) int {
		return compareRank(a.rank, b.rank)
	})
	for _, r := range byRank {
		r.refillRate = min(r.usualRate*factor, max(remaining, r.usualRate*shortageShare))
		remaining -= r.refillRate
	}
}
