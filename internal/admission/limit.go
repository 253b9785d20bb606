package admission

import "time"

const (
	// reservedShare is the fraction of the slots, at least one, that is reserved for ranks above the least urgent if the
	// target has at least minSlotsForReserve slots.
	reservedShare      = 0.1
	minSlotsForReserve = 4
	// The headroom, in slots, is kept free of slow routes in addition to the current demand of the other routes. For
	// preemptible requests: with 0.1, uploads were preempted twice as often; with 0.5, 6 slots were less than 90% busy
	// with useful requests. For other requests: with 0.3, up to 13 in 1000 urgent requests missed their target time.
	preemptibleHeadroom    = 0.3
	nonPreemptibleHeadroom = 0.5
	// demandMargin is the factor on its usual rate up to which the demand of a route counts, since arrivals are random.
	demandMargin = 1.1
)

// isLeastUrgent reports whether the route has the least urgent rank: the one with the highest urgency number that is
// configured or was seen, or else the least urgent one of the present routes if these differ in urgency. The zero Rank
// always counts as least urgent. Urgency 1 never does, so that no route is restricted when it is the only urgency.
func (s *sharePolicy) isLeastUrgent(r *routeState) bool {
	urgency := r.rank.Urgency()
	if urgency == 0 || (s.leastUrgent > 1 && urgency >= s.leastUrgent) {
		return true
	}
	least := false
	for _, other := range s.routes {
		if r.rank.MoreUrgent(other.rank) {
			return false
		}
		least = least || other.rank.MoreUrgent(r.rank)
	}
	return least
}

// reservedSlots returns the number of slots reserved for ranks above the least urgent.
func (s *sharePolicy) reservedSlots() int {
	if s.gate.slots < minSlotsForReserve {
		return 0
	}
	return max(1, int(reservedShare*float64(s.gate.slots)))
}

// mayStart reports whether the next request of the route may take a slot without using those kept for more urgent
// ranks. Reserved slots are lent to preemptible requests, since a more urgent request can get them back immediately.
func (s *sharePolicy) mayStart(r *routeState) bool {
	slow := s.isSlow(r)
	if !slow && !s.isLeastUrgent(r) {
		return true
	}
	headPreemptible := preemptible(r.head())
	headroom := nonPreemptibleHeadroom
	if headPreemptible {
		headroom = preemptibleHeadroom
	}
	restricted, nonPreemptible := 0, 0
	for _, t := range s.gate.running {
		if t.preempted || !s.isLeastUrgent(t.route) && !s.isSlow(t.route) {
			continue
		}
		restricted++
		if !preemptible(t) {
			nonPreemptible++
		}
	}
	if !headPreemptible && nonPreemptible >= s.gate.slots-s.reservedSlots() {
		return false
	}
	return !slow || s.belowSlowLimit(float64(restricted), headroom)
}

// belowSlowLimit reports whether a slow route may take one more slot. The fractional part of the limit is granted for
// that fraction of the time: rounded up, it made urgent routes late; rounded down, it left slots idle.
func (s *sharePolicy) belowSlowLimit(held, headroom float64) bool {
	limit := s.slowSlotLimit(headroom)
	if held+1 <= limit {
		return true
	}
	return held < limit && s.meanSlowSlots < limit
}

// updateSlowSlots updates the moving average of the slots held by slow routes.
func (s *sharePolicy) updateSlowSlots(elapsed time.Duration) {
	slots := 0.0
	maxService := recentWindow
	for _, r := range s.routes {
		if s.isSlow(r) {
			slots += float64(r.inProgress)
			maxService = max(maxService, r.meanService)
		}
	}
	s.meanSlowSlots += averageWeight(elapsed, 2*maxService) * (slots - s.meanSlowSlots)
}

// isSlow reports whether a request of the route takes so long, over half the target time of a more urgent route, that a
// more urgent request can't wait for its end.
func (s *sharePolicy) isSlow(r *routeState) bool {
	for _, other := range s.routes {
		if other.rank.MoreUrgent(r.rank) && other.rank.TargetTime() > 0 && r.meanService > other.rank.TargetTime()/2 {
			return true
		}
	}
	return false
}

// slowSlotLimit returns the limit of the slots held by slow routes: the slots that the other routes leave, at least the
// usual rate of the slow routes, and at least 1. A slot taken by a slow request doesn't become free in time, so it
// isn't sufficient to serve the other routes first whenever a slot becomes free.
func (s *sharePolicy) slowSlotLimit(headroom float64) float64 {
	demand, usual := 0.0, 0.0
	for _, r := range s.routes {
		if s.isSlow(r) {
			usual += r.usualRate
		} else {
			demand += min(r.recentRate, r.usualRate*demandMargin)
		}
	}
	return max(float64(s.gate.slots)-demand-headroom, usual*demandMargin, 1)
}

func preemptible(t *ticket) bool { return t.request.Repeatable() && t.request.Cancel() != nil }

// coveredByAllowance reports whether the allowance of the route covers one more request behind the given number of
// queued ones.
func (r *routeState) coveredByAllowance(ahead int) bool {
	return r.allowance > time.Duration(ahead)*r.expectedService()
}

// isFlooding reports whether the route has exceeded its usual rate for long enough to use up most of its allowance. The
// recent rate isn't suitable for that: a single request of a rare route is far above its usual rate.
func (r *routeState) isFlooding() bool { return r.allowance < r.maxAllowance()/4 }
