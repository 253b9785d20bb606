package admission

import (
	"sync"
	"time"

	"cicadacross"
)

// Link serializes the large request bodies that a host receives. It addresses a flood of uploads to hosts whose network
// link carries fewer bodies than their upstream has slots: without it, the bodies in progress share the link, each
// holds its slot for as long as all of them take, and small requests wait behind their bytes.

const (
	// Large bodies may use a fraction of the link between minLinkShare and maxLinkShare, at first initialLinkShare. It is
	// multiplied by linkShareDecrease when a small message takes longer than rttThreshold and grows by linkShareIncrease
	// when it doesn't, once per linkShareInterval: additive increase, multiplicative decrease, controlled by delay.
	minLinkShare      = 0.1
	maxLinkShare      = 0.8
	initialLinkShare  = 0.4
	linkShareDecrease = 0.8
	linkShareIncrease = 0.01
	linkShareInterval = 100 * time.Millisecond
	// rttThreshold is about a sixth of the 250 ms within which the arrival of a request must be acknowledged.
	rttThreshold = 40 * time.Millisecond
	// assumedBodySize is the size that is assumed for a body of unknown length, in bytes.
	assumedBodySize = 64 << 10
	bitsPerByte     = 8
)

// LinkOptions configures a Link. Timers is required.
type LinkOptions struct {
	// Mbps is the speed of the link in Mbit/s; 0 means that bodies aren't limited.
	Mbps   float64
	Timers cicadacross.Timers
}

// Link schedules large bodies one after the other. It implements cicadacross.BodyScheduler and is safe for concurrent
// use.
type Link struct {
	opts LinkOptions
	mu   sync.Mutex
	// freeAt is the time at which all bodies with a reservation are expected to have arrived.
	freeAt time.Time
	// linkShare is the fraction of the link that bodies may use at present, adjustedAt the time of its last change.
	linkShare  float64
	adjustedAt time.Time
	// maxRTT is the longest round-trip time since adjustedAt.
	maxRTT time.Duration
}

// NewLink returns a link without reservations.
func NewLink(opts LinkOptions) *Link { return &Link{opts: opts, linkShare: initialLinkShare} }

// ObserveRTT records the round-trip time of a small message to another daemon. It includes the waits for both links and
// for both processors.
func (l *Link) ObserveRTT(rtt time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.opts.Timers.Now()
	l.maxRTT = max(l.maxRTT, rtt)
	if now.Sub(l.adjustedAt) < linkShareInterval {
		return
	}
	if l.maxRTT > rttThreshold {
		l.linkShare = max(minLinkShare, linkShareDecrease*l.linkShare)
	} else {
		l.linkShare = min(maxLinkShare, l.linkShare+linkShareIncrease)
	}
	l.adjustedAt, l.maxRTT = now, 0
}

// Reserve reserves link time for a body of the size in bytes, negative when unknown, that must begin to arrive within
// the limit. It returns how long its sender must wait before sending. The error is an *Error that says when the link is
// likely to accept the body.
func (l *Link) Reserve(size int64, limit time.Duration) (time.Duration, error) {
	if l.opts.Mbps <= 0 {
		return 0, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.opts.Timers.Now()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	wait := l.freeAt.Sub(now)
	if wait > limit {
		return 0, newRefusal(KindExcess, wait-limit, "link is reserved for the next %v", wait)
	}
	l.freeAt = l.freeAt.Add(l.transferTime(size))
	return wait, nil
}

// Cancel releases the reservation of a body that isn't sent.
func (l *Link) Cancel(size int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.opts.Mbps > 0 {
		l.freeAt = l.freeAt.Add(-l.transferTime(size))
	}
}

// transferTime returns how long the body takes on the fraction of the link that bodies may use.
func (l *Link) transferTime(size int64) time.Duration {
	if size < 0 {
		size = assumedBodySize
	}
	bytesPerSecond := l.linkShare * l.opts.Mbps * 1e6 / bitsPerByte
	return time.Duration(float64(size) / bytesPerSecond * float64(time.Second))
}
