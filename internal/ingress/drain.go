package ingress

import (
	"time"

	"cicadacross"
	"cicadacross/internal/drain"
	"cicadacross/internal/peerpb"
	"cicadacross/internal/relay"
)

// drainRetryAfter is the time after which a caller that a stopping daemon refused should retry, if the dialect doesn't
// determine it.
const drainRetryAfter = time.Second

// remaining returns the time until the deadline of the request or, when that is earlier, until the time limit of a
// shutdown; it is negative afterwards.
func (s *Server) remaining(req *request) time.Duration {
	return s.opts.DrainLimit.Apply(req.deadline).Sub(s.opts.Timers.Now())
}

// work returns what the request is expected to need once it is passed on, including the wait for a slot. With a
// dialect, it is the least that the request may need: owners then refuse what they can't answer in time
// (applyDrainLimit), and know their upstreams better.
func (s *Server) work(req *request) drain.Work {
	if s.opts.Dialect != nil {
		return s.serviceTimes.Shortest(req.route.Name()).AtLeast(req.longestAttempt)
	}
	return s.serviceTimes.Cautious(req.route.Name()).AtLeast(req.longestAttempt)
}

// remainingForBody returns the time within which the body must be complete, so that the request can be answered.
func (s *Server) remainingForBody(req *request) time.Duration {
	if !s.opts.DrainLimit.Shortens(req.deadline) {
		return s.remaining(req)
	}
	latest, _ := s.opts.DrainLimit.LatestStart(s.work(req))
	return latest.Sub(s.opts.Timers.Now())
}

// exceedsDrainLimit reports whether the daemon is stopping and the target can't be expected to respond before its end.
// The owner on this host decides that itself for a first attempt, as it knows its upstream best.
func (s *Server) exceedsDrainLimit(req *request, target cicadacross.Target) bool {
	if s.opts.Client.IsLocal(target) && req.longestAttempt == 0 {
		return false
	}
	return !s.opts.DrainLimit.Admits(req.deadline, func() drain.Work { return s.work(req) })
}

// drainRefusal returns the refusal of a request that exceeds the drain limit.
func drainRefusal(text string) *refusalResponse {
	refusal := unavailable(relay.RefusalDraining, text)
	refusal.retryAfter = drainRetryAfter
	return refusal
}

// applyDrainLimit adapts the head of an attempt once the daemon stops. The owner on this host has the same limit and
// gets the deadline of the caller, so that it can distinguish them. Another one is asked to refuse a request whose
// response it doesn't expect before the limit.
func (s *Server) applyDrainLimit(req *request, target cicadacross.Target, head *peerpb.ForwardHead) {
	if !s.opts.DrainLimit.Shortens(req.deadline) {
		return
	}
	if s.opts.Client.IsLocal(target) {
		remaining := req.deadline.Sub(s.opts.Timers.Now())
		head.TimeoutMs = uint64(max(0, (remaining - min(refusalMargin, remaining/10)).Milliseconds())) // #nosec G115
		return
	}
	if head.AimMs == nil {
		return
	}
	// With a target time that equals its time limit, the owner also refuses a request that has waited too long for a slot.
	targetTimeMs := head.GetTimeoutMs()
	cautious := s.serviceTimes.Cautious(req.route.Name()).ServiceTime()
	if head.GetOnTimeOnly() && s.remaining(req) > 2*cautious {
		targetTimeMs = min(targetTimeMs, head.GetAimMs())
	}
	head.AimMs, head.OnTimeOnly = &targetTimeMs, true
	head.MustMeetDeadline = targetTimeMs == head.GetTimeoutMs()
}

// recordServiceTime records the time until the end of the response. Failures are not recorded, since many of them end
// at a timeout.
func (a *attempt) recordServiceTime() {
	if !a.failed {
		a.server.serviceTimes.Record(a.req.route.Name(), a.server.opts.Timers.Now().Sub(a.began), a.bodySize)
	}
}

// recordFailure records the time of an attempt that reached an upstream and has no response. Another attempt is
// expected to take as long.
func (a *attempt) recordFailure(refusal *refusalResponse) {
	if refusal != nil && !refusal.upstreamNotCalled() {
		a.req.longestAttempt = max(a.req.longestAttempt, a.server.opts.Timers.Now().Sub(a.began))
	}
}
