package admission

import "time"

// waitMargin is the factor on the estimated wait of a request above its usual rate, so that those admitted in a flood
// are answered in time although the estimate isn't exact.
const waitMargin = 1.5

// refuseLate refuses a request at arrival when its estimated wait passes its deadline, or its target time when its kind
// is above the usual rate.
func (s *share) refuseLate(now time.Time, t *ticket) *Error {
	k := t.kind
	wait := s.queueTime(k)
	if t.expired(now, wait+k.expected()) {
		return refusal(KindDeadline, s.retryAfter(k), "estimated wait of %v passes the deadline", wait)
	}
	if !k.entitled(k.waiting()) && t.missed(now, time.Duration(waitMargin*float64(wait))+k.cautious()) {
		return refusal(KindExcess, s.retryAfter(k), "kind %q is above its usual rate and the estimated wait is %v", k.name,
			wait)
	}
	return nil
}

// makeRoom removes the last waiting request of the kind with the longest queue in favour of a request of another kind.
// So a flood fills the queue, but can't push others out of it.
func (s *share) makeRoom(t *ticket) bool {
	longest := t.kind
	for _, k := range s.order {
		if k.waiting() > longest.waiting() {
			longest = k
		}
	}
	if longest == t.kind {
		return false
	}
	victim := longest.dropLast()
	s.gate.shed(victim, refusal(KindShed, s.retryAfter(longest), "queue is full and a request of another kind came"))
	return true
}

// dropLast removes the waiting request that would be served last.
func (k *kind) dropLast() *ticket {
	if k.late.len() > 0 {
		return k.late.popLast()
	}
	return k.queue.popLast()
}
