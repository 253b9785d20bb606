package daemon

import (
	"time"

	"cicadacross"
	"cicadacross/internal/upstream"
)

// onWarmup passes the state of the upstream's warm-up to the admission policy.
func (d *Daemon) onWarmup(end time.Time, rate float64) {
	if limiter, ok := d.admission.(cicadacross.WarmupLimiter); ok {
		limiter.SetWarmup(end, rate)
	}
}

// configureWarmup passes what the configuration says about the warm-up of the target to the upstream client.
func (d *Daemon) configureWarmup(target cicadacross.Target) {
	d.upstream.ConfigureWarmup(upstream.WarmupOptions{
		Instance: target.Name(), HealthPath: target.HealthPath(), Duration: target.WarmupTime(),
		Rate: target.WarmupRate(), End: target.WarmupEnd(),
	})
}

// warmupRemaining returns the time for which the upstream still warms up.
func (d *Daemon) warmupRemaining() time.Duration { return d.admission.Load().WarmupRemaining }

// pacedCount returns the number of requests that were queued because of the warm-up.
func (d *Daemon) pacedCount() int {
	if counter, ok := d.admission.(interface{ PacedCount() int64 }); ok {
		return int(counter.PacedCount())
	}
	return 0
}

// loadObserver returns the admission policy as observer of the upstream's load, or nil when it is none.
func (d *Daemon) loadObserver() cicadacross.UpstreamLoadObserver {
	observer, _ := d.admission.(cicadacross.UpstreamLoadObserver)
	return observer
}

// foreignCount returns the number of requests at the upstream that this daemon didn't send or has given up.
func (d *Daemon) foreignCount() int {
	if observer := d.loadObserver(); observer != nil {
		return observer.ForeignCount()
	}
	return 0
}
