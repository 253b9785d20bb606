package fleet

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"cicadacross"
)

const (
	// maxUnregistered bounds the members that are in no applied register and known only from what they report, for example
	// hosts that a newer register lists. Without an applied register the bound is maxMembers.
	maxUnregistered = 64
	maxMembers      = 4096
	// unregisteredLifetime is the time without contact after which a member that isn't in the register is removed.
	unregisteredLifetime = 10 * time.Minute
	// suspectFailureCount is the number of consecutive failed exchanges that makes a member a suspect.
	suspectFailureCount = 3
	// listedLeavingLifetime is how long a host counts as leaving after a reader last saw it listed as leaving.
	listedLeavingLifetime = time.Minute
	// unlistedSuspectAge is the time without contact after which a member that the host list lacks is a suspect.
	unlistedSuspectAge = 30 * time.Second
)

// member is the control goroutine's record of one host.
type member struct {
	host               string
	zone               string
	peer               string
	operator           string
	incarnation        uint64
	version            cicadacross.Version
	lastHeard          time.Time // zero if never
	exchangeFailures   int       // since the last direct contact
	registered         bool      // listed in the applied register
	draining           bool      // as the member itself reported
	listedLeavingAt    time.Time // when a reader last saw it listed as leaving; zero if never
	unlisted           bool      // missing from the host list of the platform
	reader             bool
	exchangeReceivedAt time.Time // when it last began an exchange with this daemon; zero if never
}

// raiseVersion records a version that the member reported. The report may be older than the recorded version, so a
// lower version is ignored.
func (m *member) raiseVersion(version cicadacross.Version) {
	if version.Compare(m.version) > 0 {
		m.version = version
	}
}

func (m *member) isSuspect(now time.Time) bool {
	if m.exchangeFailures >= suspectFailureCount {
		return true
	}
	return m.unlisted && now.Sub(m.lastHeard) > unlistedSuspectAge
}

// isMoreReachable reports whether the member is more likely to answer than the other: it had fewer failed exchanges, or
// as many and a more recent contact.
func (m *member) isMoreReachable(other *member) bool {
	if m.exchangeFailures != other.exchangeFailures {
		return m.exchangeFailures < other.exchangeFailures
	}
	return m.lastHeard.After(other.lastHeard)
}

func (m *member) isLeaving(now time.Time) bool {
	return m.draining || !m.listedLeavingAt.IsZero() && now.Sub(m.listedLeavingAt) < listedLeavingLifetime
}

// memberTable holds all known hosts except this one. It is used only by the control goroutine.
type memberTable struct {
	self         string // the host of this daemon
	byHost       map[string]*member
	hosts        []string // sorted
	unregistered int      // number of members that aren't registered
}

func newMemberTable(self string) *memberTable {
	return &memberTable{self: self, byHost: make(map[string]*member)}
}

func (t *memberTable) get(host string) *member { return t.byHost[host] }

func (t *memberTable) size() int { return len(t.hosts) }

// add returns the record of the host, which it creates if needed, or nil when the table is full. hasRegister reports
// whether a register is applied; the bound on unregistered members is then lower.
func (t *memberTable) add(host string, hasRegister bool) *member {
	if m := t.byHost[host]; m != nil {
		return m
	}
	limit := maxMembers
	if hasRegister {
		limit = maxUnregistered
	}
	if t.unregistered >= limit {
		return nil
	}
	t.unregistered++
	return t.insert(host)
}

func (t *memberTable) insert(host string) *member {
	m := &member{host: host}
	t.byHost[host] = m
	index, _ := slices.BinarySearch(t.hosts, host)
	t.hosts = slices.Insert(t.hosts, index, host)
	return m
}

func (t *memberTable) remove(host string) {
	m := t.byHost[host]
	if m == nil {
		return
	}
	if !m.registered {
		t.unregistered--
	}
	delete(t.byHost, host)
	index, found := slices.BinarySearch(t.hosts, host)
	if found {
		t.hosts = slices.Delete(t.hosts, index, index+1)
	}
}

// reconcile updates the hosts and addresses from a register. Hosts that the register no longer lists are removed.
func (t *memberTable) reconcile(c *cicadacross.Configuration) {
	for _, m := range t.byHost {
		if !m.registered {
			continue
		}
		if _, ok := c.TargetOn(m.host); !ok {
			t.remove(m.host)
		}
	}
	for _, target := range c.Targets() {
		if target.Host() == t.self {
			continue
		}
		m := t.byHost[target.Host()]
		switch {
		case m == nil:
			m = t.insert(target.Host())
		case !m.registered:
			t.unregistered--
		}
		m.registered = true
		m.zone, m.peer, m.operator = target.AvailabilityZone(), target.Peer(), target.Operator()
	}
}

// removeExpired removes members that aren't in the register and had no contact for unregisteredLifetime.
func (t *memberTable) removeExpired(now time.Time) {
	for host, m := range t.byHost {
		if !m.registered && now.Sub(m.lastHeard) > unregisteredLifetime {
			t.remove(host)
		}
	}
}

// all returns the members, sorted by host.
func (t *memberTable) all() []*member {
	list := make([]*member, 0, len(t.hosts))
	for _, host := range t.hosts {
		list = append(list, t.byHost[host])
	}
	return list
}

// random returns up to n distinct members.
func (t *memberTable) random(n int) []*member {
	if n >= len(t.hosts) {
		return t.all()
	}
	indexes := make(map[int]bool, n)
	for len(indexes) < n {
		indexes[rand.IntN(len(t.hosts))] = true
	}
	list := make([]*member, 0, n)
	for index := range maps.Keys(indexes) {
		list = append(list, t.byHost[t.hosts[index]])
	}
	return list
}
