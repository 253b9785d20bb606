package roster

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"cicadacross"
)

const (
	// maxWatchWait is the longest wait of one watch. It is long because each watch counts as a call to the registry; pings
	// detect an outage sooner.
	maxWatchWait = 10 * time.Second
	// shortWatchWait is the wait of a watch for shortWatchPeriod after a watch missed a change or the registry
	// discarded its history: the next watch may stall without an error too.
	shortWatchWait   = 700 * time.Millisecond
	shortWatchPeriod = 15 * time.Second
	// minWatchInterval is the minimum time between the starts of two watches, each of which counts as a call. It is well
	// below 2 s, the shortest limit that the platform sets for a leaving target to receive no more requests.
	minWatchInterval = 400 * time.Millisecond
	// unregisteredWatchInterval replaces minWatchInterval while the upstream of this host is not registered. While the
	// upstreams of a new fleet register, every daemon reads until it knows one that is elected before it.
	unregisteredWatchInterval = 1200 * time.Millisecond
	// minRetryWait and maxRetryWait bound the wait after a failed call, without jitter.
	minRetryWait = 100 * time.Millisecond
	maxRetryWait = time.Second
	// retryJitter is the maximum random addition to a wait, as a fraction of it. It spreads the calls of daemons whose
	// calls failed at the same time.
	retryJitter = 0.5
)

// reader watches the registry while this daemon is elected.
type reader struct {
	roster              *Roster
	consecutiveFailures int
	// relist reports that changes were missed or discarded by the registry, so that the records must be listed again.
	relist bool
	// missedChangeAt is the last time at which a watch was found to have missed a change.
	missedChangeAt time.Time
	// watched is the position up to which listings and watches have returned all changes; nil means none.
	watched atomic.Pointer[cicadacross.Position]
	// pingedEra is the era of the last ping.
	pingedEra atomic.Uint64
	// reportedUnknownEra reports that a response without an era was logged.
	reportedUnknownEra atomic.Bool
	// earlierEra counts the responses of an earlier era, unknownEra those without an era although one is known.
	earlierEra metrics.Counter
	unknownEra metrics.Counter
	// failing reports that the last call failed.
	failing atomic.Bool
	// retryNow ends the wait before the next call.
	retryNow chan struct{}

	mu      sync.Mutex
	pending pendingCall
}

// pendingCall is a listing or watch that waits for its response.
type pendingCall struct {
	// cancel cancels the call; nil means that none is pending or that its response has begun to arrive.
	cancel context.CancelFunc
	began  time.Time
	// isWatch reports that the call is a watch, whose response may take long.
	isWatch bool
	// interrupted reports that the pinger canceled the call, missedChange that the call had missed a change.
	interrupted  bool
	missedChange bool
}

func (r *reader) init(d *Roster) {
	r.roster = d
	r.retryNow = make(chan struct{}, 1)
	r.earlierEra = metrics.GetOrRegisterCounter(earlierEraMetric, d.opts.Metrics)
	r.unknownEra = metrics.GetOrRegisterCounter("registry.unknown_era_responses", d.opts.Metrics)
}

func (d *Roster) startReader(ctx context.Context) {
	d.goroutines.Add(2)
	go d.reader.run(ctx)
	p := &pinger{reader: &d.reader}
	go p.run(ctx)
}

func (r *reader) run(ctx context.Context) {
	d := r.roster
	defer d.goroutines.Done()
	for d.election.waitUntilElected(ctx) {
		began := d.opts.Timers.Now()
		err := r.readOnce(ctx)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errInterrupted) || errors.Is(err, errListingRequired) {
			// The registry didn't confirm the records, so that another daemon may take over.
			continue
		}
		r.recordResult(err)
		if err != nil {
			r.awaitRetry(ctx)
			continue
		}
		if !r.relist {
			r.sleep(ctx, minWatchInterval-d.opts.Timers.Now().Sub(began))
			if !d.election.isRegistered() {
				r.sleep(ctx, unregisteredWatchInterval-d.opts.Timers.Now().Sub(began))
			}
		}
	}
}

