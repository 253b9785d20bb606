package ingress

import (
	"context"
	"errors"
	"math"
	"net/http"
	"slices"
	"time"

	"cicadacross"
	"cicadacross/internal/peerpb"
	"cicadacross/internal/relay"
)

const (
	// maxAttempts is the first attempt and at most 2 further ones.
	maxAttempts = 3
	// disagreeWait is the wait before a keyed request is sent again because ingress and owner had different versions.
	disagreeWait = 50 * time.Millisecond
	// answerMargin is kept from the owner's time limit, so that its refusal arrives before the ingress gives up.
	answerMargin = 10 * time.Millisecond
	// answerGrace is how long after the time limit the owner's last word is awaited. Without it a busy machine turns
	// "not run" into "unknown", which keeps a caller from sending again.
	answerGrace = 50 * time.Millisecond
)

// errAborted means that the answer to the caller broke off after its head was written.
var errAborted = newError("answer", KindAnswer, "the answer broke off")

// ServeHTTP serves one request of a caller.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := s.opts.Timers.Now()
	if s.opts.Pause != nil {
		arrived = arrived.Add(-s.opts.Pause.TimeLost())
	}
	if conn, ok := r.Context().Value(wireKey{}).(*wire); ok {
		defer conn.forget()
	}
	if s.opts.Latency != nil {
		defer s.opts.Latency.UpdateSince(arrived)
	}
	q, fault := s.read(r, arrived)
	if fault == nil {
		fault = s.readBody(w, q)
	}
	if fault == nil {
		s.budget.Request(q.service.Name())
		var err error
		if fault, err = s.forward(w, q); err != nil {
			s.opts.Decisions.Record(q.id, "abort", "side", "ingress", "error", err.Error())
			panic(http.ErrAbortHandler)
		}
	}
	if fault != nil {
		s.refuse(w, q, fault)
	}
}

// refuse answers a request for which no upstream's answer is at hand.
func (s *Server) refuse(w http.ResponseWriter, q *request, fault *refused) {
	if q.mayHaveRun && fault.outcome == cicadacross.OutcomeNotRun {
		// The last attempt did not run, and an earlier one may have.
		fault.outcome, fault.status = cicadacross.OutcomeUnknown, http.StatusBadGateway
		fault.retryAfter = 0
	}
	s.opts.Decisions.Record(q.id, "refuse", "side", "ingress", "status", fault.status,
		"outcome", fault.outcome.String(), "reason", fault.reason, "text", fault.text)
	if !fault.byOwner {
		// Only the owner of a key knows whether an earlier send ran.
		fault.earlierUnknown = q.http.Header.Get(cicadacross.HeaderIdempotencyKey) != "" && !q.route.Repeatable()
	}
	if s.draining.Load() || s.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	if s.opts.Dialect != nil {
		s.refuseMarked(w, q, fault)
		return
	}
	fault.write(w, q.id)
}

// readBody reads the start of the body within the time limit of the request.
func (s *Server) readBody(w http.ResponseWriter, q *request) *refused {
	if q.http.ContentLength != 0 {
		control := http.NewResponseController(w)
		_ = control.SetReadDeadline(time.Now().Add(s.remaining(q)))
		defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	}
	body, err := readStart(q.http, s.replaySize())
	if err != nil && s.opts.Dialect != nil {
		return &refused{
			status: http.StatusRequestTimeout, reason: "body", outcome: cicadacross.OutcomeNotRun, text: err.Error(),
		}
	}
	if err != nil {
		return badRequest("body", err.Error())
	}
	if s.opts.Dialect != nil {
		body.holdBack()
	}
	q.body = body
	return nil
}

func (s *Server) remaining(q *request) time.Duration { return q.deadline.Sub(s.opts.Timers.Now()) }

