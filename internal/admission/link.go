package admission

import (
	"context"
	"sync"
	"time"

	"cicadacross"
)

// Link schedules the large request bodies that a host receives. It addresses a flood of uploads to hosts whose network
// link carries fewer bodies than their upstream has slots: without it, the bodies in progress share the link, each
// holds its slot for as long as all of them take, and small requests wait behind their bytes.

const (
	// Large bodies may use a fraction of the link between minLinkShare and maxLinkShare, at first maxLinkShare. It is
	// multiplied by linkShareDecrease when a small message takes longer than rttThreshold and grows by
	// linkShareIncrease when none does, once per linkShareInterval: additive increase, multiplicative decrease,
	// controlled by delay.
	minLinkShare      = 0.1
	maxLinkShare      = 0.8
	linkShareDecrease = 0.8
	linkShareIncrease = 0.01
	linkShareInterval = 100 * time.Millisecond
	// rttThreshold is about a sixth of the 250 ms within which the arrival of a request must be acknowledged.
	rttThreshold = 40 * time.Millisecond
	bitsPerByte  = 8
)

// LinkOptions configures a Link. Timers is required.
type LinkOptions struct {
	// Mbps is the speed of the link in Mbit/s; 0 means that bodies aren't limited.
	Mbps   float64
	Timers cicadacross.Timers
	// Lag returns by how much the process lags behind for lack of CPU time, which isn't a delay of the link; nil means
	// never.
	Lag func() time.Duration
}

// Link schedules large bodies one after the other. It implements cicadacross.BodyScheduler and is safe for concurrent
// use.
type Link struct {
	opts LinkOptions
	mu   sync.Mutex
	// queue holds the waiting bodies; dispatching reports that run grants them.
	queue       linkQueue
	dispatching bool
	// share is the fraction of the link that bodies may use at present, adjustedAt the time of its last change.
	share      float64
	adjustedAt time.Time
	// maxRTT is the longest round-trip time since adjustedAt.
	maxRTT time.Duration
}

var _ cicadacross.BodyScheduler = (*Link)(nil)

// NewLink returns a link without bodies.
func NewLink(opts LinkOptions) *Link {
	l := &Link{opts: opts, share: maxLinkShare}
	l.queue.setSpeed(l.bytesPerSecond())
	return l
}

// bytesPerSecond returns the speed of the fraction of the link that bodies may use.
func (l *Link) bytesPerSecond() float64 { return l.share * l.opts.Mbps * 1e6 / bitsPerByte }

// ObserveRTT records the round-trip time of a small message to another daemon. It includes the waits for both links and
// for both processors.
func (l *Link) ObserveRTT(rtt time.Duration) {
	if l.opts.Lag != nil {
		rtt = max(0, rtt-l.opts.Lag())
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.opts.Timers.Now()
	l.maxRTT = max(l.maxRTT, rtt)
	if now.Sub(l.adjustedAt) < linkShareInterval {
		return
	}
	if l.maxRTT > rttThreshold {
		l.share = max(minLinkShare, linkShareDecrease*l.share)
	} else {
		l.share = min(maxLinkShare, l.share+linkShareIncrease)
	}
	l.adjustedAt, l.maxRTT = now, 0
	l.queue.setSpeed(l.bytesPerSecond())
}

// Acquire waits until the body may be sent. The error is an *Error that says when the link is likely to accept the
// body.
func (l *Link) Acquire(ctx context.Context, request cicadacross.BodyRequest) error {
	decided := make(chan *Error, 1)
	body := l.Offer(request, func(err *Error) { decided <- err })
	select {
	case err := <-decided:
		return errorOrNil(err)
	default:
	}
	if request.OnQueued != nil {
		request.OnQueued()
	}
	l.startDispatch()
	select {
	case err := <-decided:
		return errorOrNil(err)
	case <-ctx.Done():
		if !l.withdraw(body) && <-decided == nil {
			l.Cancel(request.Size)
		}
		return newCanceled(context.Cause(ctx))
	}
}

// errorOrNil avoids an error interface that holds a nil pointer.
func errorOrNil(err *Error) error {
	if err == nil {
		return nil
	}
	return err
}

// Offer requests link time without waiting. It calls decided exactly once, with nil when the body may be sent or with
// the error of a refusal; the call may come before Offer returns. Bodies that must wait are granted by Dispatch.
func (l *Link) Offer(request cicadacross.BodyRequest, decided func(*Error)) *QueuedBody {
	now := l.opts.Timers.Now()
	body := newQueuedBody(now, request, decided)
	if l.opts.Mbps <= 0 {
		decided(nil)
		return body
	}
	l.mu.Lock()
	decisions := l.queue.offer(now, body)
	l.mu.Unlock()
	decisions.announce()
	return body
}

// Dispatch decides on the bodies whose turn has come. It returns the time of the next call, or the zero time when no
// body waits.
func (l *Link) Dispatch() time.Time {
	l.mu.Lock()
	decisions, next := l.queue.dispatch(l.opts.Timers.Now())
	l.dispatching = l.dispatching && !next.IsZero()
	l.mu.Unlock()
	decisions.announce()
	return next
}

// startDispatch starts the goroutine that grants waiting bodies unless it runs.
func (l *Link) startDispatch() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dispatching {
		return
	}
	l.dispatching = true
	go l.run()
}

// run grants waiting bodies until none waits.
func (l *Link) run() {
	for next := l.Dispatch(); !next.IsZero(); next = l.Dispatch() {
		t := l.opts.Timers.After(max(next.Sub(l.opts.Timers.Now()), minCheckInterval))
		<-t.C()
		t.Stop()
	}
}

// withdraw removes a body from the queue. It returns false when the body is already decided.
func (l *Link) withdraw(body *QueuedBody) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.remove(body)
}

// Cancel gives back the link time of an acquired body of the size in bytes that isn't sent.
func (l *Link) Cancel(size int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.opts.Mbps > 0 {
		l.queue.giveBack(size)
	}
}

// EstimateWait returns the estimated wait of a new body that can still be on time.
func (l *Link) EstimateWait() time.Duration {
	if l.opts.Mbps <= 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.onTimeWait(l.opts.Timers.Now(), nil)
}