// readOnce makes one call to the registry, a listing or a watch, and passes the result to the control goroutine.
func (r *reader) readOnce(ctx context.Context) error {
	d := r.roster
	began := d.opts.Timers.Now()
	// Other daemons may have sent later changes while this one wasn't a reader.
	after := cicadacross.LaterPosition(r.watchedPosition(), d.position())
	if after.IsZero() || r.relist || after.Era() < r.pingedEra.Load() {
		return r.list(ctx, began)
	}
	r.watched.Store(&after)
	changes, err := r.watch(ctx, after)
	if err != nil {
		if d.opts.Registry.RequiresListing(err) {
			r.requireListing("registry watch can't return the changes; listing all records", after, "reason", err.Error())
			return errListingRequired
		}
		return err
	}
	if changes, err = r.resolveEra(changes); err != nil {
		return err
	}
	if changes.Position.Era() > after.Era() {
		// The changes follow the same revision in another era, so that earlier ones of that era are missing.
		r.requireListing("registry watch returned changes of another era; listing all records", after,
			"current_era", changes.Position.Era())
		return errListingRequired
	}
	if len(changes.Records) == 0 && after.Before(changes.Position) {
		r.requireListing("registry watch returned no changes although the revision increased; listing all records", after,
			"current_revision", uint64(changes.Position.Revision()))
		return nil
	}
	after = cicadacross.LaterPosition(after, changes.Position)
	r.watched.Store(&after)
	d.enqueue(ctx, update{changes: changes})
	return nil
}

// list makes a listing that began at the given time.
func (r *reader) list(ctx context.Context, began time.Time) error {
	d := r.roster
	listCtx, cancel := r.beginCall(ctx, false)
	defer cancel()
	changes, err := d.opts.Registry.List(listCtx)
	if r.endCall() && err != nil {
		return errInterrupted
	}
	if err != nil {
		return err
	}
	if changes, err = r.resolveEra(changes); err != nil {
		return err
	}
	r.relist = false
	// A listing is never stale, unlike the ping that may have reported a later era.
	r.pingedEra.Store(changes.Position.Era())
	r.watched.Store(&changes.Position)
	d.enqueue(ctx, update{changes: changes, snapshot: true, confirmationAge: d.opts.Timers.Now().Sub(began)})
	return nil
}

// requireListing logs that a watch from the position after failed, makes the next call a listing, and makes watches
// short for some time.
func (r *reader) requireListing(message string, after cicadacross.Position, details ...any) {
	values := append([]any{"era", after.Era(), "revision", uint64(after.Revision())}, details...)
	r.roster.opts.Logger.Info(message, values...)
	r.relist, r.missedChangeAt = true, r.roster.opts.Timers.Now()
}

// watchedPosition returns the position up to which listings and watches have returned all changes.
func (r *reader) watchedPosition() cicadacross.Position { return loadPosition(&r.watched) }

// resolveEra checks the era of a response. Without one, the response is taken to be of the era that this daemon knows.
// The error has KindStale if the era is earlier than that.
func (r *reader) resolveEra(changes cicadacross.Changes) (cicadacross.Changes, error) {
	era := changes.Position.Era()
	known := cicadacross.LaterPosition(r.watchedPosition(), r.roster.position()).Era()
	switch {
	case era == 0 && known > 0:
		r.unknownEra.Inc(1)
		if !r.reportedUnknownEra.Swap(true) {
			r.roster.opts.Logger.Info("registry response has no valid era; it is taken to be of the known one", "era", known)
		}
		return changes.InEra(known), nil
	case era < known:
		r.earlierEra.Inc(1)
		return changes, newError("read", KindStale, "response is of era %d, but era %d has begun", era, known)
	}
	r.reportedUnknownEra.Store(false)
	return changes, nil
}

// errInterrupted means that the pinger canceled a call that may never have been answered, or a watch that had missed a
// change.
var errInterrupted = newError("read", KindInterrupted, "canceled a call")

// errListingRequired means that a watch can't return the changes, so that the next call lists all records.
var errListingRequired = newError("watch", KindInterrupted, "the watch can't return the changes")

// watch makes one call that the pinger may interrupt until the response begins to arrive. It returns errInterrupted if
// the pinger did.
func (r *reader) watch(ctx context.Context, after cicadacross.Position) (cicadacross.Changes, error) {
	watchCtx, cancel := r.beginCall(ctx, true)
	defer cancel()
	changes, err := r.roster.opts.Registry.Watch(watchCtx, cicadacross.WatchOptions{
		After: after, Wait: r.nextWatchWait(), OnResponse: r.callAnswered,
	})
	if r.endCall() && err != nil {
		return cicadacross.Changes{}, errInterrupted
	}
	return changes, err
}

