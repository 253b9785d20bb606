package relay

import (
	"context"
	"sync"
	"time"

	"cicadacross"
)

const (
	pauseCheckInterval = 100 * time.Millisecond
	// maxTickGap is the longest time between two checks that a busy machine may cause. A longer one counts as a pause.
	maxTickGap = 500 * time.Millisecond
	// pauseEffectDuration is the time after a pause within which the process has read everything that arrived during
	// the pause.
	pauseEffectDuration = 250 * time.Millisecond
)

// PauseDetector detects that the process was stopped for a while. Time limits are sent between daemons as durations, so
// a request that waited in a socket buffer while its reader was stopped would seem to have all its time left.
// PauseDetector is safe for concurrent use.
type PauseDetector struct {
	timers        cicadacross.Timers
	mu            sync.Mutex
	lastTick      time.Time
	resumedAt     time.Time
	pauseDuration time.Duration
	stop          context.CancelFunc
}

// NewPauseDetector returns a detector. Call Start to check for pauses periodically.
func NewPauseDetector(timers cicadacross.Timers) *PauseDetector {
	return &PauseDetector{timers: timers, lastTick: timers.Now()}
}

// Start begins the periodic checks, which end with Stop.
func (p *PauseDetector) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	p.stop = cancel
	p.mu.Lock()
	p.lastTick = p.timers.Now()
	p.mu.Unlock()
	go p.run(ctx)
}

// Stop ends the periodic checks.
func (p *PauseDetector) Stop() {
	if p.stop != nil {
		p.stop()
	}
}

func (p *PauseDetector) run(ctx context.Context) {
	timer := p.timers.Every(pauseCheckInterval)
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

// TimeLost returns how much of its time a request that is read now may have lost while the process was stopped. It
// returns 0 unless a pause ended less than pauseEffectDuration ago. Each call is also a check for a pause.
func (p *PauseDetector) TimeLost() time.Duration {
	now := p.timers.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if gap := now.Sub(p.lastTick); gap > maxTickGap {
		p.resumedAt, p.pauseDuration = now, gap
	}
	p.lastTick = now
	if p.pauseDuration > 0 && now.Sub(p.resumedAt) < pauseEffectDuration {
		return p.pauseDuration
	}
	return 0
}
