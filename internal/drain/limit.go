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
	timers   cicadacross.Timers
	linkMbps float64 // 0 if unknown
	once     sync.Once
	times    atomic.Pointer[limitTimes] // nil until Begin is called

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

// NewLimit returns a limit that hasn't begun, of a daemon whose link has the speed in Mbit/s; 0 means unknown. Close
// must be called.
func NewLimit(timers cicadacross.Timers, linkMbps float64) *Limit {
	return &Limit{
		timers: timers, linkMbps: linkMbps,
		begun: newEvent(), lastResponse: newEvent(), reached: newEvent(), closed: newEvent(),
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

// LatestStart returns the time until which a request may be passed on so that its response arrives before the limit, or
// false when the limit hasn't begun.
func (l *Limit) LatestStart(work Work) (time.Time, bool) {
	if l == nil {
		return time.Time{}, false
	}
	times := l.times.Load()
	if times == nil {
		return time.Time{}, false
	}
	return times.lastResponse.Add(-work.serviceTime - l.transferTime(work.responseSize)), true
}

// transferTime returns the time in which the link transfers the bytes.
func (l *Limit) transferTime(size int64) time.Duration {
	if l.linkMbps <= 0 {
		return 0
	}
	return time.Duration(float64(size) * 8 / (l.linkMbps * 1e6) * float64(time.Second))
}

// Admits reports whether a request with the deadline may be passed on now: its response is expected before the limit,
// or it ends before the limit by its own deadline. It calls work only when that matters.
func (l *Limit) Admits(deadline time.Time, work func() Work) bool {
	if !l.Shortens(deadline) {
		return true
	}
	latest, _ := l.LatestStart(work())
	return !l.timers.Now().After(latest)
}

// CancelWhenTooLate calls cancel, which must end ctx, once the latest start of the work has passed. The work is
// estimated when the limit begins. The returned function must be called when ctx is no longer needed.
func (l *Limit) CancelWhenTooLate(
	ctx context.Context, work func() Work, cancel context.CancelFunc,
) (release func() bool) {
	w := &startWait{limit: l, ctx: ctx, work: work, cancel: cancel}
	return context.AfterFunc(l.Begun(), w.run)
}

// startWait is a call of CancelWhenTooLate.
type startWait struct {
	limit  *Limit
	ctx    context.Context
	work   func() Work
	cancel context.CancelFunc
}

func (w *startWait) run() {
	latest, _ := w.limit.LatestStart(w.work())
	t := w.limit.timers.After(max(0, latest.Sub(w.limit.timers.Now())))
	defer t.Stop()
	select {
	case <-t.C():
		w.cancel()
	case <-w.ctx.Done():
	case <-w.limit.closed.Done():
	}
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
