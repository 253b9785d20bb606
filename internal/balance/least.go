package balance

import (
	"math/rand/v2"
	"sync"
	"time"

	"cicadacross"
)

const (
	// maxReportAge is the age from which a reported load is ignored and the load counts as unknown.
	maxReportAge = 2 * time.Second
	// zoneMargin is how much lower the load of a target in another availability zone must be for it to be preferred, as a
	// fraction of its slots. Differences below it are within the delay of the reports and don't justify traffic between
	// zones.
	zoneMargin = 0.25
	// maxQueueLoad limits how much a queue counts, as a fraction of the slots. A longer queue is due to a flood of one
	// route, and requests of other routes don't wait behind it: when such requests followed the shortest queue of a flood
	// of uploads, they concentrated on some targets, above the usual rates that these targets had learned, and 25 in 1000
	// purchases were late.
	maxQueueLoad = 1.0
	// unknownLoad is the load assumed for a target without a current report: it is neither preferred to a lightly loaded
	// one nor avoided.
	unknownLoad = 0.5
	// drainingPenalty is added to the load of a draining target, so that every other target is preferred.
	drainingPenalty = 1000
	// minAbsence is the time for which a target must be missing from the candidates, while others of its service are
	// present, to count as returned. A shorter gap is a fluctuation of its health state.
	minAbsence = time.Second
	// rampDuration is the time within which a returned target is ramped up to its full share of requests.
	rampDuration = 10 * time.Second
	// initialRampShare is the share of requests at the start of the ramp. It must be above 0, or an idle service would
	// never warm up the target.
	initialRampShare = 0.1
	// hostRetention is the time after which a host that is neither a candidate nor reported is forgotten.
	hostRetention = 10 * time.Minute
)

// Least selects the less loaded of two random candidates. It is safe for concurrent use.
type Least struct {
	zone   string
	timers cicadacross.Timers

	mu       sync.Mutex
	random   *rand.Rand
	hosts    map[string]*hostState
	prunedAt time.Time
}

var _ cicadacross.Balancer = (*Least)(nil)

// hostState is what this daemon knows about one host.
type hostState struct {
	load cicadacross.Load
	// lastReportAt is the time of the last report; the zero time means none.
	lastReportAt time.Time
	// lastCandidateAt is the time at which the host was last a candidate.
	lastCandidateAt time.Time
	// returnedAt is the time at which the host returned from an absence or from draining; the zero time means never.
	returnedAt time.Time
	// outstanding is the number of this daemon's requests in progress, startedSinceReport the number of those that began
	// after the last report, reportCount the number of reports.
	outstanding        int
	startedSinceReport int
	reportCount        uint64
}

// NewLeast returns a balancer without load information. It takes ownership of random, which must not be nil.
func NewLeast(opts cicadacross.BalancerOptions, random *rand.Rand) *Least {
	now := opts.Timers.Now()
	return &Least{
		zone:     opts.AvailabilityZone,
		timers:   opts.Timers,
		random:   random,
		hosts:    make(map[string]*hostState),
		prunedAt: now,
	}
}

// Pick returns the less loaded of two random candidates, or false when there are none. A candidate of another
// availability zone is selected only when it is clearly less loaded than the selected one of the same zone.
func (l *Least) Pick(candidates []cicadacross.Target) (cicadacross.Target, bool) {
	if len(candidates) == 0 {
		return cicadacross.Target{}, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.timers.Now()
	l.prune(now)
	l.recordCandidates(now, candidates)
	sameZone, otherZones := l.splitByZone(now, candidates)
	if len(sameZone) == 0 {
		selected, _ := l.lessLoaded(now, otherZones)
		return selected, true
	}
	selected, selectedLoad := l.lessLoaded(now, sameZone)
	if len(otherZones) == 0 {
		return selected, true
	}
	if other, otherLoad := l.lessLoaded(now, otherZones); otherLoad+zoneMargin < selectedLoad {
		return other, true
	}
	return selected, true
}

// splitByZone returns the candidates in the availability zone of this daemon and those in others. A target that is
// being ramped up takes part at random, with a growing probability. If that leaves out all candidates, all of them are
// returned in otherZones.
func (l *Least) splitByZone(
	now time.Time, candidates []cicadacross.Target,
) (sameZone, otherZones []cicadacross.Target) {
	var ramping []cicadacross.Target
	for _, c := range candidates {
		switch {
		case l.random.Float64() >= l.hosts[c.Host()].rampShare(now):
			ramping = append(ramping, c)
		case c.AvailabilityZone() == l.zone:
			sameZone = append(sameZone, c)
		default:
			otherZones = append(otherZones, c)
		}
	}
	if len(sameZone)+len(otherZones) == 0 {
		return nil, ramping
	}
	return sameZone, otherZones
}

// lessLoaded returns the less loaded of two random targets and its load. The list must not be empty.
func (l *Least) lessLoaded(now time.Time, targets []cicadacross.Target) (cicadacross.Target, float64) {
	i := l.random.IntN(len(targets))
	first := targets[i]
	firstLoad := l.hosts[first.Host()].loadShare(now, first)
	if len(targets) == 1 {
		return first, firstLoad
	}
	j := l.random.IntN(len(targets) - 1)
	if j >= i {
		j++
	}
	second := targets[j]
	secondLoad := l.hosts[second.Host()].loadShare(now, second)
	if secondLoad < firstLoad {
		return second, secondLoad
	}
	return first, firstLoad
}

// Begin counts a request that this daemon sends to the host as in progress until the returned function is called;
// further calls have no effect.
func (l *Least) Begin(host string) (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.hostStateOf(host)
	h.outstanding++
	h.startedSinceReport++
	reportCountAtStart := h.reportCount
	return callOnce(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		h.outstanding--
		// A report since the start has already reset startedSinceReport.
		if h.reportCount == reportCountAtStart {
			h.startedSinceReport--
		}
	})
}

