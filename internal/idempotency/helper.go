package idempotency

import (
	"time"

	"cicadacross"
)

// helper returns the address of the next daemon to ask for its history: first the targets of the same service, which
// are the ones that need it most, then all others. It returns false when no history is needed.
func (h *history) helper() (string, bool) {
	if h.gap == nil {
		return "", false
	}
	self, _ := h.current.TargetOn(h.host)
	service, _ := h.current.Service(self.Service())
	list := others(service, h.host, h.host)
	for _, t := range h.current.Targets() {
		if t.Service() != self.Service() && t.Host() != h.host {
			list = append(list, t)
		}
	}
	if len(list) == 0 {
		return "", false
	}
	t := list[h.gap.asked%len(list)]
	h.gap.asked++
	return t.Peer(), true
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
	for _, e := range told.Epochs {
		if !h.knows(e) {
			h.epochs[e.Service] = append(h.epochs[e.Service], learned(e, now))
		}
	}
	h.gap = nil
	h.observe(now)
}

func (h *history) knows(told Epoch) bool {
	for _, e := range h.epochs[told.Service] {
		if e.until == told.Until {
			return true
		}
	}
	return false
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
