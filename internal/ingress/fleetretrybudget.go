package ingress

import (
	"sync"
	"time"

	"cicadacross"
)

const (
	// usableBudgetShare is the part of the budget that is used. A repeated execution also repeats its calls, which
	// count for the service that is called. Most of them come through the daemon beside the upstream, which counts them;
	// the rest of the budget is for those that have taken it before others are counted.
	usableBudgetShare = 0.45
	// windowSteps is the number of intervals into which the window is divided.
	windowSteps = 10
)

// FleetRetryBudgetOptions configures a FleetRetryBudget. Timers and DaemonCount are required.
type FleetRetryBudgetOptions struct {
	// Ratio is the number of retries for each request of a service, over the whole fleet.
	Ratio float64
	// Extra is the number of additional retries for a service that the fleet may send in each window.
	Extra float64
	// Window is the time over which retries are counted; it must be above 0.
	Window time.Duration
	Timers cicadacross.Timers
	// DaemonCount returns the number of daemons that share the budget.
	DaemonCount func() int
}

// FleetRetryBudget is one daemon's part of a retry budget that the fleet shares without coordination: a share of its
// own requests, and an equal part of the additional retries. It is safe for concurrent use.
type FleetRetryBudget struct {
	opts     FleetRetryBudgetOptions
	started  time.Time
	mu       sync.Mutex
	services map[string]*slidingCounts
}

var _ RetryBudget = (*FleetRetryBudget)(nil)

// slidingCounts holds the counts of one service in a sliding window. step is the number of the current interval; the
// counts of an interval are at its number modulo windowSteps.
type slidingCounts struct {
	step     int64
	requests [windowSteps]float64
	retries  [windowSteps]float64
}

// NewFleetRetryBudget returns an unused budget.
func NewFleetRetryBudget(opts FleetRetryBudgetOptions) *FleetRetryBudget {
	return &FleetRetryBudget{opts: opts, started: opts.Timers.Now(), services: make(map[string]*slidingCounts)}
}

// RecordRequest counts one request for the service.
func (b *FleetRetryBudget) RecordRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.currentCounts(service)
	w.requests[w.step%windowSteps]++
}

// RecordRepeat records that the last request for the service was, with the probability, a call by a repeated execution.
// It then counts as a retry and not as a request.
func (b *FleetRetryBudget) RecordRepeat(service string, probability float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.currentCounts(service)
	w.requests[w.step%windowSteps] -= probability
	w.retries[w.step%windowSteps] += probability
}

// AllowRetry reports whether one more attempt for the service is allowed and, if so, counts it.
func (b *FleetRetryBudget) AllowRetry(service string) bool {
	daemons := float64(max(1, b.opts.DaemonCount()))
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.currentCounts(service)
	requests, retries := 0.0, 0.0
	for i := range windowSteps {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	allowed := usableBudgetShare * (b.opts.Ratio*requests + b.opts.Extra/daemons)
	if retries+1 > allowed {
		return false
	}
	w.retries[w.step%windowSteps]++
	return true
}

// currentCounts returns the counts of the service and removes those that have left the window. The caller must hold
// b.mu.
func (b *FleetRetryBudget) currentCounts(service string) *slidingCounts {
	now := int64(b.opts.Timers.Now().Sub(b.started) / (b.opts.Window / windowSteps))
	w, ok := b.services[service]
	if !ok {
		w = &slidingCounts{step: now}
		b.services[service] = w
	}
	for step := max(w.step, now-windowSteps) + 1; step <= now; step++ {
		w.requests[step%windowSteps], w.retries[step%windowSteps] = 0, 0
	}
	w.step = now
	return w
}
