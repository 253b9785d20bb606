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
	g.discipline = &baseline{gate: g, queue: queue{before: byArrival}}
	return g
}

// NewPriority returns a gate that serves the most urgent rank first, and equal ranks in the order of arrival.
func NewPriority(opts cicadacross.AdmissionOptions) *Gate {
	g := newGate(opts)
	g.discipline = &baseline{gate: g, queue: queue{before: byUrgency}}
	return g
}

// baseline is one queue in a fixed order. It refuses only when the queue is full or a deadline has passed.
type baseline struct {
	gate  *Gate
	queue queue
}

func (b *baseline) offer(now time.Time, t *ticket) *Error {
	if t.expired(now, 0) {
		return refusal(KindDeadline, 0, "deadline has passed")
	}
	if b.queue.len() >= b.gate.maxQueue {
		last := b.queue.list[b.queue.len()-1]
		if b.queue.before(t, last) >= 0 {
			return refusal(KindQueueFull, 0, "queue holds %d requests", b.queue.len())
		}
		b.gate.shed(b.queue.popLast(), refusal(KindShed, 0, "queue is full and a more urgent request came"))
	}
	b.queue.push(t)
	return nil
}

func (b *baseline) next(now time.Time) *ticket {
	for b.queue.len() > 0 {
		t := b.queue.pop()
		if !t.expired(now, 0) {
			return t
		}
		b.gate.shed(t, refusal(KindDeadline, 0, "deadline passed in the queue"))
	}
	return nil
}

func (b *baseline) withdraw(t *ticket) { b.queue.remove(t) }

func (b *baseline) check(time.Time, *ticket) time.Time { return time.Time{} }

func (b *baseline) ended(time.Time, *ticket) {}
