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
	// maxGossipAge is the age from which a member is no longer worth telling about.
	maxGossipAge = 10 * time.Minute
	// successorPlaces are the places behind the readers whose hosts ask a reader every other time, so that they notice
	// the loss of the readers without waiting for the word to come around.
	successorPlaces = 4
	// askRetry is the delay after a reader that was asked didn't answer.
	askRetry = 500 * time.Millisecond
	// maxFurther bounds the exchanges that follow a failed one. A host that is cut off from all makes 3 in a period.
	maxFurther = 2
)

// exchangeTask exchanges with one peer.
type exchangeTask struct {
	fleet   *Fleet
	host    string // empty for a seed
	address string
	request *peerpb.ExchangeRequest
	started time.Time
	ask     bool // a reader is asked whether it reads
	// further counts the failed exchanges that this one follows.
	further int
}

// exchangeDone is the result of an exchange that this daemon began.
type exchangeDone struct {
	task *exchangeTask
	word word
	err  error
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
			// The connection may be silent while new ones work.
			t.fleet.pool.Reset(t.address)
		}
		return exchangeDone{task: t, err: wrapError("exchange", KindUnavailable, err, "peer %s", t.address)}
	}
	w, err := decodeWord(reply, reply.SourceAgeMs)
	return exchangeDone{task: t, word: w, err: err}
}

func (d exchangeDone) handle(f *Fleet) {
	now := f.timers.Now()
	if d.err != nil {
		f.meter.exchangeFailures.Inc(1)
		if d.task.ask {
			f.askAgain(now)
		}
		if m := f.members.get(d.task.host); m != nil {
			m.failures++
			if m.failures == suspectAfter {
				f.log.Info("member is suspect", "member", m.host, "reason", d.err.Error())
			}
		}
		if d.task.further < maxFurther {
			f.exchangeElsewhere(now, d.task)
		}
		return
	}
	f.meter.exchanges.Inc(1)
	f.merge(now, d.word, d.task.address)
	if m := f.members.get(d.word.self.GetHost()); m != nil && m.peer != "" && d.word.version.Compare(f.version()) < 0 {
		// The peer may not know the address of this daemon, for example when it has just restarted.
		f.announce(m, nil)
	}
	f.exchangeSucceeded(now, d.task, d.word.version)
}

// exchangeElsewhere follows a failed exchange with one with the partner that is likeliest to answer, so that a host
// behind a partition finds the neighbours on its side soon, and not when the random choice falls on them.
func (f *Fleet) exchangeElsewhere(now time.Time, failed *exchangeTask) {
	var best *member
	for _, place := range rand.Perm(len(f.partners.hosts)) {
		m := f.members.get(f.partners.hosts[place])
		if m != nil && m.host != failed.host && (best == nil || m.likelier(best)) {
			best = m
		}
	}
	if best == nil {
		return
	}
	t := f.newExchange(now, best.host, best.peer, !f.compact(best.version), sampleSize)
	t.further = failed.further + 1
	f.begin(t)
}

// askAgain brings the next question to a reader forward. One lost answer would otherwise use up the patience of the
// first successor.
func (f *Fleet) askAgain(now time.Time) {
	f.readers.askReader = false
	if soon := now.Add(askRetry); soon.Before(f.exchangeAt) {
		f.exchangeAt = soon
	}
}

// exchangeWith begins an exchange with a member.
func (f *Fleet) exchangeWith(now time.Time, m *member) {
	f.beginExchange(now, m.host, m.peer, m.version)
}

func (f *Fleet) beginExchange(now time.Time, host, address string, peerVersion cicadacross.Version) {
	full := !f.compact(peerVersion)
	f.begin(f.newExchange(now, host, address, full, sampleSize))
}

// askReader begins an exchange without a sample of the members.
func (f *Fleet) askReader(now time.Time, m *member) {
	t := f.newExchange(now, m.host, m.peer, !f.compact(m.version), 0)
	t.ask = true
	f.begin(t)
}

