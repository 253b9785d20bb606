package fleet

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// maxPartners is the number of partners that a daemon chooses. It bounds its open connections: on average, as many
	// other daemons choose it as a partner.
	maxPartners = 6
	// otherZonePartners is the number of partners in other availability zones.
	otherZonePartners = 2
	// partnerReplacePeriod is the time after which one partner is replaced, so that over time all pairs of daemons
	// exchange directly.
	partnerReplacePeriod = 20 * time.Second
	// suspectPickProbability is the probability with which a suspect is accepted when the random choice selects it.
	suspectPickProbability = 0.125
	// maxPickAttempts bounds the random choices made to find one partner.
	maxPickAttempts = 64
)

// partnerSet holds the peers with which this daemon currently exchanges. A slowly changing random set spreads changes
// as well as a new random peer for each exchange would, without a new connection for each.
type partnerSet struct {
	hosts     []string
	replaceAt time.Time
}

// tickPartners fills the set, replaces suspects at once, and replaces one partner per partnerReplacePeriod.
func (f *Fleet) tickPartners(now time.Time) {
	p := &f.partners
	p.hosts = slices.DeleteFunc(p.hosts, func(host string) bool {
		m := f.members.get(host)
		return m == nil || m.isSuspect(now)
	})
	if now.After(p.replaceAt) {
		if len(p.hosts) >= maxPartners && len(p.hosts) < f.members.size() {
			p.hosts = slices.Delete(p.hosts, 0, 1)
		}
		p.replaceAt = now.Add(withJitter(partnerReplacePeriod))
	}
	for len(p.hosts) < min(maxPartners, f.members.size()) {
		otherZone := 0
		for _, host := range p.hosts {
			if f.members.get(host).zone != f.opts.AvailabilityZone {
				otherZone++
			}
		}
		pickOtherZone := otherZone < otherZonePartners
		picked := f.pickMember(now, func(m *member) bool {
			return (m.zone != f.opts.AvailabilityZone) == pickOtherZone
		})
		if picked == nil {
			picked = f.pickMember(now, func(*member) bool { return true })
		}
		if picked == nil {
			return
		}
		p.hosts = append(p.hosts, picked.host)
	}
}

// pickMember returns a random member that isn't a partner yet and for which accept returns true, or nil if it finds
// none. Suspects are chosen with a lower probability.
func (f *Fleet) pickMember(now time.Time, accept func(*member) bool) *member {
	hosts := f.members.hosts
	for range min(maxPickAttempts, 4*len(hosts)) {
		m := f.members.get(hosts[rand.IntN(len(hosts))])
		if m.peer == "" || slices.Contains(f.partners.hosts, m.host) || !accept(m) {
			continue
		}
		if !m.isSuspect(now) || rand.Float64() < suspectPickProbability {
			return m
		}
	}
	return nil
}

// announcePeers returns up to announceFanout partners, at least one of them in another availability zone if there is
// one. excludedHost is left out.
func (f *Fleet) announcePeers(excludedHost string) []*member {
	var sameZone, otherZone []*member
	for _, i := range rand.Perm(len(f.partners.hosts)) {
		m := f.members.get(f.partners.hosts[i])
		switch {
		case m == nil || m.host == excludedHost:
		case m.zone == f.opts.AvailabilityZone:
			sameZone = append(sameZone, m)
		default:
			otherZone = append(otherZone, m)
		}
	}
	if len(otherZone) == 0 {
		return sameZone[:min(announceFanout, len(sameZone))]
	}
	list := append([]*member{otherZone[0]}, sameZone...)
	list = append(list, otherZone[1:]...)
	return list[:min(announceFanout, len(list))]
}
