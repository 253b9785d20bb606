package ingress

import (
	"context"
	"math"
	"net/http"
	"slices"
	"time"

	"cicadacross"
	"cicadacross/internal/peerpb"
	"cicadacross/internal/relay"
)

const (
	// defaultMaxAttempts is the maximum number of attempts without a dialect: the first one and at most 2 retries.
	defaultMaxAttempts = 3
	// misroutedRetryDelay is the delay before a keyed request is sent again because the ingress daemon and the owner
	// had different configuration versions.
	misroutedRetryDelay = 50 * time.Millisecond
	// refusalMargin is subtracted from the time limit of the owner, so that its refusal arrives before the ingress
	// daemon times out.
	refusalMargin = 10 * time.Millisecond
	// responseGracePeriod is how long after the deadline the final message of the owner is awaited. Without it, a busy
	// machine turns "not run" into "unknown", which keeps a caller from retrying.
	responseGracePeriod = 50 * time.Millisecond
)

// errResponseAborted means that the response to the caller was aborted after its header was written.
var errResponseAborted = newError("answer", KindResponse, "response aborted")

// ServeHTTP serves one request of a caller.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inProgress.Add(1)
	defer s.inProgress.Add(-1)
	arrived := s.opts.Timers.Now()
	if s.opts.PauseDetector != nil {
		// The request may have waited unread while the process was paused.
		arrived = arrived.Add(-s.opts.PauseDetector.TimeLost())
	}
	if conn, ok := r.Context().Value(connKey{}).(*recordingConn); ok {
		if !conn.begin() {
			panic(http.ErrAbortHandler)
		}
		defer conn.finish()
	}
	if s.opts.Latency != nil {
		defer s.opts.Latency.UpdateSince(arrived)
	}
	s.resetWriteLimit(w)
	req, refusal := s.readRequest(r, arrived)
	defer func() { req.bodySource.close() }()
	if refusal == nil {
		refusal = s.readBody(w, req)
	}
	if refusal == nil {
		s.recordRequest(req)
		var err error
		if refusal, err = s.forward(w, req); err != nil {
			s.opts.Decisions.Record(req.id, "abort", "side", "ingress", "error", err.Error())
			panic(http.ErrAbortHandler)
		}
		s.recordRoom(req, refusal)
	}
	if refusal != nil {
		s.writeRefusal(w, req, refusal)
	}
}

// recordRequest counts the request for the retry budget of its service. The upstream on this host may make it for a
// request that it runs once more.
func (s *Server) recordRequest(req *request) {
	service := req.service.Name()
	s.budget.RecordRequest(service)
	budget, ok := s.budget.(*FleetRetryBudget)
	if !ok || s.opts.RepeatedShare == nil || !s.upstreamCalls.contains(req.route.Name()) {
		return
	}
	if share := s.opts.RepeatedShare(); share > 0 {
		budget.RecordRepeat(service, share)
	}
}

// writeRefusal writes the response to a request for which there is no response of an upstream.
func (s *Server) writeRefusal(w http.ResponseWriter, req *request, refusal *refusalResponse) {
	if req.mayHaveRun && refusal.outcome == cicadacross.OutcomeNotRun {
		// The last attempt did not run, but an earlier one may have.
		refusal.outcome, refusal.status = cicadacross.OutcomeUnknown, http.StatusBadGateway
		refusal.retryAfter = 0
	}
	s.opts.Decisions.Record(req.id, "refuse", "side", "ingress", "status", refusal.status,
		"outcome", refusal.outcome.String(), "reason", refusal.reason, "text", refusal.text)
	if !refusal.byOwner {
		// Only the owner of a key knows whether an earlier attempt with the key ran.
		refusal.earlierUnknown = req.http.Header.Get(cicadacross.HeaderIdempotencyKey) != "" && !req.route.Repeatable()
	}
	if s.draining.Load() || s.closeAfterResponse.Load() {
		w.Header().Set("Connection", "close")
	}
	if s.opts.Dialect != nil {
		s.writeDialectRefusal(w, req, refusal)
		return
	}
	s.limitWrite(w)
	refusal.write(w, req.id)
}

