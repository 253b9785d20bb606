package fleet

import (
	"time"

	"cicadacross"
)

const (
	// pausePeerCount is the number of peers that a daemon exchanges with at once after a pause.
	pausePeerCount = 3
	// pauseRetryPeriod is the time between two rounds of these exchanges.
	pauseRetryPeriod = 500 * time.Millisecond
	// pauseTimeout is the time after which the daemon stops waiting for a peer when none has answered.
	pauseTimeout = 2 * time.Second
)

// pauseState is the state of a daemon that was paused and hasn't yet learned what it missed.
type pauseState struct {
	active         bool
	since          time.Time // when the pause was detected
	nextExchangeAt time.Time
	peerAnswered   bool // a peer answered an exchange that began after the pause
}

// Settled reports whether this daemon is ready and, after its last pause, has compared its state with a peer and
// applied every newer version, or found no peer within pauseTimeout. A goroutine that runs before the control goroutine
// has detected the pause detects it from the age of the last tick.
func (f *Fleet) Settled() bool {
	// The tick must be loaded first: the control goroutine clears settled before it stores a new tick after a pause.
	last := *f.lastTick.Load()
	return elapsed(f.timers.Now(), last) <= pauseThreshold && f.settled.Load()
}

// elapsed returns the time since the last tick by the monotonic clock or the wall clock, whichever shows more. The
// monotonic clock stands still while some machines are suspended.
func elapsed(now, last time.Time) time.Duration {
	return max(now.Sub(last), now.Round(0).Sub(last.Round(0)))
}

// detectPause detects that the control goroutine hasn't run for longer than pauseThreshold, and then treats everything
// learned before as outdated.
func (f *Fleet) detectPause(now time.Time) {
	last := *f.lastTick.Load()
	if elapsed(now, last) <= pauseThreshold {
		return
	}
	f.settled.Store(false)
	f.lastTick.Store(&now)
	f.meter.pauses.Inc(1)
	f.log.Info("resumed after a pause", "length", elapsed(now, last).String())
	f.pause = pauseState{active: true, since: now, nextExchangeAt: now}
	f.stopReading()
	f.readers.discardStatuses(now)
	f.nextExchangeAt = now.Add(withJitter(exchangePeriod))
	f.tickPause(now)
}

// tickPause exchanges with peers until one has answered or pauseTimeout has passed.
func (f *Fleet) tickPause(now time.Time) {
	p := &f.pause
	if !p.active {
		return
	}
	if !now.Before(p.nextExchangeAt) {
		p.nextExchangeAt = now.Add(pauseRetryPeriod)
		for _, host := range f.partners.hosts[:min(pausePeerCount, len(f.partners.hosts))] {
			if m := f.members.get(host); m != nil {
				f.exchangeWith(now, m)
			}
		}
	}
	f.finishPause(now)
}

// recordPauseExchange records the reply of a peer, which has the given version. Replies to exchanges that began before
// the pause don't count, nor do peers without a configuration.
func (f *Fleet) recordPauseExchange(now, started time.Time, version cicadacross.Version) {
	if f.pause.active && !started.Before(f.pause.since) && !version.IsZero() {
		f.pause.peerAnswered = true
		f.finishPause(now)
	}
}

// finishPause ends the state after a pause once a peer has answered and every newer version is applied, or when
// pauseTimeout has passed without a reply.
func (f *Fleet) finishPause(now time.Time) {
	p := &f.pause
	if !p.active {
		return
	}
	timedOut := now.Sub(p.since) >= pauseTimeout
	if p.peerAnswered && len(f.fetches.wanted) == 0 || !p.peerAnswered && timedOut {
		p.active = false
		f.log.Info("settled after a pause", "peer", p.peerAnswered, "version", f.version().String())
		f.settled.Store(f.coldStart.phase == phaseReady)
	}
}

// recordExchangeSuccess passes a successful exchange to the start-up and to the state after a pause.
func (f *Fleet) recordExchangeSuccess(now time.Time, t *exchangeTask, version cicadacross.Version) {
	f.recordColdStartExchange(now, version)
	f.recordPauseExchange(now, t.started, version)
}