func (f *Fleet) newExchange(now time.Time, host, address string, full bool, size int) *exchangeTask {
	request := &peerpb.ExchangeRequest{
		Self:     f.selfRecord(full),
		Members:  f.sample(now, full, host, size),
		Readers:  f.readerRecords(now, host),
		Suspects: peer.EncodeSuspects(f.opts.Quarantine),
	}
	request.SourceAgeMs = encodeOptionalAge(now, f.readers.sourceHeard)
	return &exchangeTask{fleet: f, host: host, address: address, request: request, started: now}
}

// tickExchange begins the periodic exchange.
func (f *Fleet) tickExchange(now time.Time) {
	if f.cold.phase == phaseSeeking || now.Before(f.exchangeAt) {
		return
	}
	f.exchangeAt = now.Add(jittered(exchangePeriod))
	f.members.forget(now)
	m, ask := f.nextPartner(now)
	if n := len(f.opts.Seeds); n > 0 && (m == nil || m.suspect(now)) && rand.IntN(2) == 0 {
		// The register may be so old that none of its hosts exists any more; the seeds are kept up to date.
		if seed := f.opts.Seeds[rand.IntN(n)]; seed != f.opts.Peer {
			f.beginExchange(now, "", seed, cicadacross.Version{})
		}
		return
	}
	switch {
	case m == nil:
	case ask:
		f.askReader(now, m)
	default:
		f.exchangeWith(now, m)
	}
}

// nextPartner returns a random partner, or every other time a reader if this host is among the next to take over
// reading. The reader is only asked whether it reads.
func (f *Fleet) nextPartner(now time.Time) (picked *member, ask bool) {
	r := &f.readers
	r.askReader = !r.askReader
	successor := r.place >= readersPerZone && (r.active || r.place < readersPerZone+successorPlaces)
	if r.askReader && successor && f.opts.Readers == ReadersElected {
		if host := r.readerToAsk(now, f.opts.Host); host != "" {
			if m := f.members.get(host); m != nil && m.peer != "" {
				return m, true
			}
		}
	}
	for _, place := range rand.Perm(len(f.partners.hosts)) {
		picked = f.members.get(f.partners.hosts[place])
		if picked != nil && (!picked.suspect(now) || rand.Float64() < suspectWeight) {
			return picked, false
		}
	}
	return picked, false
}

