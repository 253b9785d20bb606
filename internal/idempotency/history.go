package idempotency

import (
	"slices"
	"time"

	"cicadacross"
)

// history knows which hosts owned keys by earlier configurations. The store's lock guards it.
type history struct {
	host    string
	window  time.Duration
	seen    func(host string) (cicadacross.Version, bool)
	members func() []Member

	current *cicadacross.Configuration
	// epochs lists the earlier targets of each service, the oldest first.
	epochs map[string][]*epoch
	// gap is set while versions that this daemon never applied may have had other owners.
	gap *gap
}

// epoch is a time in which the targets of a service stayed the same by this daemon's configuration.
type epoch struct {
	service *cicadacross.Service
	// until is the version that ended the epoch, applied here at ended.
	until cicadacross.Version
	ended time.Time
	// followed holds when each host was first noticed with the version until or a later one.
	followed map[string]time.Time
}

// gap stands for versions up to until that this daemon didn't apply and whose owners it doesn't know.
type gap struct {
	until  *cicadacross.Configuration
	opened time.Time
	// followed holds when each host was first noticed with the version until or a later one.
	followed map[string]time.Time
	// asked counts the daemons that were asked for their history, to ask another one each time.
	asked int
}

func newHistory(opts Options) history {
	return history{
		host: opts.Host, window: opts.Window, seen: opts.Seen, members: opts.Members, epochs: make(map[string][]*epoch),
	}
}

func (h *history) apply(old, applied *cicadacross.Configuration, skipped bool, now time.Time) {
	if h.current != nil && applied.Version().Compare(h.current.Version()) <= 0 {
		return
	}
	// The store's own view of the old configuration is the one by which it ran keys.
	if h.current == nil {
		h.current = old
	}
	if h.current == nil {
		h.current = applied
		// Version 1 is the first that can exist, so that nothing came before it.
		if applied.Version().Number() > 1 {
			h.gap = &gap{until: applied, opened: now, followed: make(map[string]time.Time)}
		}
		h.observe(now)
		return
	}
	for _, service := range h.current.Services() {
		next, _ := applied.Service(service.Name())
		if len(service.Targets()) == 0 || sameHosts(service, next) {
			continue
		}
		e := &epoch{service: service, until: applied.Version(), ended: now, followed: make(map[string]time.Time)}
		h.epochs[service.Name()] = append(h.epochs[service.Name()], e)
	}
	if skipped {
		h.gap = &gap{until: applied, opened: now, followed: make(map[string]time.Time)}
	}
	h.current = applied
	h.observe(now)
}

func sameHosts(a, b *cicadacross.Service) bool {
	if b == nil || len(a.Targets()) != len(b.Targets()) {
		return false
	}
	hosts := make(map[string]bool, len(a.Targets()))
	for _, t := range a.Targets() {
		hosts[t.Host()] = true
	}
	return !slices.ContainsFunc(b.Targets(), func(t cicadacross.Target) bool { return !hosts[t.Host()] })
}

// observe notes which hosts have followed the changes, and drops what no longer matters.
func (h *history) observe(now time.Time) {
	for name, epochs := range h.epochs {
		epochs = slices.DeleteFunc(epochs, func(e *epoch) bool { return h.over(e, now) })
		if len(epochs) == 0 {
			delete(h.epochs, name)
			continue
		}
		h.epochs[name] = epochs
		for _, e := range epochs {
			for _, t := range e.service.Targets() {
				h.note(e.followed, t.Host(), e.until, now)
			}
		}
	}
	if h.gap == nil {
		return
	}
	if now.Sub(h.gap.opened) >= OwnerObligation {
		h.gap = nil
		return
	}
	for _, t := range h.gap.until.Targets() {
		h.note(h.gap.followed, t.Host(), h.gap.until.Version(), now)
	}
	for _, m := range h.members() {
		h.note(h.gap.followed, m.Host, h.gap.until.Version(), now)
	}
}

func (h *history) note(followed map[string]time.Time, host string, until cicadacross.Version, now time.Time) {
	if _, ok := followed[host]; ok {
		return
	}
	version, ok := h.version(), true
	if host != h.host {
		version, ok = h.seen(host)
	}
	if ok && version.Compare(until) >= 0 {
		followed[host] = now
	}
}

// over reports whether no host of the epoch must be asked any more. This host counts too: other daemons may learn the
// epoch from this one and must then ask it.
func (h *history) over(e *epoch, now time.Time) bool {
	if now.Sub(e.ended) >= OwnerObligation {
		return true
	}
	return !slices.ContainsFunc(e.service.Targets(), func(t cicadacross.Target) bool {
		return h.obliged(e, t.Host(), age{}, now)
	})
}

// obliged reports whether the host may have run the key in the epoch so lately that it must be asked.
func (h *history) obliged(e *epoch, host string, a age, now time.Time) bool {
	if now.Sub(e.ended) >= OwnerObligation {
		return false
	}
	followed, ok := e.followed[host]
	return !ok || now.Sub(followed) < h.window && !a.after(followed)
}

// earlier returns the owners of the key by earlier configurations that must be asked, as host and peer address. It
// returns nil when there are none, as most of the time.
func (h *history) earlier(id recordID, a age, now time.Time) map[string]string {
	var list map[string]string
	for _, e := range h.epochs[id.service] {
		t, ok := Owner(e.service, id.key)
		if ok && t.Host() != h.host && h.obliged(e, t.Host(), a, now) {
			if list == nil {
				list = make(map[string]string)
			}
			list[t.Host()] = h.address(t.Host())
		}
	}
	return list
}

// address returns the present peer address of the host, or else its last known one.
func (h *history) address(host string) string {
	if t, ok := h.current.TargetOn(host); ok {
		return t.Peer()
	}
	address := ""
	for _, epochs := range h.epochs {
		for _, e := range epochs {
			for _, t := range e.service.Targets() {
				if t.Host() == host {
					address = t.Peer()
				}
			}
		}
	}
	return address
}

// complete reports whether no unknown version can have had an owner of the key that still runs it.
func (h *history) complete(id recordID, a age, now time.Time) bool {
	if h.gap == nil || now.Sub(h.gap.opened) >= OwnerObligation {
		return true
	}
	last := h.gap.opened
	for _, host := range h.possibleOwners(id.service) {
		followed, ok := h.gap.followed[host]
		if !ok {
			return false
		}
		if followed.After(last) {
			last = followed
		}
	}
	return now.Sub(last) >= h.window || a.after(last)
}

// possibleOwners returns the hosts that may have owned keys of the service by an unknown version: its targets, and the
// hosts that have no target any more.
func (h *history) possibleOwners(name string) []string {
	var list []string
	if service, ok := h.gap.until.Service(name); ok {
		for _, t := range service.Targets() {
			list = append(list, t.Host())
		}
	}
	for _, m := range h.members() {
		if _, ok := h.gap.until.TargetOn(m.Host); !ok {
			list = append(list, m.Host)
		}
	}
	return slices.DeleteFunc(list, func(host string) bool { return host == h.host })
}

// owner returns the owner of the key by the present configuration.
func (h *history) owner(id recordID) (cicadacross.Target, bool) {
	if h.current == nil {
		return cicadacross.Target{}, false
	}
	service, _ := h.current.Service(id.service)
	return Owner(service, id.key)
}

// version returns the version of the present configuration.
func (h *history) version() cicadacross.Version {
	if h.current == nil {
		return cicadacross.Version{}
	}
	return h.current.Version()
}
