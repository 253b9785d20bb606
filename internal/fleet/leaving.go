package fleet

import (
	"maps"
	"slices"
	"time"

	"cicadacross/internal/platform"
)

// IsLeaving reports whether the host receives no new requests: because of the rules, because the host list of the
// platform lists it as leaving, or because its daemon reports that it drains.
func (f *Fleet) IsLeaving(host string) bool {
	if c := f.current.Load(); c != nil && c.Leaving(host) {
		return true
	}
	return (*f.leaving.Load())[host]
}

// SetDraining sets whether this host drains, that is, takes no new requests, and announces a change to other daemons.
func (f *Fleet) SetDraining(draining bool) { f.post(drainingSet{draining: draining}) }

type drainingSet struct{ draining bool }

func (m drainingSet) handle(f *Fleet) {
	if f.draining == m.draining {
		return
	}
	if !m.draining {
		// Other daemons never reset the draining state within one incarnation; a new incarnation does.
		f.incarnation++
	}
	f.draining = m.draining
	f.log.Info("draining changed", "draining", m.draining)
	f.updateLeaving(f.timers.Now(), f.opts.Host)
}

func (f *Fleet) computeLeaving(now time.Time, host string) bool {
	if host == f.opts.Host {
		return f.draining || isWithin(now, f.selfListedLeavingAt, listedLeavingLifetime)
	}
	m := f.members.get(host)
	return m != nil && m.isLeaving(now)
}

// updateLeaving publishes the current leaving state of the host and queues a change for announcement.
func (f *Fleet) updateLeaving(now time.Time, host string) {
	if f.publishLeaving(now, host) {
		f.leavingChanges = append(f.leavingChanges, host)
	}
}

// publishLeaving publishes the leaving state of the host for IsLeaving and reports whether it changed.
func (f *Fleet) publishLeaving(now time.Time, host string) bool {
	set := *f.leaving.Load()
	leaves := f.computeLeaving(now, host)
	if set[host] == leaves {
		return false
	}
	next := maps.Clone(set)
	if leaves {
		next[host] = true
	} else {
		delete(next, host)
	}
	f.leaving.Store(&next)
	f.readers.positionsStale = true
	f.log.Info("leaving changed", "member", host, "leaving", leaves)
	return true
}

// tickLeaving renews the leaving state of listed hosts while this daemon reads the host list, expires states that are
// no longer renewed, and announces changes.
func (f *Fleet) tickLeaving(now time.Time) {
	if f.readers.reading {
		for _, host := range f.hostList.Leaving() {
			f.recordListedLeaving(now, host)
		}
	}
	for host := range *f.leaving.Load() {
		// The state that a reader reported expires by age, on each daemon independently.
		f.publishLeaving(now, host)
	}
	f.flushLeavingChanges(now)
}

// flushLeavingChanges announces the changes of leaving hosts. It does so at most once per tick, so that hosts that
// leave at the same time share messages.
func (f *Fleet) flushLeavingChanges(now time.Time) {
	if len(f.leavingChanges) == 0 || now.Sub(f.leavingAnnouncedAt) < tickPeriod {
		return
	}
	f.leavingAnnouncedAt = now
	for hosts := range slices.Chunk(f.leavingChanges, maxAnnouncedMembers) {
		f.announceLeaving(now, hosts)
	}
	f.leavingChanges = nil
}

func (f *Fleet) recordListedLeaving(now time.Time, host string) {
	if host == f.opts.Host {
		f.selfListedLeavingAt = now
	} else if m := f.members.get(host); m != nil {
		m.listedLeavingAt = now
	}
	f.updateLeaving(now, host)
}

// leavingHosts returns the leaving hosts in random order.
func (f *Fleet) leavingHosts() []string { return slices.Collect(maps.Keys(*f.leaving.Load())) }

// applyHostList applies a host list that was just read.
func (f *Fleet) applyHostList(now time.Time, list platform.HostList) {
	f.hostList = list
	live := make(map[string]bool, len(list.Live()))
	for _, host := range list.Live() {
		live[host] = true
	}
	for _, m := range f.members.byHost {
		// An empty list is a fault of the platform and carries no information.
		m.unlisted = len(live) > 0 && !live[m.host]
	}
	f.tickLeaving(now)
}
