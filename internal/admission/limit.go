package admission

import "time"

const (
	// reservedShare of the slots is kept for ranks above the least urgent, from reservedMinimum slots on.
	reservedShare   = 0.1
	reservedMinimum = 4
	// slowHeadroom is the part of a slot left free of slow work above the present need of the others. With none, the
	// most urgent kind missed its target time in 7 to 10 of 100 requests on 6 slots; with 1.2, slots were under 90% busy.
	slowHeadroom = 0.9
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
	return !slow || float64(held) < s.slowLimit()
}

// slow reports whether one request of the kind takes so long that a more urgent one can't wait for its end.
func (s *share) slow(k *kind) bool {
	for _, other := range s.order {
		if other.rank.MoreUrgent(k.rank) && other.rank.Target() > 0 && k.service > other.rank.Target()/2 {
			return true
		}
	}
	return false
}

// slowLimit returns the bound that the slots held by slow kinds stay below: what the others leave of the slots, and at
// least the usual rate of the slow kinds. A slot that a slow request has taken doesn't come back in time, so it isn't
// enough to serve the others first whenever a slot comes free.
func (s *share) slowLimit() float64 {
	demand, usual := 0.0, 0.0
	for _, k := range s.order {
		if s.slow(k) {
			usual += k.usual
		} else {
			demand += min(k.recent, k.usual*demandMargin)
		}
	}
	return max(float64(s.gate.slots)-demand-slowHeadroom, usual*demandMargin, 1)
}

func cancellable(t *ticket) bool { return t.work.Repeatable() && t.work.Cancel() != nil }

// entitled reports whether the usual rate of the kind covers one more request behind the given number of waiting ones.
func (k *kind) entitled(ahead int) bool {
	return k.allowance > time.Duration(ahead)*k.expected()
}

// flooding reports whether the kind asks for clearly more than its usual rate.
func (k *kind) flooding() bool { return k.recent > k.usual*usualMargin }
