package idempotency

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cicadacross"
)

// helper returns the address of the next daemon to ask for its history. It returns false when no history is needed or
// no other daemon is known.
func (h *history) helper() (string, bool) {
	if h.gap == nil {
		return "", false
	}
	peers := make(map[string]string)
	for _, m := range h.members() {
		peers[m.Host] = m.Peer
	}
	for _, t := range h.current.Targets() {
		peers[t.Host()] = t.Peer()
	}
	delete(peers, h.host)
	if len(peers) == 0 {
		return "", false
	}
	list := slices.SortedFunc(maps.Keys(peers), func(a, b string) int {
		return cmp.Or(cmp.Compare(score(b, h.host), score(a, h.host)), cmp.Compare(a, b))
	})
	host := list[h.gap.asked%len(list)]
	h.gap.asked++
	return peers[host], true
}

// tell returns what another daemon may learn.
func (h *history) tell(now time.Time) History {
	told := History{Complete: h.current != nil && h.gap == nil, Version: h.version()}
	if !told.Complete {
		return told
	}
	for name, epochs := range h.epochs {
		for _, e := range epochs {
			told.Epochs = append(told.Epochs, e.tell(name, now))
		}
	}
	return told
}

func (e *epoch) tell(service string, now time.Time) Epoch {
	told := Epoch{Service: service, Until: e.until, Age: now.Sub(e.ended)}
	for _, t := range e.service.Targets() {
		target := EpochTarget{Host: t.Host(), Peer: t.Peer()}
		if followed, ok := e.followed[t.Host()]; ok {
			target.Followed = true
			target.FollowedAge = now.Sub(followed)
		}
		told.Targets = append(told.Targets, target)
	}
	return told
}

// learn closes the gap with the history of another daemon. A history that ends before the gap does isn't enough.
func (h *history) learn(told History, now time.Time) {
	if h.gap == nil || !told.Complete || told.Version.Compare(h.gap.until.Version()) < 0 {
		return
	}
	for _, t := range told.Epochs {
		e := learned(t, now)
		if !h.knows(t.Service, e) {
			h.epochs[t.Service] = append(h.epochs[t.Service], e)
		}
	}
	h.gap = nil
	h.observe(now)
}

// knows reports whether the history has the epoch. Two epochs may end with one version: this daemon may have skipped
// the versions between its own epoch and the told one.
func (h *history) knows(service string, told *epoch) bool {
	return slices.ContainsFunc(h.epochs[service], func(e *epoch) bool {
		return e.until == told.until && sameHosts(e.service, told.service)
	})
}

// learned rebuilds an epoch. The ages were taken before the message travelled, so that the times come out late, which
// only makes the daemon ask for longer.
func learned(told Epoch, now time.Time) *epoch {
	e := &epoch{until: told.Until, ended: now.Add(-told.Age), followed: make(map[string]time.Time)}
	var opts cicadacross.ConfigurationOptions
	for _, t := range told.Targets {
		opts.Targets = append(opts.Targets, cicadacross.NewTarget(cicadacross.TargetOptions{
			Name: t.Host, Service: told.Service, Host: t.Host, Peer: t.Peer,
		}))
		if t.Followed {
			e.followed[t.Host] = now.Add(-t.FollowedAge)
		}
	}
	e.service, _ = cicadacross.NewConfiguration(opts).Service(told.Service)
	return e
}
