package admission

import (
	"time"

	"cicadacross"
)

var _ cicadacross.WarmupLimiter = (*Gate)(nil)

// SetWarmup sets the time until which the target warms up and the number of requests per second that it tolerates until
// then; a rate of 0 means no limit. It also starts the queued requests whose turn has come.
func (g *Gate) SetWarmup(end time.Time, rate float64) {
	g.mu.Lock()
	now := g.timers.Now()
	g.pacer.Set(now, end, rate)
	g.grantFreeSlots(now)
	g.unlock()
}

// PacedCount returns the number of requests that were queued because of the pace of the warm-up, although a slot was
// free.
func (g *Gate) PacedCount() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pacedCount
}

// addWarmup adds the state of the warm-up to the load. Queued requests take part of the room.
func (g *Gate) addWarmup(now time.Time, load cicadacross.Load) cicadacross.Load {
	if load.WarmupRemaining = g.pacer.Remaining(now); load.WarmupRemaining > 0 {
		load.WarmupRoom = max(0, g.pacer.Room(now)-g.queued)
	}
	return load
}

// isPaced reports whether the pace lets no queued request start now.
func (g *Gate) isPaced(now time.Time) bool { return g.queued > 0 && g.paceWait(now, 0) > 0 }

// countPaced counts a request that was just queued if only the pace keeps it from a slot.
func (g *Gate) countPaced(now time.Time) {
	if len(g.running) < g.slots && g.isPaced(now) {
		g.pacedCount++
	}
}

// paceWait returns the time until the pace allows a request to start with the given number of queued requests ahead.
func (g *Gate) paceWait(now time.Time, ahead int) time.Duration { return g.pacer.Wait(now, ahead) }

// withPace returns the earlier of the time of a check and that at which the pace allows a start. The zero time means
// never.
func (g *Gate) withPace(now, check time.Time) time.Time {
	wait := g.pacer.Wait(now, 0)
	if wait <= 0 {
		return check
	}
	if paced := now.Add(wait); check.IsZero() || paced.Before(check) {
		return paced
	}
	return check
}
