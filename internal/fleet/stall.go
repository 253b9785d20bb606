package fleet

import (
	"context"
	"sync"
	"sync/atomic"

	"cicadacross"
)

// stallGuard cancels a call when it makes no progress.
type stallGuard struct {
	timers cicadacross.Timers
	cancel context.CancelFunc
	moved  chan struct{}
	done   chan struct{}
	late   atomic.Bool
}

func newStallGuard(timers cicadacross.Timers, cancel context.CancelFunc) *stallGuard {
	return &stallGuard{timers: timers, cancel: cancel, moved: make(chan struct{}, 1), done: make(chan struct{})}
}

// run watches until stop.
func (g *stallGuard) run(tasks *sync.WaitGroup) {
	defer tasks.Done()
	t := g.timers.After(stallTimeout)
	for {
		select {
		case <-g.done:
			t.Stop()
			return
		case <-g.moved:
			t.Stop()
			t = g.timers.After(stallTimeout)
		case <-t.C():
			g.late.Store(true)
			g.cancel()
			return
		}
	}
}

// progress starts the wait again.
func (g *stallGuard) progress() {
	select {
	case g.moved <- struct{}{}:
	default:
	}
}

func (g *stallGuard) stop() { close(g.done) }

func (g *stallGuard) stalled() bool { return g.late.Load() }
