package ingress

import (
	"maps"
	"slices"
	"sync"
	"time"

	"cicadacross/internal/relay"
)

const (
	// acceptableLag is the lag of the process up to which all requests are accepted. Each request needs the CPU several
	// times, so that it is delayed by a multiple of the lag.
	acceptableLag = 8 * time.Millisecond
	// overloadStep is the time between two adjustments of the refused share.
	overloadStep = 50 * time.Millisecond
	// overloadGain is the change of the refused share in one step for a lag of twice acceptableLag; maxOverloadRise limits
	// the change, so that a single long lag doesn't make the daemon refuse everything.
	overloadGain    = 0.04
	maxOverloadRise = 0.12
	// maxRefusedShare is the largest share of the requests of one urgency that is refused. The rest shows whether the
	// overload is over.
	maxRefusedShare = 0.95
	// arrivalWeight is the weight of one step in the moving average of the arrivals of each urgency.
	arrivalWeight = 0.1
	// overloadRetryAfter is the time after which a caller that was refused for lack of CPU time should return.
	overloadRetryAfter = 400 * time.Millisecond
)

// overloadGuard refuses new requests while the process lacks CPU time, the least urgent first. It answers a load above
// what the CPU share of the host can forward: otherwise every request is accepted, waits for the CPU at each step, and
// is finished after its caller has left. It is safe for concurrent use.
type overloadGuard struct {
	mu sync.Mutex
	// refusedShare is the share of all requests to refuse, 0 to 1.
	refusedShare float64
	adjustedAt   time.Time
	classes      map[int]*arrivalClass
}

// arrivalClass is the state of the requests of one urgency.
type arrivalClass struct {
	// arrivals counts the requests of the current step; meanArrivals is the moving average of a step.
	arrivals     int
	meanArrivals float64
	// debt is the number of requests to refuse that have not been refused yet; it is below 1.
	debt float64
}

// admits reports whether a request of the urgency is accepted while the process has the lag.
func (g *overloadGuard) admits(now time.Time, lag time.Duration, urgency int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.classes == nil {
		g.classes = make(map[int]*arrivalClass)
		g.adjustedAt = now
	}
	class, ok := g.classes[urgency]
	if !ok {
		class = &arrivalClass{}
		g.classes[urgency] = class
	}
	class.arrivals++
	g.adjust(now, lag)
	class.debt += g.refusedShareOf(urgency)
	if class.debt < 1 {
		return true
	}
	class.debt--
	return false
}

// adjust moves the refused share by one step for each overloadStep that has passed, up or down with the lag.
func (g *overloadGuard) adjust(now time.Time, lag time.Duration) {
	steps := int(now.Sub(g.adjustedAt) / overloadStep)
	if steps <= 0 {
		return
	}
	g.adjustedAt = now
	excess := float64(lag-acceptableLag) / float64(acceptableLag)
	change := min(overloadGain*excess, maxOverloadRise)
	if change < 0 {
		// Nothing is known of the steps without a request, during which the overload has ended.
		change *= float64(steps)
	}
	g.refusedShare = min(max(g.refusedShare+change, 0), maxRefusedShare)
	for _, class := range g.classes {
		class.meanArrivals += arrivalWeight * (float64(class.arrivals)/float64(steps) - class.meanArrivals)
		class.arrivals = 0
	}
}

// refusedShareOf returns the share of the requests of the urgency to refuse, so that all together make refusedShare and
// less urgent ones are refused first.
func (g *overloadGuard) refusedShareOf(urgency int) float64 {
	if g.refusedShare <= 0 {
		return 0
	}
	total := 0.0
	for _, class := range g.classes {
		total += class.meanArrivals
	}
	remaining := g.refusedShare * total
	for _, u := range slices.Backward(slices.Sorted(maps.Keys(g.classes))) {
		arrivals := g.classes[u].meanArrivals
		refused := min(remaining, maxRefusedShare*arrivals)
		if u == urgency {
			if arrivals <= 0 {
				return g.refusedShare
			}
			return refused / arrivals
		}
		remaining -= refused
	}
	return g.refusedShare
}

// callUrgency is more urgent than any rank. The calls of upstreams have it: the requests that make them have already
// used a slot, and fail with the call.
const callUrgency = 0

// checkOverload returns the refusal of a request that the process lacks the CPU time to forward, or nil.
func (s *Server) checkOverload(req *request) *refusalResponse {
	if s.opts.Lag == nil {
		return nil
	}
	urgency := req.rank.Urgency()
	if s.upstreamCalls.contains(req.route.Name()) {
		urgency = callUrgency
	}
	if s.overload.admits(req.arrived, s.opts.Lag(), urgency) {
		return nil
	}
	refusal := unavailable(relay.RefusalShed, "the daemon lacks CPU time")
	refusal.retryAfter = overloadRetryAfter
	return refusal
}
