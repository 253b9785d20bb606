package relay

import (
	"context"
	"sync"
	"time"

	"cicadacross"
)

const (
	pauseTick = 100 * time.Millisecond
	// pauseLimit is the longest gap between two ticks that a busy machine may cause.
	pauseLimit = 500 * time.Millisecond
	// pauseGrace is the time after a pause within which everything is read that arrived during it.
	pauseGrace = 250 * time.Millisecond
)

// PauseDetector detects that the process was stopped for a while. Time limits travel between daemons as durations, so a
// request that waited in a socket buffer while its reader was stopped would seem to have all its time left.
// PauseDetector is safe for concurrent use.
type PauseDetector struct {
	timers   cicadacross.Timers
	mu       sync.Mutex
	lastSeen time.Time
	resumed  time.Time
	length   time.Duration
	stop     context.CancelFunc
}

// NewPauseDetector returns a detector. Start begins the ticks.
func NewPauseDetector(timers cicadacross.Timers) *PauseDetector {
	return &PauseDetector{timers: timers, lastSeen: timers.Now()}
}

// Start begins the ticks, which end with Stop.
func (p *PauseDetector) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	p.stop = cancel
	p.mu.Lock()
	p.lastSeen = p.timers.Now()
	p.mu.Unlock()
	go p.run(ctx)
}

// Stop ends the ticks.
func (p *PauseDetector) Stop() {
	if p.stop != nil {
		p.stop()
	}
}

func (p *PauseDetector) run(ctx context.Context) {
	timer := p.timers.Every(pauseTick)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C():
			p.TimeLost()
		}
	}
}

// TimeLost returns how much of its time a request that is read now may have lost to a pause; usually 0.
func (p *PauseDetector) TimeLost() time.Duration {
	now := p.timers.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if gap := now.Sub(p.lastSeen); gap > pauseLimit {
		p.resumed, p.length = now, gap
	}
	p.lastSeen = now
	if p.length > 0 && now.Sub(p.resumed) < pauseGrace {
		return p.length
	}
	return 0
}
