package balance

import (
	"math/rand/v2"
	"sync"
	"time"

	"cicadacross"
	"cicadacross/internal/kernel"
)

// The balancer "swift" answers uneven targets: it sends a request where it expects the answer first, from the times
// that the owners of the targets estimate and tell with each answer.

const (
	// choices is how many random candidates are compared. More would let all daemons follow the same target before it
	// tells of its queue.
	choices = 3
	// estimateAge is the age from which a told wait is not used any more. The average wait of the kind stands for it
	// then: with many targets most reports are old, and targets taken to be idle would get all requests.
	estimateAge = 2 * time.Second
	// coldFactor is how much longer a target takes that has just started.
	coldFactor = 2.0
	// comfort is the part of the target time within which an answer from the own availability zone is good enough.
	// Traffic between zones costs, and a cut takes such requests along.
	comfort = 0.6
	// ownComfort is the part of the target time within which an answer from the target on this host is good enough. It
	// costs neither a message between daemons nor a part of their links, and its load is known exactly.
	ownComfort = 0.6
	// bulkyComfort is the same for requests with large bodies, whose traffic costs as much as they are worth.
	bulkyComfort = 1.2
	// unknownWork is the part of the target time that a request is assumed to take where nothing is known.
	unknownWork = 0.3
	// kindWeight is the weight of one report in the average of a kind over all targets.
	kindWeight = 0.1
	// rejectWeight is the weight of one call in the share of calls that the upstream rejects or fails, and rejectCost
	// the part of the target time that a rejection costs.
	rejectWeight = 0.1
	rejectCost   = 1.0
	// crowdShare is how much of its work time a target with all slots but one in use is assumed to make a request wait.
	crowdShare = 0.25
)

func init() {
	kernel.Balancers.Register("swift", func(opts cicadacross.BalancerOptions) cicadacross.Balancer {
		return NewSwift(opts, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))) // #nosec G404 -- no secret
	})
}

// Swift chooses the target from which the answer is expected first. It is safe for concurrent use.
type Swift struct {
	opts   cicadacross.BalancerOptions
	timers cicadacross.Timers

	mu     sync.Mutex
	random *rand.Rand
	hosts  map[string]*estimates
	// kinds holds the average work time of each kind over all targets.
	kinds map[string]time.Duration
	// waits holds the average wait for each kind over all targets.
	waits  map[string]time.Duration
	pruned time.Time
}

var (
	_ cicadacross.Balancer = (*Swift)(nil)
	_ cicadacross.Placer   = (*Swift)(nil)
)

// estimates is what this daemon knows of one host.
type estimates struct {
	load cicadacross.Load
	seen time.Time
	// work holds the told work time of each kind.
	work map[string]time.Duration
	// since counts the requests that this daemon sent after the last report.
	since int
	// rejects is the share of calls that the upstream rejected or failed.
	rejects float64
	used    time.Time
}

// NewSwift returns a balancer that knows no times yet. It alone uses the random numbers, which mustn't be nil.
func NewSwift(opts cicadacross.BalancerOptions, random *rand.Rand) *Swift {
	return &Swift{
		opts: opts, timers: opts.Timers, random: random, hosts: make(map[string]*estimates),
		kinds: make(map[string]time.Duration), waits: make(map[string]time.Duration), pruned: opts.Timers.Now(),
	}
}

// Pick returns one of the candidates without knowing the request.
func (s *Swift) Pick(candidates []cicadacross.Target) (cicadacross.Target, bool) {
	return s.Place(cicadacross.PlacementRequest{}, candidates)
}

