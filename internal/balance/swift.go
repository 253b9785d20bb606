package balance

import (
	"math/rand/v2"
	"sync"
	"time"

	"cicadacross"
	"cicadacross/internal/kernel"
	"cicadacross/internal/spillover"
)

// The balancer "swift" is designed for targets of uneven speed: it sends a request to the target from which it expects
// the response first, based on the times that the daemons of the targets estimate and send with each response.

const (
	// sampledCandidates is the number of random candidates that are compared. With more, all daemons would select the same
	// target before it reports its queue.
	sampledCandidates = 3
	// maxEstimateAge is the age from which a reported wait is replaced by the average wait of the route: with many targets
	// most reports are old, and targets assumed to be idle would get all requests.
	maxEstimateAge = 2 * time.Second
	// warmupFactor is the factor on the service time of a target that is warming up.
	warmupFactor = 2.0
	// ownHostShare is the fraction of the target time within which a response from the target on this host is acceptable.
	// It needs no message between daemons and no capacity of their links, and its load is known exactly.
	ownHostShare = 0.6
	// unknownServiceShare is the fraction of the target time that is assumed as the service time where none is known.
	unknownServiceShare = 0.3
	// routeSampleWeight is the weight of one report in the averages of a route over all targets.
	routeSampleWeight = 0.1
	// rejectionWeight is the weight of one call in the moving average of the calls that the upstream rejects or fails, and
	// rejectionCost the fraction of the target time that a rejection costs.
	rejectionWeight = 0.1
	rejectionCost   = 1.0
	// contentionShare is the fraction of its service time by which a target with all slots in use is assumed to delay a
	// request, apart from the queue. At a lower utilization the delay falls with the square of it.
	contentionShare = 0.25
)

func init() {
	kernel.Balancers.Register("swift", func(opts cicadacross.BalancerOptions) cicadacross.Balancer {
		return NewSwift(opts, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))) // #nosec G404 -- no secret
	})
}

// Swift selects the target from which the response is expected first. It is safe for concurrent use.
type Swift struct {
	opts   cicadacross.BalancerOptions
	timers cicadacross.Timers

	mu     sync.Mutex
	random *rand.Rand
	hosts  map[string]*hostEstimates
	// meanServiceTimes holds the average service time of each route over all targets.
	meanServiceTimes map[string]time.Duration
	// meanQueueWaits holds the average wait of each route over all targets.
	meanQueueWaits map[string]time.Duration
	prunedAt       time.Time
	spillover      *spillover.Controller
	// zoneTimes holds the latest expected response times of other zones; 0 means unknown.
	zoneTimes  map[zoneRoute]time.Duration
	placements map[cicadacross.PlacementReason]int
	// home, others, all and times are reused for each request, to avoid allocations.
	home   zoneCandidates
	others []zoneCandidates
	all    []int
	times  []time.Duration
}

var (
	_ cicadacross.Balancer = (*Swift)(nil)
	_ cicadacross.Placer   = (*Swift)(nil)
)

// hostEstimates is what this daemon knows about one host.
type hostEstimates struct {
	load         cicadacross.Load
	lastReportAt time.Time
	// serviceTimes holds the last reported service time of each route.
	serviceTimes map[string]time.Duration
	// sentSinceReport is the number of requests that this daemon sent after the last report.
	sentSinceReport int
	// rejectionRate is the moving average of the fraction of calls that the upstream rejected or failed.
	rejectionRate float64
	lastUsed      time.Time
}

// NewSwift returns a balancer without time estimates. It takes ownership of random, which must not be nil.
func NewSwift(opts cicadacross.BalancerOptions, random *rand.Rand) *Swift {
	return &Swift{
		opts: opts, timers: opts.Timers, random: random, hosts: make(map[string]*hostEstimates),
		meanServiceTimes: make(map[string]time.Duration), meanQueueWaits: make(map[string]time.Duration),
		prunedAt: opts.Timers.Now(), zoneTimes: make(map[zoneRoute]time.Duration),
		placements: make(map[cicadacross.PlacementReason]int),
		spillover: spillover.NewController(spillover.Options{
			TransferDelay: opts.TransferDelay, MinReports: sampledCandidates,
		}),
	}
}

// Pick returns one of the candidates without regard to the request, or false when there are none.
func (s *Swift) Pick(candidates []cicadacross.Target) (cicadacross.Target, bool) {
	return s.Place(cicadacross.PlacementRequest{}, candidates)
}