// forward makes the attempts and writes the response of the upstream. When there is none, it returns the refusal that
// the caller must get instead. An error means that the response was aborted.
func (s *Server) forward(w http.ResponseWriter, req *request) (*refusalResponse, error) {
	if s.opts.Dialect != nil {
		relay.RemoveConnectionHeaders(req.http.Header)
		s.opts.Dialect.SetForwardHeaders(req.http.Header, s.opts.Service)
	}
	headers := relay.EncodeHeader(req.http.Header)
	req.fingerprint = relay.Fingerprint(req.service.Name(), req.http.Method, req.path(), req.body.first())
	if s.opts.Quarantine.IsQuarantined(req.fingerprint) {
		return unavailable(relay.RefusalQuarantined, "the request crashed upstreams and is quarantined"), nil
	}
	search := targetSearch{
		onTimeOnly: s.opts.Dialect != nil, onTimeRefusalLimit: s.acceptance.onTimeRefusalLimit(req.route.Name()),
	}
	var last *refusalResponse
	for n := 0; n < s.maxAttempts(req) && search.ownersAsked < s.maxOwnersAsked(); {
		target, refusal := s.nextTarget(req, &search, last)
		if refusal != nil {
			return refusal, nil
		}
		head := s.forwardHead(req, target, headers)
		head.Attempt = uint32(n) // #nosec G115
		head.OnTimeOnly = search.onTimeOnly
		s.applyDrainLimit(req, target, head)
		var err error
		last, err = s.sendAttempt(w, req, target, head, n+1 >= s.maxAttempts(req))
		n += s.countAttempt(last)
		if head.OnTimeOnly {
			s.acceptance.record(req.route.Name(), last == nil || last.reason != relay.RefusalShed)
		}
		req.mayHaveRun = req.mayHaveRun || last == nil || last.outcome != cicadacross.OutcomeNotRun
		if last == nil || err != nil || !s.canRetry(req, last) {
			return last, err
		}
		s.opts.Decisions.Record(req.id, "retry", "side", "ingress", "target", target.Name(), "reason", last.reason)
		if last.reason == relay.RefusalMisrouted {
			if last = s.reloadConfiguration(req, last); last.reason != relay.RefusalMisrouted {
				return last, nil
			}
			continue
		}
		search.recordResult(target.Host(), last, s.countAllowedTargets(req))
	}
	return last, nil
}

// targetSearch is the state of the search for a target that runs a request.
type targetSearch struct {
	// excluded lists the hosts that are not asked again; onTimeRefusals counts the refusals for lack of a slot in time.
	excluded       []string
	onTimeRefusals int
	ownersAsked    int
	// onTimeOnly makes owners refuse what they would serve late. After onTimeRefusalLimit such refusals, or when all
	// targets are excluded, one is asked to serve the request late.
	onTimeOnly bool
	// onTimeRefusalLimit is the number of refusals after which onTimeOnly is reset.
	onTimeRefusalLimit int
	// calledHosts lists the hosts whose upstream received the request, rejectedHosts those of them whose upstream
	// rejected it without running it. A request may be sent to no more targets than its route allows attempts, but
	// again to one that rejected it.
	calledHosts   []string
	rejectedHosts []string
}

// recordCall records that the upstream of the host received the request.
func (r *targetSearch) recordCall(host string, last *refusalResponse) {
	if !slices.Contains(r.calledHosts, host) {
		r.calledHosts = append(r.calledHosts, host)
	}
	r.rejectedHosts = slices.DeleteFunc(r.rejectedHosts, func(h string) bool { return h == host })
	if last.reason == relay.RefusalRejected {
		r.rejectedHosts = append(r.rejectedHosts, host)
	}
}

// allows reports whether the request may be sent to the host when at most maxTargets targets may receive it.
func (r *targetSearch) allows(host string, maxTargets int) bool {
	if len(r.calledHosts) >= maxTargets {
		return slices.Contains(r.rejectedHosts, host)
	}
	return !slices.Contains(r.excluded, host)
}

