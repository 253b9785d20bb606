package fleet

import (
	"math/rand/v2"
	"time"

	"cicadacross"
)

// coldPhase is how far a daemon is from having a configuration that it can rely on.
type coldPhase int

const (
	// phaseSeeking has no configuration.
	phaseSeeking coldPhase = iota
	// phaseChecking has one and asks whether there is a newer one.
	phaseChecking
	// phaseReady serves callers.
	phaseReady
)

const (
	// seedPeriod is the time between two rounds of asking the seeds, and the wait before the source is asked.
	seedPeriod = time.Second
	// seedlessSpread spreads the first calls to the source when the seeds answer but have no configuration either, as when
	// the whole fleet restarts. The seeds themselves ask at once and soon have one to give.
	seedlessSpread = 2 * time.Second
	// checkTimeout bounds the check after the first apply.
	checkTimeout = 2 * time.Second
	// checkPeers are the peers that the check asks.
	checkPeers = 2
)

// coldStart is the state of a daemon that isn't ready.
type coldStart struct {
	phase     coldPhase
	seedsAt   time.Time // when to ask the seeds again
	sourceAt  time.Time // when to ask the source again
	answered  bool      // a seed answered without a configuration
	failures  int
	checkEnd  time.Time
	peersLeft int
	peersSeen int
	sourceOut bool // a probe of the source is under way
	sourceOK  bool
}

func (f *Fleet) startCold(now time.Time) {
	c := &f.cold
	c.sourceAt = now.Add(seedPeriod)
	if f.isSeed() || len(f.opts.Seeds) == 0 {
		c.sourceAt = now
	}
	c.seedsAt = now
	f.tickCold(now)
}

func (f *Fleet) isSeed() bool {
	for _, seed := range f.opts.Seeds {
		if seed == f.opts.Peer {
			return true
		}
	}
	return false
}

func (f *Fleet) tickCold(now time.Time) {
	switch f.cold.phase {
	case phaseSeeking:
		f.seek(now)
	case phaseChecking:
		f.checkDone(now)
	case phaseReady:
	}
}

// seek asks the seeds, the members that they named, and the source.
func (f *Fleet) seek(now time.Time) {
	c := &f.cold
	if !now.Before(c.seedsAt) {
		c.seedsAt = now.Add(jittered(seedPeriod))
		for _, seed := range f.opts.Seeds {
			if seed != f.opts.Peer {
				f.beginExchange(now, "", seed, cicadacross.Version{})
			}
		}
		for _, m := range f.members.random(checkPeers) {
			if m.peer != "" {
				f.exchangeWith(now, m)
			}
		}
	}
	if f.opts.Source != nil && !c.sourceOut && len(f.fetches.wants) == 0 && !now.Before(c.sourceAt) {
		f.probeSource()
	}
}

func (f *Fleet) probeSource() {
	f.cold.sourceOut = true
	f.begin(probeTask{fleet: f})
}

// sourceProbed notes that the source answered a probe.
func (f *Fleet) sourceProbed(now time.Time) {
	c := &f.cold
	c.sourceOut, c.sourceOK, c.failures = false, true, 0
	// Until a version is applied the source is asked again, within the budget.
	c.sourceAt = now.Add(jittered(seedPeriod))
}

// sourceProbeFailed delays the next probe.
func (f *Fleet) sourceProbeFailed(now time.Time) {
	c := &f.cold
	c.sourceOut = false
	c.sourceAt = now.Add(max(backoff(c.failures), f.budget.delay(now)))
	c.failures++
}

// coldExchanged notes an answer of a peer.
func (f *Fleet) coldExchanged(now time.Time, version cicadacross.Version) {
	c := &f.cold
	switch c.phase {
	case phaseSeeking:
		if version.IsZero() && !c.answered && !f.isSeed() {
			c.answered = true
			c.sourceAt = c.sourceAt.Add(time.Duration(rand.Int64N(int64(seedlessSpread))))
		}
	case phaseChecking:
		c.peersSeen++
		f.checkDone(now)
	case phaseReady:
	}
}

// coldApplied begins the check after the first apply: the source or two peers are asked whether there is a newer
// version.
func (f *Fleet) coldApplied(now time.Time, from provider) {
	c := &f.cold
	if c.phase != phaseSeeking {
		return
	}
	c.phase = phaseChecking
	c.checkEnd = now.Add(checkTimeout)
	c.sourceOK = from.name() == sourceName
	f.readers.epoch = now
	f.exchangeAt = now.Add(jittered(exchangePeriod))
	c.peersLeft = checkPeers
	for _, host := range f.partners.hosts {
		if c.peersLeft == 0 {
			break
		}
		if m := f.members.get(host); m != nil && m.host != from.name() {
			c.peersLeft--
			f.exchangeWith(now, m)
		}
	}
	if f.opts.Source != nil && !c.sourceOut && !c.sourceOK {
		f.probeSource()
	}
	f.checkDone(now)
}

// checkDone reports ready when the check has an answer and no newer version is under way, or when its time is over.
func (f *Fleet) checkDone(now time.Time) {
	c := &f.cold
	if c.phase != phaseChecking {
		return
	}
	answered := c.sourceOK || c.peersSeen >= checkPeers
	caughtUp := len(f.fetches.wants) == 0
	if now.Before(c.checkEnd) && (!answered || !caughtUp) {
		return
	}
	c.phase = phaseReady
	f.ready.Store(true)
	f.settled.Store(!f.pause.active)
	f.log.Info("ready", "version", f.version().String(), "source", c.sourceOK, "peers", c.peersSeen)
}
