package fleet

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"cicadacross"
	"cicadacross/internal/failure"
	"cicadacross/internal/platform"
	"cicadacross/internal/register"
)

const (
	// sourceRetryBase and sourceRetryMax bound the backoff between failed calls.
	sourceRetryBase = 100 * time.Millisecond
	sourceRetryMax  = 5 * time.Second
	// sourceRetryRate, in calls per second, and sourceRetryBurst limit the calls of a daemon to the source that repeat an
	// earlier one.
	sourceRetryRate  = 2
	sourceRetryBurst = 4
	// probeTimeout bounds one read of the manifest outside a watch.
	probeTimeout = 2 * time.Second
)

// watchedKeys are the keys that a reader watches. An answer for the first one counts as a working connection to the
// source.
var watchedKeys = []string{cicadacross.KeyManifest, cicadacross.KeyHosts}

// backoff returns a random delay up to a bound that doubles with each failure, from sourceRetryBase to sourceRetryMax.
func backoff(failures int) time.Duration {
	const maxDoublings = 10
	limit := min(sourceRetryMax, sourceRetryBase<<min(failures, maxDoublings))
	return time.Duration(rand.Int64N(int64(limit)))
}

// sourceBudget limits the rate of repeated calls to the source. It is safe for concurrent use.
type sourceBudget struct {
	mu      sync.Mutex
	limiter *rate.Limiter
}

func newSourceBudget() *sourceBudget {
	return &sourceBudget{limiter: rate.NewLimiter(sourceRetryRate, sourceRetryBurst)}
}

// delay reserves one call and returns how long to wait before making it.
func (b *sourceBudget) delay(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limiter.ReserveN(now, 1).DelayFrom(now)
}

// sleep waits for d and reports whether ctx is still active.
func (f *Fleet) sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := f.timers.After(d)
	defer t.Stop()
	select {
	case <-t.C():
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// sourceWatch watches one key of the source until it is cancelled.
type sourceWatch struct {
	fleet  *Fleet
	key    string
	ctx    context.Context
	cancel context.CancelFunc
	// The fields below are used only by the control goroutine. lastCallSucceeded means that the source answered the
	// last call or a later check, so that the pending call counts as a working connection; revision is the revision of
	// the last answer.
	lastCallSucceeded bool
	revision          cicadacross.Revision
}

func newSourceWatch(f *Fleet, key string) *sourceWatch {
	ctx, cancel := context.WithCancel(f.ctx)
	return &sourceWatch{fleet: f, key: key, ctx: ctx, cancel: cancel}
}

// sourceResult is an answer of the source, or the error of a call.
type sourceResult struct {
	watch    *sourceWatch // nil for a probe
	key      string
	err      error
	notFound bool
	// check means that the call was a check of a pending watch.
	check    bool
	revision cicadacross.Revision
	manifest *sourceManifest
	hosts    *platform.HostList
}

// sourceManifest is a manifest as read from the source. err is the error of decoding it.
type sourceManifest struct {
	data     []byte
	digest   string
	manifest register.Manifest
	err      error
}

// run reads the key once and then watches it. After a failure it reads the key again.
func (w *sourceWatch) run() {
	defer w.fleet.tasks.Done()
	failures := 0
	var lastRevision cicadacross.Revision
	for first := true; w.ctx.Err() == nil; first = false {
		var value cicadacross.Value
		var err error
		w.fleet.meter.sourceCalls.Inc(1)
		if first || failures > 0 {
			value, err = w.fleet.opts.Source.Get(w.ctx, w.key)
		} else {
			value, err = w.fleet.opts.Source.Watch(w.ctx, w.key, lastRevision)
		}
		if w.ctx.Err() != nil {
			return
		}
		result := newSourceResult(w.key, value, err)
		result.watch = w
		w.fleet.post(result)
		delay := time.Duration(0)
		if err == nil {
			// A lower revision than before means that the platform was rebuilt or serves an old state; the watch continues from
			// it.
			failures, lastRevision = 0, value.Revision()
		} else {
			delay = backoff(failures)
			failures++
		}
		if result.notFound {
			delay = withJitter(sourceRetryMax)
		}
		if !w.fleet.sleep(w.ctx, max(delay, w.fleet.budget.delay(w.fleet.timers.Now()))) {
			return
		}
	}
}

// newSourceResult decodes a value. It runs outside the control goroutine.
func newSourceResult(key string, value cicadacross.Value, err error) sourceResult {
	result := sourceResult{key: key, err: err, revision: value.Revision()}
	if err != nil {
		kind, _ := failure.KindOf[platform.Kind](err)
		result.notFound = kind == platform.KindNotFound
		return result
	}
	switch key {
	case cicadacross.KeyManifest:
		sum := sha256.Sum256(value.Data())
		read := &sourceManifest{data: value.Data(), digest: hex.EncodeToString(sum[:])}
		read.manifest, read.err = register.DecodeManifest(value.Data())
		result.manifest = read
	case cicadacross.KeyHosts:
		list, err := platform.ParseHostList(value.Data())
		if err != nil {
			result.err = err
			return result
		}
		result.hosts = &list
	}
	return result
}

func (a sourceResult) handle(f *Fleet) {
	now := f.timers.Now()
	answered := a.err == nil || a.notFound
	if a.watch != nil {
		a.watch.lastCallSucceeded, a.watch.revision = answered, a.revision
		if a.key == cicadacross.KeyManifest {
			f.readers.unseenRevision = 0
		}
	}
	if a.check {
		f.readers.compareRevision(now, answered, a.revision)
	}
	if !answered {
		f.readers.sourceError = a.err.Error()
		f.meter.sourceFailures.Inc(1)
		f.log.V(1).Info("call to the source failed", "key", a.key, "reason", a.err.Error())
		if a.watch == nil && !a.check {
			f.recordProbeFailure(now)
		}
		return
	}
	if a.key == cicadacross.KeyManifest {
		f.readers.sourceAnsweredAt, f.readers.sourceError = now, ""
		f.updateOwnStatus(now)
	}
	if a.hosts != nil {
		f.applyHostList(now, *a.hosts)
	}
	if a.manifest != nil {
		f.handleSourceManifest(now, a.manifest)
	}
	switch {
	case a.watch != nil || a.check:
	case a.notFound && f.coldStart.phase == phaseSeeking:
		f.recordProbeFailure(now)
	default:
		f.recordProbeSuccess(now)
	}
}

func (f *Fleet) handleSourceManifest(now time.Time, received *sourceManifest) {
	if received.digest == f.version().Digest() {
		return
	}
	if received.err != nil {
		f.refuse(now, cicadacross.NewVersion(0, received.digest), "source", received.err.Error())
		return
	}
	version := received.manifest.Version()
	f.checkConflict(now, version, "source")
	if version.Compare(f.version()) < 0 {
		f.meter.staleSource.Inc(1)
		f.log.V(1).Info("source has an older version than the applied one",
			"version", version.String(), "applied", f.version().String())
		return
	}
	f.addSourceProvider(now, version, received.data)
}

// probeTask reads the manifest once, either during start-up or as a check of a pending watch.
type probeTask struct {
	fleet *Fleet
	check bool
}

func (t probeTask) perform(ctx context.Context) message {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	t.fleet.meter.sourceCalls.Inc(1)
	value, err := t.fleet.opts.Source.Get(ctx, cicadacross.KeyManifest)
	result := newSourceResult(cicadacross.KeyManifest, value, err)
	result.check = t.check
	return result
}
