package idempotency

import (
	"slices"
	"time"

	"cicadacross"
)

// history records which hosts owned keys by earlier configurations. It is guarded by Store.mu.
type history struct {
	// These fields are set from Options: host is the host of this daemon and window the repeat window.
	host            string
	window          time.Duration
	lastSeenVersion func(host string) (cicadacross.Version, bool)
	members         func() []Member

	current *cicadacross.Configuration
	// epochs lists the earlier epochs by service name, oldest first.
	epochs map[string][]*epoch
	// gap is set while configuration versions that this daemon did not apply may have had owners that it does not know.
	gap *gap
}

// epoch is a period in which the set of target hosts of a service did not change, as far as the configurations that
// were applied show.
type epoch struct {
	service *cicadacross.Service
	// until is the configuration version that ended the epoch, and endedAt the time at which it was applied.
	until   cicadacross.Version
	endedAt time.Time
	// caughtUpAt maps each host to the time at which it was first observed with the version until or a newer one.
	caughtUpAt map[string]time.Time
}

// gap represents the configuration versions up to until that this daemon did not apply and whose owners it does not
// know.
type gap struct {
	until    *cicadacross.Configuration
	openedAt time.Time
	// caughtUpAt maps each host to the time at which it was first observed with the version of until or a newer one.
	caughtUpAt map[string]time.Time
	// peersAsked counts the requests for the history of another daemon; each request goes to the next daemon.
	peersAsked int
}

func newHistory(opts Options) history {
	return history{
		host: opts.Host, window: opts.Window, lastSeenVersion: opts.LastSeenVersion, members: opts.Members,
		epochs: make(map[string][]*epoch),
	}
}

// apply replaces the current configuration by a newer one and records an epoch for each service whose hosts change. Its
// arguments are those of Store.Applied. It opens a gap when the daemon may not know all versions before the applied
// one: when skipped is set, or when its first configuration is not version 1.
func (h *history) apply(old, applied *cicadacross.Configuration, skipped bool, now time.Time) {
	if h.current != nil && applied.Version().Compare(h.current.Version()) <= 0 {
		return
	}
	// old is used only while the history has no current configuration. A current one takes precedence, since the store
	// ran keys by it.
	if h.current == nil {
		h.current = old
	}
	if h.current == nil {
		h.current = applied
		// Version numbers start at 1, so nothing can precede version 1.
		if applied.Version().Number() > 1 {
			h.gap = &gap{until: applied, openedAt: now, caughtUpAt: make(map[string]time.Time)}
		}
		h.update(now)
		return
	}
	for _, service := range h.current.Services() {
		next, _ := applied.Service(service.Name())
		if len(service.Targets()) == 0 || sameHosts(service, next) {
			continue
		}
		e := &epoch{service: service, until: applied.Version(), endedAt: now, caughtUpAt: make(map[string]time.Time)}
		h.epochs[service.Name()] = append(h.epochs[service.Name()], e)
	}
	if skipped {
		h.gap = &gap{until: applied, openedAt: now, caughtUpAt: make(map[string]time.Time)}
	}
	h.current = applied
	h.update(now)
}

// sameHosts reports whether the services have targets on the same hosts. b may be nil.
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

// update records which hosts have caught up with the configuration changes, and removes epochs and a gap that are no
// longer needed.
func (h *history) update(now time.Time) {
	for name, epochs := range h.epochs {
		epochs = slices.DeleteFunc(epochs, func(e *epoch) bool { return h.isObsolete(e, now) })
		if len(epochs) == 0 {
			delete(h.epochs, name)
			continue
		}
		h.epochs[name] = epochs
		for _, e := range epochs {
			for _, t := range e.service.Targets() {
				h.noteCaughtUp(e.caughtUpAt, t.Host(), e.until, now)
			}
		}
	}
	if h.gap == nil {
		return
	}
	if now.Sub(h.gap.openedAt) >= EarlierOwnerTTL {
		h.gap = nil
		return
	}
	for _, t := range h.gap.until.Targets() {
		h.noteCaughtUp(h.gap.caughtUpAt, t.Host(), h.gap.until.Version(), now)
	}
	for _, m := range h.members() {
		h.noteCaughtUp(h.gap.caughtUpAt, m.Host, h.gap.until.Version(), now)
	}
}

