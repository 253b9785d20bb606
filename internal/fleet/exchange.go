package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"cicadacross"
	"cicadacross/internal/peer"
	"cicadacross/internal/peerpb"
)

const (
	// maxGossipAge is the time since the last contact from which a member is no longer included in samples.
	maxGossipAge = 10 * time.Minute
	// successorCount is the number of hosts after the readers, in the order of the availability zone, that send every
	// other exchange to a reader. They detect the loss of the readers without waiting until gossip reaches them.
	successorCount = 4
	// readerRetryDelay is the delay before the next exchange after an exchange with a reader failed.
	readerRetryDelay = 500 * time.Millisecond
	// maxFollowUpExchanges bounds the exchanges that follow a failed one. A host that is cut off from all others makes 3
	// exchanges in a period.
	maxFollowUpExchanges = 2
)

// exchangeTask is an exchange with one peer.
type exchangeTask struct {
	fleet      *Fleet
	host       string // empty for a seed
	address    string
	request    *peerpb.ExchangeRequest
	started    time.Time
	asksReader bool // the exchange asks a reader whether it still reads the source
	// priorFailures is the number of failed exchanges that this one follows.
	priorFailures int
}

// exchangeDone is the result of an exchange that this daemon began.
type exchangeDone struct {
	task    *exchangeTask
	content exchangeContent
	err     error
}

func (t *exchangeTask) perform(ctx context.Context) message {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	conn, err := t.fleet.pool.Conn(t.address)
	if err != nil {
		return exchangeDone{task: t, err: err}
	}
	reply, err := peerpb.NewDistributionClient(conn).Exchange(ctx, t.request)
	if err != nil {
		if status.Code(err) == codes.DeadlineExceeded {
			// The connection may be dead without an error, while a new one would work.
			t.fleet.pool.Reset(t.address)
		}
		return exchangeDone{task: t, err: wrapError("exchange", KindUnavailable, err, "peer %s", t.address)}
	}
	content, err := decodeExchange(reply, reply.SourceAgeMs)
	return exchangeDone{task: t, content: content, err: err}
}

func (d exchangeDone) handle(f *Fleet) {
	now := f.timers.Now()
	if d.err != nil {
		f.meter.exchangeFailures.Inc(1)
		if d.task.asksReader {
			f.hastenReaderRetry(now)
		}
		if m := f.members.get(d.task.host); m != nil {
			m.exchangeFailures++
			if m.exchangeFailures == suspectFailureCount {
				f.log.Info("member is suspect", "member", m.host, "reason", d.err.Error())
			}
		}
		if d.task.priorFailures < maxFollowUpExchanges {
			f.exchangeWithOtherPartner(now, d.task)
		}
		return
	}
	f.meter.exchanges.Inc(1)
	f.mergeExchange(now, d.content, d.task.address)
	m := f.members.get(d.content.self.GetHost())
	if m != nil && m.peer != "" && d.content.version.Compare(f.version()) < 0 {
		// The peer may not know the address of this daemon, for example when it has just restarted.
		f.announce(m, nil)
	}
	f.recordExchangeSuccess(now, d.task, d.content.version)
}

// exchangeWithOtherPartner follows a failed exchange with one with the partner that is most likely to answer. Without
// it, a host behind a partition would reach the partners on its own side only when the random choice selects them.
func (f *Fleet) exchangeWithOtherPartner(now time.Time, failed *exchangeTask) {
	var best *member
	for _, i := range rand.Perm(len(f.partners.hosts)) {
		m := f.members.get(f.partners.hosts[i])
		if m != nil && m.host != failed.host && (best == nil || m.isMoreReachable(best)) {
			best = m
		}
	}
	if best == nil {
		return
	}
	t := f.newExchange(now, best.host, best.peer, !f.canOmitAddresses(best.version), usualSampleSize)
	t.priorFailures = failed.priorFailures + 1
	f.startTask(t)
}

// hastenReaderRetry moves the next exchange with a reader forward. Otherwise one lost reply would use up the takeover
// delay of the first successor.
func (f *Fleet) hastenReaderRetry(now time.Time) {
	f.readers.readerTurn = false
	if soon := now.Add(readerRetryDelay); soon.Before(f.nextExchangeAt) {
		f.nextExchangeAt = soon
	}
}

func (f *Fleet) exchangeWith(now time.Time, m *member) {
	f.beginExchange(now, m.host, m.peer, m.version)
}

func (f *Fleet) beginExchange(now time.Time, host, address string, peerVersion cicadacross.Version) {
	withAddresses := !f.canOmitAddresses(peerVersion)
	f.startTask(f.newExchange(now, host, address, withAddresses, usualSampleSize))
}

// exchangeWithReader begins an exchange without a sample of the members.
func (f *Fleet) exchangeWithReader(now time.Time, m *member) {
	t := f.newExchange(now, m.host, m.peer, !f.canOmitAddresses(m.version), 0)
	t.asksReader = true
	f.startTask(t)
}

