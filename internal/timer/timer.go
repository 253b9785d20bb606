// Package timer implements the timer service. Apart from stand-ins and test code, it is the only package that uses the
// timers of the time package.
package timer

import (
	"sync"
	"time"

	"cicadacross"
)

// System is the timer service on the system clock. The zero value is ready to use and safe for concurrent use.
type System struct{}

var _ cicadacross.Timers = System{}

// Now returns the current time with a monotonic clock reading.
func (System) Now() time.Time { return time.Now() }

// After returns a timer that fires once after d.
func (System) After(d time.Duration) cicadacross.Timer {
	return &onceTimer{timer: time.NewTimer(d)}
}

// Every returns a ticker that fires at intervals of d, which must be above 0.
func (System) Every(d time.Duration) cicadacross.Timer {
	return &repeatTimer{ticker: time.NewTicker(d)}
}

type onceTimer struct{ timer *time.Timer }

func (t *onceTimer) C() <-chan time.Time { return t.timer.C }
func (t *onceTimer) Stop()               { t.timer.Stop() }

type repeatTimer struct{ ticker *time.Ticker }

func (t *repeatTimer) C() <-chan time.Time { return t.ticker.C }
func (t *repeatTimer) Stop()               { t.ticker.Stop() }

// Manual is a timer service for tests. Its time changes only by Advance. It is safe for concurrent use.
type Manual struct {
	mu     sync.Mutex
	now    time.Time
	timers map[*manualTimer]bool
}

var _ cicadacross.Timers = (*Manual)(nil)

// NewManual returns a timer service whose current time is start.
func NewManual(start time.Time) *Manual {
	return &Manual{now: start, timers: make(map[*manualTimer]bool)}
}

// Now returns the current time of the service.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// After returns a timer that fires once, when Advance has moved the time by d. It fires immediately if d is 0 or
// negative.
func (m *Manual) After(d time.Duration) cicadacross.Timer { return m.newTimer(d, 0) }

// Every returns a ticker that fires each time Advance has moved the time by d, at most once per call of Advance.
func (m *Manual) Every(d time.Duration) cicadacross.Timer { return m.newTimer(d, d) }

func (m *Manual) newTimer(d, period time.Duration) *manualTimer {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := &manualTimer{service: m, due: m.now.Add(d), period: period, c: make(chan time.Time, 1)}
	m.timers[t] = true
	if d <= 0 {
		t.fire(m.now)
	}
	return t
}

// Advance moves the time by d and fires the timers that are due.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
	for t := range m.timers {
		if !t.due.After(m.now) {
			t.fire(m.now)
		}
	}
}

type manualTimer struct {
	service *Manual
	due     time.Time
	period  time.Duration
	c       chan time.Time
}

func (t *manualTimer) C() <-chan time.Time { return t.c }

func (t *manualTimer) Stop() {
	t.service.mu.Lock()
	defer t.service.mu.Unlock()
	delete(t.service.timers, t)
}

// fire sends the time, or drops it when the receiver has not read the previous one. It reschedules a ticker and removes
// a timer. The caller must hold the lock of the service.
func (t *manualTimer) fire(now time.Time) {
	select {
	case t.c <- now:
	default:
	}
	if t.period <= 0 {
		delete(t.service.timers, t)
		return
	}
	for !t.due.After(now) {
		t.due = t.due.Add(t.period)
	}
}
