package balance

import (
	"math/rand/v2"
	"time"

	"cicadacross"
)

// previewDraws is the number of placements from which the shares of a preview are estimated.
const previewDraws = 400

var _ cicadacross.PlacementPreviewer = (*Swift)(nil)

// PreviewPlacement predicts Place by placing equal requests on a snapshot of the state.
func (s *Swift) PreviewPlacement(
	request cicadacross.PlacementRequest, candidates []cicadacross.Target,
) cicadacross.PlacementPreview {
	snapshot := s.snapshot(request.Route, candidates)
	counts := make(map[string]map[cicadacross.PlacementReason]int)
	for range previewDraws {
		target, reason := snapshot.Explain(request, candidates)
		if counts[target.Host()] == nil {
			counts[target.Host()] = make(map[cicadacross.PlacementReason]int)
		}
		counts[target.Host()][reason]++
	}
	now := snapshot.timers.Now()
	preview := cicadacross.PlacementPreview{LeavingShare: snapshot.spillover.Share(request.Route)}
	for _, t := range candidates {
		times := snapshot.expectedTimes(now, request, t)
		e := snapshot.estimatesOf(t.Host())
		preview.Candidates = append(preview.Candidates, cicadacross.CandidatePreview{
			Shares: shares(counts[t.Host()]), Times: times, Load: e.load, HasReport: !e.lastReportAt.IsZero(),
			ReportAge: max(0, now.Sub(e.lastReportAt)), IsLimited: snapshot.isLimited(now, t),
		})
	}
	return preview
}

// shares converts the placements of one target by reason to fractions of all; nil means none.
func shares(counts map[cicadacross.PlacementReason]int) map[cicadacross.PlacementReason]float64 {
	if len(counts) == 0 {
		return nil
	}
	result := make(map[cicadacross.PlacementReason]float64, len(counts))
	for reason, count := range counts {
		result[reason] = float64(count) / previewDraws
	}
	return result
}

// snapshot returns a balancer with a copy of the state that matters for requests of the route to the candidates, and
// with a random source of its own.
func (s *Swift) snapshot(route string, candidates []cicadacross.Target) *Swift {
	opts := s.opts
	if s.opts.OwnLoad != nil {
		// All placements on the snapshot see the same load.
		loads := make(map[string]cicadacross.Load)
		opts.OwnLoad = func(route string) cicadacross.Load {
			load, ok := loads[route]
			if !ok {
				load = s.opts.OwnLoad(route)
				loads[route] = load
			}
			return load
		}
	}
	snapshot := NewSwift(opts, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))) // #nosec G404 -- no secret
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot.prunedAt, snapshot.spillover = s.prunedAt, s.spillover.Snapshot(route)
	if serviceTime, ok := s.meanServiceTimes[route]; ok {
		snapshot.meanServiceTimes[route] = serviceTime
	}
	snapshot.meanQueueWaits[route] = s.meanQueueWaits[route]
	for key, responseTime := range s.zoneTimes {
		if key.route == route {
			snapshot.zoneTimes[key] = responseTime
		}
	}
	for _, t := range candidates {
		if e, ok := s.hosts[t.Host()]; ok {
			snapshot.hosts[t.Host()] = e.clone(route)
		}
	}
	return snapshot
}

// clone returns a copy with the service time of one route.
func (e *hostEstimates) clone(route string) *hostEstimates {
	estimates := *e
	estimates.serviceTimes = make(map[string]time.Duration)
	if serviceTime, ok := e.serviceTimes[route]; ok {
		estimates.serviceTimes[route] = serviceTime
	}
	return &estimates
}
