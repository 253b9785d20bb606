// Package admission holds the policies that decide which request gets a slot of a target: "share" (the default), and
// the baselines "fifo" and "priority".
package admission

import (
	"context"
	"sync"
	"time"

	"cicadacross"
)

// defaultMaxQueue bounds the memory of a queue whose length isn't configured.
const defaultMaxQueue = 512

// minCheck keeps a waiting request from being examined in a busy loop.
const minCheck = time.Millisecond

// discipline orders the requests that wait for a slot. The gate calls it with its lock held.
type discipline interface {
	// offer queues the request or refuses it.
	offer(now time.Time, t *ticket) *Error
	// next removes and returns the request that gets a free slot, or nil when none may have it.
	next(now time.Time) *ticket
	// withdraw removes a waiting request.
	withdraw(t *ticket)
	// check examines a waiting request whose time to do so has come, and returns the next such time; the zero time
	// means never.
	check(now time.Time, t *ticket) time.Time
	// ended notes the end of a request in progress.
	ended(now time.Time, t *ticket)
}

// Gate owns the slots of one target; its discipline decides who gets them. It is safe for concurrent use.
type Gate struct {
	timers   cicadacross.Timers
	maxQueue int

	mu         sync.Mutex
	discipline discipline
	slots      int
	queued     int
	running    []*ticket
	// effects are calls to code outside the gate, made after the lock is released.
	effects []func()
}

var _ cicadacross.Admission = (*Gate)(nil)

func newGate(opts cicadacross.AdmissionOptions) *Gate {
	g := &Gate{timers: opts.Timers, maxQueue: opts.MaxQueue, slots: max(opts.Slots, 1)}
	if g.maxQueue <= 0 {
		g.maxQueue = defaultMaxQueue
	}
	return g
}

// Load returns the present load.
func (g *Gate) Load() cicadacross.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return cicadacross.Load{InProgress: len(g.running), Queued: g.queued, Slots: g.slots}
}

// estimator is a discipline that estimates the times of a new request.
type estimator interface {
	// estimate returns how long a new request waits and how long one of the kind takes; 0 when that is unknown.
	estimate(now time.Time, kind string) (wait, work time.Duration)
}

// Estimate returns the load with the times that a new request of the kind is expected to wait and to take; they are 0
// when the policy doesn't estimate them.
func (g *Gate) Estimate(kind string) cicadacross.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	load := cicadacross.Load{InProgress: len(g.running), Queued: g.queued, Slots: g.slots}
	if e, ok := g.discipline.(estimator); ok {
		load.QueueWait, load.ServiceTime = e.estimate(g.timers.Now(), kind)
	}
	return load
}

// Resize changes the number of slots, at least 1; requests in progress keep theirs.
func (g *Gate) Resize(slots int) {
	g.mu.Lock()
	g.slots = max(slots, 1)
	g.dispatch(g.timers.Now())
	g.unlock()
}

// Acquire waits for a slot. The error is an *Error, and the request then didn't run.
func (g *Gate) Acquire(ctx context.Context, w cicadacross.SlotRequest) (cicadacross.Slot, error) {
	decided := make(chan decision, 1)
	waiter := g.Offer(w, func(slot cicadacross.Slot, err error) { decided <- decision{slot: slot, err: err} })
	select {
	case d := <-decided:
		if d.err == nil {
			w.NotifyAccepted()
		}
		return d.slot, d.err
	default:
		w.NotifyAccepted()
	}
	for {
		d, done := waiter.wait(ctx, decided)
		if !done {
			continue
		}
		return d.slot, d.err
	}
}

type decision struct {
	slot cicadacross.Slot
	err  error
}

