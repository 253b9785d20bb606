package timer

import (
	"context"
	"runtime"
	"sync"
	"time"

	"cicadacross"
)

const (
	// lagCheckInterval is the time between two measurements of the lag.
	lagCheckInterval = 50 * time.Millisecond
	// lagSampleWeight is the weight of one measurement in the moving average, so that about the last 0.2 s count.
	lagSampleWeight = 0.25
)

// LagMeter measures how long a goroutine of the process waits for CPU time: the lateness of a timer and the time in the
// run queue after it. It is safe for concurrent use.
type LagMeter struct {
	timers cicadacross.Timers
	stop   context.CancelFunc

	mu sync.Mutex
	// nextTick is the time at which the next measurement is due.
	nextTick time.Time
	mean     time.Duration
}

// NewLagMeter returns a meter, which measures between Start and Stop.
func NewLagMeter(timers cicadacross.Timers) *LagMeter {
	return &LagMeter{timers: timers}
}

// Start begins to measure.
func (m *LagMeter) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = cancel
	go m.run(ctx)
}

// Stop ends the measurements.
func (m *LagMeter) Stop() {
	if m.stop != nil {
		m.stop()
	}
}

func (m *LagMeter) run(ctx context.Context) {
	m.expect(m.timers.Now())
	for {
		t := m.timers.After(lagCheckInterval)
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C():
			// The scheduler runs the goroutine of a timer next; yielding puts it at the end of the run queue.
			runtime.Gosched()
			now := m.timers.Now()
			m.observe(now)
			m.expect(now)
		}
	}
}

// expect sets the time of the next measurement.
func (m *LagMeter) expect(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.nextTick = now.Add(lagCheckInterval)
}

// observe adds the lateness of a measurement.
func (m *LagMeter) observe(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	late := max(0, now.Sub(m.nextTick))
	m.mean += time.Duration(lagSampleWeight * float64(late-m.mean))
}

// Lag returns the average lateness of the last measurements, or that of the measurement that is due if it is longer.
func (m *LagMeter) Lag() time.Duration {
	now := m.timers.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.nextTick.IsZero() {
		return 0
	}
	return max(m.mean, now.Sub(m.nextTick))
}
