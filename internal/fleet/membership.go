package fleet

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"cicadacross"
)

const (
	// maxUnregistered bounds the members that are known only by their own word, for example hosts that a newer register
	// names. Without a register the bound is maxMembers.
	maxUnregistered = 64
	maxMembers      = 4096
	// forgetAfter drops members that are in no register and aren't heard.
	forgetAfter = 10 * time.Minute
	// suspectAfter failed exchanges in a row make a member suspect.
	suspectAfter = 3
	// listedLeavingAge is how long the word of a reader about a leaving host holds without being repeated.
	listedLeavingAge = time.Minute
	// unlistedAge makes a member that the platform doesn't list suspect when it hasn't been heard for this time.
	unlistedAge = 30 * time.Second
)

// member is the run goroutine's record of one host.
type member struct {
	host          string
	zone          string
	peer          string
	operator      string
	incarnation   uint64
	version       cicadacross.Version
	heard         time.Time // zero when never
	failures      int
	registered    bool
	draining      bool      // its own word
	listedLeaving time.Time // when a reader last saw it among the leaving hosts; zero when never
	unlisted      bool      // the platform's list doesn't name it
	reader        bool
	asked         time.Time // when it last began an exchange with this daemon; zero when never
}

// sawVersion takes the word of the member itself, which may be older than what is known.
func (m *member) sawVersion(version cicadacross.Version) {
	if version.Compare(m.version) > 0 {
		m.version = version
	}
}

func (m *member) suspect(now time.Time) bool {
	if m.failures >= suspectAfter {
		return true
	}
	return m.unlisted && now.Sub(m.heard) > unlistedAge
}

// likelier reports whether the member is likelier to answer than the other: it failed less, or was heard later.
func (m *member) likelier(other *member) bool {
	if m.failures != other.failures {
		return m.failures < other.failures
	}
	return m.heard.After(other.heard)
}

func (m *member) leaves(now time.Time) bool {
	return m.draining || !m.listedLeaving.IsZero() && now.Sub(m.listedLeaving) < listedLeavingAge
}

// memberTable holds all known hosts but this one's peers' opinion of it. It belongs to the run goroutine.
type memberTable struct {
	self         string
	byHost       map[string]*member
	hosts        []string // sorted
	unregistered int
}

func newMemberTable(self string) *memberTable {
	return &memberTable{self: self, byHost: make(map[string]*member)}
}

func (t *memberTable) get(host string) *member { return t.byHost[host] }

func (t *memberTable) size() int { return len(t.hosts) }

// add returns the record of the host, new if need be, or nil when the table is full.
func (t *memberTable) add(host string, hasRegister bool) *member {
	if m := t.byHost[host]; m != nil {
		return m
	}
	bound := maxMembers
	if hasRegister {
		bound = maxUnregistered
	}
	if t.unregistered >= bound {
		return nil
	}
	t.unregistered++
	return t.insert(host)
}

func (t *memberTable) insert(host string) *member {
	m := &member{host: host}
	t.byHost[host] = m
	place, _ := slices.BinarySearch(t.hosts, host)
	t.hosts = slices.Insert(t.hosts, place, host)
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
	place, found := slices.BinarySearch(t.hosts, host)
	if found {
		t.hosts = slices.Delete(t.hosts, place, place+1)
	}
}

// reconcile takes the hosts and addresses of a register. Hosts that the register no longer names are dropped.
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

// forget drops members that are known only by word and haven't been heard for a while.
func (t *memberTable) forget(now time.Time) {
	for host, m := range t.byHost {
		if !m.registered && now.Sub(m.heard) > forgetAfter {
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

// random returns up to n different members.
func (t *memberTable) random(n int) []*member {
	if n >= len(t.hosts) {
		return t.all()
	}
	places := make(map[int]bool, n)
	for len(places) < n {
		places[rand.IntN(len(t.hosts))] = true
	}
	list := make([]*member, 0, n)
	for place := range maps.Keys(places) {
		list = append(list, t.byHost[t.hosts[place]])
	}
	return list
}
