package balance

import (
	"time"

	"cicadacross"
)

// warmupReportAge is the age up to which a report about the warm-up of a target replaces what the register says.
const warmupReportAge = time.Second

// warmupResponseShare is the fraction of the target time within which a response from a target that warms up is
// acceptable.
const warmupResponseShare = 0.6

// isLimited reports whether the target accepts only some requests because it warms up.
func (s *Swift) isLimited(now time.Time, t cicadacross.Target) bool {
	if t.WarmupRate() <= 0 {
		return false
	}
	e, known := s.hosts[t.Host()]
	if t.Host() == s.opts.Host && s.opts.OwnLoad != nil {
		return s.opts.OwnLoad("").WarmupRemaining > 0
	}
	if known && !e.lastReportAt.IsZero() {
		age := now.Sub(e.lastReportAt)
		if e.load.WarmupRemaining > age {
			return true
		}
		if age <= warmupReportAge {
			return false
		}
	}
	return now.Before(t.WarmupEnd())
}

// hasWarmupRoom reports whether a target that warms up is expected to accept one more request.
func (s *Swift) hasWarmupRoom(now time.Time, t cicadacross.Target) bool {
	if t.Host() == s.opts.Host && s.opts.OwnLoad != nil {
		return s.opts.OwnLoad("").WarmupRoom > 0
	}
	e, known := s.hosts[t.Host()]
	if !known || e.lastReportAt.IsZero() || now.Sub(e.lastReportAt) > warmupReportAge {
		return true
	}
	return e.load.WarmupRoom > e.sentSinceReport
}

// hasLimited reports whether one of the candidates accepts only some requests. It saves most placements a copy of the
// candidates.
func (s *Swift) hasLimited(now time.Time, candidates []cicadacross.Target) bool {
	for i := range candidates {
		if candidates[i].WarmupRate() > 0 && s.isLimited(now, candidates[i]) {
			return true
		}
	}
	return false
}

// splitLimited returns the candidates that accept all requests and those that warm up and have room for some.
func (s *Swift) splitLimited(
	now time.Time, candidates []cicadacross.Target,
) (unlimited, limited []cicadacross.Target) {
	for _, c := range candidates {
		switch {
		case !s.isLimited(now, c):
			unlimited = append(unlimited, c)
		case s.hasWarmupRoom(now, c):
			limited = append(limited, c)
		}
	}
	return unlimited, limited
}

// drawLimited returns a target that warms up and gets this request as its share, or false when another one gets it.
// Each of them is drawn as often as one of count equal targets and accepted with the fraction of a target's capacity
// that it tolerates, so that all daemons together send it about that rate and none is left without requests.
func (s *Swift) drawLimited(
	now time.Time, request cicadacross.PlacementRequest, limited []cicadacross.Target, count int,
) (cicadacross.Target, bool) {
	i := s.random.IntN(max(count, 1))
	if i >= len(limited) {
		return cicadacross.Target{}, false
	}
	t := limited[i]
	expected := s.expectedResponseTime(now, request, t)
	if request.TargetTime > 0 && expected > time.Duration(warmupResponseShare*float64(request.TargetTime)) {
		return cicadacross.Target{}, false
	}
	return t, s.random.Float64() < s.warmupShare(request, t)
}

// warmupShare returns the requests per second that the target tolerates while it warms up, as a fraction of those that
// it serves when it is warm.
func (s *Swift) warmupShare(request cicadacross.PlacementRequest, t cicadacross.Target) float64 {
	serviceTime, ok := s.meanServiceTimes[request.Route]
	if !ok {
		serviceTime = time.Duration(unknownServiceShare * float64(request.TargetTime))
	}
	return min(1, t.WarmupRate()*serviceTime.Seconds()/float64(max(t.Slots(), 1)))
}

// withoutLimited returns the candidates that the usual selection may choose from: those that accept all requests or,
// when there are none, those that warm up and have room, or else all of them. When the second result is true, the
// target in the first is selected.
func (s *Swift) withoutLimited(
	now time.Time, request cicadacross.PlacementRequest, candidates []cicadacross.Target,
) ([]cicadacross.Target, bool) {
	if !s.hasLimited(now, candidates) {
		return candidates, false
	}
	unlimited, limited := s.splitLimited(now, candidates)
	switch {
	case len(unlimited) == 0 && len(limited) == 0:
		return candidates, false
	case len(unlimited) == 0:
		return limited, false
	}
	isNear := func(t cicadacross.Target) bool { return t.AvailabilityZone() == s.opts.AvailabilityZone }
	drawn, total := make([]cicadacross.Target, 0, len(limited)), 0
	for _, t := range limited {
		if isNear(t) {
			drawn = append(drawn, t)
		}
	}
	for _, t := range unlimited {
		if isNear(t) {
			total++
		}
	}
	if total += len(drawn); total == 0 {
		drawn, total = limited, len(candidates)
	}
	if t, ok := s.drawLimited(now, request, drawn, total); ok {
		return []cicadacross.Target{t}, true
	}
	return unlimited, false
}