// compact reports whether a peer with the version may be told of members without their addresses, which it has from its
// register. A peer whose register lacks a host ignores the record until it has the newer register.
func (f *Fleet) compact(peerVersion cicadacross.Version) bool {
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

func (f *Fleet) selfRecord(full bool) *peerpb.Member {
	p := &peerpb.Member{
		Host:        f.opts.Host,
		Incarnation: f.incarnation,
		Version:     encodeVersion(f.version()),
		Leaving:     f.draining,
		Reader:      f.readers.active,
	}
	if full {
		p.AvailabilityZone, p.Peer, p.Operator = f.opts.AvailabilityZone, f.opts.Peer, f.opts.Operator
	}
	return p
}

func (f *Fleet) memberRecord(now time.Time, m *member, full bool) *peerpb.Member {
	p := &peerpb.Member{
		Host:        m.host,
		Incarnation: m.incarnation,
		HeardAgeMs:  encodeAge(now, m.heard),
		Leaving:     m.draining,
		Reader:      m.reader,
	}
	if m.version != f.version() {
		p.Version = encodeVersion(m.version)
	}
	if full || !m.registered {
		p.AvailabilityZone, p.Peer, p.Operator = m.zone, m.peer, m.operator
	}
	if m.leaves(now) {
		p.ListedLeavingAgeMs = encodeOptionalAge(now, m.listedLeaving)
	}
	return p
}

// sample returns a bounded part of the member table. It may take as many hosts that are about to leave, since that word
// is the most urgent.
func (f *Fleet) sample(now time.Time, full bool, except string, size int) []*peerpb.Member {
	list := make([]*peerpb.Member, 0, maxSample)
	taken := map[string]bool{except: true}
	add := func(m *member) {
		if !taken[m.host] && !m.version.IsZero() && now.Sub(m.heard) < maxGossipAge {
			taken[m.host] = true
			list = append(list, f.memberRecord(now, m, full))
		}
	}
	for _, host := range f.leavingSample() {
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

// merge takes the word of a peer that this daemon just heard directly.
func (f *Fleet) merge(now time.Time, w word, address string) {
	f.sawVersion(now, w.version, w.self.GetHost())
	if m := f.heardFrom(now, w, address); m != nil && w.version.Compare(f.version()) > 0 {
		f.want(now, w.version, m.host, m.peer)
	}
	f.readers.sourceHeard = later(now, f.readers.sourceHeard, w.sourceAge)
	f.mergeReaders(now, w.readers)
	for _, p := range w.members {
		f.mergeMember(now, p, w.version)
	}
	if f.opts.Quarantine != nil && len(w.suspects) > 0 {
		f.opts.Quarantine.Merge(w.suspects)
	}
}

// heardFrom records direct evidence of a peer and returns its record, or nil when the table is full.
func (f *Fleet) heardFrom(now time.Time, w word, address string) *member {
	if w.self.GetHost() == f.opts.Host {
		return nil
	}
	m := f.members.add(w.self.GetHost(), f.current.Load() != nil)
	if m == nil {
		return nil
	}
	f.learnAddresses(m, w.self)
	if m.peer == "" {
		m.peer = validAddress(address)
	}
	m.heard, m.failures = now, 0
	// The word of the process itself stands above what others told of its host.
	m.incarnation, m.version, m.draining = w.self.GetIncarnation(), w.version, w.self.GetLeaving()
	m.reader = w.self.GetReader()
	f.leavingHeard(now, m.host)
	return m
}

// learnAddresses takes the addresses of a member that no register names.
func (f *Fleet) learnAddresses(m *member, p *peerpb.Member) {
	if m.registered {
		return
	}
	if address := validAddress(p.GetPeer()); address != "" {
		m.peer = address
	}
	if address := validAddress(p.GetOperator()); address != "" {
		m.operator = address
	}
	if zone := p.GetAvailabilityZone(); validName(zone) {
		m.zone = zone
	}
}

// mergeMember takes what a peer tells of a third host, or of this one.
func (f *Fleet) mergeMember(now time.Time, p *peerpb.Member, senderVersion cicadacross.Version) {
	if !validName(p.GetHost()) || p.GetIncarnation() > maxIncarnation {
		return
	}
	if p.GetHost() == f.opts.Host {
		f.mergeSelf(now, p)
		return
	}
	m := f.members.get(p.GetHost())
	if m == nil {
		if validAddress(p.GetPeer()) == "" || now.Sub(decodeAge(now, p.GetHeardAgeMs())) > maxGossipAge {
			return
		}
		if m = f.members.add(p.GetHost(), f.current.Load() != nil); m == nil {
			return
		}
	}
	f.learnAddresses(m, p)
	version, err := decodeVersion(p.GetVersion())
	if err != nil {
		return
	}
	if version.IsZero() {
		version = senderVersion
	}
	if p.GetIncarnation() >= m.incarnation {
		if p.GetIncarnation() > m.incarnation {
			m.incarnation, m.version, m.draining, m.reader = p.GetIncarnation(), version, false, false
		}
		if version.Compare(m.version) > 0 {
			m.version = version
		}
		heard := decodeAge(now, p.GetHeardAgeMs())
		if heard.After(m.heard) {
			m.heard, m.reader = heard, p.GetReader()
		}
		m.draining = m.draining || p.GetLeaving()
	}
	m.listedLeaving = later(now, m.listedLeaving, p.ListedLeavingAgeMs)
	f.leavingHeard(now, m.host)
}

// mergeSelf takes what a peer tells of this host. A record of a later process means that this host's clock went back,
// or that a second daemon uses the name; this process then takes a number above it, so that its own word counts.
func (f *Fleet) mergeSelf(now time.Time, p *peerpb.Member) {
	if p.GetIncarnation() > f.incarnation {
		f.log.Info("another process used this host name", "incarnation", p.GetIncarnation())
		f.incarnation = p.GetIncarnation() + 1
	}
	f.selfListed = later(now, f.selfListed, p.ListedLeavingAgeMs)
	f.leavingHeard(now, f.opts.Host)
}
