package ingress

import "sync"

const (
	// acceptanceWeight is the weight of one answer in the share of owners that accept.
	acceptanceWeight = 0.05
	// scarceAcceptance and rareAcceptance are the shares of owners that accept below which two owners and one are asked
	// for a slot in time. When few owners have a slot, the questions themselves keep daemons with a fraction of a core
	// from what they have accepted.
	scarceAcceptance = 0.5
	rareAcceptance   = 0.25
)

// acceptance remembers, for each route, the share of owners that had a slot in time for a request when asked. It is
// safe for concurrent use.
type acceptance struct {
	mu     sync.Mutex
	shares map[string]float64
}

// note takes the answer of one owner.
func (a *acceptance) note(route string, accepted bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.shares == nil || len(a.shares) > maxRoutes {
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
	a.shares[route] = share + acceptanceWeight*(sample-share)
}

// questions returns how many owners are asked for a slot in time.
func (a *acceptance) questions(route string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	share, ok := a.shares[route]
	switch {
	case !ok || share >= scarceAcceptance:
		return maxFull
	case share >= rareAcceptance:
		return maxFull - 1
	}
	return 1
}
