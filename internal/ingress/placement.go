package ingress

import (
	"strings"
	"time"

	"cicadacross"
	"cicadacross/internal/operator"
	"cicadacross/internal/relay"
)

const (
	// reasonNoTarget means that no target of the service takes requests.
	reasonNoTarget = "no_target"
	// reasonRegion means that no target of the service is in a region that the route allows.
	reasonRegion = "region"
	// evacuatedRetryAfter is the time after which a caller is asked to retry while all targets are evacuated.
	evacuatedRetryAfter = time.Second
)

// isAllowed reports whether the request may be sent to the target. The current configuration determines the evacuated
// zones, since a request with a long deadline may outlast an evacuation or begin before it.
func (s *Server) isAllowed(req *request, target cicadacross.Target) bool {
	return req.route.AllowsRegion(target.Region()) && !s.isEvacuated(req, target)
}

func (s *Server) isEvacuated(req *request, target cicadacross.Target) bool {
	c := s.opts.Configuration()
	if c == nil {
		c = req.configuration
	}
	return c.IsEvacuated(target.AvailabilityZone())
}

// splitTargets returns the targets of the service that may receive the next attempt, and those that may but are
// probably unavailable.
func (s *Server) splitTargets(req *request, search *targetSearch) (preferred, fallback []cicadacross.Target) {
	targets := req.service.Targets()
	preferred = make([]cicadacross.Target, 0, len(targets))
	for _, t := range targets {
		if !search.allows(t.Host(), s.maxTargets(req)) {
			continue
		}
		switch s.targetState(req, t) {
		case operator.TargetEligible:
			preferred = append(preferred, t)
		case operator.TargetUnavailable:
			fallback = append(fallback, t)
		}
	}
	return preferred, fallback
}

// targetState returns whether the request may be sent to the target, or why not.
func (s *Server) targetState(req *request, t cicadacross.Target) operator.TargetState {
	switch {
	case s.isLeaving(req.configuration, t.Host()):
		return operator.TargetDraining
	case !req.route.AllowsRegion(t.Region()):
		return operator.TargetOutOfRegion
	case s.isEvacuated(req, t):
		return operator.TargetEvacuated
	case s.isProbablyUnavailable(t.Host()):
		return operator.TargetUnavailable
	}
	return operator.TargetEligible
}

// countAllowedTargets returns the number of targets of the service that the request may be sent to.
func (s *Server) countAllowedTargets(req *request) int {
	count := 0
	for _, t := range req.service.Targets() {
		if s.isAllowed(req, t) {
			count++
		}
	}
	return count
}

// refuseWithoutTarget returns the refusal of a request for which there is no target, with the reason.
func (s *Server) refuseWithoutTarget(req *request) *refusalResponse {
	inRegion, evacuated := 0, 0
	for _, t := range req.service.Targets() {
		if !req.route.AllowsRegion(t.Region()) {
			continue
		}
		inRegion++
		if s.isEvacuated(req, t) {
			evacuated++
		}
	}
	switch {
	case inRegion == 0 && len(req.service.Targets()) > 0:
		return unavailable(reasonRegion, "no target of service "+req.service.Name()+" is in the allowed regions "+
			strings.Join(req.route.AllowedRegions(), ", "))
	case inRegion > 0 && evacuated == inRegion:
		refused := unavailable(relay.RefusalEvacuated, "the availability zones of all targets are evacuated")
		refused.retryAfter = evacuatedRetryAfter
		return refused
	}
	return unavailable(reasonNoTarget, "no target of the service takes work")
}
