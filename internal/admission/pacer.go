package admission

import (
	"time"
)

const (
	// burstShare is the fraction of the margin above the tolerated rate that may start at once. The remainder covers
	// requests that hold a slot and are sent later, and those of the daemon before a restart.
	burstShare = 0.25
	// paceWindow is the time within which a target counts its requests.
	paceWindow = time.Second
)

// PacerOptions configures a Pacer. A target that warms up accepts at most its rate times Overshoot plus Slack requests
// in any second. Values that leave no margin above the rate mean that requests are spaced evenly.
type PacerOptions struct {
	Overshoot float64
	Slack     float64
}

// Pacer decides when requests may start while the target warms up: at the rate that the target tolerates, with a small
// burst. It also counts the starts while the target is warm, so that a target that begins to warm up isn't sent a burst
// on top of them. The caller serializes the calls.
type Pacer struct {
	opts PacerOptions
	// rate is in requests per second; 0 means that the pace is not limited.
	rate float64
	end  time.Time
	// nextStart is the time at which the next request would start if requests were spaced evenly.
	nextStart time.Time
}

// NewPacer returns a pacer that limits nothing until Set is called.
func NewPacer(opts PacerOptions) *Pacer { return &Pacer{opts: opts} }

// Set sets the time until which the target warms up and the requests per second that it tolerates until then. When the
// rate becomes known, the starts before are not, and a full window of them is assumed.
func (p *Pacer) Set(now, end time.Time, rate float64) {
	if p.rate == 0 && rate > 0 {
		p.nextStart = now.Add(paceWindow)
	}
	p.end, p.rate = end, rate
}

// IsActive reports whether the pace is limited.
func (p *Pacer) IsActive(now time.Time) bool { return p.rate > 0 && now.Before(p.end) }

// Remaining returns the time for which the pace is still limited.
func (p *Pacer) Remaining(now time.Time) time.Duration {
	if !p.IsActive(now) {
		return 0
	}
	return p.end.Sub(now)
}

// Wait returns the time until a request may start with the given number of requests ahead of it.
func (p *Pacer) Wait(now time.Time, ahead int) time.Duration {
	if !p.IsActive(now) {
		return 0
	}
	start := p.nextStart.Add(time.Duration(float64(p.interval()) * (float64(ahead) + 1 - p.burst())))
	if p.end.Before(start) {
		start = p.end
	}
	return max(start.Sub(now), 0)
}

// RecordStart records that a request starts.
func (p *Pacer) RecordStart(now time.Time) {
	if p.rate <= 0 {
		return
	}
	if p.nextStart.Before(now) {
		p.nextStart = now
	}
	p.nextStart = p.nextStart.Add(p.interval())
	if limit := now.Add(paceWindow); !p.IsActive(now) && limit.Before(p.nextStart) {
		p.nextStart = limit
	}
}

// Room returns the number of requests that may start within the next second, or 0 when the pace is not limited.
func (p *Pacer) Room(now time.Time) int {
	if !p.IsActive(now) {
		return 0
	}
	next := p.nextStart
	if next.Before(now) {
		next = now
	}
	return max(0, int(float64(now.Add(paceWindow).Sub(next))/float64(p.interval())+p.burst()))
}

func (p *Pacer) interval() time.Duration { return time.Duration(float64(time.Second) / p.rate) }

// burst returns the number of requests that may start at once, at least 1.
func (p *Pacer) burst() float64 {
	margin := p.rate*p.opts.Overshoot + p.opts.Slack - p.rate
	return max(1, burstShare*margin)
}
