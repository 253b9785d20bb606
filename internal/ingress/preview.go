package ingress

import (
	"net/http"
	"time"

	"cicadacross"
	"cicadacross/internal/operator"
)

var _ operator.RoutingPreviewer = (*Server)(nil)

// The following decide about a request only when it is sent.
const (
	unknownChoice     = "the random choice among the targets, and which service of a split comes next"
	unknownPick       = "which of the eligible targets the balancer selects"
	unknownKeyOwner   = "the owner of the idempotency key, which alone may run the request"
	unknownQueue      = "the queue of the owner when the request arrives there; it may refuse the request"
	unknownQuarantine = "whether the request is quarantined, which depends on its body, and whether its headers are valid"
)

// PreviewRouting returns where a request would go now. It uses the decisions of a real request, on copies of their
// state where they change it.
func (s *Server) PreviewRouting(preview operator.PreviewRequest) operator.RoutingPreview {
	s.previewing.Lock()
	defer s.previewing.Unlock()
	req := &request{
		http: &http.Request{
			Method: preview.Method, URL: preview.URL, RequestURI: preview.URL.RequestURI(), Host: preview.Authority,
			Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: make(http.Header), ContentLength: preview.Size,
		},
		configuration: s.opts.Configuration(), arrived: s.opts.Timers.Now(),
	}
	result := operator.RoutingPreview{
		Method: preview.Method, URL: preview.URL.RequestURI(), Authority: preview.Authority,
	}
	refusal := s.previewRoute(req)
	if req.configuration != nil {
		result.Version = operator.Version{Version: req.configuration.Version()}
	}
	if req.route.Name() != "" {
		result.Route, result.Rank, result.Timeout = req.route.Name(), req.rank.Name(), operator.Age(req.route.Timeout())
		result.TargetTime = operator.Age(req.rank.TargetTime())
	}
	if refusal != nil {
		result.Refusals = s.previewRefusals(req, refusal, 1)
		return result
	}
	if s.opts.Lag != nil {
		share := s.overload.refusedShare(req.arrived, s.opts.Lag(), s.overloadUrgency(req))
		result.Refusals = s.previewRefusals(req, overloadRefusal(), share)
	}
	for _, backend := range backendsOf(req) {
		result.Services = append(result.Services, s.previewService(*req, backend))
	}
	if !result.IsRefused() {
		result.Unknown = []string{s.unknownTarget(req), unknownQueue, unknownQuarantine}
	}
	return result
}

// unknownTarget returns what is unknown about the target of the request.
func (s *Server) unknownTarget(req *request) string {
	if s.opts.Dialect == nil && !req.route.Repeatable() {
		return unknownKeyOwner
	}
	if _, ok := s.opts.Placer.(cicadacross.PlacementPreviewer); ok {
		return unknownChoice
	}
	return unknownPick
}

// previewRoute sets the route and the time limits like readRequest.
func (s *Server) previewRoute(req *request) *refusalResponse {
	if refusal := s.checkServing(req); refusal != nil {
		return refusal
	}
	if s.opts.Dialect == nil {
		refusal := req.findRoute()
		req.deadline, req.targetTime = req.arrived.Add(req.route.Timeout()), req.rank.TargetTime()
		return refusal
	}
	if refusal := checkLimits(req.http, req.configuration.Limits()); refusal != nil {
		return refusal
	}
	refusal := req.findDialectRoute()
	// Without a timeout, setTimeLimits leaves the longest timeout of the route as it is.
	s.setTimeLimits(req, cicadacross.CallerRequest{}, req.arrived)
	return refusal
}

// backendsOf returns the services of the route with their weights.
func backendsOf(req *request) []cicadacross.Backend {
	if req.service != nil {
		return []cicadacross.Backend{cicadacross.NewBackend(req.service.Name(), 1)}
	}
	if backends := req.route.Backends(); len(backends) > 0 {
		return backends
	}
	return []cicadacross.Backend{cicadacross.NewBackend(req.route.Service(), 1)}
}

