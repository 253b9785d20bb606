package fleet

import (
	"context"
	"sync"
	"sync/atomic"

	"cicadacross"
)

// stallWatchdog cancels a call that makes no progress for stallTimeout.
type stallWatchdog struct {
	timers     cicadacross.Timers
	cancel     context.CancelFunc
	progressed chan struct{}
	stopped    chan struct{}
	timedOut   atomic.Bool
}

func newStallWatchdog(timers cicadacross.Timers, cancel context.CancelFunc) *stallWatchdog {
	return &stallWatchdog{timers: timers, cancel: cancel, progressed: make(chan struct{}, 1), stopped: make(chan struct{})}
}

// run returns after stop, or after it has cancelled the call.
func (g *stallWatchdog) run(tasks *sync.WaitGroup) {
	defer tasks.Done()
	t := g.timers.After(stallTimeout)
	for {
		select {
		case <-g.stopped:
			t.Stop()
			return
		case <-g.progressed:
			t.Stop()
			t = g.timers.After(stallTimeout)
		case <-t.C():
			g.timedOut.Store(true)
			g.cancel()
			return
		}
	}
}

// progress restarts the timeout.
func (g *stallWatchdog) progress() {
	select {
	case g.progressed <- struct{}{}:
	default:
	}
}

func (g *stallWatchdog) stop() { close(g.stopped) }

func (g *stallWatchdog) hasStalled() bool { return g.timedOut.Load() }
