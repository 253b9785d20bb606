package balance

import (
	"math/rand/v2"
	"sync"
	"time"

	"cicadacross"
)

const (
	// maxEvidenceAge is the age from which a reported load counts as unknown.
	maxEvidenceAge = 2 * time.Second
	// zoneMargin is how much lower the load of a target in another availability zone must be to be preferred, as part
	// of its slots. It keeps requests at home for a difference that is within the delay of the reports.
	zoneMargin = 0.25
	// maxQueuedSlots bounds how much a queue counts, as part of the slots. A longer queue is that of a flood, and the
	// other kinds aren't behind it: when they followed the shortest queue of a flood of uploads, they gathered on some
	// targets above what these had learned as usual, and 25 in 1000 purchases were late.
	maxQueuedSlots = 1.0
	// unknownLoad is assumed for a target without evidence: neither preferred to a lightly loaded one nor avoided.
	unknownLoad = 0.5
	// drainingLoad puts a target that takes no new work behind every other one.
	drainingLoad = 1000
	// absence is the time for which a target must be missing among the candidates, while others of its service are
	// offered, to count as just returned. A shorter gap is a change of mind about its health.
	absence = time.Second
	// rampTime is the time in which a target that has just returned comes to its full part of the work.
	rampTime = 10 * time.Second
	// rampStart is the part of the work at the beginning of the ramp. It must be above 0, or an idle service would
	// never warm the target.
	rampStart = 0.1
	// forgetAfter is the time without an offer or a report after which a host is forgotten.
	forgetAfter = 10 * time.Minute
)

// Least chooses the less loaded one of two random candidates. It is safe for concurrent use.
type Least struct {
	zone   string
	timers cicadacross.Timers

	mu     sync.Mutex
	random *rand.Rand
	hosts  map[string]*evidence
	pruned time.Time
}

var _ cicadacross.Balancer = (*Least)(nil)

// evidence is what this daemon knows of one host.
type evidence struct {
	load cicadacross.Load
	// seen is the time of the last report; the zero time means none.
	seen time.Time
	// offered is the time at which the host was last a candidate.
	offered time.Time
	// returned is the time of the return from an absence or from draining; the zero time means that there was none.
	returned time.Time
	// outstanding counts this daemon's requests in progress, and since those that began after the last report.
	outstanding int
	since       int
	reports     uint64
}

// NewLeast returns a balancer that knows no load yet. It alone uses the random numbers, which mustn't be nil.
func NewLeast(opts cicadacross.BalancerOptions, random *rand.Rand) *Least {
	now := opts.Timers.Now()
	return &Least{
		zone:   opts.AvailabilityZone,
		timers: opts.Timers,
		random: random,
		hosts:  make(map[string]*evidence),
		pruned: now,
	}
}

