package ingress

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"cicadacross"
	"cicadacross/internal/relay"
)

const (
	// retryTimeoutShare is the part of the longest timeout of a route below which a request is assumed to be the retry
	// of a refused one, whose caller has used up some of its time. The timeouts of first attempts differ by about 15%
	// either way.
	retryTimeoutShare = 0.7
	// meanTimeoutShare is the mean timeout of callers, as a part of the longest timeout of a route.
	meanTimeoutShare = 0.87
	// maxDialectOwnersAsked is the maximum number of owners that are asked for a slot for one request.
	maxDialectOwnersAsked = 8
	// maxOnTimeRefusals is the maximum number of owners that may refuse a request for lack of a slot in time before one
	// is asked to serve it late.
	maxOnTimeRefusals = 3
	// minRetryAfter is the minimum time after which a refused caller is asked to retry.
	minRetryAfter = 50 * time.Millisecond
	// processingShare is the part of the target time that a request is assumed to spend at its target and on its way.
	processingShare = 0.6
)

// readDialectRequest reads a request whose caller sends its metadata in the dialect.
func (s *Server) readDialectRequest(r *http.Request, arrived time.Time) (*request, *refusalResponse) {
	req := &request{http: r, configuration: s.opts.Configuration(), arrived: arrived}
	metadata, invalid := s.opts.Dialect.ReadRequest(r)
	req.id = metadata.ID
	switch {
	case invalid != "":
		return req, badRequest("marks", invalid)
	case !r.ProtoAtLeast(1, 1) || r.Method == http.MethodConnect || hasConflictingLengths(r):
		return req, badRequest("form", "the request is not proper HTTP/1.1")
	}
	if refusal := s.checkServing(req); refusal != nil {
		return req, refusal
	}
	if refusal := checkLimits(r, req.configuration.Limits()); refusal != nil {
		return req, refusal
	}
	if limit := req.configuration.Limits().BodySize; limit > 0 && r.ContentLength < 0 {
		r.Body = http.MaxBytesReader(nil, r.Body, limit)
	}
	if refusal := req.findDialectRoute(); refusal != nil {
		return req, refusal
	}
	s.setTimeLimits(req, metadata, arrived)
	if refusal := req.setService(s.backendSplitter.nextService(req.route)); refusal != nil {
		return req, refusal
	}
	if refusal := s.checkOverload(req); refusal != nil {
		return req, refusal
	}
	return req, s.checkRoom(req)
}

// checkServing refuses requests that the daemon can't serve in its current state.
func (s *Server) checkServing(req *request) *refusalResponse {
	switch {
	case s.draining.Load():
		return unavailable(reasonStopping, "the daemon is stopping")
	case req.configuration == nil:
		return unavailable("no_configuration", "the daemon has no configuration yet")
	}
	return nil
}

// findDialectRoute sets the route and its rank.
func (req *request) findDialectRoute() *refusalResponse {
	path, _, _ := strings.Cut(req.path(), "?")
	route, ok := req.configuration.RouteForAuthority(req.http.Host, req.http.Method, path)
	if !ok {
		return notFound("route", "no route for the authority and path")
	}
	req.route, req.rank = route, route.Rank()
	if reason := route.RefusalReason(); reason != "" {
		return unavailable("route_refused", "route "+route.Name()+": "+reason)
	}
	return nil
}

// checkLimits refuses requests that exceed the limits of the configuration.
func checkLimits(r *http.Request, limits cicadacross.CallerLimits) *refusalResponse {
	if limits.BodySize > 0 && r.ContentLength > limits.BodySize {
		return bodyTooLarge(cicadacross.OutcomeNotRun)
	}
	if limits.HeaderSize <= 0 {
		return nil
	}
	size := int64(len(r.Method) + len(r.RequestURI) + len(r.Host))
	for name, values := range r.Header {
		for _, value := range values {
			size += int64(len(name) + len(value))
		}
	}
	if size > limits.HeaderSize {
		return &refusalResponse{
			status: http.StatusRequestHeaderFieldsTooLarge, reason: "header_size",
			outcome: cicadacross.OutcomeNotRun, text: "the header is larger than the configuration allows",
		}
	}
	return nil
}

// bodyTooLarge returns the refusal of a request whose body exceeds the limit of the configuration.
func bodyTooLarge(outcome cicadacross.Outcome) *refusalResponse {
	return &refusalResponse{
		status: http.StatusRequestEntityTooLarge, reason: "body_size", outcome: outcome,
		text: "the body is larger than the configuration allows",
	}
}