// Place returns the candidate from which the response is expected first, among some random ones, or false when there
// are none. The target on this host is preferred while its response is expected within the acceptable fraction of the
// target time. Otherwise only the share of requests that the spillover controller determines leaves the availability
// zone.
func (s *Swift) Place(
	request cicadacross.PlacementRequest, candidates []cicadacross.Target,
) (cicadacross.Target, bool) {
	target, reason := s.Explain(request, candidates)
	return target, reason != ""
}

// place selects one of the candidates, of which there must be one. The caller holds the lock.
func (s *Swift) place(
	request cicadacross.PlacementRequest, candidates []cicadacross.Target,
) (cicadacross.Target, cicadacross.PlacementReason) {
	now := s.timers.Now()
	s.prune(now)
	candidates, selected := s.withoutLimited(now, request, candidates)
	if selected {
		if candidates[0].AvailabilityZone() != s.opts.AvailabilityZone {
			return candidates[0], cicadacross.PlacementNoHome
		}
		return candidates[0], cicadacross.PlacementHome
	}
	if own, ok := s.ownTarget(candidates); ok &&
		s.expectedResponseTime(now, request, own) <= time.Duration(ownHostShare*float64(request.TargetTime)) {
		return own, cicadacross.PlacementOwnHost
	}
	home, others := s.splitByZone(candidates)
	if len(home.indexes) > 0 && len(others) > 0 && request.TargetTime != 0 {
		return s.placeInZone(now, request, candidates)
	}
	s.all = s.all[:0]
	for i := range candidates {
		s.all = append(s.all, i)
	}
	best, _ := s.fastest(now, request, candidates, s.all)
	if len(home.indexes) == 0 {
		return candidates[best], cicadacross.PlacementNoHome
	}
	return candidates[best], cicadacross.PlacementHome
}

// ownTarget returns the target on this host if it is a candidate.
func (s *Swift) ownTarget(candidates []cicadacross.Target) (cicadacross.Target, bool) {
	for i := range candidates {
		if candidates[i].Host() == s.opts.Host {
			return candidates[i], true
		}
	}
	return cicadacross.Target{}, false
}

// fastest returns the index of the candidate with the shortest expected response time among some random ones of the
// indexes, and that time. It reorders the indexes.
func (s *Swift) fastest(
	now time.Time, request cicadacross.PlacementRequest, candidates []cicadacross.Target, indexes []int,
) (int, time.Duration) {
	return s.fastestOf(indexes, func(i int) time.Duration { return s.expectedResponseTime(now, request, candidates[i]) })
}

// fastestOf is fastest with another estimate of the response time of a candidate.
func (s *Swift) fastestOf(indexes []int, responseTime func(index int) time.Duration) (int, time.Duration) {
	best, bestTime := 0, time.Duration(0)
	for i := range min(sampledCandidates, len(indexes)) {
		j := i + s.random.IntN(len(indexes)-i)
		indexes[i], indexes[j] = indexes[j], indexes[i]
		if d := responseTime(indexes[i]); i == 0 || d < bestTime {
			best, bestTime = indexes[i], d
		}
	}
	return best, bestTime
}

// expectedResponseTime returns the expected response time of the target: its service time for the route, the wait, and
// the cost of a rejection in proportion to the rejection rate. A missing service time and a missing or outdated wait
// are replaced by the averages of the route over all targets. The load of the target on this host is updated first.
func (s *Swift) expectedResponseTime(
	now time.Time, request cicadacross.PlacementRequest, t cicadacross.Target,
) time.Duration {
	return s.expectedTimes(now, request, t).Total()
}

// expectedTimes returns the parts of the expected response time.
func (s *Swift) expectedTimes(
	now time.Time, request cicadacross.PlacementRequest, t cicadacross.Target,
) cicadacross.ResponseTimes {
	e := s.estimatesOf(t.Host())
	if t.Host() == s.opts.Host && s.opts.OwnLoad != nil {
		s.applyReport(e, request.Route, s.opts.OwnLoad(request.Route))
	}
	serviceTime, ok := e.serviceTimes[request.Route]
	if !ok {
		serviceTime, ok = s.meanServiceTimes[request.Route]
	}
	if !ok {
		serviceTime = time.Duration(unknownServiceShare * float64(request.TargetTime))
	}
	if now.Before(t.WarmupEnd()) || s.isLimited(now, t) {
		serviceTime = time.Duration(warmupFactor * float64(serviceTime))
	}
	wait := s.meanQueueWaits[request.Route]
	if !e.isOutdated(now) {
		wait = e.estimateWait(now, serviceTime, max(t.Slots(), 1))
		if request.LargeTransfer {
			wait += max(0, e.load.LinkWait-now.Sub(e.lastReportAt))
		}
	}
	return cicadacross.ResponseTimes{
		Service: serviceTime, Wait: wait,
		Rejection: time.Duration(e.rejectionRate * rejectionCost * float64(request.TargetTime)),
	}
}

