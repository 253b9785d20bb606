package admission

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// overloadStep is the time between two adjustments of the refused share.
	overloadStep = 50 * time.Millisecond
	// overloadGain is the change of the refused share in one step for a pressure of 1; maxOverloadRise limits the change,
	// so that a single measurement doesn't refuse everything.
	overloadGain    = 0.04
	maxOverloadRise = 0.12
	// maxRefusedShare is the largest share of the requests of one urgency that is refused. The rest shows whether the
	// overload is over.
	maxRefusedShare = 0.95
	// arrivalWeight is the weight of one step in the moving average of the arrivals of each urgency.
	arrivalWeight = 0.1
)

// OverloadGuard refuses new requests in proportion to how much a measure of overload exceeds its acceptable value, the
// least urgent first. It answers loads above a capacity that a request only meets after it has cost time: the CPU time
// of the process, the slots of other hosts, the room for the calls of an upstream. The zero value is ready for use. It
// is safe for concurrent use.
type OverloadGuard struct {
	mu sync.Mutex
	// refusedShare is the share of all requests to refuse, 0 to 1.
	refusedShare float64
	adjustedAt   time.Time
	classes      map[int]*arrivalClass
}

// arrivalClass is the state of the requests of one urgency.
type arrivalClass struct {
	// arrivals counts the requests of the current step; meanArrivals is the moving average of a step.
	arrivals     int
	meanArrivals float64
	// debt is the number of requests to refuse that have not been refused yet; it is below 1.
	debt float64
}

// Admits reports whether a request of the urgency is accepted under the pressure: by which fraction of its acceptable
// value the measure of overload exceeds it, negative below.
func (g *OverloadGuard) Admits(now time.Time, pressure float64, urgency int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.classes == nil {
		g.classes = make(map[int]*arrivalClass)
		g.adjustedAt = now
	}
	class, ok := g.classes[urgency]
	if !ok {
		class = &arrivalClass{}
		g.classes[urgency] = class
	}
	class.arrivals++
	g.adjust(now, pressure)
	class.debt += g.refusedShareOf(urgency)
	if class.debt < 1 {
		return true
	}
	class.debt--
	return false
}

// adjust moves the refused share by one step for each overloadStep that has passed, up or down with the pressure.
func (g *OverloadGuard) adjust(now time.Time, pressure float64) {
	steps := int(now.Sub(g.adjustedAt) / overloadStep)
	if steps <= 0 {
		return
	}
	g.adjustedAt = now
	change := min(overloadGain*pressure, maxOverloadRise)
	if change < 0 {
		// Nothing is known of the steps without a request, during which the overload has ended.
		change *= float64(steps)
	}
	g.refusedShare = min(max(g.refusedShare+change, 0), maxRefusedShare)
	for _, class := range g.classes {
		class.meanArrivals += arrivalWeight * (float64(class.arrivals)/float64(steps) - class.meanArrivals)
		class.arrivals = 0
	}
}

// refusedShareOf returns the share of the requests of the urgency to refuse, so that all together make refusedShare and
// less urgent ones are refused first.
func (g *OverloadGuard) refusedShareOf(urgency int) float64 {
	if g.refusedShare <= 0 {
		return 0
	}
	total := 0.0
	for _, class := range g.classes {
		total += class.meanArrivals
	}
	remaining := g.refusedShare * total
	for _, u := range slices.Backward(slices.Sorted(maps.Keys(g.classes))) {
		arrivals := g.classes[u].meanArrivals
		refused := min(remaining, maxRefusedShare*arrivals)
		if u == urgency {
			if arrivals <= 0 {
				return g.refusedShare
			}
			return refused / arrivals
		}
		remaining -= refused
	}
	return g.refusedShare
}

const (
	// shareWindow is the averaging window of a ShareMeter.
	shareWindow = 250 * time.Millisecond
	// minShareWeight is the number of recent events below which the share counts as 0.
	minShareWeight = 4
	// minSharePressure and maxSharePressure limit the pressure of a share.
	minSharePressure = -0.5
	maxSharePressure = 0.5
)

// ShareMeter measures the share of recent events that were hits. The zero value is ready for use. It is safe for
// concurrent use.
type ShareMeter struct {
	mu        sync.Mutex
	events    float64
	hits      float64
	updatedAt time.Time
}

// Record records one event.
func (m *ShareMeter) Record(now time.Time, hit bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decay(now)
	m.events++
	if hit {
		m.hits++
	}
}

// Share returns the share of hits, or 0 when there were too few recent events.
func (m *ShareMeter) Share(now time.Time) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decay(now)
	if m.events < minShareWeight {
		return 0
	}
	return m.hits / m.events
}

// Pressure returns the pressure of a share above or below the acceptable one, for OverloadGuard. It is limited, since
// the share follows a change of the refusals only after shareWindow.
func (m *ShareMeter) Pressure(now time.Time, acceptable float64) float64 {
	return sharePressure(m.Share(now), acceptable)
}

func sharePressure(share, acceptable float64) float64 {
	return min(max(share/acceptable-1, minSharePressure), maxSharePressure)
}

// decay reduces the weight of the events by the time since the last one. The caller must hold m.mu.
func (m *ShareMeter) decay(now time.Time) {
	if elapsed := now.Sub(m.updatedAt); elapsed > 0 {
		factor := math.Exp(-float64(elapsed) / float64(shareWindow))
		m.events, m.hits, m.updatedAt = m.events*factor, m.hits*factor, now
	}
}
