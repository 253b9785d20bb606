// Package admission implements the policies that decide which request gets a slot of a target: "share" (the default),
// "aim", and the baselines "fifo" and "priority".
package admission

import (
	"context"
	"sync"
	"time"

	"cicadacross"
)

// defaultMaxQueue is the maximum queue length when none is configured; it bounds the memory of the queue.
const defaultMaxQueue = 512

// minCheckInterval is the shortest time between two checks of a queued request; it prevents a busy loop.
const minCheckInterval = time.Millisecond

// policy selects the queued requests that get slots. The gate calls its methods with its lock held.
type policy interface {
	// offer queues the request or refuses it.
	offer(now time.Time, t *ticket) *Error
	// takeNext removes and returns the request that gets a free slot, or nil when no request may start.
	takeNext(now time.Time) *ticket
	// remove removes a queued request.
	remove(t *ticket)
	// recheck re-evaluates a queued request, may refuse it or preempt another one, and returns the time of the next check;
	// the zero time means never.
	recheck(now time.Time, t *ticket) time.Time
	// recordEnd records the end of a request in progress.
	recordEnd(now time.Time, t *ticket)
}

// Gate allocates the slots of one target as its policy decides. It is safe for concurrent use.
type Gate struct {
	timers   cicadacross.Timers
	maxQueue int

	mu      sync.Mutex
	policy  policy
	slots   int
	queued  int
	running []*ticket
	pacer   *Pacer
	reports upstreamReports
	// pacedCount counts the requests that were queued because of the pace.
	pacedCount int64
	// deferredCalls are calls to code outside the gate, made after the lock is released.
	deferredCalls []func()
}

var _ cicadacross.Admission = (*Gate)(nil)

// newGate returns a gate without a policy, which the caller must set before it uses the gate.
func newGate(opts cicadacross.AdmissionOptions) *Gate {
	g := &Gate{
		timers: opts.Timers, maxQueue: opts.MaxQueue, slots: max(opts.Slots, 1),
		pacer: NewPacer(PacerOptions{Overshoot: opts.WarmupOvershoot, Slack: opts.WarmupSlack}),
	}
	if g.maxQueue <= 0 {
		g.maxQueue = defaultMaxQueue
	}
	return g
}

// Load returns the current load.
func (g *Gate) Load() cicadacross.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	load := cicadacross.Load{InProgress: len(g.running), Queued: g.queued, Slots: g.slots}
	return g.addWarmup(g.timers.Now(), load)
}

// estimator is implemented by policies that estimate queueing and service times.
type estimator interface {
	// estimateTimes returns the estimated wait of a new request and the estimated service time of a request of the route;
	// 0 means unknown.
	estimateTimes(now time.Time, route string) (wait, service time.Duration)
}

// Estimate returns the current load with the estimated wait and service time of a new request of the route; they are 0
// when the policy doesn't estimate them.
func (g *Gate) Estimate(route string) cicadacross.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.timers.Now()
	load := g.addWarmup(now, cicadacross.Load{InProgress: len(g.running), Queued: g.queued, Slots: g.slots})
	if e, ok := g.policy.(estimator); ok {
		load.QueueWait, load.ServiceTime = e.estimateTimes(now, route)
	}
	return load
}

// Resize sets the number of slots, at least 1; requests in progress keep theirs.
func (g *Gate) Resize(slots int) {
	g.mu.Lock()
	g.slots = max(slots, 1)
	g.grantFreeSlots(g.timers.Now())
	g.unlock()
}

// Acquire waits for a slot. The error is an *Error; the request hasn't run then and must not run.
func (g *Gate) Acquire(ctx context.Context, request cicadacross.SlotRequest) (cicadacross.Slot, error) {
	decided := make(chan decision, 1)
	waiter := g.Offer(request, func(slot cicadacross.Slot, err error) { decided <- decision{slot: slot, err: err} })
	select {
	case d := <-decided:
		if d.err == nil {
			request.NotifyAccepted()
		}
		return d.slot, d.err
	default:
		request.NotifyAccepted()
	}
	for {
		d, done := waiter.awaitDecision(ctx, decided)
		if !done {
			continue
		}
		return d.slot, d.err
	}
}

// decision is the result of an offered request: a slot, or the error of a refusal.
type decision struct {
	slot cicadacross.Slot
	err  error
}

