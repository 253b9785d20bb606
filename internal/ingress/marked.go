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
	// returningShare is the part of the longest time limit of a route below which a caller is taken to have been refused
	// before: one that comes back has used up some of its time. The limits of first sends differ by about 15% either way.
	returningShare = 0.7
	// meanPatience is the part of the longest time limit of a route that callers have on average.
	meanPatience = 0.87
	// maxMarkedAttempts bounds how many owners are asked for a slot for one request.
	maxMarkedAttempts = 8
	// maxFull is how many owners at most may say that they have no slot in time before one is asked to serve the request
	// late.
	maxFull = 3
	// minRetryAfter is the shortest time after which a refused caller is asked to come back.
	minRetryAfter = 50 * time.Millisecond
	// workShare is the part of the target time that a request is assumed to take at its target and on its way.
	workShare = 0.6
)

// readMarked reads a request whose caller marks it in the dialect.
func (s *Server) readMarked(r *http.Request, arrived time.Time) (*request, *refused) {
	q := &request{http: r, configuration: s.opts.Configuration(), arrived: arrived}
	marks, text := s.opts.Dialect.ReadRequest(r)
	q.id = marks.ID
	switch {
	case text != "":
		return q, badRequest("marks", text)
	case !r.ProtoAtLeast(1, 1) || r.Method == http.MethodConnect || conflictingLengths(r):
		return q, badRequest("form", "the request is not proper HTTP/1.1")
	case s.draining.Load():
		return q, unavailable("stopping", "the daemon is stopping")
	case q.configuration == nil:
		return q, unavailable("no_configuration", "the daemon has no configuration yet")
	}
	if fault := checkLimits(r, q.configuration.Limits()); fault != nil {
		return q, fault
	}
	path, _, _ := strings.Cut(q.path(), "?")
	route, ok := q.configuration.RouteForAuthority(r.Host, r.Method, path)
	if !ok {
		return q, notFound("route", "no route for the authority and path")
	}
	q.route, q.rank = route, route.Rank()
	s.readTimes(q, marks, arrived)
	if fault := q.chooseService(s.splits.next(route)); fault != nil {
		return q, fault
	}
	return q, nil
}

// checkLimits refuses requests above the limits of the configuration.
func checkLimits(r *http.Request, limits cicadacross.CallerLimits) *refused {
	if limits.BodySize > 0 && r.ContentLength > limits.BodySize {
		return &refused{
			status: http.StatusRequestEntityTooLarge, reason: "body_size", outcome: cicadacross.OutcomeNotRun,
			text: "the body is larger than the configuration allows",
		}
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
		return &refused{
			status: http.StatusRequestHeaderFieldsTooLarge, reason: "header_size",
			outcome: cicadacross.OutcomeNotRun, text: "the header is larger than the configuration allows",
		}
	}
	return nil
}

// readTimes fixes the time limits. A caller that has less time than usual was refused before; what it has used up is
// gone from the target time too.
func (s *Server) readTimes(q *request, marks cicadacross.CallerRequest, arrived time.Time) {
	limit := q.route.Timeout()
	q.aim = q.rank.TargetTime()
	if marks.Timeout > 0 {
		limit = min(limit, marks.Timeout)
		usual := s.patience.usual(q.route.Name(), marks.Timeout)
		if float64(marks.Timeout) < returningShare*float64(usual) {
			q.aim = max(0, q.aim-(time.Duration(meanPatience*float64(usual))-marks.Timeout))
		}
	}
	q.deadline = arrived.Add(limit)
}

// chooseService fixes the service that a split route gave the request.
func (q *request) chooseService(name string) *refused {
	service, ok := q.configuration.Service(name)
	if !ok || len(service.Targets()) == 0 {
		return unavailable("no_target", "no target of the service is known")
	}
	q.service = service
	return nil
}

// patience remembers the longest time limit that callers give on each route, which is that of a first send. It is safe
// for concurrent use.
type patience struct {
	mu      sync.Mutex
	longest map[string]time.Duration
}

// maxRoutes bounds what is remembered of routes.
const maxRoutes = 10_000

// usual takes the time limit of a request and returns the usual one.
func (p *patience) usual(route string, given time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.longest == nil || len(p.longest) > maxRoutes {
		p.longest = make(map[string]time.Duration)
	}
	p.longest[route] = max(p.longest[route], given)
	return p.longest[route]
}

// splits divides the requests of split routes among their services, exactly by weight over each round. It is safe for
// concurrent use.
type splits struct {
	mu      sync.Mutex
	credits map[string][]int
}

// next returns the service of the route's next request: the one that is furthest behind its share.
func (s *splits) next(route cicadacross.Route) string {
	backends := route.Backends()
	if len(backends) == 0 {
		return route.Service()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.credits == nil || len(s.credits) > maxRoutes {
		s.credits = make(map[string][]int)
	}
	credits := s.credits[route.Name()]
	if len(credits) != len(backends) {
		credits = make([]int, len(backends))
		s.credits[route.Name()] = credits
	}
	sum, best := 0, 0
	for i, b := range backends {
		credits[i] += b.Weight()
		sum += b.Weight()
		if credits[i] > credits[best] {
			best = i
		}
	}
	credits[best] -= sum
	return backends[best].Service()
}

// refuseMarked answers a caller in the dialect. Statuses that promise that nothing has run are given only when that is
// so.
func (s *Server) refuseMarked(w http.ResponseWriter, q *request, fault *refused) {
	if fault.outcome == cicadacross.OutcomeNotRun && q.service != nil {
		fault.retryAfter = s.comeBack(q, fault.retryAfter)
	}
	if q.body == nil {
		discardBody(w, q.http)
	}
	s.opts.Dialect.WriteRefusal(w, cicadacross.RefusalResponse{
		RequestID: q.id, Status: fault.status, Outcome: fault.outcome, Reason: fault.reason, Text: fault.text,
		RetryAfter: fault.retryAfter,
	})
}

const (
	// maxDiscarded and discardTime bound the body that is read before a refusal. A connection that is closed with bytes
	// unread is reset, which takes the refusal from the caller.
	maxDiscarded = 8 << 20
	discardTime  = time.Second
)

// discardBody reads the body of a request that is refused before its body was read.
func discardBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 {
		return
	}
	if err := http.NewResponseController(w).SetReadDeadline(time.Now().Add(discardTime)); err != nil {
		return
	}
	// The refusal is the same whether the caller sends its whole body.
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, maxDiscarded))
}

// comeBack returns when a refused caller should come back: within the time in which its answer can still have its full
// worth, else when the owner expects its queue to be empty and as late as the caller can wait.
func (s *Server) comeBack(q *request, wait time.Duration) time.Duration {
	aim := s.aimLeft(q)
	if slack := aim - time.Duration(workShare*float64(q.rank.TargetTime())); slack > 0 {
		return max(minRetryAfter, min(wait, slack))
	}
	return max(minRetryAfter, wait, s.remaining(q)/3)
}

// markedRetryable reports whether another attempt may be made in the dialect.
func (s *Server) markedRetryable(q *request, last *refused) bool {
	if q.http.Context().Err() != nil || s.remaining(q) <= 0 || !q.body.replayable() {
		return false
	}
	switch last.reason {
	case relay.FailureCrashed, relay.RefusalQuarantined, relay.RefusalCanceled, relay.FailureTimeout:
		return false
	}
	return last.outcome == cicadacross.OutcomeNotRun || q.route.Repeatable()
}