// forward makes the attempts. The answer is written unless the first result says what to answer. The error means that
// the answer broke off.
func (s *Server) forward(w http.ResponseWriter, q *request) (*refused, error) {
	if s.opts.Dialect != nil {
		s.opts.Dialect.SetForwardHeaders(q.http.Header, s.opts.Service)
	}
	headers := relay.EncodeHeader(q.http.Header)
	q.fingerprint = relay.Fingerprint(q.service.Name(), q.http.Method, q.path(), q.body.start)
	if s.opts.Quarantine.IsQuarantined(q.fingerprint) {
		return unavailable(relay.RefusalQuarantined, "the request crashed upstreams and is quarantined"), nil
	}
	search := targetSearch{onTime: s.opts.Dialect != nil, maxFull: s.acceptance.questions(q.route.Name())}
	var last *refused
	for n := 0; n < s.attempts(q) && search.asked < s.maxAsked(); {
		target, fault := s.next(q, &search, last)
		if fault != nil {
			return fault, nil
		}
		head := s.head(q, target, headers)
		head.Attempt = uint32(n) // #nosec G115
		head.OnTimeOnly = search.onTime
		var err error
		last, err = s.attempt(w, q, target, head, n+1 >= s.attempts(q))
		n += s.counts(last)
		if head.OnTimeOnly {
			s.acceptance.note(q.route.Name(), last == nil || last.reason != relay.RefusalShed)
		}
		q.mayHaveRun = q.mayHaveRun || last == nil || last.outcome != cicadacross.OutcomeNotRun
		if last == nil || err != nil || !s.retryable(q, last) {
			return last, err
		}
		s.opts.Decisions.Record(q.id, "retry", "side", "ingress", "target", target.Name(), "reason", last.reason)
		if last.reason == relay.RefusalMisrouted {
			if last = s.refresh(q, last); last.reason != relay.RefusalMisrouted {
				return last, nil
			}
			continue
		}
		search.note(target.Host(), last, len(q.service.Targets()))
	}
	return last, nil
}

// targetSearch is the state of the search for a target that serves a request.
type targetSearch struct {
	// tried holds the hosts that aren't asked again, full those among them that only had no slot in time.
	tried []string
	full  int
	asked int
	// onTime asks owners to refuse what they would serve late. When some have, one is asked to serve it late.
	onTime bool
	// maxFull is how many owners may say so.
	maxFull int
	// reached holds the hosts whose upstream got the request, rejected those among them whose upstream didn't run it. A
	// request may be sent to no more than the route's attempts of targets, but again to one that rejected it.
	reached  []string
	rejected []string
}

// reach notes that the upstream of the host got the request.
func (r *targetSearch) reach(host string, last *refused) {
	if !slices.Contains(r.reached, host) {
		r.reached = append(r.reached, host)
	}
	r.rejected = slices.DeleteFunc(r.rejected, func(h string) bool { return h == host })
	if last.reason == relay.RefusalRejected {
		r.rejected = append(r.rejected, host)
	}
}

// allows reports whether the request may go to the host, when it may reach the given number of targets.
func (r *targetSearch) allows(host string, attempts int) bool {
	if len(r.reached) >= attempts {
		return slices.Contains(r.rejected, host)
	}
	return !slices.Contains(r.tried, host)
}

// note takes the outcome of an attempt.
func (r *targetSearch) note(host string, last *refused, targets int) {
	r.asked++
	r.tried = append(r.tried, host)
	if !last.unsent() && !last.free() {
		r.reach(host, last)
	}
	if last.reason != relay.RefusalShed || !r.onTime {
		return
	}
	r.full++
	if r.full >= r.maxFull || len(r.tried) >= targets {
		r.tried = nil
		r.onTime = false
	}
}

// next returns the target of the next attempt, or the answer when there is none. The answer of the attempt before is
// nil at the first one.
func (s *Server) next(q *request, search *targetSearch, last *refused) (cicadacross.Target, *refused) {
	target, ok := s.pick(q, search)
	switch {
	case !ok && last == nil:
		return target, unavailable("no_target", "no target of the service takes work")
	case s.remaining(q) <= 0 && last == nil:
		return target, unavailable(relay.RefusalDeadline, "no time is left")
	case !ok, s.remaining(q) <= 0:
		return target, last
	case last != nil && last.reason != reasonFailed && !s.unbudgeted(last) && !s.budget.Retry(q.service.Name()):
		s.opts.Decisions.Record(q.id, "no_retry", "side", "ingress", "reason", "budget")
		return target, last
	}
	return target, nil
}

// retryable reports whether another attempt may be made: the earlier one did not run, or the request may run twice and
// its whole body is at hand.
func (s *Server) retryable(q *request, last *refused) bool {
	if s.opts.Dialect != nil {
		return s.markedRetryable(q, last)
	}
	if q.http.Context().Err() != nil || s.remaining(q) <= 0 || !q.body.replayable() {
		return false
	}
	switch last.reason {
	case relay.FailureCrashed:
		// The request may be the one that crashes every upstream that runs it.
		return false
	case relay.RefusalQuarantined, relay.RefusalDeadline, relay.RefusalCanceled, relay.RefusalKeyReused,
		relay.FailurePreempted, relay.FailureTimeout:
		return false
	}
	return last.outcome == cicadacross.OutcomeNotRun || q.key == ""
}