// Observe records the load that the daemon on the host reported. A host that stops draining is ramped up.
func (l *Least) Observe(host string, load cicadacross.Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.timers.Now()
	h := l.hostStateOf(host)
	if h.load.Draining && !load.Draining {
		h.returnedAt = now
	}
	h.load = load
	h.lastReportAt = now
	h.startedSinceReport = 0
	h.reportCount++
}

// recordCandidates records which hosts are candidates and detects those that have returned: they were missing for more
// than minAbsence while others were present, or were never candidates before. When all are new, the daemon or the
// service has just started, and none counts as returned.
func (l *Least) recordCandidates(now time.Time, candidates []cicadacross.Target) {
	// latestCandidateAt is the last time at which any of the hosts was a candidate; the zero time means never.
	var latestCandidateAt time.Time
	for _, c := range candidates {
		if candidateAt := l.hostStateOf(c.Host()).lastCandidateAt; candidateAt.After(latestCandidateAt) {
			latestCandidateAt = candidateAt
		}
	}
	for _, c := range candidates {
		h := l.hostStateOf(c.Host())
		if !latestCandidateAt.IsZero() && latestCandidateAt.Sub(h.lastCandidateAt) > minAbsence {
			h.returnedAt = now
		}
		h.lastCandidateAt = now
	}
}

func (l *Least) hostStateOf(host string) *hostState {
	h, ok := l.hosts[host]
	if !ok {
		h = &hostState{}
		l.hosts[host] = h
	}
	return h
}

// prune forgets hosts without requests in progress that were neither candidates nor reported within hostRetention, so
// that replaced hosts don't accumulate in memory. It runs once per hostRetention.
func (l *Least) prune(now time.Time) {
	if now.Sub(l.prunedAt) < hostRetention {
		return
	}
	l.prunedAt = now
	for host, h := range l.hosts {
		if h.outstanding == 0 && now.Sub(h.lastReportAt) > hostRetention && now.Sub(h.lastCandidateAt) > hostRetention {
			delete(l.hosts, host)
		}
	}
}

// loadShare returns the load of the target as a fraction of its slots.
func (h *hostState) loadShare(now time.Time, target cicadacross.Target) float64 {
	slots := float64(max(target.Slots(), 1))
	outstandingShare := float64(h.outstanding) / slots
	if h.lastReportAt.IsZero() || now.Sub(h.lastReportAt) > maxReportAge {
		return max(unknownLoad, outstandingShare)
	}
	if h.load.Slots > 0 {
		slots = float64(h.load.Slots)
	}
	queued := min(float64(h.load.Queued), maxQueueLoad*slots)
	load := max((float64(h.load.InProgress+h.startedSinceReport)+queued)/slots, min(outstandingShare, 1+maxQueueLoad))
	if h.load.Draining {
		load += drainingPenalty
	}
	return load
}

// rampShare returns the fraction of its share of requests that the host gets, from initialRampShare to 1.
func (h *hostState) rampShare(now time.Time) float64 {
	if h.returnedAt.IsZero() {
		return 1
	}
	elapsed := now.Sub(h.returnedAt)
	if elapsed >= rampDuration {
		return 1
	}
	return initialRampShare + (1-initialRampShare)*float64(elapsed)/float64(rampDuration)
}