// Place returns the candidate from which the answer is expected first, among some random ones.
func (s *Swift) Place(
	request cicadacross.PlacementRequest, candidates []cicadacross.Target,
) (cicadacross.Target, bool) {
	if len(candidates) == 0 {
		return cicadacross.Target{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.timers.Now()
	s.prune(now)
	if own, ok := s.own(candidates); ok &&
		s.expect(now, request, own) <= time.Duration(ownComfort*float64(request.TargetTime)) {
		return own, true
	}
	home, away := s.split(candidates)
	best, bestTime := s.fastest(now, request, home)
	share := comfort
	if request.LargeBody {
		share = bulkyComfort
	}
	if len(home) > 0 && (len(away) == 0 || bestTime <= time.Duration(share*float64(request.TargetTime))) {
		return best, true
	}
	other, otherTime := s.fastest(now, request, away)
	if len(home) > 0 && bestTime <= otherTime {
		return best, true
	}
	return other, true
}

// own returns the target on this host if it is a candidate.
func (s *Swift) own(candidates []cicadacross.Target) (cicadacross.Target, bool) {
	for _, c := range candidates {
		if c.Host() == s.opts.Host {
			return c, true
		}
	}
	return cicadacross.Target{}, false
}

func (s *Swift) split(candidates []cicadacross.Target) (home, away []cicadacross.Target) {
	for _, c := range candidates {
		if c.AvailabilityZone() == s.opts.AvailabilityZone {
			home = append(home, c)
			continue
		}
		away = append(away, c)
	}
	return home, away
}

// fastest returns the best one of some random targets and the time in which its answer is expected.
func (s *Swift) fastest(
	now time.Time, request cicadacross.PlacementRequest, among []cicadacross.Target,
) (cicadacross.Target, time.Duration) {
	var best cicadacross.Target
	var bestTime time.Duration
	for i := range min(choices, len(among)) {
		j := i + s.random.IntN(len(among)-i)
		among[i], among[j] = among[j], among[i]
		if d := s.expect(now, request, among[i]); i == 0 || d < bestTime {
			best, bestTime = among[i], d
		}
	}
	return best, bestTime
}

// expect returns the time in which the answer of the target is expected.
func (s *Swift) expect(now time.Time, request cicadacross.PlacementRequest, t cicadacross.Target) time.Duration {
	e := s.of(t.Host())
	if t.Host() == s.opts.Host && s.opts.OwnLoad != nil {
		s.take(e, request.Route, s.opts.OwnLoad(request.Route))
	}
	work, ok := e.work[request.Route]
	if !ok {
		work, ok = s.kinds[request.Route]
	}
	if !ok {
		work = time.Duration(unknownWork * float64(request.TargetTime))
	}
	if now.Before(t.WarmupEnd()) {
		work = time.Duration(coldFactor * float64(work))
	}
	wait := s.waits[request.Route]
	if !e.outdated(now) {
		wait = e.wait(now, work, max(t.Slots(), 1))
	}
	return work + wait + time.Duration(e.rejects*rejectCost*float64(request.TargetTime))
}

// outdated reports whether the last report is too old to tell the wait.
func (e *estimates) outdated(now time.Time) bool {
	return e.seen.IsZero() || now.Sub(e.seen) > estimateAge
}

// wait estimates the wait from the last report, the time since, and the requests sent since.
func (e *estimates) wait(now time.Time, work time.Duration, slots int) time.Duration {
	age := now.Sub(e.seen)
	busy := float64(e.load.InProgress+e.load.Queued+e.since) / float64(slots)
	crowd := time.Duration(crowdShare * min(busy, 1) * min(busy, 1) * float64(work))
	beyond := max(0, e.load.InProgress+e.load.Queued+e.since+1-slots)
	queue := time.Duration(float64(work) * float64(min(beyond, e.since)) / float64(slots))
	return max(0, e.load.QueueWait-age) + queue + crowd
}

// Begin counts a request that this daemon sends to the host.
func (s *Swift) Begin(host string) (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.of(host).since++
	return func() {}
}

// Observe takes a report that doesn't tell the kind.
func (s *Swift) Observe(host string, load cicadacross.Load) { s.ObserveReply(host, "", load) }

// ObserveReply takes the load that the owner of the host told with an answer to a request of the kind.
func (s *Swift) ObserveReply(host, kind string, load cicadacross.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if kind != "" {
		s.waits[kind] += time.Duration(kindWeight * float64(load.QueueWait-s.waits[kind]))
	}
	if s.take(s.of(host), kind, load); kind == "" || load.ServiceTime <= 0 {
		return
	}
	average, ok := s.kinds[kind]
	if !ok {
		average = load.ServiceTime
	}
	s.kinds[kind] = average + time.Duration(kindWeight*float64(load.ServiceTime-average))
}

// take replaces what is known of the present load.
func (s *Swift) take(e *estimates, kind string, load cicadacross.Load) {
	e.load, e.seen, e.since = load, s.timers.Now(), 0
	if kind != "" && load.ServiceTime > 0 {
		e.work[kind] = load.ServiceTime
	}
}

// RecordResult counts one call of the host's upstream that was answered, or rejected or failed.
func (s *Swift) RecordResult(host string, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.of(host)
	sample := 0.0
	if !answered {
		sample = 1
	}
	e.rejects += rejectWeight * (sample - e.rejects)
}

func (s *Swift) of(host string) *estimates {
	e, ok := s.hosts[host]
	if !ok {
		e = &estimates{work: make(map[string]time.Duration)}
		s.hosts[host] = e
	}
	e.used = s.timers.Now()
	return e
}

// prune forgets hosts that are no longer candidates.
func (s *Swift) prune(now time.Time) {
	if now.Sub(s.pruned) < forgetAfter {
		return
	}
	s.pruned = now
	for host, e := range s.hosts {
		if now.Sub(e.used) > forgetAfter {
			delete(s.hosts, host)
		}
	}
}
