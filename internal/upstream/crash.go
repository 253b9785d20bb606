package upstream

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// crashProbeTimeout limits the check whether the upstream serves a new connection. No response within it isn't evidence
// of a crash.
const crashProbeTimeout = 250 * time.Millisecond

// crashDetector distinguishes a crash of the upstream from the loss of a connection: after a crash, new connections are
// refused too. The mutex is held during the check, so that all calls that broke in one crash wait for its result and
// their fingerprints are still in progress when the quarantine is notified.
type crashDetector struct {
	upstream *Upstream
	mu       sync.Mutex
	// down means that new connections are refused, reported that the quarantine was notified of it.
	down     bool
	reported bool
}

// isDown reports whether the upstream refuses new connections. It waits for a check in progress.
func (d *crashDetector) isDown() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.down
}

// checkForCrash checks for a crash after a connection broke with a call in progress.
func (d *crashDetector) checkForCrash(ctx context.Context) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.reported {
		return
	}
	// The check doesn't end with the call, since other calls wait for its result.
	probeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), crashProbeTimeout)
	defer cancel()
	if !d.refusesConnections(probeCtx) {
		return
	}
	d.down, d.reported = true, true
	d.upstream.observeRestart()
	d.upstream.opts.Logger.Info("upstream crashed", "upstream", d.upstream.opts.Address)
	if q := d.upstream.opts.Quarantine; q != nil {
		q.RecordCrash()
	}
}

// refusesConnections reports whether a new connection is refused, or closed before any byte of a response arrived. A
// proxy between this daemon and a crashed upstream accepts connections and closes them.
func (d *crashDetector) refusesConnections(ctx context.Context) bool {
	c, err := d.upstream.dial(ctx)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	if d.upstream.opts.Dialect != nil {
		// A probe would wait until the upstream has a free slot for another request. An accepted connection is
		// sufficient, and the next call uses it.
		d.upstream.pool.put(c)
		return false
	}
	defer c.close()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, d.upstream.healthURL(), http.NoBody)
	if err != nil {
		return false
	}
	if _, _, err := c.roundTrip(ctx, request); err != nil {
		return ctx.Err() == nil && c.conn.read.Load() == 0
	}
	return false
}

// recordRefused records that a new connection, on which no call was in progress yet, was refused. It ignores errors
// other than a refusal.
func (d *crashDetector) recordRefused(err error) {
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = true
}

// recordAccepted records that the upstream accepts connections.
func (d *crashDetector) recordAccepted() {
	d.mu.Lock()
	wasDown := d.down
	d.down, d.reported = false, false
	d.mu.Unlock()
	if wasDown {
		d.upstream.handleRestart()
	}
}
