package ingress

import "sync"

const (
	// acceptanceSmoothing is the weight of one new sample in the exponential moving average.
	acceptanceSmoothing = 0.05
	// lowAcceptance and veryLowAcceptance are the shares of owners that accept below which only two owners or one are
	// asked for a slot in time. When few owners have a slot, the additional messages take CPU time that daemons with a
	// fraction of a core need for the requests that they have accepted.
	lowAcceptance     = 0.5
	veryLowAcceptance = 0.25
)

// acceptanceRates holds, for each route, the moving share of owners that had a slot in time for a request when asked.
// It is safe for concurrent use.
type acceptanceRates struct {
	mu     sync.Mutex
	shares map[string]float64
}

// record adds the response of one owner.
func (a *acceptanceRates) record(route string, accepted bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.shares == nil || len(a.shares) > maxTrackedRoutes {
		a.shares = make(map[string]float64)
	}
	share, ok := a.shares[route]
	if !ok {
		share = 1
	}
	sample := 0.0
	if accepted {
		sample = 1
	}
	a.shares[route] = share + acceptanceSmoothing*(sample-share)
}

// onTimeRefusalLimit returns how many owners may refuse a request of the route for lack of a slot in time before one is
// asked to serve it late.
func (a *acceptanceRates) onTimeRefusalLimit(route string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	share, ok := a.shares[route]
	switch {
	case !ok || share >= lowAcceptance:
		return maxOnTimeRefusals
	case share >= veryLowAcceptance:
		return maxOnTimeRefusals - 1
	}
	return 1
}
