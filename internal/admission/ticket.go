package admission

import (
	"slices"
	"time"

	"cicadacross"
)

type state int

const (
	waiting state = iota
	running
	over
)

// ticket is one request from its arrival to its end.
type ticket struct {
	work    cicadacross.SlotRequest
	decided func(cicadacross.Slot, error)
	state   state
	arrived time.Time
	started time.Time
	// deadline is the end of the caller's interest; the zero time means none.
	deadline time.Time
	// due is the time by which the answer is in time: the rank's target time, or the deadline when that is earlier.
	due time.Time

	// The fields below belong to the discipline.
	kind *kind
	// charge is the slot time taken from the kind's allowance when the request began.
	charge time.Duration
	// excess marks a request that began although its kind was above its usual rate.
	excess bool
	// late marks a waiting request that can't be answered by due any more.
	late bool
	// cancelled marks a request in progress that was told to end.
	cancelled bool
}

func newTicket(w cicadacross.SlotRequest, now time.Time, decided func(cicadacross.Slot, error)) *ticket {
	t := &ticket{work: w, decided: decided, arrived: now, deadline: w.Deadline(), due: w.Deadline()}
	if target := w.Rank().TargetTime(); target > 0 {
		if due := now.Add(target); t.deadline.IsZero() || due.Before(t.deadline) {
			t.due = due
		}
	}
	return t
}

// expired reports whether a request that begins now and takes the given time ends after its deadline.
func (t *ticket) expired(now time.Time, service time.Duration) bool {
	return !t.deadline.IsZero() && now.Add(service).After(t.deadline)
}

// missed reports whether a request that begins now and takes the given time isn't answered in time.
func (t *ticket) missed(now time.Time, service time.Duration) bool {
	return !t.due.IsZero() && now.Add(service).After(t.due)
}

// queue is an ordered list of waiting requests.
type queue struct {
	list []*ticket
	// before orders the requests; those that are equal keep the order of arrival.
	before func(a, b *ticket) int
}

func (q *queue) push(t *ticket) {
	i := len(q.list)
	for i > 0 && q.before(t, q.list[i-1]) < 0 {
		i--
	}
	q.list = slices.Insert(q.list, i, t)
}

func (q *queue) pop() *ticket {
	t := q.list[0]
	q.list[0] = nil
	q.list = q.list[1:]
	return t
}

func (q *queue) popLast() *ticket {
	t := q.list[len(q.list)-1]
	q.list = q.list[:len(q.list)-1]
	return t
}

func (q *queue) remove(t *ticket) {
	if i := slices.Index(q.list, t); i >= 0 {
		q.list = slices.Delete(q.list, i, i+1)
	}
}

func (q *queue) len() int { return len(q.list) }

func byArrival(*ticket, *ticket) int { return 0 }

func byUrgency(a, b *ticket) int { return compareRank(a.work.Rank(), b.work.Rank()) }

// compareRank puts the more urgent rank first.
func compareRank(a, b cicadacross.Rank) int {
	switch {
	case a.MoreUrgent(b):
		return -1
	case b.MoreUrgent(a):
		return 1
	}
	return 0
}

// byDue puts requests that are never late last.
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