func (f *Fleet) newExchange(now time.Time, host, address string, withAddresses bool, sampleSize int) *exchangeTask {
	request := &peerpb.ExchangeRequest{
		Self:     f.selfRecord(withAddresses),
		Members:  f.memberSample(now, withAddresses, host, sampleSize),
		Readers:  f.readerRecords(now, host),
		Suspects: peer.EncodeSuspects(f.opts.Quarantine),
	}
	request.SourceAgeMs = encodeOptionalAge(now, f.readers.sourceAnsweredAt)
	return &exchangeTask{fleet: f, host: host, address: address, request: request, started: now}
}

// tickExchange begins the periodic exchange when it is due.
func (f *Fleet) tickExchange(now time.Time) {
	if f.coldStart.phase == phaseSeeking || now.Before(f.nextExchangeAt) {
		return
	}
	f.nextExchangeAt = now.Add(withJitter(exchangePeriod))
	f.members.removeExpired(now)
	m, asksReader := f.nextExchangePeer(now)
	if n := len(f.opts.Seeds); n > 0 && (m == nil || m.isSuspect(now)) && rand.IntN(2) == 0 {
		// The register may be so old that none of its hosts exists any more; the seeds are kept up to date.
		if seed := f.opts.Seeds[rand.IntN(n)]; seed != f.opts.Peer {
			f.beginExchange(now, "", seed, cicadacross.Version{})
		}
		return
	}
	switch {
	case m == nil:
	case asksReader:
		f.exchangeWithReader(now, m)
	default:
		f.exchangeWith(now, m)
	}
}

// nextExchangePeer returns the peer of the next periodic exchange. It is usually a random partner, which may be a
// suspect; picked is nil when there is no partner. A host that is a successor of the readers, or that reads after a
// takeover, instead picks a reader every other time, to ask it only whether it still reads; asksReader is then true.
func (f *Fleet) nextExchangePeer(now time.Time) (picked *member, asksReader bool) {
	r := &f.readers
	r.readerTurn = !r.readerTurn
	successor := r.position >= readersPerZone && (r.reading || r.position < readersPerZone+successorCount)
	if r.readerTurn && successor && f.opts.Readers == ReadersElected {
		if host := r.readerToAsk(now, f.opts.Host); host != "" {
			if m := f.members.get(host); m != nil && m.peer != "" {
				return m, true
			}
		}
	}
	for _, i := range rand.Perm(len(f.partners.hosts)) {
		picked = f.members.get(f.partners.hosts[i])
		if picked != nil && (!picked.isSuspect(now) || rand.Float64() < suspectPickProbability) {
			return picked, false
		}
	}
	return picked, false
}

// canOmitAddresses reports whether member records sent to a peer with the version can leave out the addresses, because
// the peer has them from its register. A peer whose register lacks a host ignores the record until it has the newer
// register.
func (f *Fleet) canOmitAddresses(peerVersion cicadacross.Version) bool {
	c := f.current.Load()
	if c == nil || peerVersion.IsZero() {
		return false
	}
	_, registered := c.TargetOn(f.opts.Host)
	return registered
}

func (f *Fleet) version() cicadacross.Version {
	if c := f.current.Load(); c != nil {
		return c.Version()
	}
	return cicadacross.Version{}
}

func (f *Fleet) selfRecord(withAddresses bool) *peerpb.Member {
	record := &peerpb.Member{
		Host:        f.opts.Host,
		Incarnation: f.incarnation,
		Version:     encodeVersion(f.version()),
		Leaving:     f.draining,
		Reader:      f.readers.reading,
	}
	if withAddresses {
		record.AvailabilityZone, record.Peer, record.Operator = f.opts.AvailabilityZone, f.opts.Peer, f.opts.Operator
	}
	return record
}

func (f *Fleet) memberRecord(now time.Time, m *member, withAddresses bool) *peerpb.Member {
	record := &peerpb.Member{
		Host:        m.host,
		Incarnation: m.incarnation,
		HeardAgeMs:  encodeAge(now, m.lastHeard),
		Leaving:     m.draining,
		Reader:      m.reader,
	}
	if m.version != f.version() {
		record.Version = encodeVersion(m.version)
	}
	if withAddresses || !m.registered {
		record.AvailabilityZone, record.Peer, record.Operator = m.zone, m.peer, m.operator
	}
	if m.isLeaving(now) {
		record.ListedLeavingAgeMs = encodeOptionalAge(now, m.listedLeavingAt)
	}
	return record
}

// memberSample returns the records of up to size members. Leaving hosts come first and may exceed size up to
// maxSample/2, since their state is the most urgent to spread.
func (f *Fleet) memberSample(now time.Time, withAddresses bool, excludedHost string, size int) []*peerpb.Member {
	list := make([]*peerpb.Member, 0, maxSample)
	taken := map[string]bool{excludedHost: true}
	add := func(m *member) {
		if !taken[m.host] && !m.version.IsZero() && now.Sub(m.lastHeard) < maxGossipAge {
			taken[m.host] = true
			list = append(list, f.memberRecord(now, m, withAddresses))
		}
	}
	for _, host := range f.leavingHosts() {
		if m := f.members.get(host); m != nil && len(list) < maxSample/2 {
			add(m)
		}
	}
	for _, m := range f.members.random(2 * size) {
		if len(list) < size {
			add(m)
		}
	}
	return list
}

