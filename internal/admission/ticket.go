package admission

import (
	"slices"
	"time"

	"cicadacross"
)

// state is the stage of a request in the gate.
type state int

const (
	// waiting also applies to a request that is not queued yet.
	waiting state = iota
	running
	ended
)

// ticket is the state of one request from its arrival to its end.
type ticket struct {
	request   cicadacross.SlotRequest
	onDecided func(cicadacross.Slot, error)
	state     state
	arrived   time.Time
	started   time.Time
	// deadline is the time after which the caller no longer needs the response; the zero time means none.
	deadline time.Time
	// due is the time by which a response is on time: the target time of the rank after the arrival, or the deadline when
	// that is earlier or the rank has no target time. The zero time means none.
	due time.Time

	// The fields below belong to the policy.
	route *routeState
	// chargedTime is the slot time that was charged to the route when the request started.
	chargedTime time.Duration
	// excess reports whether the request started while its route was above its usual rate.
	excess bool
	// late reports whether a queued request can't be answered by due any more.
	late bool
	// preempted reports whether a request in progress was told to end.
	preempted bool
	// abandoned reports that the target did not answer the request.
	abandoned bool
}

// measures reports whether the time for which the request held its slot is a sample of the service time. An abandoned
// request is one only if it took longer than the average: then its service time is at least that.
func (t *ticket) measures(service time.Duration) bool {
	return !t.preempted && (!t.abandoned || service > t.route.meanService)
}

func newTicket(request cicadacross.SlotRequest, now time.Time, decided func(cicadacross.Slot, error)) *ticket {
	t := &ticket{request: request, onDecided: decided, arrived: now, deadline: request.Deadline(), due: request.Deadline()}
	if target := request.Rank().TargetTime(); target > 0 {
		if due := now.Add(target); t.deadline.IsZero() || due.Before(t.deadline) {
			t.due = due
		}
	}
	return t
}

// missesDeadline reports whether a request that starts now and takes the service time ends after its deadline.
func (t *ticket) missesDeadline(now time.Time, service time.Duration) bool {
	return !t.deadline.IsZero() && now.Add(service).After(t.deadline)
}

// missesDue reports whether a request that starts now and takes the service time ends after its due time.
func (t *ticket) missesDue(now time.Time, service time.Duration) bool {
	return !t.due.IsZero() && now.Add(service).After(t.due)
}

// queue is an ordered list of queued requests.
type queue struct {
	tickets []*ticket
	// compare orders the requests; equal ones keep the order of arrival.
	compare func(a, b *ticket) int
}

func (q *queue) push(t *ticket) {
	i := len(q.tickets)
	for i > 0 && q.compare(t, q.tickets[i-1]) < 0 {
		i--
	}
	q.tickets = slices.Insert(q.tickets, i, t)
}

func (q *queue) pop() *ticket {
	t := q.tickets[0]
	q.tickets[0] = nil
	q.tickets = q.tickets[1:]
	return t
}

func (q *queue) popLast() *ticket {
	t := q.tickets[len(q.tickets)-1]
	q.tickets = q.tickets[:len(q.tickets)-1]
	return t
}

func (q *queue) remove(t *ticket) {
	if i := slices.Index(q.tickets, t); i >= 0 {
		q.tickets = slices.Delete(q.tickets, i, i+1)
	}
}

func (q *queue) len() int { return len(q.tickets) }

func byArrival(*ticket, *ticket) int { return 0 }

func byUrgency(a, b *ticket) int { return compareRank(a.request.Rank(), b.request.Rank()) }

// compareRank orders the more urgent rank first.
func compareRank(a, b cicadacross.Rank) int {
	switch {
	case a.MoreUrgent(b):
		return -1
	case b.MoreUrgent(a):
		return 1
	}
	return 0
}

// byDue orders requests by due time; those without one come last.
func byDue(a, b *ticket) int {
	switch {
	case a.due.IsZero() && b.due.IsZero():
		return 0
	case a.due.IsZero():
		return 1
	case b.due.IsZero():
		return -1
	}
	return a.due.Compare(b.due)
}
