package discovery

import (
	"context"
	"time"

	"cicadacross"
)

const (
	// watchWait is the longest wait of one watch. Pings tell of an outage sooner, and each watch counts as a call.
	watchWait = 10 * time.Second
	// pingInterval is the time between two looks whether the registry answers. Daemons take over within confirmLimit.
	pingInterval = 500 * time.Millisecond
	// instancePace is the shortest time between two watches of instances, each of which counts as a call. A target that
	// leaves must get no work after the 2 s that the platform sets as its shortest bound.
	instancePace = 400 * time.Millisecond
	// retryMin and retryMax bound the wait after a failed call.
	retryMin = 100 * time.Millisecond
	retryMax = time.Second
	// retryJitter spreads the calls of daemons that failed at the same time, as part of the wait.
	retryJitter = 0.5
)

// reader watches one prefix of the registry while this daemon is elected.
type reader struct {
	discovery *Discovery
	prefix    string
	pace      time.Duration
	// revision is where the next watch begins; 0 means that a listing is needed.
	revision cicadacross.Revision
	// relist says that the history was lost, so that only a listing tells what changed.
	relist   bool
	failures int
	lost     bool
}

func (d *Discovery) startReaders(ctx context.Context) {
	for _, prefix := range d.prefixes() {
		r := &reader{discovery: d, prefix: prefix}
		if prefix == d.opts.Format.InstancePrefix() {
			r.pace = instancePace
		}
		d.stopped.Add(1)
		go r.run(ctx)
	}
}

func (r *reader) run(ctx context.Context) {
	defer r.discovery.stopped.Done()
	for ctx.Err() == nil {
		if !r.discovery.election.wait(ctx) {
			return
		}
		began := r.discovery.opts.Timers.Now()
		err := r.read(ctx)
		if ctx.Err() != nil {
			return
		}
		r.note(err)
		if err != nil {
			r.pause(ctx, r.retryWait())
			continue
		}
		r.pause(ctx, r.pace-r.discovery.opts.Timers.Now().Sub(began))
	}
}

// read makes one call and passes what it tells to the control goroutine.
func (r *reader) read(ctx context.Context) error {
	d := r.discovery
	began := d.opts.Timers.Now()
	if r.revision > 0 {
		// Other daemons may have told of later changes while this one didn't read.
		r.revision = max(r.revision, (*d.completed.Load())[r.prefix])
	} else if !r.relist {
		r.revision = (*d.completed.Load())[r.prefix]
	}
	if r.revision == 0 {
		changes, err := d.opts.Registry.List(ctx, r.prefix)
		if err != nil {
			return err
		}
		r.revision, r.relist = changes.Revision, false
		d.send(ctx, update{prefix: r.prefix, changes: changes, whole: true, age: d.opts.Timers.Now().Sub(began)})
		return nil
	}
	changes, err := d.opts.Registry.Watch(ctx, r.prefix, r.revision, watchWait)
	if err != nil {
		if d.opts.Registry.IsHistoryLost(err) {
			d.opts.Log.Info("the registry forgot changes; all records are read again", "prefix", r.prefix,
				"revision", uint64(r.revision))
			r.revision, r.relist = 0, true
			return nil
		}
		return err
	}
	r.revision = max(r.revision, changes.Revision)
	d.send(ctx, update{prefix: r.prefix, changes: changes})
	return nil
}

// note logs the loss and the return of the registry.
func (r *reader) note(err error) {
	log := r.discovery.opts.Log
	if err == nil {
		if r.lost {
			log.Info("the registry answers again", "prefix", r.prefix, "failures", r.failures)
			r.discovery.lost.Add(-1)
		}
		r.failures, r.lost = 0, false
		r.discovery.election.heard()
		return
	}
	r.failures++
	if !r.lost {
		r.lost = true
		r.discovery.lost.Add(1)
		log.Info("the registry does not answer", "prefix", r.prefix, "reason", err.Error())
	}
}

func (r *reader) retryWait() time.Duration {
	wait := min(retryMin<<min(r.failures, 5), retryMax)
	return wait + time.Duration(retryJitter*r.discovery.jitter()*float64(wait))
}

func (r *reader) pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := r.discovery.opts.Timers.After(d)
	defer t.Stop()
	select {
	case <-t.C():
	case <-ctx.Done():
	}
}