// mergeExchange merges the content of an exchange that this daemon received directly from a peer. address is the
// address that the peer was reached at, or "" when the peer began the exchange.
func (f *Fleet) mergeExchange(now time.Time, content exchangeContent, address string) {
	f.checkConflict(now, content.version, content.self.GetHost())
	if m := f.recordDirectContact(now, content, address); m != nil && content.version.Compare(f.version()) > 0 {
		f.addPeerProvider(now, content.version, m.host, m.peer)
	}
	f.readers.sourceAnsweredAt = laterTimeWithAge(now, f.readers.sourceAnsweredAt, content.sourceAgeMs)
	f.mergeReaders(now, content.readers)
	for _, record := range content.members {
		f.mergeMember(now, record, content.version)
	}
	if f.opts.Quarantine != nil && len(content.suspects) > 0 {
		f.opts.Quarantine.Merge(content.suspects)
	}
}

// recordDirectContact records that a peer was in direct contact and returns its member record. It returns nil when the
// table is full or when the peer has the host name of this daemon.
func (f *Fleet) recordDirectContact(now time.Time, content exchangeContent, address string) *member {
	if content.self.GetHost() == f.opts.Host {
		return nil
	}
	m := f.members.add(content.self.GetHost(), f.current.Load() != nil)
	if m == nil {
		return nil
	}
	f.updateAddresses(m, content.self)
	if m.peer == "" {
		m.peer = validAddress(address)
	}
	m.lastHeard, m.exchangeFailures = now, 0
	// What the process itself reports overrides what other daemons reported about its host.
	m.incarnation, m.version, m.draining = content.self.GetIncarnation(), content.version, content.self.GetLeaving()
	m.reader = content.self.GetReader()
	f.updateLeaving(now, m.host)
	return m
}

// updateAddresses sets the addresses and the availability zone of a member that the register doesn't list.
func (f *Fleet) updateAddresses(m *member, record *peerpb.Member) {
	if m.registered {
		return
	}
	if address := validAddress(record.GetPeer()); address != "" {
		m.peer = address
	}
	if address := validAddress(record.GetOperator()); address != "" {
		m.operator = address
	}
	if zone := record.GetAvailabilityZone(); validName(zone) {
		m.zone = zone
	}
}

// mergeMember merges what a peer reports about another host, or about this one. senderVersion is the version of a
// record that states none.
func (f *Fleet) mergeMember(now time.Time, record *peerpb.Member, senderVersion cicadacross.Version) {
	if !validName(record.GetHost()) || record.GetIncarnation() > maxIncarnation {
		return
	}
	if record.GetHost() == f.opts.Host {
		f.mergeSelf(now, record)
		return
	}
	m := f.members.get(record.GetHost())
	if m == nil {
		if validAddress(record.GetPeer()) == "" || now.Sub(decodeAge(now, record.GetHeardAgeMs())) > maxGossipAge {
			return
		}
		if m = f.members.add(record.GetHost(), f.current.Load() != nil); m == nil {
			return
		}
	}
	f.updateAddresses(m, record)
	version, err := decodeVersion(record.GetVersion())
	if err != nil {
		return
	}
	if version.IsZero() {
		version = senderVersion
	}
	if record.GetIncarnation() >= m.incarnation {
		if record.GetIncarnation() > m.incarnation {
			m.incarnation, m.version, m.draining, m.reader = record.GetIncarnation(), version, false, false
		}
		if version.Compare(m.version) > 0 {
			m.version = version
		}
		heard := decodeAge(now, record.GetHeardAgeMs())
		if heard.After(m.lastHeard) {
			m.lastHeard, m.reader = heard, record.GetReader()
		}
		m.draining = m.draining || record.GetLeaving()
	}
	m.listedLeavingAt = laterTimeWithAge(now, m.listedLeavingAt, record.ListedLeavingAgeMs)
	f.updateLeaving(now, m.host)
}

// mergeSelf merges what a peer reports about this host. A record with a larger incarnation means that the clock of this
// host went back, or that a second daemon uses the name. This process then takes the next larger incarnation, so that
// other daemons accept what it reports.
func (f *Fleet) mergeSelf(now time.Time, record *peerpb.Member) {
	if record.GetIncarnation() > f.incarnation {
		f.log.Info("another process has used this host name", "incarnation", record.GetIncarnation())
		f.incarnation = record.GetIncarnation() + 1
	}
	f.selfListedLeavingAt = laterTimeWithAge(now, f.selfListedLeavingAt, record.ListedLeavingAgeMs)
	f.updateLeaving(now, f.opts.Host)
}
