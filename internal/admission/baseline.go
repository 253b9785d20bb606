package admission

import (
	"time"

	"cicadacross"
	"cicadacross/internal/kernel"
)

func init() {
	kernel.Admissions.Register("fifo", func(opts cicadacross.AdmissionOptions) cicadacross.Admission {
		return NewFIFO(opts)
	})
	kernel.Admissions.Register("priority", func(opts cicadacross.AdmissionOptions) cicadacross.Admission {
		return NewPriority(opts)
	})
}

// NewFIFO returns a gate that serves requests in the order of arrival.
func NewFIFO(opts cicadacross.AdmissionOptions) *Gate {
	g := newGate(opts)
	g.policy = &baselinePolicy{gate: g, queue: queue{compare: byArrival}}
	return g
}

// NewPriority returns a gate that serves the most urgent rank first, and requests of equal rank in the order of
// arrival.
func NewPriority(opts cicadacross.AdmissionOptions) *Gate {
	g := newGate(opts)
	g.policy = &baselinePolicy{gate: g, queue: queue{compare: byUrgency}}
	return g
}

// baselinePolicy is a single queue with a fixed order. It refuses requests only when the queue is full or their
// deadline has passed.
type baselinePolicy struct {
	gate  *Gate
	queue queue
}

func (b *baselinePolicy) offer(now time.Time, t *ticket) *Error {
	if t.missesDeadline(now, 0) {
		return newRefusal(KindDeadline, 0, "deadline has passed")
	}
	if b.queue.len() >= b.gate.maxQueue {
		last := b.queue.tickets[b.queue.len()-1]
		if b.queue.compare(t, last) >= 0 {
			return newRefusal(KindQueueFull, 0, "queue is full with %d requests", b.queue.len())
		}
		b.gate.shed(b.queue.popLast(), newRefusal(KindShed, 0, "displaced from the full queue by a more urgent request"))
	}
	b.queue.push(t)
	return nil
}

func (b *baselinePolicy) takeNext(now time.Time) *ticket {
	for b.queue.len() > 0 {
		t := b.queue.pop()
		if !t.missesDeadline(now, 0) {
			return t
		}
		b.gate.shed(t, newRefusal(KindDeadline, 0, "deadline passed while queued"))
	}
	return nil
}

func (b *baselinePolicy) remove(t *ticket) { b.queue.remove(t) }

// recheck returns the zero time: a queued request is checked against its deadline again only when a slot is free.
func (b *baselinePolicy) recheck(time.Time, *ticket) time.Time { return time.Time{} }

func (b *baselinePolicy) recordEnd(time.Time, *ticket) {}