// previewService returns the prediction for a request that the split sends to the backend.
func (s *Server) previewService(req request, backend cicadacross.Backend) operator.ServicePreview {
	result := operator.ServicePreview{Service: backend.Service(), Share: 1}
	if sum := sumOfWeights(req.route.Backends()); sum > 0 {
		result.Share = float64(backend.Weight()) / float64(sum)
	}
	if refusal := req.setService(backend.Service()); refusal != nil {
		result.Refusals = s.previewRefusals(&req, refusal, 1)
		return result
	}
	if room, ok := s.rooms.find(req.service.Name()); ok && !s.upstreamCalls.contains(req.route.Name()) {
		refusals := room.refusals.Snapshot()
		share := room.guard.RefusedShare(req.arrived, refusals.Pressure(req.arrived, acceptableRefusals), req.rank.Urgency())
		refusal := room.refusal(req.service.Name(), refusals.Share(req.arrived))
		result.Refusals = s.previewRefusals(&req, refusal, share)
	}
	preferred, fallback := s.splitTargets(&req, &targetSearch{})
	candidates, partial := preferred, false
	if len(candidates) == 0 {
		candidates, partial = fallback, true
	}
	if len(candidates) == 0 {
		result.Refusals = s.previewRefusals(&req, s.refuseWithoutTarget(&req), 1)
	}
	placement := s.previewPlacement(&req, candidates, partial)
	result.LeavingShare = placement.LeavingShare
	estimates := make(map[string]cicadacross.CandidatePreview, len(placement.Candidates))
	for i, c := range placement.Candidates {
		estimates[candidates[i].Name()] = c
	}
	for _, t := range req.service.Targets() {
		target := operator.TargetPreview{
			Target: t.Name(), Host: t.Host(), AvailabilityZone: t.AvailabilityZone(), State: s.targetState(&req, t),
		}
		if c, ok := estimates[t.Name()]; ok {
			target.Shares, target.Estimate = c.Shares, newTargetEstimate(t, c)
		}
		result.Targets = append(result.Targets, target)
	}
	result.SortTargets()
	return result
}

// previewPlacement returns the prediction of the placer, or none when it can't predict.
func (s *Server) previewPlacement(
	req *request, candidates []cicadacross.Target, partial bool,
) cicadacross.PlacementPreview {
	previewer, ok := s.opts.Placer.(cicadacross.PlacementPreviewer)
	if !ok || len(candidates) == 0 {
		return cicadacross.PlacementPreview{}
	}
	return previewer.PreviewPlacement(s.placementRequest(req, partial), candidates)
}

func newTargetEstimate(t cicadacross.Target, c cicadacross.CandidatePreview) *operator.TargetEstimate {
	estimate := &operator.TargetEstimate{
		Response: operator.Age(c.Times.Total()), Service: operator.Age(c.Times.Service), Wait: operator.Age(c.Times.Wait),
		Rejection: operator.Age(c.Times.Rejection), Slots: t.Slots(), InProgress: c.Load.InProgress, Queued: c.Load.Queued,
		WarmingUp: c.IsLimited,
	}
	if c.HasReport {
		estimate.ReportAge = operator.NewAge(c.ReportAge)
	}
	return estimate
}

// previewRefusals returns the refusal of a share of the requests as callers would receive it, or none when the share
// is 0.
func (s *Server) previewRefusals(req *request, refusal *refusalResponse, share float64) []operator.PreviewRefusal {
	if share <= 0 {
		return nil
	}
	response := &discardedResponse{header: make(http.Header)}
	if s.opts.Dialect != nil {
		s.setRetryDelay(req, refusal)
		s.opts.Dialect.WriteRefusal(response, refusal.forDialect(req.id))
	} else {
		refusal.write(response, req.id)
	}
	return []operator.PreviewRefusal{{
		Share: share, Status: response.status, Reason: refusal.reason, Text: refusal.text,
		RetryAfter: response.header.Get("Retry-After"),
	}}
}

// discardedResponse is a response that is not sent.
type discardedResponse struct {
	header http.Header
	status int
}

// Header implements http.ResponseWriter.
func (r *discardedResponse) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter.
func (r *discardedResponse) WriteHeader(status int) { r.status = status }

// Write implements http.ResponseWriter.
func (r *discardedResponse) Write(data []byte) (int, error) { return len(data), nil }

// refusedShare returns the share of the requests of the urgency that admits would refuse now.
func (g *lagGuard) refusedShare(now time.Time, lag time.Duration, urgency int) float64 {
	return g.guard.RefusedShare(now, lagPressure(lag), urgency)
}

// find returns the guard of the service, or false when no owner of the service was asked yet.
func (g *roomGuards) find(service string) (*roomGuard, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	guard, ok := g.services[service]
	return guard, ok
}
