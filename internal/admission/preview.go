package admission

import "time"

// RefusedShare returns the share of the requests of the urgency that Admits would refuse now. It changes no state.
func (g *OverloadGuard) RefusedShare(now time.Time, pressure float64, urgency int) float64 {
	next := g.clone()
	next.Admits(now, pressure, urgency)
	return next.refusedShareOf(urgency)
}

func (g *OverloadGuard) clone() *OverloadGuard {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.classes == nil {
		return &OverloadGuard{}
	}
	next := &OverloadGuard{
		refusedShare: g.refusedShare, adjustedAt: g.adjustedAt, classes: make(map[int]*arrivalClass, len(g.classes)),
	}
	for urgency, class := range g.classes {
		c := *class
		next.classes[urgency] = &c
	}
	return next
}

// Snapshot returns a copy, which further events don't change.
func (m *ShareMeter) Snapshot() *ShareMeter {
	m.mu.Lock()
	defer m.mu.Unlock()
	return &ShareMeter{events: m.events, hits: m.hits, updatedAt: m.updatedAt}
}
