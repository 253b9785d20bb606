package fleet

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// maxPartners bounds the open connections of a daemon. Each daemon has as many partners of its own choice and is on
	// average the partner of as many others.
	maxPartners = 6
	// foreignPartners are the partners in other availability zones.
	foreignPartners = 2
	// partnerPeriod replaces one partner, so that in time all pairs of daemons compare.
	partnerPeriod = 20 * time.Second
	// suspectWeight is the share of the picks of a suspect that count.
	suspectWeight = 0.125
	// pickTries bounds the search for one partner.
	pickTries = 64
)

// partnerSet holds the peers with which this daemon exchanges at present. A slowly changing random set spreads news as
// well as a new random peer each time, without a new connection each time.
type partnerSet struct {
	hosts     []string
	replaceAt time.Time
}

// tickPartners fills the set, replaces suspects at once and one partner each period.
func (f *Fleet) tickPartners(now time.Time) {
	p := &f.partners
	p.hosts = slices.DeleteFunc(p.hosts, func(host string) bool {
		m := f.members.get(host)
		return m == nil || m.suspect(now)
	})
	if now.After(p.replaceAt) {
		if len(p.hosts) >= maxPartners && len(p.hosts) < f.members.size() {
			p.hosts = slices.Delete(p.hosts, 0, 1)
		}
		p.replaceAt = now.Add(jittered(partnerPeriod))
	}
	for len(p.hosts) < min(maxPartners, f.members.size()) {
		foreign := 0
		for _, host := range p.hosts {
			if f.members.get(host).zone != f.opts.AvailabilityZone {
				foreign++
			}
		}
		wantForeign := foreign < foreignPartners
		picked := f.pickMember(now, func(m *member) bool {
			return (m.zone != f.opts.AvailabilityZone) == wantForeign
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

// pickMember returns a random member that is no partner yet and that accept takes, or nil. Suspects come up less often.
func (f *Fleet) pickMember(now time.Time, accept func(*member) bool) *member {
	hosts := f.members.hosts
	for range min(pickTries, 4*len(hosts)) {
		m := f.members.get(hosts[rand.IntN(len(hosts))])
		if m.peer == "" || slices.Contains(f.partners.hosts, m.host) || !accept(m) {
			continue
		}
		if !m.suspect(now) || rand.Float64() < suspectWeight {
			return m
		}
	}
	return nil
}

// announcees returns the peers to tell of something, at least one of them in another availability zone if there is one.
func (f *Fleet) announcees(except string) []*member {
	var near, far []*member
	for _, place := range rand.Perm(len(f.partners.hosts)) {
		m := f.members.get(f.partners.hosts[place])
		switch {
		case m == nil || m.host == except:
		case m.zone == f.opts.AvailabilityZone:
			near = append(near, m)
		default:
			far = append(far, m)
		}
	}
	if len(far) == 0 {
		return near[:min(announceFanout, len(near))]
	}
	list := append([]*member{far[0]}, near...)
	list = append(list, far[1:]...)
	return list[:min(announceFanout, len(list))]
}