// refresh takes the present configuration for a request that did not run because ingress and owner disagree on the
// owner of its key. It returns another refusal when the request has no route any more.
func (s *Server) refresh(q *request, last *refused) *refused {
	timer := s.opts.Timers.After(disagreeWait)
	defer timer.Stop()
	select {
	case <-timer.C():
	case <-q.http.Context().Done():
		return last
	}
	if c := s.opts.Configuration(); c != nil {
		q.configuration = c
	}
	if fault := q.findRoute(); fault != nil {
		return fault
	}
	return last
}

// pick chooses the target of one attempt.
func (s *Server) pick(q *request, search *targetSearch) (cicadacross.Target, bool) {
	tried := search.tried
	if q.key != "" {
		owner, ok := s.opts.KeyOwner(q.service, q.key)
		ok = ok && !slices.Contains(tried, owner.Host())
		if ok {
			s.opts.Decisions.Record(q.id, "pick", "side", "ingress", "target", owner.Name(), "by", "key")
		}
		return owner, ok
	}
	if s.opts.Confine != nil && s.opts.Quarantine.IsSuspect(q.fingerprint) {
		return s.confined(q, tried)
	}
	targets := q.service.Targets()
	good := make([]cicadacross.Target, 0, len(targets))
	var doubtful []cicadacross.Target
	for _, t := range targets {
		switch host := t.Host(); {
		case !search.allows(host, s.reachable(q)), s.leaving(q.configuration, host):
		case s.doubtful(host):
			doubtful = append(doubtful, t)
		default:
			good = append(good, t)
		}
	}
	by := "balancer"
	target, ok := s.choose(q, good)
	if !ok {
		// Evidence against a host may be outdated, so that it is used when there is nothing better.
		by = "last_resort"
		target, ok = s.choose(q, doubtful)
	}
	if ok {
		s.opts.Decisions.Record(q.id, "pick", "side", "ingress", "target", target.Name(),
			"by", by, "candidates", len(good), "version", q.configuration.Version().String())
	}
	return target, ok
}

// choose asks the placer, or without one the balancer.
func (s *Server) choose(q *request, candidates []cicadacross.Target) (cicadacross.Target, bool) {
	if s.opts.Placer == nil {
		return s.opts.Balancer.Pick(candidates)
	}
	return s.opts.Placer.Place(cicadacross.PlacementRequest{
		Route: q.route.Name(), LargeBody: q.route.LargeBody(), TargetTime: s.aimLeft(q),
	}, candidates)
}

// attempts returns how many sends of the request may reach upstreams.
func (s *Server) attempts(q *request) int {
	if s.opts.Dialect != nil {
		return q.route.Attempts()
	}
	return maxAttempts
}

// reachable returns how many targets may get the request. Without a dialect the attempts alone bound it.
func (s *Server) reachable(q *request) int {
	if s.opts.Dialect != nil {
		return q.route.Attempts()
	}
	return math.MaxInt
}

// counts returns 1 when the attempt counts towards the most that are made, else 0.
func (s *Server) counts(last *refused) int {
	if last != nil && (s.unbudgeted(last) || s.repeatsReached(last)) {
		return 0
	}
	return 1
}

// repeatsReached reports whether a target that rejected the request may get it again: in a dialect only runs count as
// attempts.
func (s *Server) repeatsReached(last *refused) bool {
	return s.opts.Dialect != nil && last.reason == relay.RefusalRejected
}

// maxAsked bounds the owners that are asked. Without a dialect each one counts as an attempt.
func (s *Server) maxAsked() int {
	if s.opts.Dialect != nil {
		return maxMarkedAttempts
	}
	return math.MaxInt
}

// unbudgeted reports whether another attempt costs nothing of the retry budget: in a dialect the owner's refusal keeps
// the request from its upstream.
func (s *Server) unbudgeted(last *refused) bool {
	return last.free() || (s.opts.Dialect != nil && last.unsent())
}

// replaySize returns how much of a body is kept for another attempt, in bytes.
func (s *Server) replaySize() int64 {
	if s.opts.Dialect != nil {
		return markedReplaySize
	}
	return replaySize
}

