package idempotency

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cicadacross"
)

// nextHistoryPeer returns the peer address of the next daemon to ask for its history. It returns false when no history
// is needed or no other daemon is known. Each call selects the next daemon of an order that depends on this host, so
// that daemons do not all ask the same one first.
func (h *history) nextHistoryPeer() (string, bool) {
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
	hosts := slices.SortedFunc(maps.Keys(peers), func(a, b string) int {
		return cmp.Or(cmp.Compare(rendezvousScore(b, h.host), rendezvousScore(a, h.host)), cmp.Compare(a, b))
	})
	host := hosts[h.gap.peersAsked%len(hosts)]
	h.gap.peersAsked++
	return peers[host], true
}

// snapshot returns the history as other daemons may use it. It has no epochs unless it is complete.
func (h *history) snapshot(now time.Time) History {
	result := History{Complete: h.current != nil && h.gap == nil, Version: h.version()}
	if !result.Complete {
		return result
	}
	for name, epochs := range h.epochs {
		for _, e := range epochs {
			result.Epochs = append(result.Epochs, e.snapshot(name, now))
		}
	}
	return result
}

func (e *epoch) snapshot(service string, now time.Time) Epoch {
	result := Epoch{Service: service, Until: e.until, EndedAge: now.Sub(e.endedAt)}
	for _, t := range e.service.Targets() {
		target := EpochTarget{Host: t.Host(), Peer: t.Peer()}
		if caughtUpAt, ok := e.caughtUpAt[t.Host()]; ok {
			target.CaughtUp = true
			target.CaughtUpAge = now.Sub(caughtUpAt)
		}
		result.Targets = append(result.Targets, target)
	}
	return result
}

// merge adds the history of another daemon and closes the gap. It ignores a history that is incomplete or ends before
// the gap does.
func (h *history) merge(remote History, now time.Time) {
	if h.gap == nil || !remote.Complete || remote.Version.Compare(h.gap.until.Version()) < 0 {
		return
	}
	for _, t := range remote.Epochs {
		e := epochFromRemote(t, now)
		if !h.hasEpoch(t.Service, e) {
			h.epochs[t.Service] = append(h.epochs[t.Service], e)
		}
	}
	h.gap = nil
	h.update(now)
}

// hasEpoch reports whether the history contains the epoch. Two different epochs may end with the same version: this
// daemon may have skipped the versions between its own epoch and the one of the other daemon.
func (h *history) hasEpoch(service string, other *epoch) bool {
	return slices.ContainsFunc(h.epochs[service], func(e *epoch) bool {
		return e.until == other.until && sameHosts(e.service, other.service)
	})
}

// epochFromRemote converts an epoch from another daemon. The ages were taken before the message was sent, so the
// resulting times are too late by the transmission time. The only effect is that earlier owners are asked for longer.
func epochFromRemote(remote Epoch, now time.Time) *epoch {
	e := &epoch{until: remote.Until, endedAt: now.Add(-remote.EndedAge), caughtUpAt: make(map[string]time.Time)}
	var opts cicadacross.ConfigurationOptions
	for _, t := range remote.Targets {
		// The message has no target names; keys are assigned by host only.
		opts.Targets = append(opts.Targets, cicadacross.NewTarget(cicadacross.TargetOptions{
			Name: t.Host, Service: remote.Service, Host: t.Host, Peer: t.Peer,
		}))
		if t.CaughtUp {
			e.caughtUpAt[t.Host] = now.Add(-t.CaughtUpAge)
		}
	}
	e.service, _ = cicadacross.NewConfiguration(opts).Service(remote.Service)
	return e
}