// recordResult records the result of an attempt at the host. A refusal for lack of a slot in time that reaches
// onTimeRefusalLimit, or excludes the last target, clears the excluded hosts, and the next owner is asked to serve the
// request late. targetCount is the number of targets that the request may be sent to.
func (r *targetSearch) recordResult(host string, last *refusalResponse, targetCount int) {
	r.ownersAsked++
	r.excluded = append(r.excluded, host)
	if !last.upstreamNotCalled() && !last.costsNoWork() {
		r.recordCall(host, last)
	}
	if last.reason != relay.RefusalShed || !r.onTimeOnly {
		return
	}
	r.onTimeRefusals++
	if r.onTimeRefusals >= r.onTimeRefusalLimit || len(r.excluded) >= targetCount {
		r.excluded = nil
		r.onTimeOnly = false
	}
}

// nextTarget returns the target of the next attempt, or the refusal for the caller when there is none. The result of
// the previous attempt is nil before the first one.
func (s *Server) nextTarget(
	req *request, search *targetSearch, last *refusalResponse,
) (cicadacross.Target, *refusalResponse) {
	target, ok := s.pickTarget(req, search)
	switch {
	case !ok && last == nil:
		return target, s.refuseWithoutTarget(req)
	case s.remaining(req) <= 0 && last == nil:
		return target, unavailable(relay.RefusalDeadline, "no time is left")
	case !ok, s.remaining(req) <= 0:
		return target, last
	case s.exceedsDrainLimit(req, target) && last == nil:
		return target, drainRefusal("the daemon stops before the request could be answered")
	case s.exceedsDrainLimit(req, target):
		s.opts.Decisions.Record(req.id, "no_retry", "side", "ingress", "reason", "drain_limit")
		return target, last
	case last != nil && last.reason != reasonFailed && !s.isRetryFree(last) && !s.budget.AllowRetry(req.service.Name()):
		s.opts.Decisions.Record(req.id, "no_retry", "side", "ingress", "reason", "budget")
		return target, last
	}
	return target, nil
}

// canRetry reports whether another attempt is allowed: the body can be sent again, and the last attempt did not run or
// the request may run twice.
func (s *Server) canRetry(req *request, last *refusalResponse) bool {
	if s.opts.Dialect != nil {
		return s.canRetryInDialect(req, last)
	}
	if req.http.Context().Err() != nil || s.remaining(req) <= 0 || !req.body.replayable() {
		return false
	}
	switch last.reason {
	case relay.FailureCrashed:
		// The request may be the cause of the crash and would crash every upstream that runs it.
		return false
	case relay.RefusalQuarantined, relay.RefusalDeadline, relay.RefusalCanceled, relay.RefusalKeyReused,
		relay.FailurePreempted, relay.FailureTimeout, reasonMemory:
		return false
	}
	return last.outcome == cicadacross.OutcomeNotRun || req.key == ""
}

// reloadConfiguration waits and then switches the request to the current configuration. It is called when the request
// did not run because the ingress daemon and the owner disagree on the owner of its key. It returns another refusal
// when the request no longer has a route.
func (s *Server) reloadConfiguration(req *request, last *refusalResponse) *refusalResponse {
	timer := s.opts.Timers.After(misroutedRetryDelay)
	defer timer.Stop()
	select {
	case <-timer.C():
	case <-req.http.Context().Done():
		return last
	}
	if c := s.opts.Configuration(); c != nil {
		req.configuration = c
	}
	if refusal := req.findRoute(); refusal != nil {
		return refusal
	}
	return last
}

// pickTarget returns the target of one attempt, or false when there is none.
func (s *Server) pickTarget(req *request, search *targetSearch) (cicadacross.Target, bool) {
	excluded := search.excluded
	if req.key != "" {
		owner, ok := s.opts.KeyOwner(req.service, req.key)
		ok = ok && !slices.Contains(excluded, owner.Host()) && s.isAllowed(req, owner)
		if ok {
			s.opts.Decisions.Record(req.id, "pick", "side", "ingress", "target", owner.Name(), "by", "key")
		}
		return owner, ok
	}
	if s.opts.ConfinedTarget != nil && s.opts.Quarantine.IsSuspect(req.fingerprint) {
		return s.pickSuspectTarget(req, excluded)
	}
	preferred, fallback := s.splitTargets(req, search)
	target, pickedBy, ok := s.pickCandidate(req, preferred, len(excluded) > 0)
	if !ok {
		// The signs of unavailability may be outdated, so these hosts are used when there are no others.
		target, _, ok = s.pickCandidate(req, fallback, true)
		pickedBy = "last_resort"
	}
	if ok {
		s.opts.Decisions.Record(req.id, "pick", "side", "ingress", "target", target.Name(),
			"by", pickedBy, "candidates", len(preferred), "version", req.configuration.Version().String())
	}
	return target, ok
}

