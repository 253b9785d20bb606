package roster

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"cicadacross"
)

const (
	// watchWait is the longest wait of one watch. Pings tell of an outage sooner, and each watch counts as a call.
	watchWait = 10 * time.Second
	// doubtWait is the wait of a watch, and doubtTime how long it is used, after a watch was cut or changes were
	// forgotten: the next watch may be cut without a sign too.
	doubtWait = 700 * time.Millisecond
	doubtTime = 15 * time.Second
	// pingInterval is the time between two looks whether the registry answers. Daemons take over within confirmLimit.
	pingInterval = 500 * time.Millisecond
	// watchPace is the shortest time between two watches, each of which counts as a call. A target that leaves must get
	// no work after the 2 s that the platform sets as its shortest bound.
	watchPace = 400 * time.Millisecond
	// retryMin and retryMax bound the wait after a failed call.
	retryMin = 100 * time.Millisecond
	retryMax = time.Second
	// retryJitter spreads the calls of daemons that failed at the same time, as part of the wait.
	retryJitter = 0.5
)

// reader watches the registry while this daemon is elected.
type reader struct {
	roster   *Roster
	failures int
	// relist says that the history was lost, so that only a listing tells what changed.
	relist bool
	// doubted is when the registry last failed to tell of a change.
	doubted time.Time
	// position is the revision up to which watches told of all changes.
	position atomic.Uint64
	// lost says that the last call failed.
	lost atomic.Bool

	mu sync.Mutex
	// interrupt ends the pending watch; nil when there is none.
	interrupt context.CancelFunc
}

func (d *Roster) startReading(ctx context.Context) {
	d.stopped.Add(2)
	go d.reader.run(ctx)
	p := &pinger{reader: &d.reader}
	go p.run(ctx)
}

func (r *reader) run(ctx context.Context) {
	d := r.roster
	defer d.stopped.Done()
	for d.election.wait(ctx) {
		began := d.opts.Timers.Now()
		err := r.read(ctx)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errInterrupted) {
			// Nothing was heard, so that another daemon may take over.
			continue
		}
		r.note(err)
		if err != nil {
			r.pause(ctx, r.retryWait())
			continue
		}
		if !r.relist {
			r.pause(ctx, watchPace-d.opts.Timers.Now().Sub(began))
		}
	}
}

// read makes one call and passes what it tells to the control goroutine.
func (r *reader) read(ctx context.Context) error {
	d := r.roster
	began := d.opts.Timers.Now()
	// Other daemons may have told of later changes while this one didn't read.
	after := cicadacross.Revision(max(r.position.Load(), d.completed.Load()))
	if after == 0 || r.relist {
		changes, err := d.opts.Registry.List(ctx)
		if err != nil {
			return err
		}
		r.relist = false
		r.position.Store(uint64(changes.Revision))
		d.send(ctx, update{changes: changes, whole: true, age: d.opts.Timers.Now().Sub(began)})
		return nil
	}
	r.position.Store(uint64(after))
	changes, err := r.watch(ctx, after)
	if err != nil {
		if d.opts.Registry.IsHistoryLost(err) {
			d.opts.Log.Info("the registry forgot changes; all records are read again", "revision", uint64(after))
			r.relist, r.doubted = true, d.opts.Timers.Now()
			return nil
		}
		return err
	}
	if len(changes.Records) == 0 && changes.Revision > after {
		d.opts.Log.Info("a watch of the registry told of no change although there was one; all records are read again",
			"position", uint64(after), "revision", uint64(changes.Revision))
		r.relist, r.doubted = true, d.opts.Timers.Now()
		return nil
	}
	r.position.Store(uint64(max(after, changes.Revision)))
	d.send(ctx, update{changes: changes})
	return nil
}

// errInterrupted means that the pinger ended a watch, which told of nothing.
var errInterrupted = newError("watch", KindInterrupted, "the watch was cut without a sign")

// watch makes one call that the pinger may interrupt until its answer begins to arrive.
func (r *reader) watch(ctx context.Context, after cicadacross.Revision) (cicadacross.Changes, error) {
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.mu.Lock()
	r.interrupt = cancel
	r.mu.Unlock()
	changes, err := r.roster.opts.Registry.Watch(watchCtx, cicadacross.WatchOptions{
		After: after, Wait: r.waitTime(), OnResponse: r.answered,
	})
	r.answered()
	if err != nil && watchCtx.Err() != nil && ctx.Err() == nil {
		r.doubted = r.roster.opts.Timers.Now()
		return cicadacross.Changes{}, errInterrupted
	}
	return changes, err
}

// answered notes that the pending watch is answered. A large answer takes its time on a slow link.
func (r *reader) answered() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.interrupt = nil
}

func (r *reader) waitTime() time.Duration {
	if r.doubted.IsZero() || r.roster.opts.Timers.Now().Sub(r.doubted) > doubtTime {
		return watchWait
	}
	return doubtWait
}

// note logs the loss and the return of the registry.
func (r *reader) note(err error) {
	log := r.roster.opts.Log
	if err == nil {
		if r.lost.Swap(false) {
			log.Info("the registry answers again", "failures", r.failures)
		}
		r.failures = 0
		r.roster.election.heard()
		return
	}
	r.failures++
	if !r.lost.Swap(true) {
		log.Info("the registry does not answer", "reason", err.Error())
	}
}

func (r *reader) retryWait() time.Duration {
	wait := min(retryMin<<min(r.failures, 5), retryMax)
	return wait + time.Duration(retryJitter*rand.Float64()*float64(wait)) // #nosec G404 -- jitter
}

func (r *reader) pause(ctx context.Context, d time.Duration) {
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

// pinger looks whether the registry answers while this daemon is elected. A pending watch can be cut without a sign and
// then tells of nothing; a ping whose revision is ahead of the watch twice in a row shows that.
type pinger struct {
	reader *reader
	// ahead says that the last ping was ahead of the watch at the position.
	ahead    bool
	position uint64
}

func (p *pinger) run(ctx context.Context) {
	d := p.reader.roster
	defer d.stopped.Done()
	t := d.opts.Timers.Every(pingInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C():
		}
		if d.Configuration() != nil && d.election.elected() {
			p.ping(ctx)
		}
	}
}

func (p *pinger) ping(ctx context.Context) {
	d := p.reader.roster
	began := d.opts.Timers.Now()
	revision, err := d.opts.Registry.Ping(ctx)
	if err != nil {
		d.opts.Log.V(1).Info("the registry does not answer a ping", "reason", err.Error())
		return
	}
	position := p.reader.position.Load()
	known := max(position, d.completed.Load())
	if max(uint64(revision), known) > position {
		if p.ahead && p.position == position {
			p.reader.cut(max(uint64(revision), known))
		}
		p.ahead, p.position = true, position
		return
	}
	p.ahead = false
	// An answer behind what is known comes from a copy that lags, and confirms nothing.
	if uint64(revision) == known && !p.reader.lost.Load() {
		d.election.heard()
		d.send(ctx, update{age: d.opts.Timers.Now().Sub(began)})
	}
}

// cut ends the pending watch, so that the next one tells what it missed.
func (r *reader) cut(revision uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.interrupt == nil {
		return
	}
	r.roster.opts.Log.Info("a watch of the registry was cut without a sign", "position", r.position.Load(),
		"revision", revision)
	r.interrupt()
}
