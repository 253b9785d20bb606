package ingress

import (
	"fmt"
	"sync"
	"time"

	"cicadacross"
	"cicadacross/internal/admission"
	"cicadacross/internal/relay"
)

const (
	// acceptableLag is the lag of the process up to which all requests are accepted. Each request needs the CPU several
	// times, so that it is delayed by a multiple of the lag.
	acceptableLag = 8 * time.Millisecond
	// overloadRetryAfter is the time after which a caller that was refused for lack of CPU time should return.
	overloadRetryAfter = 400 * time.Millisecond
	// acceptableRefusals is the share of the requests for a service that its owners may refuse for lack of room before
	// requests are refused without asking owners. The excess keeps the slots of the service in use.
	acceptableRefusals = 0.2
)

// lagGuard refuses new requests while the process lacks CPU time, the least urgent first. It answers a load above what
// the CPU share of the host can forward: otherwise every request is accepted, waits for the CPU at each step, and is
// finished after its caller has left. It is safe for concurrent use.
type lagGuard struct{ guard admission.OverloadGuard }

// admits reports whether a request of the urgency is accepted while the process has the lag.
func (g *lagGuard) admits(now time.Time, lag time.Duration, urgency int) bool {
	return g.guard.Admits(now, lagPressure(lag), urgency)
}

// lagPressure returns by which fraction of acceptableLag the lag exceeds it.
func lagPressure(lag time.Duration) float64 {
	return float64(lag-acceptableLag) / float64(acceptableLag)
}

// callUrgency is more urgent than any rank. The calls of upstreams have it: the requests that make them have already
// used a slot, and fail with the call.
const callUrgency = 0

// checkOverload returns the refusal of a request that the process lacks the CPU time to forward, or nil.
func (s *Server) checkOverload(req *request) *refusalResponse {
	if s.opts.Lag == nil {
		return nil
	}
	if s.overload.admits(req.arrived, s.opts.Lag(), s.overloadUrgency(req)) {
		return nil
	}
	s.refusedForCPU.Inc(1)
	return overloadRefusal()
}

func overloadRefusal() *refusalResponse {
	refusal := unavailable(relay.RefusalShed, "the daemon lacks CPU time")
	refusal.retryAfter = overloadRetryAfter
	return refusal
}

// overloadUrgency returns the urgency of the request for the lag guard.
func (s *Server) overloadUrgency(req *request) int {
	if s.upstreamCalls.contains(req.route.Name()) {
		return callUrgency
	}
	return req.rank.Urgency()
}

// roomGuards refuses requests of callers for services whose owners refuse many for lack of room, the least urgent
// first. It answers a load above the slots of a service: otherwise each request asks several owners, in vain, with
// messages that cost the CPU time of both hosts, and its body may cross a link. It is safe for concurrent use.
type roomGuards struct {
	mu       sync.Mutex
	services map[string]*roomGuard
}

// roomGuard is the guard of one service.
type roomGuard struct {
	guard    admission.OverloadGuard
	refusals admission.ShareMeter

	mu sync.Mutex
	// retryAfter is the time after which an owner last expected to have room.
	retryAfter time.Duration
}

func (g *roomGuards) of(service string) *roomGuard {
	g.mu.Lock()
	defer g.mu.Unlock()
	guard, ok := g.services[service]
	if !ok {
		if g.services == nil || len(g.services) > maxTrackedRoutes {
			g.services = make(map[string]*roomGuard)
		}
		guard = &roomGuard{}
		g.services[service] = guard
	}
	return guard
}

// record records the result of a request that owners were asked to run; nil means that it was answered.
func (g *roomGuard) record(now time.Time, refusal *refusalResponse) {
	refused := refusal != nil && refusal.lacksRoom()
	g.refusals.Record(now, refused)
	if refused {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.retryAfter = refusal.retryAfter
	}
}

// admits reports whether a request of the urgency should ask owners.
func (g *roomGuard) admits(now time.Time, urgency int) bool {
	return g.guard.Admits(now, g.refusals.Pressure(now, acceptableRefusals), urgency)
}

// expectedRoom returns the time after which an owner last expected to have room.
func (g *roomGuard) expectedRoom() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.retryAfter
}

// lacksRoom reports whether a request was refused because no slot or link would be free in time.
func (r *refusalResponse) lacksRoom() bool {
	if r.outcome != cicadacross.OutcomeNotRun {
		return false
	}
	return r.reason == relay.RefusalShed || r.reason == relay.RefusalDeadline
}

// checkRoom returns the refusal of a caller's request for which the service has no room, or nil. Calls of upstreams are
// not refused: the requests that make them have begun, and CallGuard holds back further ones.
func (s *Server) checkRoom(req *request) *refusalResponse {
	if s.upstreamCalls.contains(req.route.Name()) {
		return nil
	}
	room := s.rooms.of(req.service.Name())
	if room.admits(req.arrived, req.rank.Urgency()) {
		return nil
	}
	s.refusedForRoom.Inc(1)
	return room.refusal(req.service.Name(), room.refusals.Share(req.arrived))
}

// refusal returns the refusal of a request for which owners are not asked, since they refused the share of the latest
// requests for the service.
func (g *roomGuard) refusal(service string, share float64) *refusalResponse {
	refusal := unavailable(relay.RefusalShed, fmt.Sprintf(
		"the owners of service %s have no room: they refused %.0f%% of the latest requests", service, 100*share))
	refusal.retryAfter = g.expectedRoom()
	return refusal
}

// recordRoom records whether there was room for a request that owners were asked to run.
func (s *Server) recordRoom(req *request, refusal *refusalResponse) {
	if s.opts.Dialect == nil {
		return
	}
	if s.upstreamCalls.contains(req.route.Name()) {
		s.opts.CallGuard.RecordCall(refusal != nil && refusal.lacksRoom())
		return
	}
	s.rooms.of(req.service.Name()).record(s.opts.Timers.Now(), refusal)
}