// noteCaughtUp sets caughtUpAt[host] to now when the host is first observed with minVersion or a newer version. The
// host of this daemon has the current version.
func (h *history) noteCaughtUp(
	caughtUpAt map[string]time.Time, host string, minVersion cicadacross.Version, now time.Time,
) {
	if _, ok := caughtUpAt[host]; ok {
		return
	}
	version, ok := h.version(), true
	if host != h.host {
		version, ok = h.lastSeenVersion(host)
	}
	if ok && version.Compare(minVersion) >= 0 {
		caughtUpAt[host] = now
	}
}

// isObsolete reports whether no host of the epoch has to be asked any more. This host counts too, since other daemons
// may get the epoch from this one and must then ask it.
func (h *history) isObsolete(e *epoch, now time.Time) bool {
	if now.Sub(e.endedAt) >= EarlierOwnerTTL {
		return true
	}
	return !slices.ContainsFunc(e.service.Targets(), func(t cicadacross.Target) bool {
		return h.mustAsk(e, t.Host(), keyTime{}, now)
	})
}

// mustAsk reports whether the host must be asked because it may have run the key as an owner of the epoch within the
// repeat window.
func (h *history) mustAsk(e *epoch, host string, createdAt keyTime, now time.Time) bool {
	if now.Sub(e.endedAt) >= EarlierOwnerTTL {
		return false
	}
	caughtUpAt, ok := e.caughtUpAt[host]
	return !ok || now.Sub(caughtUpAt) < h.window && !createdAt.provenAfter(caughtUpAt)
}

// earlierOwners returns the hosts that owned the key by earlier configurations and must be asked, with their peer
// addresses. It usually returns nil, when there are none.
func (h *history) earlierOwners(id recordID, createdAt keyTime, now time.Time) map[string]string {
	var peers map[string]string
	for _, e := range h.epochs[id.service] {
		t, ok := Owner(e.service, id.key)
		if ok && t.Host() != h.host && h.mustAsk(e, t.Host(), createdAt, now) {
			if peers == nil {
				peers = make(map[string]string)
			}
			peers[t.Host()] = h.peerAddress(t.Host())
		}
	}
	return peers
}

// peerAddress returns the peer address of the host in the current configuration, or else the last known one; it is
// empty when none is known.
func (h *history) peerAddress(host string) string {
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

// unknownOwnerRuledOut reports whether no version that this daemon does not know can have had an owner whose execution
// of the key still matters.
func (h *history) unknownOwnerRuledOut(id recordID, createdAt keyTime, now time.Time) bool {
	if h.gap == nil || now.Sub(h.gap.openedAt) >= EarlierOwnerTTL {
		return true
	}
	lastCaughtUp := h.gap.openedAt
	for _, host := range h.possibleOwners(id.service) {
		caughtUpAt, ok := h.gap.caughtUpAt[host]
		if !ok {
			return false
		}
		if caughtUpAt.After(lastCaughtUp) {
			lastCaughtUp = caughtUpAt
		}
	}
	return now.Sub(lastCaughtUp) >= h.window || createdAt.provenAfter(lastCaughtUp)
}

// possibleOwners returns the other hosts that may have owned keys of the service by a version that this daemon does not
// know: the hosts of its targets, and members that no longer have a target.
func (h *history) possibleOwners(serviceName string) []string {
	var owners []string
	if service, ok := h.gap.until.Service(serviceName); ok {
		for _, t := range service.Targets() {
			owners = append(owners, t.Host())
		}
	}
	for _, m := range h.members() {
		if _, ok := h.gap.until.TargetOn(m.Host); !ok {
			owners = append(owners, m.Host)
		}
	}
	return slices.DeleteFunc(owners, func(host string) bool { return host == h.host })
}

// owner returns the owner of the key by the current configuration.
func (h *history) owner(id recordID) (cicadacross.Target, bool) {
	if h.current == nil {
		return cicadacross.Target{}, false
	}
	service, _ := h.current.Service(id.service)
	return Owner(service, id.key)
}

// version returns the version of the current configuration, or the zero Version if there is none.
func (h *history) version() cicadacross.Version {
	if h.current == nil {
		return cicadacross.Version{}
	}
	return h.current.Version()
}