// setTimeLimits sets the deadline and the target time. A caller with less time than usual is assumed to have been
// refused before; the time that it has used up is subtracted from the target time too.
func (s *Server) setTimeLimits(req *request, metadata cicadacross.CallerRequest, arrived time.Time) {
	limit := req.route.Timeout()
	req.targetTime = req.rank.TargetTime()
	if metadata.Timeout > 0 {
		limit = min(limit, metadata.Timeout)
		usual := s.callerTimeouts.observe(req.route.Name(), metadata.Timeout)
		if float64(metadata.Timeout) < retryTimeoutShare*float64(usual) {
			req.targetTime = max(0, req.targetTime-(time.Duration(meanTimeoutShare*float64(usual))-metadata.Timeout))
		}
	}
	req.deadline = arrived.Add(limit)
}

// setService sets the service, which a route with several backends selects by weight.
func (req *request) setService(name string) *refusalResponse {
	service, ok := req.configuration.Service(name)
	if !ok || len(service.Targets()) == 0 {
		return unavailable(reasonNoTarget, "no target of the service is known")
	}
	req.service = service
	return nil
}

// longestTimeouts holds the longest timeout that callers send for each route, which is that of a first attempt. It is
// safe for concurrent use.
type longestTimeouts struct {
	mu      sync.Mutex
	longest map[string]time.Duration
}

// maxTrackedRoutes limits the number of routes for which state is kept.
const maxTrackedRoutes = 10_000

// observe records the timeout of a request and returns the longest one of the route.
func (t *longestTimeouts) observe(route string, timeout time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.longest == nil || len(t.longest) > maxTrackedRoutes {
		t.longest = make(map[string]time.Duration)
	}
	t.longest[route] = max(t.longest[route], timeout)
	return t.longest[route]
}

// writeDialectRefusal writes a refusal in the dialect. The dialect gets the outcome too: it may write a status that
// promises that the request did not run only when that is so.
func (s *Server) writeDialectRefusal(w http.ResponseWriter, req *request, refusal *refusalResponse) {
	s.setRetryDelay(req, refusal)
	if req.body == nil {
		s.discardBody(w, req.http)
	}
	s.limitWrite(w)
	s.opts.Dialect.WriteRefusal(w, refusal.forDialect(req.id))
}

// setRetryDelay sets the time after which the caller of a request that did not run should retry.
func (s *Server) setRetryDelay(req *request, refusal *refusalResponse) {
	if refusal.outcome == cicadacross.OutcomeNotRun && req.service != nil {
		refusal.retryAfter = s.retryDelay(req, refusal.retryAfter)
	}
}

// forDialect returns the refusal as it is passed to a dialect.
func (r *refusalResponse) forDialect(id string) cicadacross.RefusalResponse {
	return cicadacross.RefusalResponse{
		RequestID: id, Status: r.status, Outcome: r.outcome, Reason: r.reason, Text: r.text, RetryAfter: r.retryAfter,
	}
}

const (
	// maxDiscardedSize, in bytes, and discardTimeout limit the body that is read before a refusal. A connection that is
	// closed with unread bytes is reset, and the caller then loses the refusal.
	maxDiscardedSize = 8 << 20
	discardTimeout   = time.Second
)

// discardBody reads the body of a request that is refused before its body was read.
func (s *Server) discardBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 {
		return
	}
	end := s.opts.DrainLimit.Apply(s.opts.Timers.Now().Add(discardTimeout))
	if err := http.NewResponseController(w).SetReadDeadline(end); err != nil {
		return
	}
	// The refusal is the same whether or not the caller sends its whole body.
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, maxDiscardedSize))
}

// retryDelay returns the time after which a refused caller should retry, at least minRetryAfter. ownerDelay is the time
// in which the owner expects its queue to be empty. While the response can still have its full worth, the delay is
// ownerDelay, but short enough for that; afterwards, it is ownerDelay, but at least a third of the remaining time.
func (s *Server) retryDelay(req *request, ownerDelay time.Duration) time.Duration {
	targetTimeLeft := s.remainingTargetTime(req)
	if slack := targetTimeLeft - time.Duration(processingShare*float64(req.rank.TargetTime())); slack > 0 {
		return max(minRetryAfter, min(ownerDelay, slack))
	}
	return max(minRetryAfter, ownerDelay, req.deadline.Sub(s.opts.Timers.Now())/3)
}

// canRetryInDialect reports whether another attempt is allowed with a dialect.
func (s *Server) canRetryInDialect(req *request, last *refusalResponse) bool {
	if req.http.Context().Err() != nil || s.remaining(req) <= 0 || !req.body.replayable() {
		return false
	}
	switch last.reason {
	case relay.FailureCrashed, relay.RefusalQuarantined, relay.RefusalCanceled, relay.FailureTimeout,
		reasonMemory:
		return false
	}
	return last.outcome == cicadacross.OutcomeNotRun || req.route.Repeatable()
}