// confined chooses the target of a request that was in progress when an upstream crashed. There is only one, so that
// the request can't take down the others.
func (s *Server) confined(q *request, tried []string) (cicadacross.Target, bool) {
	target, ok := s.opts.Confine(q.service, q.fingerprint)
	if !ok || slices.Contains(tried, target.Host()) || s.leaving(q.configuration, target.Host()) {
		return cicadacross.Target{}, false
	}
	s.opts.Decisions.Record(q.id, "pick", "side", "ingress", "target", target.Name(), "by", "suspect")
	return target, true
}

func (s *Server) leaving(c *cicadacross.Configuration, host string) bool {
	return c.Leaving(host) || (s.opts.Leaving != nil && s.opts.Leaving(host))
}

func (s *Server) doubtful(host string) bool {
	if s.opts.Alive != nil && !s.opts.Alive(host) {
		return true
	}
	if s.opts.Suspect != nil && s.opts.Suspect(host) {
		return true
	}
	return s.evidence.avoided(host)
}

// head builds the head of one attempt. Each attempt has its own, since an owner in this process may still read that of
// an earlier one.
func (s *Server) head(q *request, target cicadacross.Target, headers []*peerpb.Header) *peerpb.ForwardHead {
	remaining := s.remaining(q)
	remaining -= min(answerMargin, remaining/10)
	head := &peerpb.ForwardHead{
		RequestId:      q.id,
		Version:        relay.EncodeVersion(q.configuration.Version()),
		Service:        q.service.Name(),
		Target:         target.Name(),
		Host:           target.Host(),
		Kind:           q.route.Name(),
		Rank:           q.rank.Name(),
		Urgency:        int32(q.rank.Urgency()),                    // #nosec G115
		RankTargetMs:   uint64(q.rank.TargetTime().Milliseconds()), // #nosec G115
		TimeoutMs:      uint64(max(0, remaining.Milliseconds())),   // #nosec G115
		Worth:          q.rank.Worth(),
		Repeatable:     q.route.Repeatable(),
		IdempotencyKey: q.key,
		Depth:          uint32(q.depth + 1), // #nosec G115
		Method:         q.http.Method,
		Path:           q.path(),
		Headers:        headers,
		ContentLength:  q.body.length,
		Body:           q.body.inline(),
		Complete:       q.body.allInline(),
	}
	if s.opts.Dialect != nil {
		aim := uint64(max(0, s.aimLeft(q).Milliseconds())) // #nosec G115
		head.Confirm = !s.opts.Client.IsLocal(target)
		head.AimMs, head.Authority = &aim, q.http.Host
		head.Origin = s.opts.Service
	}
	return head
}

// aimLeft returns what is left of the time within which the answer has its full worth.
func (s *Server) aimLeft(q *request) time.Duration {
	return q.aim - s.opts.Timers.Now().Sub(q.arrived)
}

// attempt sends the request to one target. The results are those of forward.
func (s *Server) attempt(
	w http.ResponseWriter, q *request, target cicadacross.Target, head *peerpb.ForwardHead, lastAttempt bool,
) (*refused, error) {
	ctx, cancel := context.WithTimeout(q.http.Context(), s.remaining(q)+answerGrace)
	defer s.opts.Balancer.Begin(target.Host())()
	stream, err := s.opts.Client.Open(ctx, cancel, target, head)
	if err != nil {
		if ctx.Err() == nil {
			s.evidence.observe(target.Host(), false)
		}
		return unavailable(reasonUnreachable, err.Error()), nil
	}
	a := &attempt{server: s, w: w, q: q, target: target, stream: stream, ctx: ctx, lastAttempt: lastAttempt,
		unconfirmed: head.GetConfirm()}
	defer a.close()
	if a.unconfirmed {
		a.ack = newAcknowledgement(a)
		defer a.ack.end()
	}
	return a.run()
}

// lost explains a stream that ended without a final message.
func (a *attempt) lost(err error) *refused {
	var e *relay.Error
	if errors.As(err, &e) && e.Kind() == relay.KindRejected {
		return unavailable("rejected", err.Error())
	}
	if a.unconfirmed {
		if a.q.http.Context().Err() == nil {
			a.server.evidence.observe(a.target.Host(), false)
		}
		return unavailable(reasonSilent, "the owner did not say that the request arrived")
	}
	if errors.Is(context.Cause(a.ctx), context.DeadlineExceeded) {
		return unknown(http.StatusGatewayTimeout, relay.FailureTimeout, "no answer came in time")
	}
	if a.ctx.Err() == nil {
		a.server.evidence.observe(a.target.Host(), false)
	}
	return unknown(http.StatusBadGateway, relay.FailureBroken, err.Error())
}
