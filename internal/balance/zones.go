package balance

import (
	"cmp"
	"slices"
	"time"

	"cicadacross"
	"cicadacross/internal/spillover"
)

// zoneCandidates holds the indexes of the candidates of one availability zone.
type zoneCandidates struct {
	name    string
	indexes []int
}

// zoneRoute identifies a route in an availability zone.
type zoneRoute struct{ zone, route string }

// splitByZone returns the candidates in the availability zone of this daemon, and those of each other zone in the order
// of their names. The results are valid until the next call.
func (s *Swift) splitByZone(candidates []cicadacross.Target) (home zoneCandidates, others []zoneCandidates) {
	s.home = zoneCandidates{name: s.opts.AvailabilityZone, indexes: s.home.indexes[:0]}
	s.others = s.others[:0]
	for i := range candidates {
		zone := candidates[i].AvailabilityZone()
		if zone == s.opts.AvailabilityZone {
			s.home.indexes = append(s.home.indexes, i)
			continue
		}
		z := s.otherZone(zone)
		z.indexes = append(z.indexes, i)
	}
	slices.SortFunc(s.others, func(a, b zoneCandidates) int { return cmp.Compare(a.name, b.name) })
	return s.home, s.others
}

// otherZone returns the element of others with the name, which it appends if there is none.
func (s *Swift) otherZone(name string) *zoneCandidates {
	for i := range s.others {
		if s.others[i].name == name {
			return &s.others[i]
		}
	}
	if len(s.others) == cap(s.others) {
		s.others = append(s.others, zoneCandidates{})
	} else {
		s.others = s.others[:len(s.others)+1]
	}
	z := &s.others[len(s.others)-1]
	z.name, z.indexes = name, z.indexes[:0]
	return z
}

// placeInZone selects a target of the own zone or, for the share of requests that leaves it, of another one. Both have
// candidates.
func (s *Swift) placeInZone(
	now time.Time, request cicadacross.PlacementRequest, candidates []cicadacross.Target,
) (cicadacross.Target, cicadacross.PlacementReason) {
	if !request.Partial {
		s.updateSpillover(now, request, candidates)
	}
	best, bestTime := s.fastest(now, request, candidates, s.home.indexes)
	zone, ok := s.spillover.Zone(request.Route, s.random.Float64())
	i := slices.IndexFunc(s.others, func(z zoneCandidates) bool { return z.name == zone })
	isProbe := s.zoneTimes[zoneRoute{zone: zone, route: request.Route}] == 0
	if !ok || i < 0 || (isProbe && request.Partial) {
		return s.placeRefused(now, request, candidates, best, bestTime)
	}
	// A single request of the share stays where it is served faster.
	other, otherTime := s.fastestInZone(now, request, candidates, s.others[i])
	switch {
	case otherTime >= bestTime:
		return candidates[best], cicadacross.PlacementHome
	case isProbe:
		return candidates[other], cicadacross.PlacementProbe
	}
	return candidates[other], cicadacross.PlacementSpillover
}

// placeRefused selects a target for a request that doesn't belong to a share: the best one at home unless targets there
// refused it and only another zone answers it in time.
func (s *Swift) placeRefused(
	now time.Time, request cicadacross.PlacementRequest, candidates []cicadacross.Target, best int, bestTime time.Duration,
) (cicadacross.Target, cicadacross.PlacementReason) {
	if !request.Partial || bestTime <= request.TargetTime {
		return candidates[best], cicadacross.PlacementHome
	}
	s.all = s.all[:0]
	for _, z := range s.others {
		if s.spillover.Receives(request.Route, z.name) {
			s.all = append(s.all, z.indexes...)
		}
	}
	if len(s.all) == 0 {
		return candidates[best], cicadacross.PlacementHome
	}
	other, otherTime := s.fastest(now, request, candidates, s.all)
	demand := spillover.Demand{Route: request.Route, TargetTime: request.TargetTime, Size: request.Size}
	if s.spillover.LeavesAfterRefusal(demand, bestTime, otherTime) {
		return candidates[other], cicadacross.PlacementRefused
	}
	return candidates[best], cicadacross.PlacementHome
}