// pickCandidate selects one of the candidates with the placer or, without one, with the balancer. It also returns the
// reason. A partial list lacks targets that would serve other requests.
func (s *Server) pickCandidate(
	req *request, candidates []cicadacross.Target, partial bool,
) (target cicadacross.Target, reason string, ok bool) {
	if s.opts.Placer == nil {
		target, ok = s.opts.Balancer.Pick(candidates)
		return target, string(cicadacross.PlacementHome), ok
	}
	target, placedBy := s.opts.Placer.Explain(s.placementRequest(req, partial), candidates)
	return target, string(placedBy), placedBy != ""
}

func (s *Server) placementRequest(req *request, partial bool) cicadacross.PlacementRequest {
	return cicadacross.PlacementRequest{
		Route: req.route.Name(), LargeTransfer: s.hasLargeTransfer(req), TargetTime: s.remainingTargetTime(req),
		Size: s.transferSize(req), Partial: partial,
	}
}

// maxAttempts returns how many attempts of the request may reach upstreams.
func (s *Server) maxAttempts(req *request) int {
	if s.opts.Dialect != nil {
		return req.route.Attempts()
	}
	return defaultMaxAttempts
}

// maxTargets returns how many targets may receive the request. Without a dialect, only the number of attempts is
// limited.
func (s *Server) maxTargets(req *request) int {
	if s.opts.Dialect != nil {
		return req.route.Attempts()
	}
	return math.MaxInt
}

// countAttempt returns 1 when the attempt counts towards maxAttempts, else 0.
func (s *Server) countAttempt(last *refusalResponse) int {
	if last != nil && (s.isRetryFree(last) || s.mayRepeatRejected(last)) {
		return 0
	}
	return 1
}

// mayRepeatRejected reports whether a target that rejected the request may receive it again: with a dialect, only
// executions count as attempts.
func (s *Server) mayRepeatRejected(last *refusalResponse) bool {
	return s.opts.Dialect != nil && last.reason == relay.RefusalRejected
}

// maxOwnersAsked returns how many owners may be asked. Without a dialect, only the number of attempts is limited.
func (s *Server) maxOwnersAsked() int {
	if s.opts.Dialect != nil {
		return maxDialectOwnersAsked
	}
	return math.MaxInt
}

// isRetryFree reports whether another attempt is exempt from the retry budget. With a dialect, this also holds when the
// owner refused the request without calling its upstream.
func (s *Server) isRetryFree(last *refusalResponse) bool {
	return last.costsNoWork() || (s.opts.Dialect != nil && last.upstreamNotCalled())
}

// pickSuspectTarget returns the target of a request that was in progress when an upstream crashed. There is only one,
// so that the request can't crash the upstreams of the others.
func (s *Server) pickSuspectTarget(req *request, excluded []string) (cicadacross.Target, bool) {
	target, ok := s.opts.ConfinedTarget(req.service, req.fingerprint)
	if !ok || slices.Contains(excluded, target.Host()) || s.isLeaving(req.configuration, target.Host()) ||
		!s.isAllowed(req, target) {
		return cicadacross.Target{}, false
	}
	s.opts.Decisions.Record(req.id, "pick", "side", "ingress", "target", target.Name(), "by", "suspect")
	return target, true
}

// isLeaving reports whether the host receives no new requests, by the configuration or by Options.IsLeaving.
func (s *Server) isLeaving(c *cicadacross.Configuration, host string) bool {
	return c.Leaving(host) || (s.opts.IsLeaving != nil && s.opts.IsLeaving(host))
}

// isProbablyUnavailable reports whether there is a sign, possibly outdated, that the host can't serve requests.
func (s *Server) isProbablyUnavailable(host string) bool {
	if s.opts.IsAlive != nil && !s.opts.IsAlive(host) {
		return true
	}
	if s.opts.IsHostSuspect != nil && s.opts.IsHostSuspect(host) {
		return true
	}
	return s.unavailable.contains(host)
}

