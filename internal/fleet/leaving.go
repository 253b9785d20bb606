package fleet

import (
	"maps"
	"slices"
	"time"

	"cicadacross/internal/platform"
)

// Leaving reports whether the host receives no new work: by the rules, by the platform's host list, or by its own word.
func (f *Fleet) Leaving(host string) bool {
	if c := f.current.Load(); c != nil && c.Leaving(host) {
		return true
	}
	return (*f.leaving.Load())[host]
}

// SetDraining sets whether this host takes no new work and tells other daemons.
func (f *Fleet) SetDraining(draining bool) { f.post(drainingSet{draining: draining}) }

type drainingSet struct{ draining bool }

func (m drainingSet) handle(f *Fleet) {
	if f.draining == m.draining {
		return
	}
	if !m.draining {
		// Other daemons keep the word of one incarnation for good; a new one takes it back.
		f.incarnation++
	}
	f.draining = m.draining
	f.log.Info("draining changed", "draining", m.draining)
	f.leavingChanged(f.timers.Now(), f.opts.Host)
}

func (f *Fleet) isLeaving(now time.Time, host string) bool {
	if host == f.opts.Host {
		return f.draining || heardWithin(now, f.selfListed, listedLeavingAge)
	}
	m := f.members.get(host)
	return m != nil && m.leaves(now)
}

// leavingChanged publishes a change of the host's state and passes on the word that it leaves.
func (f *Fleet) leavingChanged(now time.Time, host string) {
	set := *f.leaving.Load()
	leaves := f.isLeaving(now, host)
	if set[host] == leaves {
		return
	}
	next := maps.Clone(set)
	if leaves {
		next[host] = true
		f.leavingNews = append(f.leavingNews, host)
	} else {
		delete(next, host)
	}
	f.leaving.Store(&next)
	f.readers.stale = true
	f.log.Info("leaving changed", "member", host, "leaving", leaves)
}

// tickLeaving repeats what the host list says while this daemon reads it, ends what is no longer said, and passes on
// news.
func (f *Fleet) tickLeaving(now time.Time) {
	if f.readers.active {
		for _, host := range f.hostList.Leaving() {
			f.listLeaving(now, host)
		}
	}
	for host := range *f.leaving.Load() {
		f.leavingChanged(now, host)
	}
	f.flushNews(now)
}

func (f *Fleet) flushNews(now time.Time) {
	if len(f.leavingNews) == 0 {
		return
	}
	f.announceNews(now, f.leavingNews)
	f.leavingNews = nil
}

func (f *Fleet) listLeaving(now time.Time, host string) {
	if host == f.opts.Host {
		f.selfListed = now
	} else if m := f.members.get(host); m != nil {
		m.listedLeaving = now
	}
	f.leavingChanged(now, host)
}

// leavingSample returns the hosts that leave, in random order.
func (f *Fleet) leavingSample() []string { return slices.Collect(maps.Keys(*f.leaving.Load())) }

// takeHostList takes a newly read host list.
func (f *Fleet) takeHostList(now time.Time, list platform.HostList) {
	f.hostList = list
	live := make(map[string]bool, len(list.Live()))
	for _, host := range list.Live() {
		live[host] = true
	}
	for _, m := range f.members.byHost {
		// An empty list is a fault of the platform and says nothing.
		m.unlisted = len(live) > 0 && !live[m.host]
	}
	f.tickLeaving(now)
}
