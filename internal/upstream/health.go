package upstream

import (
	"context"
	"io"
	"net/http"

	"cicadacross"
)

// healthURL returns the address of the health endpoint.
func (u *Upstream) healthURL() string { return "http://" + u.opts.Address + u.opts.HealthPath }

// run probes the health endpoint until ctx ends.
func (u *Upstream) run(ctx context.Context) {
	defer u.stopped.Done()
	timer := u.opts.Timers.Every(u.opts.HealthInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C():
			u.pool.closeExpired(u.opts.Timers.Now())
			if u.opts.Dialect == nil {
				u.Probe(ctx)
			}
		}
	}
}

// Probe asks the health endpoint once. It uses the connection that has been idle for the longest time, so that a silent
// one is found before a request meets it; when that fails it closes the connections idle for as long and tries a new
// one before it blames the upstream.
func (u *Upstream) Probe(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, u.opts.HealthInterval)
	defer cancel()
	if u.pool.enter(limited) != nil {
		// All connections carry requests, which say more about the upstream than a probe.
		return
	}
	defer u.pool.leave()
	if u.probeIdle(ctx) {
		return
	}
	c, err := u.fresh(ctx)
	if err != nil {
		u.unhealthy.Store(ctx.Err() == nil)
		return
	}
	if !u.probeOn(ctx, c) {
		u.unhealthy.Store(ctx.Err() == nil)
	}
}

// probeIdle probes on an idle connection and reports whether an answer came.
func (u *Upstream) probeIdle(ctx context.Context) bool {
	c := u.pool.takeOldest()
	if c == nil {
		return false
	}
	if !c.usable() {
		c.shut()
		return false
	}
	lastUsed := c.lastUsed
	if u.probeOn(ctx, c) {
		return true
	}
	u.pool.closeIdle(lastUsed.Add(1))
	return false
}

// probeOn asks the health endpoint on the reserved connection and reports whether an answer came.
func (u *Upstream) probeOn(ctx context.Context, c *Connection) bool {
	limited, cancel := context.WithTimeout(ctx, u.opts.HealthInterval)
	defer cancel()
	request, err := http.NewRequestWithContext(limited, http.MethodGet, u.healthURL(), http.NoBody)
	if err != nil {
		c.shut()
		return false
	}
	status, header, err := c.ask(limited, request)
	if err != nil {
		c.shut()
		return false
	}
	u.observeHealth(status, header)
	if c.broken || c.reader.Buffered() > 0 {
		c.shut()
		return true
	}
	c.lastUsed = u.opts.Timers.Now()
	u.pool.put(c)
	return true
}

// ask sends a request without a body and reads the whole answer, which must be short.
func (c *Connection) ask(ctx context.Context, request *http.Request) (int, http.Header, error) {
	stop := context.AfterFunc(ctx, c.shut)
	defer stop()
	if err := c.write(request); err != nil {
		return 0, nil, err
	}
	var response *http.Response
	if err := c.receive(request, &response); err != nil {
		return 0, nil, err
	}
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, bufferSize))
	_ = response.Body.Close()
	c.broken = c.broken || n == bufferSize
	return response.StatusCode, response.Header, err
}

func (u *Upstream) observeHealth(status int, header http.Header) {
	u.unhealthy.Store(status >= http.StatusInternalServerError)
	asked := status == http.StatusServiceUnavailable && header.Get("Retry-After") != ""
	if u.drainingByHealth.Swap(asked) != asked {
		u.opts.Logger.Info("upstream drains", "signal", "health", "draining", asked, "upstream", u.opts.Address)
	}
	u.observeReply(header)
	if header.Get(cicadacross.HeaderDraining) == "false" {
		u.drainingByReply.Store(false)
	}
}
