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
	f.leavingHeard(f.timers.Now(), f.opts.Host)
}

func (f *Fleet) isLeaving(now time.Time, host string) bool {
	if host == f.opts.Host {
		return f.draining || heardWithin(now, f.selfListed, listedLeavingAge)
	}
	m := f.members.get(host)
	return m != nil && m.leaves(now)
}

// leavingHeard publishes what was just heard of the host and passes on a change.
func (f *Fleet) leavingHeard(now time.Time, host string) {
	if f.leavingChanged(now, host) {
		f.leavingNews = append(f.leavingNews, host)
	}
}

// leavingChanged publishes the host's state and reports whether it changed.
func (f *Fleet) leavingChanged(now time.Time, host string) bool {
	set := *f.leaving.Load()
	leaves := f.isLeaving(now, host)
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
	f.readers.stale = true
	f.log.Info("leaving changed", "member", host, "leaving", leaves)
	return true
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
		// The word of a reader ends by age, on every daemon by itself.
		f.leavingChanged(now, host)
	}
	f.flushNews(now)
}

// flushNews passes on the news, at most once each tick so that many hosts that leave together share the messages.
func (f *Fleet) flushNews(now time.Time) {
	if len(f.leavingNews) == 0 || now.Sub(f.newsAt) < tickPeriod {
		return
	}
	f.newsAt = now
	for hosts := range slices.Chunk(f.leavingNews, maxNews) {
		f.announceNews(now, hosts)
	}
	f.leavingNews = nil
}

func (f *Fleet) listLeaving(now time.Time, host string) {
	if host == f.opts.Host {
		f.selfListed = now
	} else if m := f.members.get(host); m != nil {
		m.listedLeaving = now
	}
	f.leavingHeard(now, host)
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
