package admission

import (
	"slices"
	"time"
)

// reliefShare is the part of the time left to a request that its estimated wait must exceed before less urgent work is
// cancelled for it. It is above 1 because the estimate is cautious: with 0.5, up to 2.5 times as many uploads were
// cancelled without a gain for the others.
const reliefShare = 1.2

// idleCheck is the time between two looks of a waiting request while slots are free: the need of the kinds that they
// are kept for falls without an event.
const idleCheck = 100 * time.Millisecond

// check cancels less urgent work when the request would otherwise miss its target time, and returns when to look again.
func (s *share) check(now time.Time, t *ticket) time.Time {
	s.update(now)
	k := t.kind
	s.dropLate(now, k)
	if t.state != waiting || t.due.IsZero() {
		return time.Time{}
	}
	idle := never
	if len(s.gate.running) < s.gate.slots {
		idle = now.Add(idleCheck)
	}
	slack := t.due.Sub(now) - k.cautious()
	if slack <= 0 {
		return earlier(idle, t.deadline.Add(minCheck))
	}
	covered := !k.flooding() && k.entitled(slices.Index(k.queue.list, t))
	if covered && !s.least(k) && float64(s.wait(now, t)) > reliefShare*float64(slack) {
		s.relieve()
	}
	return earlier(idle, now.Add(max(slack/2, minCheck)))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// relieve cancels the youngest request in progress that may be cancelled for the kind. The youngest loses the least.
func (s *share) relieve() {
	var victim *ticket
	for _, t := range s.gate.running {
		if !s.mayCancel(t) {
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

func (s *share) mayCancel(t *ticket) bool {
	if t.cancelled || !t.excess || !cancellable(t) || !s.least(t.kind) {
		return false
	}
	if float64(t.kind.inProgress) <= t.kind.usual {
		return false
	}
	return true
}
