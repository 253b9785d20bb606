package admission

import "time"

// shareWaitFactor is the factor on the estimated wait of a request above its usual rate, so that requests admitted
// during a flood are answered on time although the estimate isn't exact.
const shareWaitFactor = 1.5

// refuseLate refuses a request on arrival when it isn't expected to be answered before its deadline, or by its due time
// when its route is above the usual rate.
func (s *sharePolicy) refuseLate(now time.Time, t *ticket) *Error {
	r := t.route
	wait := max(s.queueDrainTime(r), s.gate.paceWait(now, s.gate.queued))
	if t.missesDeadline(now, wait+r.expectedService()) {
		return newRefusal(KindDeadline, s.retryAfter(r), "response not expected before the deadline; estimated wait %v",
			wait)
	}
	if !r.coveredByAllowance(r.queuedCount()) &&
		t.missesDue(now, time.Duration(shareWaitFactor*float64(wait))+r.conservativeService()) {
		return newRefusal(KindExcess, s.retryAfter(r), "route %q is above its usual rate and the estimated wait is %v",
			r.name, wait)
	}
	return nil
}

// shedFromLongestQueue sheds the last queued request of the route with the longest queue in favor of t, a request of
// another route, so that a flood fills the queue but can't displace other routes. It returns false when the route of t
// itself has the longest queue.
func (s *sharePolicy) shedFromLongestQueue(t *ticket) bool {
	longest := t.route
	for _, r := range s.routes {
		if r.queuedCount() > longest.queuedCount() {
			longest = r
		}
	}
	if longest == t.route {
		return false
	}
	victim := longest.popLast()
	s.gate.shed(victim, newRefusal(KindShed, s.retryAfter(longest),
		"displaced from the full queue by a request of another route"))
	return true
}

// popLast removes and returns the queued request that would be served last.
func (r *routeState) popLast() *ticket {
	if r.lateQueue.len() > 0 {
		return r.lateQueue.popLast()
	}
	return r.onTimeQueue.popLast()
}