// Pick returns the less loaded one of two random candidates, or false when there are none. A candidate of another
// availability zone is taken only when it is clearly less loaded than the choice at home.
func (l *Least) Pick(candidates []cicadacross.Target) (cicadacross.Target, bool) {
	if len(candidates) == 0 {
		return cicadacross.Target{}, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.timers.Now()
	l.prune(now)
	l.noteOffered(now, candidates)
	home, away := l.split(now, candidates)
	if len(home) == 0 {
		best, _ := l.lessLoaded(now, away)
		return best, true
	}
	best, load := l.lessLoaded(now, home)
	if len(away) == 0 {
		return best, true
	}
	if other, otherLoad := l.lessLoaded(now, away); otherLoad+zoneMargin < load {
		return other, true
	}
	return best, true
}

// split returns the candidates in the own availability zone and those in others. A target that has just returned takes
// part at random, more often as time passes, unless there is no other.
func (l *Least) split(now time.Time, candidates []cicadacross.Target) (home, away []cicadacross.Target) {
	var cold []cicadacross.Target
	for _, c := range candidates {
		switch {
		case l.random.Float64() >= l.hosts[c.Host()].warmth(now):
			cold = append(cold, c)
		case c.AvailabilityZone() == l.zone:
			home = append(home, c)
		default:
			away = append(away, c)
		}
	}
	if len(home)+len(away) == 0 {
		return nil, cold
	}
	return home, away
}

// lessLoaded returns the less loaded one of two random targets and its load. The list isn't empty.
func (l *Least) lessLoaded(now time.Time, among []cicadacross.Target) (cicadacross.Target, float64) {
	i := l.random.IntN(len(among))
	first := among[i]
	firstLoad := l.hosts[first.Host()].score(now, first)
	if len(among) == 1 {
		return first, firstLoad
	}
	j := l.random.IntN(len(among) - 1)
	if j >= i {
		j++
	}
	second := among[j]
	secondLoad := l.hosts[second.Host()].score(now, second)
	if secondLoad < firstLoad {
		return second, secondLoad
	}
	return first, firstLoad
}

// Begin counts a request that this daemon sends to the host. The returned function must be called at its end; further
// calls have no effect.
func (l *Least) Begin(host string) (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.evidenceOf(host)
	e.outstanding++
	e.since++
	report := e.reports
	return once(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		e.outstanding--
		if e.reports == report {
			e.since--
		}
	})
}

// Observe takes the load that the owner of the host reported.
func (l *Least) Observe(host string, load cicadacross.Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.timers.Now()
	e := l.evidenceOf(host)
	if e.load.Draining && !load.Draining {
		e.returned = now
	}
	e.load = load
	e.seen = now
	e.since = 0
	e.reports++
}

// noteOffered finds the candidates that have just returned: those that were missing while others were offered. When
// all are new, the daemon or the service is, and none counts as returned.
func (l *Least) noteOffered(now time.Time, candidates []cicadacross.Target) {
	var latest time.Time
	for _, c := range candidates {
		if offered := l.evidenceOf(c.Host()).offered; offered.After(latest) {
			latest = offered
		}
	}
	for _, c := range candidates {
		e := l.evidenceOf(c.Host())
		if !latest.IsZero() && latest.Sub(e.offered) > absence {
			e.returned = now
		}
		e.offered = now
	}
}

func (l *Least) evidenceOf(host string) *evidence {
	e, ok := l.hosts[host]
	if !ok {
		e = &evidence{}
		l.hosts[host] = e
	}
	return e
}

// prune forgets hosts that are neither offered nor reported, so that replaced hosts don't fill the memory.
func (l *Least) prune(now time.Time) {
	if now.Sub(l.pruned) < forgetAfter {
		return
	}
	l.pruned = now
	for host, e := range l.hosts {
		if e.outstanding == 0 && now.Sub(e.seen) > forgetAfter && now.Sub(e.offered) > forgetAfter {
			delete(l.hosts, host)
		}
	}
}

// score returns the load of the target as part of its slots.
func (e *evidence) score(now time.Time, target cicadacross.Target) float64 {
	slots := float64(max(target.Slots(), 1))
	own := float64(e.outstanding) / slots
	if e.seen.IsZero() || now.Sub(e.seen) > maxEvidenceAge {
		return max(unknownLoad, own)
	}
	if e.load.Slots > 0 {
		slots = float64(e.load.Slots)
	}
	queued := min(float64(e.load.Queued), maxQueuedSlots*slots)
	load := max((float64(e.load.InProgress+e.since)+queued)/slots, min(own, 1+maxQueuedSlots))
	if e.load.Draining {
		load += drainingLoad
	}
	return load
}

// warmth returns the part of its share of work that the host gets, from rampStart to 1.
func (e *evidence) warmth(now time.Time) float64 {
	if e.returned.IsZero() {
		return 1
	}
	passed := now.Sub(e.returned)
	if passed >= rampTime {
		return 1
	}
	return rampStart + (1-rampStart)*float64(passed)/float64(rampTime)
}