// Offer requests a slot without waiting. It calls decided exactly once, with a slot or with the *Error of a refusal,
// unless the returned waiter withdraws first. The call may come before Offer returns and from any goroutine; it must
// not block.
func (g *Gate) Offer(request cicadacross.SlotRequest, decided func(cicadacross.Slot, error)) *Waiter {
	g.mu.Lock()
	now := g.timers.Now()
	t := newTicket(request, now, decided)
	if err := g.policy.offer(now, t); err != nil {
		g.refuse(t, err)
	} else {
		g.queued++
		g.grantFreeSlots(now)
	}
	waiter := &Waiter{gate: g, ticket: t}
	if t.state == waiting {
		g.countPaced(now)
		waiter.nextCheck = g.withExpiry(now, g.withPace(now, g.policy.recheck(now, t)))
	}
	g.unlock()
	return waiter
}

// grantFreeSlots grants free slots to queued requests until there are none, the policy selects no request, or the pace
// of the warm-up allows no further start.
func (g *Gate) grantFreeSlots(now time.Time) {
	for len(g.running) < g.usableSlots(now) {
		if g.isPaced(now) {
			return
		}
		t := g.policy.takeNext(now)
		if t == nil {
			return
		}
		g.queued--
		t.state = running
		t.started = now
		g.pacer.RecordStart(now)
		g.running = append(g.running, t)
		slot := &slot{gate: g, ticket: t}
		g.deferredCalls = append(g.deferredCalls, func() { t.onDecided(slot, nil) })
	}
}

// shed refuses a queued request that the policy has already removed from its queue.
func (g *Gate) shed(t *ticket, err *Error) {
	g.queued--
	g.refuse(t, err)
}

// refuse ends a request that is not queued with the error.
func (g *Gate) refuse(t *ticket, err *Error) {
	t.state = ended
	g.deferredCalls = append(g.deferredCalls, func() { t.onDecided(nil, err) })
}

// unlock releases the lock and then makes the deferred calls.
func (g *Gate) unlock() {
	calls := g.deferredCalls
	g.deferredCalls = nil
	g.mu.Unlock()
	for _, call := range calls {
		call()
	}
}

// Waiter is an offered request that may still be queued. It is safe for concurrent use, except for NextCheck.
type Waiter struct {
	gate      *Gate
	ticket    *ticket
	nextCheck time.Time
}

// NextCheck returns the time at which Check should be called; the zero time means never.
func (w *Waiter) NextCheck() time.Time { return w.nextCheck }

// Check lets the policy re-evaluate the request: it may refuse the request, or preempt a less urgent one for it.
func (w *Waiter) Check() {
	g := w.gate
	g.mu.Lock()
	w.nextCheck = time.Time{}
	if w.ticket.state == waiting {
		now := g.timers.Now()
		w.nextCheck = g.policy.recheck(now, w.ticket)
		g.grantFreeSlots(now)
		w.nextCheck = g.withExpiry(now, g.withPace(now, w.nextCheck))
	}
	g.unlock()
}

// Withdraw removes the request from the queue. It returns false when the request is already decided.
func (w *Waiter) Withdraw() bool {
	g := w.gate
	g.mu.Lock()
	defer g.unlock()
	if w.ticket.state != waiting {
		return false
	}
	g.policy.remove(w.ticket)
	g.queued--
	w.ticket.state = ended
	return true
}

// awaitDecision returns the decision, or false when the request was only checked and the caller must wait again.
func (w *Waiter) awaitDecision(ctx context.Context, decided <-chan decision) (decision, bool) {
	var checkDue <-chan time.Time
	if !w.nextCheck.IsZero() {
		timer := w.gate.timers.After(max(w.nextCheck.Sub(w.gate.timers.Now()), minCheckInterval))
		defer timer.Stop()
		checkDue = timer.C()
	}
	select {
	case d := <-decided:
		return d, true
	case <-checkDue:
		w.Check()
		return decision{}, false
	case <-ctx.Done():
		return w.cancelWait(ctx, decided), true
	}
}

// cancelWait ends a wait whose context is done. A slot that was granted concurrently is released.
func (w *Waiter) cancelWait(ctx context.Context, decided <-chan decision) decision {
	if !w.Withdraw() {
		if d := <-decided; d.slot != nil {
			d.slot.Abandon()
		}
	}
	return decision{err: newCanceled(context.Cause(ctx))}
}

type slot struct {
	gate   *Gate
	ticket *ticket
}

// Release returns the slot of a request that was answered.
func (s *slot) Release() { s.end(false) }

// Abandon returns the slot of a request that was not answered.
func (s *slot) Abandon() { s.end(true) }

func (s *slot) end(abandoned bool) {
	g := s.gate
	g.mu.Lock()
	defer g.unlock()
	if s.ticket.state != running {
		return
	}
	now := g.timers.Now()
	s.ticket.state, s.ticket.abandoned = ended, abandoned
	for i, t := range g.running {
		if t == s.ticket {
			g.running = append(g.running[:i], g.running[i+1:]...)
			break
		}
	}
	g.policy.recordEnd(now, s.ticket)
	g.grantFreeSlots(now)
}
