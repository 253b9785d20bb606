package fleet

import (
	"math/rand/v2"
	"time"

	"cicadacross"
)

// startPhase is the progress of a daemon from its start to a configuration that was checked for being current.
type startPhase int

const (
	// phaseSeeking means that the daemon has no configuration.
	phaseSeeking startPhase = iota
	// phaseChecking means that the daemon has a configuration and is asking whether there is a newer one.
	phaseChecking
	// phaseReady means that the daemon serves callers.
	phaseReady
)

const (
	// seedPeriod is the time between two rounds of exchanges with the seeds, and the delay before the source is asked.
	seedPeriod = time.Second
	// maxProbeDelay is the largest random delay added before the first call to the source when the seeds answer but have
	// no configuration either, for example when the whole fleet restarts. It keeps the fleet from calling the source at
	// once. The seeds themselves ask the source at once and soon have a configuration to give.
	maxProbeDelay = 2 * time.Second
	// checkTimeout bounds the check for a newer version after the first apply.
	checkTimeout = 2 * time.Second
	// checkPeerCount is the number of peers that the check asks.
	checkPeerCount = 2
)

// coldStart is the state of the start-up, up to phaseReady.
type coldStart struct {
	phase                  startPhase
	nextSeedsAt            time.Time // when to ask the seeds next
	nextProbeAt            time.Time // when to ask the source next
	peerHasNoConfiguration bool      // a peer answered that it has no configuration
	probeFailures          int
	checkDeadline          time.Time
	peersToAsk             int  // number of peers that the check has yet to ask
	peersAnswered          int  // number of peers that answered the check
	probeInFlight          bool // a probe of the source is in progress
	sourceAnswered         bool
}

func (f *Fleet) beginColdStart(now time.Time) {
	c := &f.coldStart
	c.nextProbeAt = now.Add(seedPeriod)
	if f.isSeed() || len(f.opts.Seeds) == 0 {
		c.nextProbeAt = now
	}
	c.nextSeedsAt = now
	f.tickColdStart(now)
}

func (f *Fleet) isSeed() bool {
	for _, seed := range f.opts.Seeds {
		if seed == f.opts.Peer {
			return true
		}
	}
	return false
}

func (f *Fleet) tickColdStart(now time.Time) {
	switch f.coldStart.phase {
	case phaseSeeking:
		f.findConfiguration(now)
	case phaseChecking:
		f.finishVersionCheck(now)
	case phaseReady:
	}
}

// findConfiguration asks the seeds, some of the members that they listed, and the source.
func (f *Fleet) findConfiguration(now time.Time) {
	c := &f.coldStart
	if !now.Before(c.nextSeedsAt) {
		c.nextSeedsAt = now.Add(withJitter(seedPeriod))
		for _, seed := range f.opts.Seeds {
			if seed != f.opts.Peer {
				f.beginExchange(now, "", seed, cicadacross.Version{})
			}
		}
		for _, m := range f.members.random(checkPeerCount) {
			if m.peer != "" {
				f.exchangeWith(now, m)
			}
		}
	}
	if f.opts.Source != nil && !c.probeInFlight && len(f.fetches.wanted) == 0 && !now.Before(c.nextProbeAt) {
		f.probeSource()
	}
}

func (f *Fleet) probeSource() {
	f.coldStart.probeInFlight = true
	f.startTask(probeTask{fleet: f})
}

// recordProbeSuccess records that the source answered a probe.
func (f *Fleet) recordProbeSuccess(now time.Time) {
	c := &f.coldStart
	c.probeInFlight, c.sourceAnswered, c.probeFailures = false, true, 0
	// While no version is applied or wanted, the source is asked again after about seedPeriod.
	c.nextProbeAt = now.Add(withJitter(seedPeriod))
}

// recordProbeFailure records a failed probe and delays the next one.
func (f *Fleet) recordProbeFailure(now time.Time) {
	c := &f.coldStart
	c.probeInFlight = false
	c.nextProbeAt = now.Add(max(backoff(c.probeFailures), f.budget.delay(now)))
	c.probeFailures++
}

// recordColdStartExchange records the reply of a peer, which has the given version.
func (f *Fleet) recordColdStartExchange(now time.Time, version cicadacross.Version) {
	c := &f.coldStart
	switch c.phase {
	case phaseSeeking:
		if version.IsZero() && !c.peerHasNoConfiguration && !f.isSeed() {
			c.peerHasNoConfiguration = true
			c.nextProbeAt = c.nextProbeAt.Add(time.Duration(rand.Int64N(int64(maxProbeDelay))))
		}
	case phaseChecking:
		c.peersAnswered++
		f.finishVersionCheck(now)
	case phaseReady:
	}
}

// beginVersionCheck begins the check after the first apply: the source or checkPeerCount peers are asked whether there
// is a newer version.
func (f *Fleet) beginVersionCheck(now time.Time, from provider) {
	c := &f.coldStart
	if c.phase != phaseSeeking {
		return
	}
	c.phase = phaseChecking
	c.checkDeadline = now.Add(checkTimeout)
	c.sourceAnswered = from.name() == sourceName
	f.readers.evidenceSince = now
	f.nextExchangeAt = now.Add(withJitter(exchangePeriod))
	c.peersToAsk = checkPeerCount
	for _, host := range f.partners.hosts {
		if c.peersToAsk == 0 {
			break
		}
		if m := f.members.get(host); m != nil && m.host != from.name() {
			c.peersToAsk--
			f.exchangeWith(now, m)
		}
	}
	if f.opts.Source != nil && !c.probeInFlight && !c.sourceAnswered {
		f.probeSource()
	}
	f.finishVersionCheck(now)
}

// finishVersionCheck makes the daemon ready when the check has its replies and no newer version is being fetched, or
// when checkTimeout has passed.
func (f *Fleet) finishVersionCheck(now time.Time) {
	c := &f.coldStart
	if c.phase != phaseChecking {
		return
	}
	answered := c.sourceAnswered || c.peersAnswered >= checkPeerCount
	caughtUp := len(f.fetches.wanted) == 0
	if now.Before(c.checkDeadline) && (!answered || !caughtUp) {
		return
	}
	c.phase = phaseReady
	f.ready.Store(true)
	f.settled.Store(!f.pause.active)
	f.log.Info("ready", "version", f.version().String(), "source", c.sourceAnswered, "peers", c.peersAnswered)
}
