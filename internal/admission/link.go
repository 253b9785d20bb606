package admission

import (
	"sync"
	"time"

	"cicadacross"
)

// Link divides the link of a host among the large bodies that arrive over it. It answers a flood of uploads on hosts
// whose link carries fewer bodies than their upstream has slots for: without it the bodies in progress share the link,
// each holds its slot for as long as all of them take, and small requests wait behind their bytes.

const (
	// The part of the link that large bodies may fill lies between minShare and maxShare and begins at startShare. It
	// falls by shareFactor when a small message takes longer than delayTarget and grows by shareStep when it doesn't, once
	// in shareInterval: an additive increase and multiplicative decrease that is steered by delay.
	minShare      = 0.1
	maxShare      = 0.8
	startShare    = 0.4
	shareFactor   = 0.8
	shareStep     = 0.01
	shareInterval = 100 * time.Millisecond
	// delayTarget is a sixth of the 250 ms in which the word of an arrival is due.
	delayTarget = 40 * time.Millisecond
	// unknownBody is the size that a body without a length is assumed to have, in bytes.
	unknownBody = 64 << 10
	bitsPerByte = 8
)

// LinkOptions configures a Link. Timers is required.
type LinkOptions struct {
	// Mbps is the speed of the link in Mbit/s; 0 means that it doesn't bind.
	Mbps   float64
	Timers cicadacross.Timers
}

// Link schedules large bodies one after the other. It is safe for concurrent use.
type Link struct {
	opts LinkOptions
	mu   sync.Mutex
	// free is the time at which all bodies that were accepted are expected to have arrived.
	free time.Time
	// share is the part of the link that bodies may fill at present, adjusted the time of its last change.
	share    float64
	adjusted time.Time
	// slowest is the longest delay since then.
	slowest time.Duration
}

// NewLink returns a link that no body uses.
func NewLink(opts LinkOptions) *Link { return &Link{opts: opts, share: startShare} }

// ObserveRTT takes the time that a small message took to another daemon and back: the waits for both links and for both
// processors.
func (l *Link) ObserveRTT(delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.opts.Timers.Now()
	l.slowest = max(l.slowest, delay)
	if now.Sub(l.adjusted) < shareInterval {
		return
	}
	if l.slowest > delayTarget {
		l.share = max(minShare, shareFactor*l.share)
	} else {
		l.share = min(maxShare, l.share+shareStep)
	}
	l.adjusted, l.slowest = now, 0
}

// Reserve takes a body of the size in bytes, below 0 when that is unknown, that must begin to arrive within the limit.
// It returns how long its sender must wait. The error is an *Error that says when the link is likely to take the body.
func (l *Link) Reserve(size int64, limit time.Duration) (time.Duration, error) {
	if l.opts.Mbps <= 0 {
		return 0, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.opts.Timers.Now()
	if l.free.Before(now) {
		l.free = now
	}
	wait := l.free.Sub(now)
	if wait > limit {
		return 0, refusal(KindExcess, wait-limit, "the link is taken for %v", wait)
	}
	l.free = l.free.Add(l.time(size))
	return wait, nil
}

// Cancel gives back what was reserved for a body that doesn't arrive.
func (l *Link) Cancel(size int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.opts.Mbps > 0 {
		l.free = l.free.Add(-l.time(size))
	}
}

// time returns how long the body takes on the part of the link that bodies may fill.
func (l *Link) time(size int64) time.Duration {
	if size < 0 {
		size = unknownBody
	}
	perSecond := l.share * l.opts.Mbps * 1e6 / bitsPerByte
	return time.Duration(float64(size) / perSecond * float64(time.Second))
}
