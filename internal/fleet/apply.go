package fleet

import (
	"fmt"
	"time"

	"cicadacross"
	"cicadacross/internal/failure"
)

const (
	// maxHistory is the number of applied versions kept in the history.
	maxHistory = 64
	// maxRefusals is the number of refused versions that are kept and not fetched again.
	maxRefusals = 16
)

// AppliedVersion is one entry in the history of applied versions of a daemon.
type AppliedVersion struct {
	Version cicadacross.Version
	At      time.Time
	// From is the host that the version was fetched from, or "the source".
	From string
}

// RefusedVersion is a version that failed validation. Its number is 0 when the manifest can't be decoded.
type RefusedVersion struct {
	Version cicadacross.Version
	Since   time.Time
	From    string
	Reason  string
}

// Conflict describes two versions with the same number and different content. The higher version stays applied;
// operators resolve the conflict by publishing the next number.
type Conflict struct {
	Kept  cicadacross.Version
	Other cicadacross.Version
	Since time.Time
	From  string
}

// refusalList holds the most recently refused versions, the oldest first.
type refusalList struct{ list []RefusedVersion }

func (r *refusalList) contains(version cicadacross.Version) bool {
	for _, refused := range r.list {
		if refused.Version == version {
			return true
		}
	}
	return false
}

func (d fetchDone) handle(f *Fleet) {
	now := f.timers.Now()
	fetches := &f.fetches
	if fetches.inFlight == d.task {
		fetches.inFlight = nil
	}
	if d.err == nil {
		f.apply(now, d)
	} else {
		f.recordFetchFailure(now, d)
	}
	f.tickFetch(now)
	f.finishVersionCheck(now)
	f.finishPause(now)
}

func (f *Fleet) recordFetchFailure(now time.Time, d fetchDone) {
	f.keepParts(d.parts)
	if kind, _ := failure.KindOf[Kind](d.err); kind == KindRefused {
		f.refuse(now, d.version, d.task.provider.name(), d.err.Error())
	}
	wanted := f.fetches.wanted[d.task.version]
	switch {
	case wanted == nil:
	case d.task.superseded:
		delete(wanted.triedProviders, d.task.provider.name())
	default:
		f.meter.fetchFailures.Inc(1)
		f.log.Info("fetch failed", "version", wanted.version.String(), "from", d.task.provider.name(),
			"reason", d.err.Error())
		budgetDelay := time.Duration(0)
		if d.task.provider.name() == sourceName {
			budgetDelay = f.budget.delay(now)
		}
		wanted.recordFailure(now, d.err.Error(), budgetDelay)
	}
}

// keepParts keeps the verified parts of a failed fetch for the next fetch, up to maxPartialBytes in total.
func (f *Fleet) keepParts(parts map[string][]byte) {
	fetches := &f.fetches
	for digest, data := range parts {
		if _, known := fetches.partialParts[digest]; known || fetches.partialBytes+len(data) > maxPartialBytes {
			continue
		}
		fetches.partialParts[digest] = data
		fetches.partialBytes += len(data)
	}
}

// apply makes a complete, valid configuration the current one if it is newer than the current one.
func (f *Fleet) apply(now time.Time, d fetchDone) {
	previous := f.current.Load()
	if d.version.Compare(f.version()) <= 0 {
		return
	}
	from := d.task.provider.name()
	if f.opts.OnApply != nil {
		f.opts.OnApply(previous, d.configuration)
	}
	f.values.Store(f.values.Load().nextSet(d.version, d.partDigests, d.values, d.compressed))
	f.current.Store(d.configuration)
	f.fetches.partialParts, f.fetches.partialBytes = make(map[string][]byte), 0
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
	f.readers.positionsStale = true
	if previous == nil {
		// Until now, the daemon knew only the seeds and the hosts that they listed, as did every daemon that started at this
		// time. Partners chosen from so few hosts are dropped.
		f.partners.hosts = nil
	}
	f.tickPartners(now)
	f.announceVersion(from)
	f.followUpAt = now.Add(withJitter(followUpDelay))
	f.beginVersionCheck(now, d.task.provider)
}

// retainConnections closes connections to addresses that are neither seeds nor addresses of known members.
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

// compareSettings detects a difference between the settings of this host and its register entry. Other daemons can't
// reach such a host.
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
	if mismatch != "" && mismatch != f.settingsMismatch {
		f.log.Info("settings differ from the register", "reason", mismatch)
	}
	f.settingsMismatch = mismatch
}

// refuse records a version that must not be applied and stops fetching it.
func (f *Fleet) refuse(now time.Time, version cicadacross.Version, from, reason string) {
	delete(f.fetches.wanted, version)
	if f.refusals.contains(version) {
		return
	}
	f.refusals.list = append(f.refusals.list, RefusedVersion{Version: version, Since: now, From: from, Reason: reason})
	f.refusals.list = f.refusals.list[max(0, len(f.refusals.list)-maxRefusals):]
	f.meter.refusals.Inc(1)
	f.log.Info("version refused", "version", version.String(), "from", from, "reason", reason)
}

// checkConflict records a conflict when the version has the number of the applied version and different content.
func (f *Fleet) checkConflict(now time.Time, version cicadacross.Version, from string) {
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