// fastestInZone returns the target of another zone with the shortest expected response time among some random ones, and
// that time. A target without a recent report is assumed to be like the others of its zone or, if there is no recent
// report from the zone, to be idle, so that it is asked.
func (s *Swift) fastestInZone(
	now time.Time, request cicadacross.PlacementRequest, candidates []cicadacross.Target, zone zoneCandidates,
) (int, time.Duration) {
	assumed := s.zoneTimes[zoneRoute{zone: zone.name, route: request.Route}]
	return s.fastestOf(zone.indexes, func(i int) time.Duration {
		if s.estimatesOf(candidates[i].Host()).isOutdated(now) {
			return assumed
		}
		return s.expectedResponseTime(now, request, candidates[i])
	})
}

// updateSpillover updates the shares of the route from the estimates of all candidates, if they are due.
func (s *Swift) updateSpillover(
	now time.Time, request cicadacross.PlacementRequest, candidates []cicadacross.Target,
) {
	demand, ok := s.spillover.Begin(now, spillover.Demand{
		Route: request.Route, TargetTime: request.TargetTime, Size: request.Size,
	})
	if !ok {
		return
	}
	request.TargetTime = demand.TargetTime
	others := make([]spillover.Zone, 0, len(s.others))
	for _, z := range s.others {
		state := s.zoneState(now, request, candidates, z)
		others = append(others, state)
		s.zoneTimes[zoneRoute{zone: z.name, route: request.Route}] = state.ResponseTime
		if state.Reporting == 0 {
			s.zoneTimes[zoneRoute{zone: z.name, route: request.Route}] = 0
		}
	}
	s.spillover.Update(now, demand, s.zoneState(now, request, candidates, s.home), others)
}

// zoneState summarizes the estimates of the targets of one zone. The response time is the one that the fastest of the
// targets that are compared for a request is expected to have. Targets without a recent report count only when there
// are no others, since the mean wait that they are assumed to have is mostly that of the own zone.
func (s *Swift) zoneState(
	now time.Time, request cicadacross.PlacementRequest, candidates []cicadacross.Target, members zoneCandidates,
) spillover.Zone {
	zone := spillover.Zone{Name: members.name, Targets: len(members.indexes)}
	s.times = s.times[:0]
	for _, i := range members.indexes {
		t := &candidates[i]
		responseTime := s.expectedResponseTime(now, request, *t)
		e := s.estimatesOf(t.Host())
		if e.isOutdated(now) {
			zone.ResponseTime += responseTime / time.Duration(len(members.indexes))
			continue
		}
		// Requests continue to arrive at the zone, so that its queues don't become shorter since the report.
		s.times = append(s.times, responseTime+min(e.load.QueueWait, now.Sub(e.lastReportAt)))
		slots := max(t.Slots(), 1)
		busy := e.load.InProgress + e.load.Queued + e.sentSinceReport
		if e.load.WarmupRemaining > 0 {
			// A target that warms up has no more room than it says.
			busy = max(busy, slots-e.load.WarmupRoom)
		}
		zone.Reporting++
		zone.Slots += slots
		zone.Busy += busy
	}
	if zone.Reporting > 0 {
		slices.Sort(s.times)
		zone.ResponseTime = s.times[len(s.times)/(sampledCandidates+1)]
	}
	return zone
}

// Explain returns the result of Place with the reason.
func (s *Swift) Explain(
	request cicadacross.PlacementRequest, candidates []cicadacross.Target,
) (cicadacross.Target, cicadacross.PlacementReason) {
	if len(candidates) == 0 {
		return cicadacross.Target{}, ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	target, reason := s.place(request, candidates)
	s.placements[reason]++
	return target, reason
}

// PlacementCount returns how often a target was selected for the reason.
func (s *Swift) PlacementCount(reason cicadacross.PlacementReason) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.placements[reason]
}

// LeavingShare returns the share of the requests of the route that leaves the availability zone.
func (s *Swift) LeavingShare(route string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.spillover.Share(route)
}