// isOutdated reports whether there is no report yet or the last one is too old to estimate the wait.
func (e *hostEstimates) isOutdated(now time.Time) bool {
	return e.lastReportAt.IsZero() || now.Sub(e.lastReportAt) > maxEstimateAge
}

// estimateWait estimates the wait as the sum of three parts: the reported queue wait less the age of the report, the
// wait behind requests sent since the report for which no slot is free, and the delay by other requests in progress.
func (e *hostEstimates) estimateWait(now time.Time, serviceTime time.Duration, slots int) time.Duration {
	age := now.Sub(e.lastReportAt)
	utilization := float64(e.load.InProgress+e.load.Queued+e.sentSinceReport) / float64(slots)
	contention := time.Duration(contentionShare * min(utilization, 1) * min(utilization, 1) * float64(serviceTime))
	// The number of requests, including the new one, for which no slot is free.
	withoutSlot := max(0, e.load.InProgress+e.load.Queued+e.sentSinceReport+1-slots)
	sentWait := time.Duration(float64(serviceTime) * float64(min(withoutSlot, e.sentSinceReport)) / float64(slots))
	return max(0, e.load.QueueWait-age) + sentWait + contention
}

// Begin counts a request that this daemon sends to the host. The returned function does nothing, since the next report
// resets the count.
func (s *Swift) Begin(host string) (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.estimatesOf(host).sentSinceReport++
	return func() {}
}

// Observe records a load report that isn't for a route.
func (s *Swift) Observe(host string, load cicadacross.Load) { s.ObserveReply(host, "", load) }

// ObserveReply records the load that the daemon on the host sent with its reply to a request of the route. The route
// "" means that the report isn't for a route.
func (s *Swift) ObserveReply(host, route string, load cicadacross.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if route != "" {
		s.meanQueueWaits[route] += time.Duration(routeSampleWeight * float64(load.QueueWait-s.meanQueueWaits[route]))
	}
	if s.applyReport(s.estimatesOf(host), route, load); route == "" || load.ServiceTime <= 0 {
		return
	}
	mean, ok := s.meanServiceTimes[route]
	if !ok {
		mean = load.ServiceTime
	}
	s.meanServiceTimes[route] = mean + time.Duration(routeSampleWeight*float64(load.ServiceTime-mean))
}

// applyReport replaces the load and the service time of the route by those of a new report.
func (s *Swift) applyReport(e *hostEstimates, route string, load cicadacross.Load) {
	e.load, e.lastReportAt, e.sentSinceReport = load, s.timers.Now(), 0
	if route != "" && load.ServiceTime > 0 {
		e.serviceTimes[route] = load.ServiceTime
	}
}

// RecordResult records whether one call of the host's upstream was answered (true) or was rejected or failed (false).
func (s *Swift) RecordResult(host string, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.estimatesOf(host)
	rejected := 0.0
	if !answered {
		rejected = 1
	}
	e.rejectionRate += rejectionWeight * (rejected - e.rejectionRate)
}

func (s *Swift) estimatesOf(host string) *hostEstimates {
	e, ok := s.hosts[host]
	if !ok {
		e = &hostEstimates{serviceTimes: make(map[string]time.Duration)}
		s.hosts[host] = e
	}
	e.lastUsed = s.timers.Now()
	return e
}

// prune forgets hosts whose estimates were neither used nor updated within hostRetention. It runs once per
// hostRetention.
func (s *Swift) prune(now time.Time) {
	if now.Sub(s.prunedAt) < hostRetention {
		return
	}
	s.prunedAt = now
	s.spillover.Prune(now.Add(-hostRetention))
	clear(s.zoneTimes)
	for host, e := range s.hosts {
		if now.Sub(e.lastUsed) > hostRetention {
			delete(s.hosts, host)
		}
	}
}
