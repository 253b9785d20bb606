package admission

import (
	"slices"
	"time"
)

// maxPredictionSteps limits the number of completions that one wait estimate simulates.
const maxPredictionSteps = 64

// estimateWait estimates how long a queued request waits for a slot.
func (s *sharePolicy) estimateWait(now time.Time, t *ticket) time.Duration {
	return s.estimateWaitBehind(now, t.route, s.countAhead(t))
}

// countAhead estimates the number of queued requests that are served before t: those ahead of it in its own queue, and
// of each route that is served first as many as its allowance covers, plus one.
func (s *sharePolicy) countAhead(t *ticket) int {
	count := max(slices.Index(t.route.onTimeQueue.tickets, t), 0)
	for _, r := range s.routes {
		if r != t.route && r.queuedCount() > 0 && s.servedBefore(r, t.route) {
			count += min(r.queuedCount(), int(r.allowance/max(r.expectedService(), 1))+1)
		}
	}
	return count
}

// estimateWaitBehind estimates how long a request of the route waits for a slot with the given number of queued
// requests ahead of it. Beyond maxPredictionSteps completions the wait is extrapolated linearly.
func (s *sharePolicy) estimateWaitBehind(now time.Time, r *routeState, ahead int) time.Duration {
	free := s.gate.slots - len(s.gate.running)
	if ahead < free {
		return 0
	}
	ends := s.remainingTimes(now)
	if len(ends) == 0 {
		return 0
	}
	predicted := min(ahead-free+1, maxPredictionSteps)
	var wait time.Duration
	for range predicted {
		wait = ends[0]
		ends = insertSorted(ends[1:], wait+r.expectedService())
	}
	return wait * time.Duration(ahead-free+1) / time.Duration(predicted)
}

// remainingTimes returns the expected remaining times of the requests in progress, in ascending order: 0 for a
// preempted request, at least a quarter of the expected service time for any other.
func (s *sharePolicy) remainingTimes(now time.Time) []time.Duration {
	ends := make([]time.Duration, 0, len(s.gate.running)+1)
	for _, t := range s.gate.running {
		if t.preempted {
			ends = append(ends, 0)
			continue
		}
		service := t.route.expectedService()
		ends = append(ends, max(service-now.Sub(t.started), service/4))
	}
	slices.Sort(ends)
	return ends
}

func insertSorted(list []time.Duration, d time.Duration) []time.Duration {
	i, _ := slices.BinarySearch(list, d)
	return slices.Insert(list, i, d)
}

// queueDrainTime estimates how long the queue of the route takes to drain with the slots available to it. At least 0.1
// slots are assumed, which limits the estimate for a route with a very low usual rate.
func (s *sharePolicy) queueDrainTime(r *routeState) time.Duration {
	if r.queuedCount() == 0 {
		return 0
	}
	slots := max(s.availableSlots(r), 0.1)
	return time.Duration(float64(r.queuedCount()) * float64(r.expectedService()) / slots)
}

// availableSlots estimates the number of slots available to a route: its usual rate, and its share by worth of the
// slots that all routes leave unused.
func (s *sharePolicy) availableSlots(r *routeState) float64 {
	unused := float64(s.gate.slots) - r.usualRate
	worth := r.worth()
	for _, other := range s.routes {
		if other == r {
			continue
		}
		unused -= other.usualRateInUse()
		if other.queuedCount() > 0 && !other.withinUsualRate() {
			worth += other.worth()
		}
	}
	return r.usualRate + max(unused, 0)*r.worth()/worth
}

// retryAfter returns the delay after which a refused request of the route may be retried: the expected time until its
// queue is empty, at least minRetryAfter.
func (s *sharePolicy) retryAfter(r *routeState) time.Duration {
	return max(s.queueDrainTime(r), minRetryAfter)
}
