// Package drain holds the time limit of a graceful shutdown for the components that hold requests.
package drain

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"cicadacross"
)

// responseMargin is the time before the end of a Limit at which upstreams must have responded, so that their responses
// still reach the callers.
const responseMargin = 100 * time.Millisecond

// Limit is the time limit of the requests that a stopping daemon holds. Until Begin is called there is none; the same
// holds for a nil Limit. It is safe for concurrent use.
type Limit struct {
	timers cicadacross.Timers
	once   sync.Once
	times  atomic.Pointer[limitTimes] // nil until Begin is called

	begun, lastResponse, reached, closed event
}

// limitTimes are the times that follow from the end of a Limit.
type limitTimes struct{ lastResponse, end time.Time }

// event is a context that is canceled when the event happens.
type event struct {
	context.Context
	set context.CancelFunc
}

func newEvent() event {
	ctx, cancel := context.WithCancel(context.Background())
	return event{Context: ctx, set: cancel}
}

// NewLimit returns a limit that hasn't begun. Close must be called.
func NewLimit(timers cicadacross.Timers) *Limit {
	return &Limit{
		timers: timers, begun: newEvent(), lastResponse: newEvent(), reached: newEvent(), closed: newEvent(),
	}
}

// Begin sets the time at which requests that are still in progress are broken off. Only the first call has an effect.
func (l *Limit) Begin(end time.Time) {
	l.once.Do(func() {
		l.times.Store(&limitTimes{lastResponse: end.Add(-responseMargin), end: end})
		l.begun.set()
		go l.run()
	})
}

// Close ends the wait that Begin has started. Requests are not broken off.
func (l *Limit) Close() { l.closed.set() }

// run waits for the times of the limit, or until Close is called.
func (l *Limit) run() {
	times := l.times.Load()
	if l.waitUntil(times.lastResponse) {
		l.lastResponse.set()
	}
	if l.waitUntil(times.end) {
		l.reached.set()
	}
}

// waitUntil returns false when the limit was closed before.
func (l *Limit) waitUntil(at time.Time) bool {
	t := l.timers.After(max(0, at.Sub(l.timers.Now())))
	defer t.Stop()
	select {
	case <-t.C():
		return true
	case <-l.closed.Done():
		return false
	}
}

// Apply returns the time by which a request with the deadline must be answered by its upstream: the deadline or, when
// that is earlier, the time that leaves responseMargin before the end.
func (l *Limit) Apply(deadline time.Time) time.Time {
	if l.Shortens(deadline) {
		return l.times.Load().lastResponse
	}
	return deadline
}

// Shortens reports whether the limit has begun and leaves a request less time than its deadline.
func (l *Limit) Shortens(deadline time.Time) bool {
	if l == nil {
		return false
	}
	times := l.times.Load()
	return times != nil && times.lastResponse.Before(deadline)
}

// Begun returns a context that is canceled when Begin is called.
func (l *Limit) Begun() context.Context {
	if l == nil {
		return context.Background()
	}
	return l.begun.Context
}

// LastResponse returns a context that is canceled at the time at which upstreams must have responded, so that a request
// which hasn't been sent to one yet is refused while its refusal still reaches the caller.
func (l *Limit) LastResponse() context.Context {
	if l == nil {
		return context.Background()
	}
	return l.lastResponse.Context
}

// Reached returns a context that is canceled at the end.
func (l *Limit) Reached() context.Context {
	if l == nil {
		return context.Background()
	}
	return l.reached.Context
}