// Offer asks for a slot without waiting. It calls decided exactly once, with a slot or with the *Error of a refusal,
// unless the returned waiter withdraws first. The call may come before Offer returns and from any goroutine; it must
// not block.
func (g *Gate) Offer(w cicadacross.SlotRequest, decided func(cicadacross.Slot, error)) *Waiter {
	g.mu.Lock()
	now := g.timers.Now()
	t := newTicket(w, now, decided)
	if err := g.discipline.offer(now, t); err != nil {
		g.decide(t, err)
	} else {
		g.queued++
		g.dispatch(now)
	}
	waiter := &Waiter{gate: g, ticket: t}
	if t.state == waiting {
		waiter.wake = g.discipline.check(now, t)
	}
	g.unlock()
	return waiter
}

// dispatch gives free slots to waiting requests.
func (g *Gate) dispatch(now time.Time) {
	for len(g.running) < g.slots {
		t := g.discipline.next(now)
		if t == nil {
			return
		}
		g.queued--
		t.state = running
		t.started = now
		g.running = append(g.running, t)
		slot := &slot{gate: g, ticket: t}
		g.effects = append(g.effects, func() { t.decided(slot, nil) })
	}
}

// shed refuses a request that has been queued; the discipline has already removed it from its queue.
func (g *Gate) shed(t *ticket, err *Error) {
	g.queued--
	g.decide(t, err)
}

func (g *Gate) decide(t *ticket, err *Error) {
	t.state = over
	g.effects = append(g.effects, func() { t.decided(nil, err) })
}

// unlock releases the lock and then makes the calls that the discipline asked for.
func (g *Gate) unlock() {
	effects := g.effects
	g.effects = nil
	g.mu.Unlock()
	for _, call := range effects {
		call()
	}
}

// Waiter is a request that was offered and may still be queued. It is safe for concurrent use, except for Wake.
type Waiter struct {
	gate   *Gate
	ticket *ticket
	wake   time.Time
}

// Wake returns the time at which Check should be called; the zero time means never.
func (w *Waiter) Wake() time.Time { return w.wake }

// Check lets the policy examine the request: it may refuse it, or cancel less urgent work for it.
func (w *Waiter) Check() {
	g := w.gate
	g.mu.Lock()
	w.wake = time.Time{}
	if w.ticket.state == waiting {
		now := g.timers.Now()
		w.wake = g.discipline.check(now, w.ticket)
		g.dispatch(now)
	}
	g.unlock()
}

// Withdraw takes the request out of the queue. It returns false when the request is already decided.
func (w *Waiter) Withdraw() bool {
	g := w.gate
	g.mu.Lock()
	defer g.unlock()
	if w.ticket.state != waiting {
		return false
	}
	g.discipline.withdraw(w.ticket)
	g.queued--
	w.ticket.state = over
	return true
}

// wait returns the decision, or false when the request was examined and is to wait on.
func (w *Waiter) wait(ctx context.Context, decided <-chan decision) (decision, bool) {
	var due <-chan time.Time
	if !w.wake.IsZero() {
		timer := w.gate.timers.After(max(w.wake.Sub(w.gate.timers.Now()), minCheck))
		defer timer.Stop()
		due = timer.C()
	}
	select {
	case d := <-decided:
		return d, true
	case <-due:
		w.Check()
		return decision{}, false
	case <-ctx.Done():
		return w.giveUp(ctx, decided), true
	}
}

// giveUp ends a wait whose context is done. A slot granted at the same moment is given back.
func (w *Waiter) giveUp(ctx context.Context, decided <-chan decision) decision {
	if !w.Withdraw() {
		if d := <-decided; d.slot != nil {
			d.slot.Release()
		}
	}
	return decision{err: canceled(context.Cause(ctx))}
}

type slot struct {
	gate   *Gate
	ticket *ticket
}

// Release gives the slot back. Only the first call has an effect.
func (s *slot) Release() {
	g := s.gate
	g.mu.Lock()
	defer g.unlock()
	if s.ticket.state != running {
		return
	}
	now := g.timers.Now()
	s.ticket.state = over
	for i, t := range g.running {
		if t == s.ticket {
			g.running = append(g.running[:i], g.running[i+1:]...)
			break
		}
	}
	g.discipline.ended(now, s.ticket)
	g.dispatch(now)
}
