package upstream

import (
	"context"
	"net/http"
	"sync"
	"time"

	"cicadacross"
)

const (
	// warmupProbeInterval is the time between two probes without another reason: an upstream that is in use can begin to
	// warm up again.
	warmupProbeInterval = 2 * time.Second
	// warmupRetryInterval is the shortest time between two probes.
	warmupRetryInterval = 250 * time.Millisecond
	// warmupIdleTime is the time without a call after which the next call causes a probe.
	warmupIdleTime = time.Second
	// foreignProbeDelay is the time for which responses to calls may show that foreign requests have ended before the
	// health endpoint is asked.
	foreignProbeDelay = 100 * time.Millisecond
	// warmupProbeTimeout limits a probe. The health endpoint may wait for a slot.
	warmupProbeTimeout = 250 * time.Millisecond
	// warmupUpdateInterval is the time between two updates of Options.OnWarmup during the warm-up.
	warmupUpdateInterval = 50 * time.Millisecond
)

// WarmupOptions is what the configuration says about the warm-up of the upstream.
type WarmupOptions struct {
	// Instance is the name of the upstream's process; another name means that the upstream was replaced.
	Instance string
	// HealthPath is the path of the endpoint that reports the warm-up; "" means that there is none.
	HealthPath string
	// Duration is how long the upstream warms up after its start.
	Duration time.Duration
	// Rate is the number of requests per second that it tolerates until then; 0 means that its warm-up is ignored.
	Rate float64
	// End is the end of the warm-up by the register; the zero time means that it isn't warming up.
	End time.Time
}

// WarmupTracker determines until when the upstream warms up. The latest evidence decides: a report of the health
// endpoint, a change of the register, or a restart, after which the full duration is assumed until the health endpoint
// says otherwise. It is safe for concurrent use.
type WarmupTracker struct {
	mu   sync.Mutex
	opts WarmupOptions
	end  time.Time
	// lastCall and lastProbe are the times of the last call and of the last probe.
	lastCall  time.Time
	lastProbe time.Time
	probeDue  bool
	// probed reports whether there was a probe since the start of the daemon.
	probed bool
	// foreign reports whether the upstream has requests that this daemon doesn't know of, foreignSince since when.
	foreign      bool
	foreignSince time.Time
}

// Configure applies what the configuration says. The upstream of the first configuration counts as started long ago,
// unless the register says that it warms up.
// It reports whether this was the first configuration of an upstream with a health endpoint.
func (w *WarmupTracker) Configure(now time.Time, opts WarmupOptions) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	previous := w.opts
	w.opts = opts
	if previous == opts {
		return false
	}
	if opts.Instance != previous.Instance {
		w.probeDue = true
		if previous.Instance != "" {
			w.assume(now)
		}
	}
	if !opts.End.Equal(previous.End) && w.end.Before(opts.End) {
		w.end, w.probeDue = opts.End, true
	}
	return previous.Instance == "" && opts.HealthPath != ""
}

// ObserveRestart records that the upstream refused connections or was replaced.
func (w *WarmupTracker) ObserveRestart(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.assume(now)
}

// assume sets the end to that of an upstream that has just started.
func (w *WarmupTracker) assume(now time.Time) {
	if end := now.Add(w.opts.Duration); w.end.Before(end) {
		w.end = end
	}
	w.probeDue = true
}

// ObserveCall records that a call is sent, and reports whether a probe is due before further calls.
func (w *WarmupTracker) ObserveCall(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	idle := now.Sub(w.lastCall) > warmupIdleTime
	w.lastCall = now
	if idle {
		w.probeDue = true
	}
	return w.probeDue && w.mayProbe(now)
}

// ObserveHealth records the remaining time that the health endpoint reports.
func (w *WarmupTracker) ObserveHealth(now time.Time, remaining time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.end, w.probeDue = now.Add(remaining), false
}

// endProbe records that the health endpoint doesn't report the warm-up.
func (w *WarmupTracker) endProbe() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.probeDue = false
}

// setForeign sets whether the upstream has requests that this daemon doesn't know of, and reports whether that changed.
func (w *WarmupTracker) setForeign(now time.Time, foreign bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	changed := w.foreign != foreign
	if w.foreign = foreign; changed {
		w.foreignSince = now
	}
	return changed
}

func (w *WarmupTracker) hasForeign() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.foreign
}

// BeginProbe reports whether the health endpoint should be probed now, and then counts the probe.
func (w *WarmupTracker) BeginProbe(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	due := w.probeDue || (w.foreign && now.Sub(w.foreignSince) >= foreignProbeDelay) ||
		now.Sub(w.lastProbe) >= warmupProbeInterval
	if !due || !w.mayProbe(now) {
		return false
	}
	w.lastProbe, w.probed = now, true
	return true
}

// mayProbe reports whether a probe is allowed. Without a rate, there is only the one after the start, for the load that
// an earlier process of the daemon left at the upstream, and those that follow such work.
func (w *WarmupTracker) mayProbe(now time.Time) bool {
	if w.opts.HealthPath == "" || (w.opts.Rate <= 0 && w.probed && !w.foreign) {
		return false
	}
	return now.Sub(w.lastProbe) >= warmupRetryInterval
}