// beginCall returns the context of a call that the pinger may interrupt until callAnswered or endCall. The caller must
// call cancel.
func (r *reader) beginCall(ctx context.Context, isWatch bool) (callCtx context.Context, cancel context.CancelFunc) {
	callCtx, cancel = context.WithCancel(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending = pendingCall{cancel: cancel, began: r.roster.opts.Timers.Now(), isWatch: isWatch}
	return callCtx, cancel
}

// callAnswered ends the time in which the pending call can be interrupted, since its response has begun to arrive. A
// large response takes a while on a slow link.
func (r *reader) callAnswered() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending.cancel = nil
}

// endCall ends the pending call and reports whether the pinger has interrupted it.
func (r *reader) endCall() (interrupted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ended := r.pending
	r.pending = pendingCall{}
	if ended.missedChange {
		r.missedChangeAt = r.roster.opts.Timers.Now()
	}
	return ended.interrupted
}

// pendingSince returns the time at which the pending call began; ok is false when there is none that can be
// interrupted.
func (r *reader) pendingSince() (began time.Time, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pending.began, r.pending.cancel != nil
}

// interruptBefore cancels the pending call if it began before the time, and ends the wait before the next one: the
// registry may never answer a call that was made during an outage, also when it answers others again.
func (r *reader) interruptBefore(at time.Time, reason string) {
	select {
	case r.retryNow <- struct{}{}:
	default:
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pending.cancel == nil || !r.pending.began.Before(at) {
		return
	}
	r.roster.interruptedCalls.Inc(1)
	r.roster.opts.Logger.Info("canceling a registry call that may never be answered", "reason", reason,
		"pending", r.roster.opts.Timers.Now().Sub(r.pending.began).String())
	r.pending.interrupted = true
	r.pending.cancel()
}

// interruptWatch cancels the pending watch, so that the next one returns the changes that it missed. The position,
// which is ahead of the watch, is logged.
func (r *reader) interruptWatch(position cicadacross.Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pending.cancel == nil || !r.pending.isWatch {
		return
	}
	watched := r.watchedPosition()
	r.roster.opts.Logger.Info("canceling a registry watch that missed a change", "watched_era", watched.Era(),
		"watched_revision", uint64(watched.Revision()), "era", position.Era(), "revision", uint64(position.Revision()))
	r.pending.interrupted, r.pending.missedChange = true, true
	r.pending.cancel()
}

// nextWatchWait returns the wait of the next watch, which is short for some time after a missed change.
func (r *reader) nextWatchWait() time.Duration {
	if r.missedChangeAt.IsZero() || r.roster.opts.Timers.Now().Sub(r.missedChangeAt) > shortWatchPeriod {
		return maxWatchWait
	}
	return shortWatchWait
}

// recordResult records whether a call succeeded, and logs when the registry becomes unavailable or available again.
func (r *reader) recordResult(err error) {
	log := r.roster.opts.Logger
	if err == nil {
		if r.failing.Swap(false) {
			log.Info("registry is available again", "failures", r.consecutiveFailures)
		}
		r.consecutiveFailures = 0
		r.roster.election.recordOwnConfirmation()
		return
	}
	r.consecutiveFailures++
	if !r.failing.Swap(true) {
		log.Info("registry call failed", "reason", err.Error())
	}
}

// retryWait returns the wait before the next call, which grows with the number of consecutive failures.
func (r *reader) retryWait() time.Duration {
	wait := min(minRetryWait<<min(r.consecutiveFailures, 5), maxRetryWait)
	return wait + time.Duration(retryJitter*rand.Float64()*float64(wait)) // #nosec G404 -- jitter
}

// awaitRetry waits before the next call after a failed one, until the pinger finds that the registry answers again.
func (r *reader) awaitRetry(ctx context.Context) {
	select {
	case <-r.retryNow:
		// The signal is from before the call.
	default:
	}
	t := r.roster.opts.Timers.After(r.retryWait())
	defer t.Stop()
	select {
	case <-t.C():
	case <-r.retryNow:
	case <-ctx.Done():
	}
}

// sleep waits for d or until ctx ends.
func (r *reader) sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := r.roster.opts.Timers.After(d)
	defer t.Stop()
	select {
	case <-t.C():
	case <-ctx.Done():
	}
}
