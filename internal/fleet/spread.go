package fleet

import (
	"context"
	"slices"
	"time"

	"cicadacross"
	"cicadacross/internal/peer"
	"cicadacross/internal/peerpb"
)

const (
	// followUpDelay is longer than the first round of announcements takes.
	followUpDelay = 300 * time.Millisecond
	// followUpBound bounds the second round.
	followUpBound = 8
	// neighbourAge is how long a peer that began an exchange counts as a neighbour.
	neighbourAge = 10 * time.Second
)

// announceTask tells one peer of the applied version or of leaving hosts.
type announceTask struct {
	fleet   *Fleet
	host    string
	address string
	request *peerpb.AnnounceRequest
}

// announceDone is the answer of the peer.
type announceDone struct {
	host    string
	address string
	version cicadacross.Version
}

func (t *announceTask) perform(ctx context.Context) message {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	conn, err := t.fleet.pool.Conn(t.address)
	if err != nil {
		return nil
	}
	reply, err := peerpb.NewDistributionClient(conn).Announce(ctx, t.request)
	if err != nil {
		// The exchange finds out whether the peer is alive and repairs what it missed.
		t.fleet.meter.announceFailures.Inc(1)
		return nil
	}
	version, err := decodeVersion(reply.GetVersion())
	if err != nil {
		return nil
	}
	return announceDone{host: t.host, address: t.address, version: version}
}

func (d announceDone) handle(f *Fleet) {
	now := f.timers.Now()
	f.sawVersion(now, d.version, d.host)
	if m := f.members.get(d.host); m != nil {
		m.sawVersion(d.version)
	}
	if d.version.Compare(f.version()) > 0 {
		f.want(now, d.version, d.host, d.address)
	}
}

// announceVersion tells some peers of the applied version, but not the one that it came from.
func (f *Fleet) announceVersion(from string) {
	for _, m := range f.announcees(from) {
		f.announce(m, nil)
	}
}

// tickSpread announces the applied version once more, to the neighbours that haven't shown that they have it. Without
// it one daemon in a hundred is told by nobody and waits for its next exchange.
func (f *Fleet) tickSpread(now time.Time) {
	if f.followUpAt.IsZero() || now.Before(f.followUpAt) {
		return
	}
	f.followUpAt = time.Time{}
	left := followUpBound
	for _, m := range f.members.byHost {
		neighbour := slices.Contains(f.partners.hosts, m.host) || heardWithin(now, m.asked, neighbourAge)
		if left > 0 && neighbour && m.peer != "" && m.version.Compare(f.version()) < 0 && !m.suspect(now) {
			f.announce(m, nil)
			left--
		}
	}
}

// announceNews tells some peers that hosts leave or are back, and the hosts themselves. There are at most maxNews
// hosts.
func (f *Fleet) announceNews(now time.Time, hosts []string) {
	var news []*peerpb.Member
	for _, host := range hosts {
		switch m := f.members.get(host); {
		case host == f.opts.Host:
			p := f.selfRecord(false)
			p.Version, p.ListedLeavingAgeMs = nil, encodeOptionalAge(now, f.selfListed)
			news = append(news, p)
		case m != nil:
			p := f.memberRecord(now, m, false)
			p.Version = nil
			news = append(news, p)
		}
	}
	told := make(map[string]bool)
	for _, m := range f.announcees("") {
		told[m.host] = true
		f.announce(m, news)
	}
	for _, host := range hosts {
		if m := f.members.get(host); m != nil && m.peer != "" && !told[host] && f.readers.active {
			f.announce(m, news)
		}
	}
}

func (f *Fleet) announce(m *member, news []*peerpb.Member) {
	f.sendAnnounce(m, &peerpb.AnnounceRequest{
		Version: encodeVersion(f.version()), Host: f.opts.Host, Peer: f.opts.Peer, News: news,
	})
}

func (f *Fleet) sendAnnounce(m *member, request *peerpb.AnnounceRequest) {
	f.meter.announces.Inc(1)
	f.begin(&announceTask{fleet: f, host: m.host, address: m.peer, request: request})
}

// suspectSpacing is the shortest time between two announcements of suspects to all members. An upstream that crashes
// again and again must not cost each daemon more than one small message in this time.
const suspectSpacing = 500 * time.Millisecond

// AnnounceSuspects tells all members of the quarantine's suspects, soon after a crash. The exchange would take several
// rounds, in which the request could be sent to further upstreams.
func (f *Fleet) AnnounceSuspects() { f.post(suspectNews{}) }

type suspectNews struct{}

func (suspectNews) handle(f *Fleet) {
	f.suspectsWaiting = true
	f.tickSuspects(f.timers.Now())
}

// tickSuspects sends what AnnounceSuspects asked for when the spacing allows it.
func (f *Fleet) tickSuspects(now time.Time) {
	if !f.suspectsWaiting || now.Sub(f.suspectsAt) < suspectSpacing {
		return
	}
	f.suspectsWaiting, f.suspectsAt = false, now
	suspects := peer.EncodeSuspects(f.opts.Quarantine)
	for _, m := range f.members.all() {
		if m.peer == "" {
			continue
		}
		f.sendAnnounce(m, &peerpb.AnnounceRequest{
			Version: encodeVersion(f.version()), Host: f.opts.Host, Peer: f.opts.Peer, Suspects: suspects,
		})
	}
}