// State returns the end of the warm-up, the zero time if the upstream has none, and the rate that it tolerates.
func (w *WarmupTracker) State() (end time.Time, rate float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.opts.Rate <= 0 {
		return time.Time{}, 0
	}
	return w.end, w.opts.Rate
}

// healthPath returns the path of the endpoint that reports the warm-up.
func (w *WarmupTracker) healthPath() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.opts.HealthPath
}

// ConfigureWarmup applies what the configuration says about the warm-up of the upstream.
func (u *Upstream) ConfigureWarmup(opts WarmupOptions) {
	first := u.warmup.Configure(u.opts.Timers.Now(), opts)
	if first && u.opts.LoadObserver != nil {
		u.opts.LoadObserver.AwaitReport(true)
	}
	u.updateWarmup()
	u.wakeProbe()
}

// observeRestart records that the upstream refused connections or was replaced.
func (u *Upstream) observeRestart() {
	u.warmup.ObserveRestart(u.opts.Timers.Now())
	u.updateWarmup()
}

// observeCall records a call, and wakes the goroutine that probes when the state of the upstream is uncertain.
func (u *Upstream) observeCall() {
	if u.warmup.ObserveCall(u.opts.Timers.Now()) {
		u.wakeProbe()
	}
}

func (u *Upstream) wakeProbe() {
	select {
	case u.probeWanted <- struct{}{}:
	default:
	}
}

// updateWarmup reports the state of the warm-up to Options.OnWarmup, logs when it begins or ends, and wakes the
// goroutine that probes. The mutex keeps reports in order.
func (u *Upstream) updateWarmup() {
	u.warmupMu.Lock()
	defer u.warmupMu.Unlock()
	end, rate := u.warmup.State()
	now := u.opts.Timers.Now()
	if u.opts.OnWarmup != nil {
		u.opts.OnWarmup(end, rate)
	}
	warming := now.Before(end)
	if warming != u.warmingUp {
		u.warmingUp = warming
		u.opts.Logger.Info("upstream warm-up changed", "warming_up", warming, "remaining", max(0, end.Sub(now)).String(),
			"rate", rate, "upstream", u.opts.Address)
	}
	if warming {
		u.wakeProbe()
	}
}

func (u *Upstream) isWarmingUp() bool {
	u.warmupMu.Lock()
	defer u.warmupMu.Unlock()
	return u.warmingUp
}

// warmupTimer is the timer of the next update of Options.OnWarmup; it is unset unless the upstream warms up or has
// requests that this daemon doesn't know of.
type warmupTimer struct {
	timer cicadacross.Timer
}

// next returns the channel of the next update, or nil when none is due.
func (w *warmupTimer) next(u *Upstream) <-chan time.Time {
	w.stop()
	if !u.isWarmingUp() && !u.warmup.hasForeign() {
		return nil
	}
	w.timer = u.opts.Timers.After(warmupUpdateInterval)
	return w.timer.C()
}

func (w *warmupTimer) stop() {
	if w.timer != nil {
		w.timer.Stop()
		w.timer = nil
	}
}

// probeWarmup asks the health endpoint for the remaining warm-up if a probe is due.
func (u *Upstream) probeWarmup(ctx context.Context) {
	u.followForeign()
	if u.opts.Dialect == nil || !u.warmup.BeginProbe(u.opts.Timers.Now()) {
		return
	}
	limited, cancel := context.WithTimeout(ctx, warmupProbeTimeout)
	defer cancel()
	if u.opts.LoadObserver != nil {
		defer u.opts.LoadObserver.AwaitReport(false)
	}
	info, err := u.readHealth(limited)
	switch {
	case err != nil:
		return
	case info.WarmupKnown:
		u.warmup.ObserveHealth(u.opts.Timers.Now(), info.WarmupRemaining)
	default:
		u.warmup.endProbe()
	}
	u.updateWarmup()
}

// readHealth sends one request to the health endpoint of the service.
func (u *Upstream) readHealth(ctx context.Context) (cicadacross.HealthInfo, error) {
	var none cicadacross.HealthInfo
	c, err := u.Connect(ctx, "")
	if err != nil {
		return none, err
	}
	defer u.pool.release()
	url := "http://" + u.opts.Address + u.warmup.healthPath()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		c.close()
		return none, wrapError("probe", KindBadCall, err, "invalid health path")
	}
	_, header, err := c.roundTrip(ctx, request)
	if err != nil || c.notReusable || c.reader.Buffered() > 0 {
		c.close()
	} else {
		c.lastUsed = u.opts.Timers.Now()
		u.pool.put(c)
	}
	if err != nil {
		return none, wrapError("probe", KindBroken, err, "no response of the health endpoint")
	}
	info := u.opts.Dialect.ReadHealth(header)
	// The upstream counts the probe as running.
	info.Load.Running = max(0, info.Load.Running-1)
	u.observeLoad(info.Load, info.LoadFault)
	return info, nil
}
