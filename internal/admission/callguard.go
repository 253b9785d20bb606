package admission

import (
	"sync"
	"time"

	"cicadacross"
)

const (
	// acceptableCallRefusals is the share of the upstream's calls that may be refused for lack of room before fewer
	// requests are run that make such calls.
	acceptableCallRefusals = 0.1
	// callRetryAfter is the time after which a caller that CallGuard refused should return.
	callRetryAfter = 500 * time.Millisecond
	// maxGuardedRoutes limits the number of routes for which state is kept.
	maxGuardedRoutes = 1000
)

// CallGuard refuses requests whose upstream would find no room for the calls that it makes while it runs them. It
// answers a load under which the services that are called lack slots: without it, such requests take a slot, wait for
// their calls and fail, and the slots of the caller's service are lost too. A route is held back by the share of its
// runs that fail, so that routes without calls are not. It is safe for concurrent use; a nil CallGuard refuses nothing.
type CallGuard struct {
	timers cicadacross.Timers
	// refusedCalls measures which calls of the upstream on this host were refused for lack of room.
	refusedCalls ShareMeter

	mu      sync.Mutex
	routes  map[string]*guardedRoute
	refused int64
}

// ErrNoRoomForCalls is the refusal of a request that CallGuard doesn't admit.
var ErrNoRoomForCalls = newRefusal(KindExcess, callRetryAfter, "the upstream's calls find no room")

// guardedRoute is the state of one route.
type guardedRoute struct {
	guard      OverloadGuard
	failedRuns ShareMeter
}

// NewCallGuard returns a guard that has recorded nothing.
func NewCallGuard(timers cicadacross.Timers) *CallGuard {
	return &CallGuard{timers: timers, routes: make(map[string]*guardedRoute)}
}

// RecordCall records whether a call of the upstream on this host was refused for lack of room.
func (g *CallGuard) RecordCall(refused bool) {
	if g != nil {
		g.refusedCalls.Record(g.timers.Now(), refused)
	}
}

// RecordRun records whether the upstream failed a request of the route that it ran.
func (g *CallGuard) RecordRun(route string, failed bool) {
	if g != nil {
		g.stateOf(route).failedRuns.Record(g.timers.Now(), failed)
	}
}

// Admits reports whether a request of the route may run.
func (g *CallGuard) Admits(route string) bool {
	if g == nil {
		return true
	}
	now := g.timers.Now()
	r := g.stateOf(route)
	share := min(g.refusedCalls.Share(now), r.failedRuns.Share(now))
	if r.guard.Admits(now, sharePressure(share, acceptableCallRefusals), 0) {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refused++
	return false
}

// RefusedCount returns the number of requests that were refused.
func (g *CallGuard) RefusedCount() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.refused
}

func (g *CallGuard) stateOf(route string) *guardedRoute {
	g.mu.Lock()
	defer g.mu.Unlock()
	r, ok := g.routes[route]
	if !ok {
		if len(g.routes) >= maxGuardedRoutes {
			clear(g.routes)
		}
		r = &guardedRoute{}
		g.routes[route] = r
	}
	return r
}
