package fleet

import (
	"time"

	"cicadacross"
)

const (
	// pausePeers are the peers that a daemon asks at once after a pause.
	pausePeers = 3
	// pauseRetry is the time between two rounds of asking.
	pauseRetry = 500 * time.Millisecond
	// pauseTimeout ends the wait for peers when none can be reached.
	pauseTimeout = 2 * time.Second
)

// pauseState is the state of a daemon that was paused and doesn't know yet what it missed.
type pauseState struct {
	active  bool
	since   time.Time // when the pause was noticed
	askAt   time.Time
	reached bool // a peer answered an exchange that began after the pause
}

// Settled reports whether this daemon has seen no pause since it last compared its state with a peer. It is false until
// the daemon is ready. A goroutine that runs before the control goroutine notices a pause sees it from the age of the
// last tick.
func (f *Fleet) Settled() bool {
	// The tick must be read first: whoever notices the pause clears settled before storing a new tick.
	last := *f.lastTick.Load()
	return gap(f.timers.Now(), last) <= pauseGap && f.settled.Load()
}

// gap returns the time since the last tick by the clock that saw more of it: the monotonic one stands still while some
// machines are suspended.
func gap(now, last time.Time) time.Duration {
	return max(now.Sub(last), now.Round(0).Sub(last.Round(0)))
}

// detectPause treats all evidence as outdated when the control goroutine hasn't run for a while.
func (f *Fleet) detectPause(now time.Time) {
	last := *f.lastTick.Load()
	if gap(now, last) <= pauseGap {
		return
	}
	f.settled.Store(false)
	f.lastTick.Store(&now)
	f.meter.pauses.Inc(1)
	f.log.Info("resumed after a pause", "length", gap(now, last).String())
	f.pause = pauseState{active: true, since: now, askAt: now}
	f.stopReading()
	f.readers.doubtReaders(now)
	f.exchangeAt = now.Add(jittered(exchangePeriod))
	f.tickPause(now)
}

// tickPause asks peers until one has answered or the time is over.
func (f *Fleet) tickPause(now time.Time) {
	p := &f.pause
	if !p.active {
		return
	}
	if !now.Before(p.askAt) {
		p.askAt = now.Add(pauseRetry)
		for _, host := range f.partners.hosts[:min(pausePeers, len(f.partners.hosts))] {
			if m := f.members.get(host); m != nil {
				f.exchangeWith(now, m)
			}
		}
	}
	f.checkSettled(now)
}

// pauseExchanged notes an answer of a peer. Answers to exchanges from before the pause don't count.
func (f *Fleet) pauseExchanged(now, started time.Time, version cicadacross.Version) {
	if f.pause.active && !started.Before(f.pause.since) && !version.IsZero() {
		f.pause.reached = true
		f.checkSettled(now)
	}
}

// checkSettled ends the state after a pause once a peer has answered and every newer version is applied, or when no
// peer could be reached.
func (f *Fleet) checkSettled(now time.Time) {
	p := &f.pause
	if !p.active {
		return
	}
	over := now.Sub(p.since) >= pauseTimeout
	if p.reached && len(f.fetches.wants) == 0 || !p.reached && over {
		p.active = false
		f.log.Info("settled after a pause", "peer", p.reached, "version", f.version().String())
		f.settled.Store(f.cold.phase == phaseReady)
	}
}

// exchangeSucceeded tells the states that wait for a peer.
func (f *Fleet) exchangeSucceeded(now time.Time, t *exchangeTask, version cicadacross.Version) {
	f.coldExchanged(now, version)
	f.pauseExchanged(now, t.started, version)
}
