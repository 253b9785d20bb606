package admission

import (
	"slices"
	"time"
)

// preemptThreshold is the fraction of its slack that the estimated wait of a queued request must exceed before a less
// urgent request is preempted for it. It is above 1 because the estimate is conservative: with 0.5, up to 2.5 times as
// many uploads were preempted without a benefit to the other routes.
const preemptThreshold = 1.2

// idleCheckInterval is the time between two checks of a queued request while slots are free: the demand of the routes
// for which they are kept falls without an event.
const idleCheckInterval = 100 * time.Millisecond

// recheck moves or refuses the late requests of t's route, preempts a less urgent request when t would otherwise miss
// its target time, and returns the time of the next check.
func (s *sharePolicy) recheck(now time.Time, t *ticket) time.Time {
	s.update(now)
	r := t.route
	s.moveLate(now, r)
	if t.state != waiting || t.due.IsZero() {
		return time.Time{}
	}
	idleCheck := never
	if len(s.gate.running) < s.gate.slots {
		idleCheck = now.Add(idleCheckInterval)
	}
	slack := t.due.Sub(now) - r.conservativeService()
	if slack <= 0 {
		return earlier(idleCheck, t.deadline.Add(minCheckInterval))
	}
	covered := !r.isFlooding() && r.coveredByAllowance(slices.Index(r.onTimeQueue.tickets, t))
	if covered && !s.isLeastUrgent(r) && !s.gate.pacer.IsActive(now) &&
		float64(s.estimateWait(now, t)) > preemptThreshold*float64(slack) {
		s.preemptYoungest()
	}
	return earlier(idleCheck, now.Add(max(slack/2, minCheckInterval)))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// preemptYoungest preempts the request that started last among those in progress that may be preempted, so that the
// least work is lost.
func (s *sharePolicy) preemptYoungest() {
	var victim *ticket
	for _, t := range s.gate.running {
		if !s.mayPreempt(t) {
			continue
		}
		if victim == nil || t.started.After(victim.started) {
			victim = t
		}
	}
	if victim == nil {
		return
	}
	victim.preempted = true
	s.gate.deferredCalls = append(s.gate.deferredCalls, victim.request.Cancel())
}

// mayPreempt reports whether the request in progress may be preempted: it is preemptible and not preempted yet, it
// started above the usual rate of its route, and the route has the least urgent rank and more requests in progress than
// its usual rate, in slots.
func (s *sharePolicy) mayPreempt(t *ticket) bool {
	if t.preempted || !t.excess || !preemptible(t) || !s.isLeastUrgent(t.route) {
		return false
	}
	if float64(t.route.inProgress) <= t.route.usualRate {
		return false
	}
	return true
}
