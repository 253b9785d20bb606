package upstream

import (
	"context"
	"io"
	"net/http"

	"cicadacross"
)

// healthURL returns the URL of the health endpoint.
func (u *Upstream) healthURL() string { return "http://" + u.opts.Address + u.opts.HealthPath }

// run closes expired idle connections, probes the health endpoint (with a dialect, only about the warm-up) and keeps
// the state of the warm-up current, until ctx ends.
func (u *Upstream) run(ctx context.Context) {
	defer u.stopped.Done()
	timer := u.opts.Timers.Every(u.opts.HealthInterval)
	defer timer.Stop()
	var warmup warmupTimer
	defer warmup.stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C():
			u.pool.closeExpired(u.opts.Timers.Now())
			if u.opts.Dialect == nil {
				u.Probe(ctx)
			}
			u.probeWarmup(ctx)
		case <-u.probeWanted:
			u.probeWarmup(ctx)
		case <-warmup.next(u):
			u.probeWarmup(ctx)
			u.updateWarmup()
		}
	}
}

// Probe sends one request to the health endpoint. It uses the connection that has been idle for the longest time, so
// that a silent connection is found before a request uses it. When that fails, it closes the connections that have been
// idle for as long and probes on a new one; when that fails too, it marks the upstream as unhealthy.
func (u *Upstream) Probe(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, u.opts.HealthInterval)
	defer cancel()
	if u.pool.acquire(limited) != nil {
		// All connections are in use by requests, which show more about the upstream than a probe.
		return
	}
	defer u.pool.release()
	if u.probeIdle(ctx) {
		return
	}
	c, err := u.dialNew(ctx)
	if err != nil {
		u.unhealthy.Store(ctx.Err() == nil)
		return
	}
	if !u.probeOn(ctx, c) {
		u.unhealthy.Store(ctx.Err() == nil)
	}
}

// probeIdle probes on the connection that has been idle for the longest time and reports whether a response arrived. If
// the probe fails, it closes the connections that have been idle for as long.
func (u *Upstream) probeIdle(ctx context.Context) bool {
	c := u.pool.takeOldest()
	if c == nil {
		return false
	}
	if !c.usable() {
		c.close()
		return false
	}
	lastUsed := c.lastUsed
	if u.probeOn(ctx, c) {
		return true
	}
	// The added nanosecond includes connections that were last used at the same time.
	u.pool.closeIdle(lastUsed.Add(1))
	return false
}

// probeOn sends a probe on the reserved connection and reports whether a response arrived.
func (u *Upstream) probeOn(ctx context.Context, c *Connection) bool {
	limited, cancel := context.WithTimeout(ctx, u.opts.HealthInterval)
	defer cancel()
	request, err := http.NewRequestWithContext(limited, http.MethodGet, u.healthURL(), http.NoBody)
	if err != nil {
		c.close()
		return false
	}
	status, header, err := c.roundTrip(limited, request)
	if err != nil {
		c.close()
		return false
	}
	u.observeHealth(status, header)
	if c.notReusable || c.reader.Buffered() > 0 {
		c.close()
		return true
	}
	c.lastUsed = u.opts.Timers.Now()
	u.pool.put(c)
	return true
}

// roundTrip sends a request without a body and reads the whole response, which must be shorter than bufferSize for the
// connection to be reused.
func (c *Connection) roundTrip(ctx context.Context, request *http.Request) (int, http.Header, error) {
	stop := context.AfterFunc(ctx, c.close)
	defer stop()
	if err := c.write(request); err != nil {
		return 0, nil, err
	}
	var response *http.Response
	if err := c.readResponse(request, &response); err != nil {
		return 0, nil, err
	}
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, bufferSize))
	_ = response.Body.Close()
	c.notReusable = c.notReusable || n == bufferSize
	return response.StatusCode, response.Header, err
}

// observeHealth updates the state from a response of the health endpoint. A status of 500 or more means unhealthy, and
// a status of 503 with Retry-After means draining. The draining header counts as in other responses; here, the value
// "false" also ends the draining state that earlier responses reported.
func (u *Upstream) observeHealth(status int, header http.Header) {
	u.unhealthy.Store(status >= http.StatusInternalServerError)
	draining := status == http.StatusServiceUnavailable && header.Get("Retry-After") != ""
	if u.drainingByHealth.Swap(draining) != draining {
		u.opts.Logger.Info("upstream draining state changed",
			"signal", "health", "draining", draining, "upstream", u.opts.Address)
	}
	u.observeDrainHeader(header)
	if header.Get(cicadacross.HeaderDraining) == "false" {
		u.drainingByResponse.Store(false)
	}
}
