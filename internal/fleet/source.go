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
	retryBase = 100 * time.Millisecond
	retryMax  = 5 * time.Second
	// sourceRate and sourceBurst are the budget of a daemon for calls to the source that repeat an earlier one.
	sourceRate  = 2
	sourceBurst = 4
	// probeTimeout bounds one read of the manifest outside a watch.
	probeTimeout = 2 * time.Second
)

// watchedKeys are the keys that a reader watches; the first of them proves that the source is heard.
var watchedKeys = []string{cicadacross.KeyManifest, cicadacross.KeyHosts}

// backoff returns a full-jitter exponential delay before the attempt after the given number of failures.
func backoff(failures int) time.Duration {
	const maxDoublings = 10
	limit := min(retryMax, retryBase<<min(failures, maxDoublings))
	return time.Duration(rand.Int64N(int64(limit)))
}

// sourceBudget limits repeated calls to the source. It is safe for concurrent use.
type sourceBudget struct {
	mu      sync.Mutex
	limiter *rate.Limiter
}

func newSourceBudget() *sourceBudget {
	return &sourceBudget{limiter: rate.NewLimiter(sourceRate, sourceBurst)}
}

// delay takes one call from the budget and returns how long to wait for it.
func (b *sourceBudget) delay(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limiter.ReserveN(now, 1).DelayFrom(now)
}

// wait waits for d and reports whether ctx is still open.
func (f *Fleet) wait(ctx context.Context, d time.Duration) bool {
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

// sourceWatch watches one key until it is cancelled.
type sourceWatch struct {
	fleet  *Fleet
	key    string
	ctx    context.Context
	cancel context.CancelFunc
	// The rest belongs to the run goroutine. working says that the last call succeeded, so that the pending one counts as
	// a confirmation; revision is that of the last answer.
	working  bool
	revision cicadacross.Revision
}

func newSourceWatch(f *Fleet, key string) *sourceWatch {
	ctx, cancel := context.WithCancel(f.ctx)
	return &sourceWatch{fleet: f, key: key, ctx: ctx, cancel: cancel}
}

// sourceAnswer is an answer of the source, or its failure.
type sourceAnswer struct {
	watch  *sourceWatch // nil for a probe
	key    string
	err    error
	absent bool
	// check says that the answer is to a check of a pending watch.
	check    bool
	revision cicadacross.Revision
	value    *sourceManifest
	hosts    *platform.HostList
}

// sourceManifest is a manifest as the source gave it.
type sourceManifest struct {
	data     []byte
	digest   string
	manifest register.Manifest
	err      error
}

// run reads the key once and then watches it.
func (w *sourceWatch) run() {
	defer w.fleet.tasks.Done()
	failures := 0
	var after cicadacross.Revision
	for first := true; w.ctx.Err() == nil; first = false {
		var value cicadacross.Value
		var err error
		w.fleet.meter.sourceCalls.Inc(1)
		if first || failures > 0 {
			value, err = w.fleet.opts.Source.Get(w.ctx, w.key)
		} else {
			value, err = w.fleet.opts.Source.Watch(w.ctx, w.key, after)
		}
		if w.ctx.Err() != nil {
			return
		}
		answer := newSourceAnswer(w.key, value, err)
		answer.watch = w
		w.fleet.post(answer)
		delay := time.Duration(0)
		if err == nil {
			// A lower revision than before means that the platform was rebuilt or is stale.
			failures, after = 0, value.Revision()
		} else {
			delay = backoff(failures)
			failures++
		}
		if answer.absent {
			delay = jittered(retryMax)
		}
		if !w.fleet.wait(w.ctx, max(delay, w.fleet.budget.delay(w.fleet.timers.Now()))) {
			return
		}
	}
}

// newSourceAnswer decodes a value outside the run goroutine.
func newSourceAnswer(key string, value cicadacross.Value, err error) sourceAnswer {
	answer := sourceAnswer{key: key, err: err, revision: value.Revision()}
	if err != nil {
		kind, _ := failure.KindOf[platform.Kind](err)
		answer.absent = kind == platform.KindNotFound
		return answer
	}
	switch key {
	case cicadacross.KeyManifest:
		sum := sha256.Sum256(value.Data())
		read := &sourceManifest{data: value.Data(), digest: hex.EncodeToString(sum[:])}
		read.manifest, read.err = register.DecodeManifest(value.Data())
		answer.value = read
	case cicadacross.KeyHosts:
		list, err := platform.ParseHostList(value.Data())
		if err != nil {
			answer.err = err
			return answer
		}
		answer.hosts = &list
	}
	return answer
}

func (a sourceAnswer) handle(f *Fleet) {
	now := f.timers.Now()
	heard := a.err == nil || a.absent
	if a.watch != nil {
		a.watch.working, a.watch.revision = heard, a.revision
		if a.key == cicadacross.KeyManifest {
			f.readers.expected = 0
		}
	}
	if a.check {
		f.readers.checked(now, heard, a.revision)
	}
	if !heard {
		f.readers.lastError = a.err.Error()
		f.meter.sourceFailures.Inc(1)
		f.log.V(1).Info("source failed", "key", a.key, "reason", a.err.Error())
		if a.watch == nil && !a.check {
			f.sourceProbeFailed(now)
		}
		return
	}
	if a.key == cicadacross.KeyManifest {
		f.readers.sourceHeard, f.readers.lastError = now, ""
		f.confirmOwn(now)
	}
	if a.hosts != nil {
		f.takeHostList(now, *a.hosts)
	}
	if a.value != nil {
		f.takeSourceManifest(now, a.value)
	}
	switch {
	case a.watch != nil || a.check:
	case a.absent && f.cold.phase == phaseSeeking:
		f.sourceProbeFailed(now)
	default:
		f.sourceProbed(now)
	}
}

func (f *Fleet) takeSourceManifest(now time.Time, read *sourceManifest) {
	if read.digest == f.version().Digest() {
		return
	}
	if read.err != nil {
		f.refuse(now, cicadacross.NewVersion(0, read.digest), "source", read.err.Error())
		return
	}
	version := read.manifest.Version()
	f.sawVersion(now, version, "source")
	if version.Compare(f.version()) < 0 {
		f.meter.staleSource.Inc(1)
		f.log.V(1).Info("source is stale", "version", version.String(), "applied", f.version().String())
		return
	}
	f.wantFromSource(now, version, read.data)
}

// probeTask reads the manifest once, for a daemon that starts or to check a pending watch.
type probeTask struct {
	fleet *Fleet
	check bool
}

func (t probeTask) perform(ctx context.Context) message {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	t.fleet.meter.sourceCalls.Inc(1)
	value, err := t.fleet.opts.Source.Get(ctx, cicadacross.KeyManifest)
	answer := newSourceAnswer(cicadacross.KeyManifest, value, err)
	answer.check = t.check
	return answer
}
