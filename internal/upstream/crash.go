package upstream

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// probeLimit bounds the look whether a new connection is served. A longer silence isn't evidence of a crash.
const probeLimit = 250 * time.Millisecond

// crashDetector tells a crash of the upstream from the loss of a connection: after a crash new connections are refused
// too. One lock makes all calls that broke in one crash wait for one verdict, so that their fingerprints are still in
// progress when the quarantine hears of it.
type crashDetector struct {
	upstream *Upstream
	mu       sync.Mutex
	// down means that new connections are refused, reported that the quarantine heard of it.
	down     bool
	reported bool
}

func (d *crashDetector) isDown() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.down
}

// broken looks for a crash after a connection broke with a call in progress.
func (d *crashDetector) broken(ctx context.Context) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.reported {
		return
	}
	// The look doesn't end with the call: other calls wait for the verdict.
	probeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeLimit)
	defer cancel()
	if !d.refusesConnections(probeCtx) {
		return
	}
	d.down, d.reported = true, true
	d.upstream.opts.Logger.Info("upstream crashed", "upstream", d.upstream.opts.Address)
	if q := d.upstream.opts.Quarantine; q != nil {
		q.RecordCrash()
	}
}

// refusesConnections reports whether a new connection is refused, or closed without a byte as a proxy in between does.
func (d *crashDetector) refusesConnections(ctx context.Context) bool {
	c, err := d.upstream.dial(ctx)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	if d.upstream.opts.Dialect != nil {
		// A probe would wait for a slot; a connection that is accepted says enough, and the next call uses it.
		d.upstream.pool.put(c)
		return false
	}
	defer c.shut()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, d.upstream.healthURL(), http.NoBody)
	if err != nil {
		return false
	}
	if _, _, err := c.ask(ctx, request); err != nil {
		return ctx.Err() == nil && c.wire.read.Load() == 0
	}
	return false
}

// refused records that a new connection was refused without a call in progress on it.
func (d *crashDetector) refused(err error) {
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = true
}

// accepted records that the upstream accepts connections.
func (d *crashDetector) accepted() {
	d.mu.Lock()
	wasDown := d.down
	d.down, d.reported = false, false
	d.mu.Unlock()
	if wasDown {
		d.upstream.restarted()
	}
}
