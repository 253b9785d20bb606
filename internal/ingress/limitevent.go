package ingress

import (
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"cicadacross"
)

// limitLogInterval is the minimum time between two log lines about one limit.
const limitLogInterval = 10 * time.Second

// limitEvents holds the events of the limits on callers.
type limitEvents struct {
	connectionClosed, bodyStalled, responseStalled *limitEvent
}

func newLimitEvents(opts *Options) limitEvents {
	event := func(metric, text string) *limitEvent {
		e := &limitEvent{text: text, timers: opts.Timers, logger: opts.Logger, counter: metrics.NewCounter()}
		if opts.Metrics != nil {
			e.counter = metrics.GetOrRegisterCounter(metric, opts.Metrics)
		}
		return e
	}
	return limitEvents{
		connectionClosed: event("callers.connections_closed", "too many connections of callers"),
		bodyStalled:      event("callers.bodies_stalled", "a caller stopped sending its body"),
		responseStalled:  event("callers.responses_stalled", "a caller stopped reading its response"),
	}
}

// limitEvent counts how often a limit took effect, and logs it at most once per limitLogInterval. It is safe for
// concurrent use.
type limitEvent struct {
	text    string
	timers  cicadacross.Timers
	logger  logr.Logger
	counter metrics.Counter

	mu       sync.Mutex
	loggedAt time.Time
}

func (e *limitEvent) record() {
	e.counter.Inc(1)
	now := e.timers.Now()
	e.mu.Lock()
	logged := now.Sub(e.loggedAt) >= limitLogInterval
	if logged {
		e.loggedAt = now
	}
	e.mu.Unlock()
	if logged {
		e.logger.Info(e.text, "count", e.counter.Count())
	}
}
