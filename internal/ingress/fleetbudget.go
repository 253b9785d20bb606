package ingress

import (
	"sync"
	"time"

	"cicadacross"
)

const (
	// budgetUse is the part of the budget that is used. A repeated run repeats its calls too, which count at the service
	// that is called: with up to one call for each run, half of the budget keeps both within it.
	budgetUse = 0.45
	// budgetSteps is the number of parts into which the window is divided.
	budgetSteps = 10
)

// FleetRetryBudgetOptions configures a FleetRetryBudget. Timers and Daemons are required.
type FleetRetryBudgetOptions struct {
	// Ratio is the number of retries for each request of a service, over the whole fleet.
	Ratio float64
	// Extra is the number of retries that the fleet may send besides in each window.
	Extra float64
	// Window is the time over which retries are counted.
	Window time.Duration
	Timers cicadacross.Timers
	// Daemons returns how many daemons share the budget.
	Daemons func() int
}

// FleetRetryBudget is one daemon's part of a budget of retries that the fleet shares without coordination: a share of
// its own requests, and an even part of what is allowed besides. It is safe for concurrent use.
type FleetRetryBudget struct {
	opts     FleetRetryBudgetOptions
	started  time.Time
	mu       sync.Mutex
	services map[string]*window
}

var _ RetryBudget = (*FleetRetryBudget)(nil)

// window counts over a sliding time.
type window struct {
	step     int64
	requests [budgetSteps]int
	retries  [budgetSteps]int
}

// NewFleetRetryBudget returns a budget without any use.
func NewFleetRetryBudget(opts FleetRetryBudgetOptions) *FleetRetryBudget {
	return &FleetRetryBudget{opts: opts, started: opts.Timers.Now(), services: make(map[string]*window)}
}

// Request counts one request for the service.
func (b *FleetRetryBudget) Request(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	w.requests[w.step%budgetSteps]++
}

// Retry reports whether one more send to the service is allowed, and counts it then.
func (b *FleetRetryBudget) Retry(service string) bool {
	daemons := float64(max(1, b.opts.Daemons()))
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	requests, retries := 0, 0
	for i := range budgetSteps {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	allowed := budgetUse * (b.opts.Ratio*float64(requests) + b.opts.Extra/daemons)
	if float64(retries+1) > allowed {
		return false
	}
	w.retries[w.step%budgetSteps]++
	return true
}

// window returns the counts of the service, without those that have left the window. The lock is held.
func (b *FleetRetryBudget) window(service string) *window {
	now := int64(b.opts.Timers.Now().Sub(b.started) / (b.opts.Window / budgetSteps))
	w, ok := b.services[service]
	if !ok {
		w = &window{step: now}
		b.services[service] = w
	}
	for step := max(w.step, now-budgetSteps) + 1; step <= now; step++ {
		w.requests[step%budgetSteps], w.retries[step%budgetSteps] = 0, 0
	}
	w.step = now
	return w
}
