package roster

import (
	"context"
	"time"

	"cicadacross"
)

const (
	// pingInterval is the time between two pings of the registry. A ping confirms the records well within
	// confirmationTimeout, after which another daemon takes over.
	pingInterval = 500 * time.Millisecond
	// currentReadPeriod is how long the pinger reads the current position after pings have lagged. Stale reads may be
	// seconds old, and so don't show that a watch missed a change.
	currentReadPeriod = 6 * time.Second
)

// pinger pings the registry while this daemon is elected. A pending watch can stall without an error and then returns
// no changes; the pinger detects this when the newest known position is ahead of the same watch at two pings in a row,
// or at once if the position is in a later era. When the registry answers again after an outage, the pinger cancels a
// call from before, which may never be answered.
type pinger struct {
	reader *reader
	// failed reports that the last ping failed.
	failed bool
	// pausedAt is the last time at which this daemon wasn't elected, so that it didn't ping.
	pausedAt time.Time
	// wasAhead reports that the last ping found a position ahead of the watch from position aheadOf.
	wasAhead bool
	aheadOf  cicadacross.Position
	// laggedAt is the last time at which two pings in a row were behind the newest known position; wasBehind reports that
	// the last one was.
	laggedAt  time.Time
	wasBehind bool
}

func (p *pinger) run(ctx context.Context) {
	d := p.reader.roster
	defer d.goroutines.Done()
	t := d.opts.Timers.Every(pingInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C():
		}
		if !d.election.isElected() {
			p.pausedAt, p.failed = d.opts.Timers.Now(), false
			continue
		}
		if p.isNeeded() {
			p.ping(ctx)
		}
	}
}

// isNeeded reports whether the reader makes calls that a ping can help. Without a configuration these are listings,
// whose failures a ping would repeat unless one of them gets no answer.
func (p *pinger) isNeeded() bool {
	d := p.reader.roster
	if d.Configuration() != nil || p.reader.failing.Load() {
		return true
	}
	began, pending := p.reader.pendingSince()
	return pending && d.opts.Timers.Now().Sub(began) > pingInterval
}

func (p *pinger) ping(ctx context.Context) {
	d := p.reader.roster
	began := d.opts.Timers.Now()
	position, err := p.readPosition(ctx)
	if err != nil {
		p.failed = true
		d.opts.Logger.V(1).Info("registry ping failed", "reason", err.Error())
		return
	}
	wasOutage := p.failed
	switch {
	case p.failed:
		p.reader.interruptBefore(began, "the registry answers again")
	case !p.pausedAt.IsZero():
		p.reader.interruptBefore(p.pausedAt, "elected again")
	}
	p.failed, p.pausedAt = false, time.Time{}
	response, err := p.reader.resolveEra(cicadacross.Changes{Position: position})
	if err != nil {
		d.opts.Logger.V(1).Info("ignoring a registry ping", "reason", err.Error())
		return
	}
	position = response.Position
	p.reader.pingedEra.Store(position.Era())
	watched := p.reader.watchedPosition()
	newestKnown := cicadacross.LaterPosition(watched, d.position())
	newest := cicadacross.LaterPosition(position, newestKnown)
	if watched.Before(newest) {
		if newest.Era() > watched.Era() || p.wasAhead && p.aheadOf == watched {
			p.reader.interruptWatch(newest)
		}
		p.wasAhead, p.aheadOf = true, watched
		return
	}
	p.wasAhead = false
	// A response behind the newest known position comes from a lagging replica of the registry and confirms nothing. The
	// first one after an outage shows only that the registry answers.
	if position == newestKnown && !wasOutage && !p.reader.failing.Load() {
		d.election.recordOwnConfirmation()
		confirmed := cicadacross.Changes{Position: cicadacross.NewPosition(position.Era(), 0)}
		d.enqueue(ctx, update{changes: confirmed, confirmationAge: d.opts.Timers.Now().Sub(began)})
	}
}

// readPosition returns the position of the registry from a ping, or the current one while pings lag.
func (p *pinger) readPosition(ctx context.Context) (cicadacross.Position, error) {
	d := p.reader.roster
	now := d.opts.Timers.Now()
	if !p.laggedAt.IsZero() && now.Sub(p.laggedAt) < currentReadPeriod {
		d.currentReads.Inc(1)
		return d.opts.Registry.Position(ctx)
	}
	position, err := d.opts.Registry.Ping(ctx)
	if err != nil {
		return position, err
	}
	known := cicadacross.LaterPosition(p.reader.watchedPosition(), d.position())
	isBehind := position.Era() == known.Era() && position.Before(known)
	if isBehind && p.wasBehind {
		p.laggedAt = now
	}
	p.wasBehind = isBehind
	if !isBehind {
		return position, nil
	}
	d.currentReads.Inc(1)
	return d.opts.Registry.Position(ctx)
}
