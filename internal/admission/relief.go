package admission

import (
	"slices"
	"time"
)

// maxSteps bounds the work of one prediction.
const maxSteps = 64

// least reports whether the kind has the least urgent rank. With one rank only there is none.
func (s *share) least(k *kind) bool {
	u := k.rank.Urgency()
	return u == 0 || (u > 1 && u >= s.leastUrgent)
}

// reserved returns the number of slots kept for ranks above the least urgent.
func (s *share) reserved() int {
	if s.gate.slots < reservedMinimum {
		return 0
	}
	return max(1, int(reservedShare*float64(s.gate.slots)))
}

// mayBegin reports whether the kind may take a slot beside the reserve. The reserve is lent to work that can be
// cancelled, since a more urgent request gets it back at once.
func (s *share) mayBegin(k *kind) bool {
	if !s.least(k) {
		return true
	}
	if k.waiting() > 0 && cancellable(s.first(k)) {
		return true
	}
	held := 0
	for _, t := range s.gate.running {
		if s.least(t.kind) && !cancellable(t) {
			held++
		}
	}
	return held < s.gate.slots-s.reserved()
}

func (s *share) first(k *kind) *ticket {
	if k.queue.len() > 0 {
		return k.queue.list[0]
	}
	return k.late.list[0]
}

func cancellable(t *ticket) bool { return t.work.Repeatable() && t.work.Cancel() != nil }

// check cancels less urgent work when the request would otherwise miss its target time, and returns when to look again.
func (s *share) check(now time.Time, t *ticket) time.Time {
	s.update(now)
	k := t.kind
	s.dropLate(now, k)
	if t.state != waiting || t.due.IsZero() {
		return time.Time{}
	}
	slack := t.due.Sub(now) - k.cautious()
	if slack <= 0 {
		if t.deadline.IsZero() {
			return time.Time{}
		}
		return t.deadline.Add(minCheck)
	}
	if !s.least(k) && s.wait(now, t) > slack/2 {
		s.relieve(k)
	}
	return now.Add(max(slack/2, minCheck))
}

// relieve cancels the youngest request in progress that may be cancelled for the kind. The youngest loses the least.
func (s *share) relieve(k *kind) {
	var victim *ticket
	for _, t := range s.gate.running {
		if !s.mayCancel(t, k) {
			continue
		}
		if victim == nil || t.started.After(victim.started) {
			victim = t
		}
	}
	if victim == nil {
		return
	}
	victim.cancelled = true
	s.gate.effects = append(s.gate.effects, victim.work.Cancel())
}

func (s *share) mayCancel(t *ticket, k *kind) bool {
	if t.cancelled || !t.excess || !cancellable(t) || !s.least(t.kind) {
		return false
	}
	return k.within() || k.served <= t.kind.served
}

// wait estimates how long a waiting request waits for a slot.
func (s *share) wait(now time.Time, t *ticket) time.Duration {
	return s.waitFor(now, t.kind, s.ahead(t))
}

// ahead counts the requests that are served before a waiting one.
func (s *share) ahead(t *ticket) int {
	n := max(slices.Index(t.kind.queue.list, t), 0)
	for _, k := range s.order {
		if k != t.kind && k.waiting() > 0 && s.before(k, t.kind) {
			n += k.waiting()
		}
	}
	return n
}

// waitFor estimates when the slot after the given number of others comes free.
func (s *share) waitFor(now time.Time, k *kind, ahead int) time.Duration {
	free := s.gate.slots - len(s.gate.running)
	if ahead < free {
		return 0
	}
	ends := s.ends(now)
	if len(ends) == 0 {
		return 0
	}
	steps := min(ahead-free+1, maxSteps)
	var wait time.Duration
	for range steps {
		wait = ends[0]
		ends = insertSorted(ends[1:], wait+k.expected())
	}
	return wait * time.Duration(ahead-free+1) / time.Duration(steps)
}

// ends returns the times until the requests in progress are expected to end, in order.
func (s *share) ends(now time.Time) []time.Duration {
	ends := make([]time.Duration, 0, len(s.gate.running)+1)
	for _, t := range s.gate.running {
		if t.cancelled {
			ends = append(ends, 0)
			continue
		}
		service := t.kind.expected()
		ends = append(ends, max(service-now.Sub(t.started), service/4))
	}
	slices.Sort(ends)
	return ends
}

func insertSorted(list []time.Duration, d time.Duration) []time.Duration {
	i, _ := slices.BinarySearch(list, d)
	return slices.Insert(list, i, d)
}

// refuseLate refuses a request at arrival when its estimated wait passes its deadline, or its target time when its kind
// is above the usual rate.
func (s *share) refuseLate(now time.Time, t *ticket) *Error {
	k := t.kind
	wait := s.queueTime(k)
	if t.expired(now, wait+k.expected()) {
		return refusal(KindDeadline, s.retryAfter(k), "estimated wait of %v passes the deadline", wait)
	}
	if !k.within() && t.missed(now, wait+k.cautious()) {
		return refusal(KindExcess, s.retryAfter(k), "kind %q is above its usual rate and the estimated wait is %v", k.name,
			wait)
	}
	return nil
}

// queueTime estimates how long the queue of the kind takes to empty with the slots that the others leave to it.
func (s *share) queueTime(k *kind) time.Duration {
	if k.waiting() == 0 {
		return 0
	}
	slots := max(s.available(k), 0.1)
	return time.Duration(float64(k.waiting()) * float64(k.expected()) / slots)
}

// available estimates the slots that a kind can have: its own usual rate, and its part by worth of what all leave.
func (s *share) available(k *kind) float64 {
	rest := float64(s.gate.slots)
	worth := k.worth()
	for _, other := range s.order {
		rest -= min(other.usual, other.recent())
		if other != k && other.waiting() > 0 && !other.within() {
			worth += other.worth()
		}
	}
	return min(k.usual, k.recent()) + max(rest, 0)*k.worth()/worth
}

// retryAfter returns when a refused request of the kind may come again: when its queue is expected to be empty.
func (s *share) retryAfter(k *kind) time.Duration {
	return max(s.queueTime(k), minRetryAfter)
}

// makeRoom removes the last waiting request of a less urgent kind, if there is one, in favour of a new one.
func (s *share) makeRoom(t *ticket) bool {
	var last *kind
	for _, k := range s.order {
		if k == t.kind || k.waiting() == 0 || !s.before(t.kind, k) {
			continue
		}
		if last == nil || s.before(last, k) {
			last = k
		}
	}
	if last == nil {
		return false
	}
	victim := last.dropLast()
	s.gate.shed(victim, refusal(KindShed, s.retryAfter(last), "queue is full and a more urgent request came"))
	return true
}

// dropLast removes the waiting request that would be served last.
func (k *kind) dropLast() *ticket {
	if k.late.len() > 0 {
		return k.late.popLast()
	}
	return k.queue.popLast()
}
