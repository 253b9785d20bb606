package fleet

import (
	"fmt"
	"time"

	"cicadacross"
	"cicadacross/internal/failure"
)

const (
	// maxHistory is the number of applied versions that are remembered.
	maxHistory = 64
	// maxRefusals is the number of refused versions that are remembered and not fetched again.
	maxRefusals = 16
)

// AppliedVersion is one entry of the history of a daemon.
type AppliedVersion struct {
	Version cicadacross.Version
	At      time.Time
	// From is the host that the version was fetched from, or "the source".
	From string
}

// RefusedVersion is a version that is not a valid configuration. Its number is 0 when the manifest can't be read.
type RefusedVersion struct {
	Version cicadacross.Version
	Since   time.Time
	From    string
	Reason  string
}

// Conflict tells of two versions with one number. The higher one stays in force; the remedy is to publish the next
// number.
type Conflict struct {
	Kept  cicadacross.Version
	Other cicadacross.Version
	Since time.Time
	From  string
}

// refusalList remembers the latest refused versions.
type refusalList struct{ list []RefusedVersion }

func (r *refusalList) has(version cicadacross.Version) bool {
	for _, refused := range r.list {
		if refused.Version == version {
			return true
		}
	}
	return false
}

func (d fetchDone) handle(f *Fleet) {
	now := f.timers.Now()
	s := &f.fetches
	if s.inFlight == d.task {
		s.inFlight = nil
	}
	if d.err == nil {
		f.apply(now, d)
	} else {
		f.fetchFailed(now, d)
	}
	f.tickFetch(now)
	f.checkDone(now)
	f.checkSettled(now)
}

func (f *Fleet) fetchFailed(now time.Time, d fetchDone) {
	f.keepParts(d.parts)
	if kind, _ := failure.KindOf[Kind](d.err); kind == KindRefused {
		f.refuse(now, d.version, d.task.from.name(), d.err.Error())
	}
	w := f.fetches.wants[d.task.version]
	switch {
	case w == nil:
	case d.task.superseded:
		delete(w.tried, d.task.from.name())
	default:
		f.meter.fetchFailures.Inc(1)
		f.log.Info("fetch failed", "version", w.version.String(), "from", d.task.from.name(), "reason", d.err.Error())
		budget := time.Duration(0)
		if d.task.from.name() == sourceName {
			budget = f.budget.delay(now)
		}
		w.failed(now, d.err.Error(), budget)
	}
}

// keepParts keeps the parts of a failed fetch for the next one.
func (f *Fleet) keepParts(parts map[string][]byte) {
	s := &f.fetches
	for digest, data := range parts {
		if _, known := s.partial[digest]; known || s.partialSize+len(data) > maxTotalSize {
			continue
		}
		s.partial[digest] = data
		s.partialSize += len(data)
	}
}

// apply brings a whole, valid configuration into force if it is newer than the present one.
func (f *Fleet) apply(now time.Time, d fetchDone) {
	previous := f.current.Load()
	if d.version.Compare(f.version()) <= 0 {
		return
	}
	from := d.task.from.name()
	if f.opts.OnApply != nil {
		f.opts.OnApply(previous, d.configuration)
	}
	f.values.Store(f.values.Load().next(d.version, d.names, d.values, d.received))
	f.current.Store(d.configuration)
	f.fetches.partial, f.fetches.partialSize = make(map[string][]byte), 0
	f.history = append(f.history, AppliedVersion{Version: d.version, At: now, From: from})
	f.history = f.history[max(0, len(f.history)-maxHistory):]
	if f.conflict != nil && d.version.Number() > f.conflict.Kept.Number() {
		f.conflict = nil
	} else if previous != nil && previous.Version().Conflicts(d.version) {
		f.conflict = &Conflict{Kept: d.version, Other: previous.Version(), Since: now, From: from}
	}
	f.meter.applies.Inc(1)
	f.log.Info("configuration applied", "version", d.version.String(), "from", from)
	f.members.reconcile(d.configuration)
	f.compareSettings(d.configuration)
	f.retainConnections()
	f.readers.stale = true
	if previous == nil {
		// So far only the seeds and the hosts that they named were known, by all daemons that started at this time.
		f.partners.hosts = nil
	}
	f.tickPartners(now)
	f.announceVersion(from)
	f.followUpAt = now.Add(jittered(followUpDelay))
	f.coldApplied(now, d.task.from)
}

// retainConnections closes the connections to hosts that the register no longer names.
func (f *Fleet) retainConnections() {
	known := make(map[string]bool)
	for _, address := range f.opts.Seeds {
		known[address] = true
	}
	for _, m := range f.members.byHost {
		known[m.peer] = true
	}
	f.pool.Retain(func(address string) bool { return known[address] })
}

// compareSettings notices a host whose settings and register entry differ, which other daemons can't reach.
func (f *Fleet) compareSettings(c *cicadacross.Configuration) {
	mismatch := ""
	switch target, registered := c.TargetOn(f.opts.Host); {
	case !registered:
		mismatch = fmt.Sprintf("the register doesn't name the host %s", f.opts.Host)
	case target.Peer() != f.opts.Peer:
		mismatch = fmt.Sprintf("the register has the peer address %s, the setting is %s", target.Peer(), f.opts.Peer)
	case target.AvailabilityZone() != f.opts.AvailabilityZone:
		mismatch = fmt.Sprintf("the register has the availability zone %s, the setting is %s",
			target.AvailabilityZone(), f.opts.AvailabilityZone)
	}
	if mismatch != "" && mismatch != f.mismatch {
		f.log.Info("settings differ from the register", "reason", mismatch)
	}
	f.mismatch = mismatch
}

// refuse remembers a version that must not be applied.
func (f *Fleet) refuse(now time.Time, version cicadacross.Version, from, reason string) {
	delete(f.fetches.wants, version)
	if f.refusals.has(version) {
		return
	}
	f.refusals.list = append(f.refusals.list, RefusedVersion{Version: version, Since: now, From: from, Reason: reason})
	f.refusals.list = f.refusals.list[max(0, len(f.refusals.list)-maxRefusals):]
	f.meter.refusals.Inc(1)
	f.log.Info("version refused", "version", version.String(), "from", from, "reason", reason)
}

// sawVersion notices two versions with one number.
func (f *Fleet) sawVersion(now time.Time, version cicadacross.Version, from string) {
	applied := f.version()
	if version.IsZero() || !applied.Conflicts(version) {
		return
	}
	kept, other := applied, version
	if version.Compare(applied) > 0 {
		kept, other = version, applied
	}
	if c := f.conflict; c != nil && c.Kept == kept && c.Other == other {
		return
	}
	f.conflict = &Conflict{Kept: kept, Other: other, Since: now, From: from}
	f.meter.conflicts.Inc(1)
	f.log.Info("two versions have one number; publish the next number", "kept", kept.String(), "other", other.String(),
		"from", from)
}
