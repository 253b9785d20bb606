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
	// followUpDelay is the time between the apply of a version and the second round of announcements. It is longer than
	// the first round takes.
	followUpDelay = 300 * time.Millisecond
	// maxFollowUpAnnounces bounds the announcements of the second round.
	maxFollowUpAnnounces = 8
	// neighbourLifetime is how long a peer counts as a neighbour after it began an exchange.
	neighbourLifetime = 10 * time.Second
)

// announceTask announces the applied version, leaving hosts or suspects to one peer.
type announceTask struct {
	fleet   *Fleet
	host    string
	address string
	request *peerpb.AnnounceRequest
}

// announceDone is the reply of the peer, with its applied version.
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
		// A later exchange detects whether the peer is alive and sends what it missed.
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
	f.checkConflict(now, d.version, d.host)
	if m := f.members.get(d.host); m != nil {
		m.raiseVersion(d.version)
	}
	if d.version.Compare(f.version()) > 0 {
		f.addPeerProvider(now, d.version, d.host, d.address)
	}
}

// announceVersion announces the applied version to some peers, except the one that it came from.
func (f *Fleet) announceVersion(from string) {
	for _, m := range f.announcePeers(from) {
		f.announce(m, nil)
	}
}

// tickFollowUp announces the applied version once more, to the neighbours that haven't reported it. Without this, one
// daemon in a hundred receives no announcement and waits for its next exchange.
func (f *Fleet) tickFollowUp(now time.Time) {
	if f.followUpAt.IsZero() || now.Before(f.followUpAt) {
		return
	}
	f.followUpAt = time.Time{}
	remaining := maxFollowUpAnnounces
	for _, m := range f.members.byHost {
		neighbour := slices.Contains(f.partners.hosts, m.host) || isWithin(now, m.exchangeReceivedAt, neighbourLifetime)
		if remaining > 0 && neighbour && m.peer != "" && m.version.Compare(f.version()) < 0 && !m.isSuspect(now) {
			f.announce(m, nil)
			remaining--
		}
	}
}

// announceLeaving announces to some peers that hosts are leaving or have returned. A reader also announces it to these
// hosts themselves. There are at most maxAnnouncedMembers hosts.
func (f *Fleet) announceLeaving(now time.Time, hosts []string) {
	var news []*peerpb.Member
	for _, host := range hosts {
		switch m := f.members.get(host); {
		case host == f.opts.Host:
			record := f.selfRecord(false)
			record.Version, record.ListedLeavingAgeMs = nil, encodeOptionalAge(now, f.selfListedLeavingAt)
			news = append(news, record)
		case m != nil:
			record := f.memberRecord(now, m, false)
			record.Version = nil
			news = append(news, record)
		}
	}
	announced := make(map[string]bool)
	for _, m := range f.announcePeers("") {
		announced[m.host] = true
		f.announce(m, news)
	}
	for _, host := range hosts {
		if m := f.members.get(host); m != nil && m.peer != "" && !announced[host] && f.readers.reading {
			f.announce(m, news)
		}
	}
}

func (f *Fleet) announce(m *member, news []*peerpb.Member) {
	f.startAnnounce(m, &peerpb.AnnounceRequest{
		Version: encodeVersion(f.version()), Host: f.opts.Host, Peer: f.opts.Peer, News: news,
	})
}

func (f *Fleet) startAnnounce(m *member, request *peerpb.AnnounceRequest) {
	f.meter.announces.Inc(1)
	f.startTask(&announceTask{fleet: f, host: m.host, address: m.peer, request: request})
}

// suspectAnnouncePeriod is the shortest time between two announcements of suspects to all members. An upstream that
// crashes repeatedly must not cost each daemon more than one small message in this time.
const suspectAnnouncePeriod = 500 * time.Millisecond

// AnnounceSuspects announces the suspects of the quarantine to all members, soon after a crash. Spreading them by
// exchanges would take several rounds, during which the request could be sent to further upstreams.
func (f *Fleet) AnnounceSuspects() { f.post(suspectsChanged{}) }

// suspectsChanged is the message of AnnounceSuspects.
type suspectsChanged struct{}

func (suspectsChanged) handle(f *Fleet) {
	f.suspectsPending = true
	f.tickSuspects(f.timers.Now())
}

// tickSuspects sends the announcement that AnnounceSuspects requested, at most once per suspectAnnouncePeriod.
func (f *Fleet) tickSuspects(now time.Time) {
	if !f.suspectsPending || now.Sub(f.suspectsAnnouncedAt) < suspectAnnouncePeriod {
		return
	}
	f.suspectsPending, f.suspectsAnnouncedAt = false, now
	suspects := peer.EncodeSuspects(f.opts.Quarantine)
	for _, m := range f.members.all() {
		if m.peer == "" {
			continue
		}
		f.startAnnounce(m, &peerpb.AnnounceRequest{
			Version: encodeVersion(f.version()), Host: f.opts.Host, Peer: f.opts.Peer, Suspects: suspects,
		})
	}
}
