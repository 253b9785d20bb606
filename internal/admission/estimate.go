package admission

import (
	"slices"
	"time"
)

// maxSteps bounds the work of one prediction.
const maxSteps = 64

// wait estimates how long a waiting request waits for a slot.
func (s *share) wait(now time.Time, t *ticket) time.Duration {
	return s.waitFor(now, t.kind, s.ahead(t))
}

// ahead counts the requests that are served before a waiting one.
func (s *share) ahead(t *ticket) int {
	n := max(slices.Index(t.kind.queue.list, t), 0)
	for _, k := range s.order {
		if k != t.kind && k.waiting() > 0 && s.before(k, t.kind) {
			n += min(k.waiting(), int(k.allowance/max(k.expected(), 1))+1)
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
	rest := float64(s.gate.slots) - k.usual
	worth := k.worth()
	for _, other := range s.order {
		if other == k {
			continue
		}
		rest -= other.present()
		if other.waiting() > 0 && !other.within() {
			worth += other.worth()
		}
	}
	return k.usual + max(rest, 0)*k.worth()/worth
}

// retryAfter returns when a refused request of the kind may come again: when its queue is expected to be empty.
func (s *share) retryAfter(k *kind) time.Duration {
	return max(s.queueTime(k), minRetryAfter)
}
