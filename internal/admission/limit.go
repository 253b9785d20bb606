package admission

import "time"

const (
	// reservedShare of the slots is kept for ranks above the least urgent, from reservedMinimum slots on.
	reservedShare   = 0.1
	reservedMinimum = 4
	// The headroom is the part of a slot left free of slow work above the present need of the others. For work that can
	// be cancelled: with 0.1, uploads were cancelled twice as often; with 0.5, 6 slots were under 90% busy with useful
	// work. For other work: with 0.3, up to 13 in 1000 urgent requests missed their target time.
	lentHeadroom  = 0.3
	fixedHeadroom = 0.5
	// demandMargin is how far above its usual rate the present need of a kind counts, since arrivals are random.
	demandMargin = 1.1
)

// least reports whether the kind has the least urgent rank. With one rank only there is none.
func (s *share) least(k *kind) bool {
	u := k.rank.Urgency()
	if u == 0 || (s.leastUrgent > 1 && u >= s.leastUrgent) {
		return true
	}
	least := false
	for _, other := range s.order {
		if k.rank.MoreUrgent(other.rank) {
			return false
		}
		least = least || other.rank.MoreUrgent(k.rank)
	}
	return least
}

// reserved returns the number of slots kept for ranks above the least urgent.
func (s *share) reserved() int {
	if s.gate.slots < reservedMinimum {
		return 0
	}
	return max(1, int(reservedShare*float64(s.gate.slots)))
}

// mayBegin reports whether the kind may take a slot beside what is kept for more urgent ranks. The reserve is lent to
// work that can be cancelled, since a more urgent request gets it back at once.
func (s *share) mayBegin(k *kind) bool {
	slow := s.slow(k)
	if !slow && !s.least(k) {
		return true
	}
	lend := cancellable(k.first())
	headroom := fixedHeadroom
	if lend {
		headroom = lentHeadroom
	}
	held, fixed := 0, 0
	for _, t := range s.gate.running {
		if t.cancelled || !s.least(t.kind) && !s.slow(t.kind) {
			continue
		}
		held++
		if !cancellable(t) {
			fixed++
		}
	}
	if !lend && fixed >= s.gate.slots-s.reserved() {
		return false
	}
	return !slow || s.belowLimit(float64(held), headroom)
}

// belowLimit reports whether slow work may take one more slot. The part of a slot above whole ones is given for that
// part of the time: rounded up, it made urgent kinds late; rounded down, it left slots idle.
func (s *share) belowLimit(held, headroom float64) bool {
	limit := s.slowLimit(headroom)
	if held+1 <= limit {
		return true
	}
	return held < limit && s.slowHeld < limit
}

// observeSlow averages the slots that slow kinds hold.
func (s *share) observeSlow(passed time.Duration) {
	held := 0.0
	longest := recentAveraging
	for _, k := range s.order {
		if s.slow(k) {
			held += float64(k.inProgress)
			longest = max(longest, k.service)
		}
	}
	s.slowHeld += decay(passed, 2*longest) * (held - s.slowHeld)
}

// slow reports whether one request of the kind takes so long that a more urgent one can't wait for its end.
func (s *share) slow(k *kind) bool {
	for _, other := range s.order {
		if other.rank.MoreUrgent(k.rank) && other.rank.TargetTime() > 0 && k.service > other.rank.TargetTime()/2 {
			return true
		}
	}
	return false
}

// slowLimit returns the bound that the slots held by slow kinds stay below: what the others leave of the slots, and at
// least the usual rate of the slow kinds. A slot that a slow request has taken doesn't come back in time, so it isn't
// enough to serve the others first whenever a slot comes free.
func (s *share) slowLimit(headroom float64) float64 {
	demand, usual := 0.0, 0.0
	for _, k := range s.order {
		if s.slow(k) {
			usual += k.usual
		} else {
			demand += min(k.recent, k.usual*demandMargin)
		}
	}
	return max(float64(s.gate.slots)-demand-headroom, usual*demandMargin, 1)
}

func cancellable(t *ticket) bool { return t.work.Repeatable() && t.work.Cancel() != nil }

// entitled reports whether the usual rate of the kind covers one more request behind the given number of waiting ones.
func (k *kind) entitled(ahead int) bool {
	return k.allowance > time.Duration(ahead)*k.expected()
}

// flooding reports whether the kind has asked for more than its usual rate for long enough to use up its allowance. The
// recent rate isn't a measure of it: one request of a rare kind is far above its usual rate.
func (k *kind) flooding() bool { return k.allowance < k.depth()/4 }