// forwardHead returns the first message of one attempt. Each attempt has its own, since an owner in this process may
// still read that of an earlier one.
func (s *Server) forwardHead(req *request, target cicadacross.Target, headers []*peerpb.Header) *peerpb.ForwardHead {
	remaining := s.remaining(req)
	remaining -= min(refusalMargin, remaining/10)
	head := &peerpb.ForwardHead{
		RequestId:      req.id,
		Version:        relay.EncodeVersion(req.configuration.Version()),
		Service:        req.service.Name(),
		Target:         target.Name(),
		Host:           target.Host(),
		Kind:           req.route.Name(),
		Rank:           req.rank.Name(),
		Urgency:        int32(req.rank.Urgency()),                    // #nosec G115
		RankTargetMs:   uint64(req.rank.TargetTime().Milliseconds()), // #nosec G115
		TimeoutMs:      uint64(max(0, remaining.Milliseconds())),     // #nosec G115
		Worth:          req.rank.Worth(),
		Repeatable:     req.route.Repeatable(),
		IdempotencyKey: req.key,
		Depth:          uint32(req.depth + 1), // #nosec G115
		Method:         req.http.Method,
		Path:           req.path(),
		Headers:        headers,
		ContentLength:  req.body.length,
		Body:           req.body.inline(),
		Complete:       req.body.fitsInline(),
	}
	if s.opts.Dialect != nil {
		targetTimeMs := uint64(max(0, s.remainingTargetTime(req).Milliseconds())) // #nosec G115
		head.Confirm = !s.opts.Client.IsLocal(target) && s.needsConfirmation(req, target)
		head.AimMs, head.Authority = &targetTimeMs, req.http.Host
		head.Origin = s.opts.Service
	}
	return head
}

// recentlyHeard is the time since the last message of an owner within which it is assumed to respond.
const recentlyHeard = time.Second

// needsConfirmation reports whether an owner on another host may run the request only once its acknowledgment is
// confirmed. A request that may run twice and whose body is in the head needs none, which saves a round trip while it
// holds a slot. It is confirmed nevertheless when the owner may not respond, or another one may run it already, so that
// it doesn't run at more targets than its route allows.
func (s *Server) needsConfirmation(req *request, target cicadacross.Target) bool {
	if !req.route.Repeatable() || !req.body.fitsInline() || req.unacknowledged {
		return true
	}
	return !s.opts.Client.HasHeardSince(target, s.opts.Timers.Now().Add(-recentlyHeard))
}

// remainingTargetTime returns the time left within which the response has its full worth; it is negative afterwards.
func (s *Server) remainingTargetTime(req *request) time.Duration {
	return req.targetTime - s.opts.Timers.Now().Sub(req.arrived)
}

// sendAttempt sends the request to one target. The results are those of forward.
func (s *Server) sendAttempt(
	w http.ResponseWriter, req *request, target cicadacross.Target, head *peerpb.ForwardHead, lastAttempt bool,
) (*refusalResponse, error) {
	ctx, cancel := context.WithTimeout(req.http.Context(), req.deadline.Sub(s.opts.Timers.Now())+responseGracePeriod)
	defer s.opts.Balancer.Begin(target.Host())()
	stream, err := s.opts.Client.Open(ctx, cancel, target, head)
	if err != nil {
		// Open has canceled ctx.
		if req.http.Context().Err() == nil && s.remaining(req) > 0 {
			s.unavailable.record(target.Host(), false)
		}
		return unavailable(reasonUnreachable, err.Error()), nil
	}
	a := &attempt{server: s, w: w, req: req, target: target, stream: stream, ctx: ctx, lastAttempt: lastAttempt,
		began: s.opts.Timers.Now(), needsConfirmation: head.GetConfirm()}
	defer a.close()
	if s.opts.Dialect != nil && !s.opts.Client.IsLocal(target) {
		a.awaitsAck = true
		a.ackTimer = startAckTimer(a)
		defer a.ackTimer.stop()
	}
	refusal, err := a.run()
	a.recordFailure(refusal)
	return refusal, err
}
