package fleet

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadacross"
	"cicadacross/internal/peerpb"
	"cicadacross/internal/platform"
)

const (
	// readersPerZone is the number of hosts of each availability zone that read the source in normal operation.
	readersPerZone = 2
	// takeoverAge is the time since the last confirmed reading after which other hosts begin to take over.
	takeoverAge = 5 * time.Second
	// takeoverStep is added for each further position in the order, so that hosts take over one after the other.
	takeoverStep = time.Second
	// maxOutageReaders bounds the hosts of an availability zone that read a source that doesn't answer. Without it, each
	// host of the fleet would take over in turn during an outage of the platform.
	maxOutageReaders = 4
	// activeReaderAge is how long a host counts as reading after it last reported that it reads. Hosts far back in the
	// order learn of it late.
	activeReaderAge = 20 * time.Second
	// checkPeriod is the time between two reads of the manifest on another connection, which check that the pending watch
	// still works. A working watch is silent for up to 30 s, so that a dead connection wouldn't be noticed earlier.
	checkPeriod = 10 * time.Second
	// checkGrace is the time within which the watch must report a revision that a check found.
	checkGrace = time.Second
	// readerStatusLifetime is the time after which the status of a reader is dropped if it isn't renewed.
	readerStatusLifetime = time.Minute
	// maxReaderStatuses bounds the readers whose status is kept.
	maxReaderStatuses = 16
)

// readerStatus is the state of one reader of this availability zone.
type readerStatus struct {
	lastReading   time.Time // when it last reported that it reads
	lastConfirmed time.Time // when it last had a working connection to the source; zero if never
}

// readerElection decides whether this host reads the source. Each daemon decides for itself, from the order of the
// hosts of its availability zone and the statuses of their readers.
type readerElection struct {
	position         int                     // of this host in the order of its availability zone, from 0
	positions        map[string]int          // by host
	statuses         map[string]readerStatus // by host
	evidenceSince    time.Time               // silence of the readers before this time doesn't count towards a takeover
	takeoverJitter   time.Duration
	reading          bool
	sourceAnsweredAt time.Time // when any reader last had an answer from the source; zero if never
	positionsStale   bool      // positions must be recomputed
	watches          []*sourceWatch
	readerTurn       bool // toggled by each periodic exchange; true lets it ask a reader
	sourceError      string
	nextCheckAt      time.Time            // when to check the pending watch next
	unseenRevision   cicadacross.Revision // found by a check but not reported by the watch; 0 if none
	unseenSince      time.Time
}

func newReaderElection(now time.Time) readerElection {
	return readerElection{
		statuses: make(map[string]readerStatus), positions: make(map[string]int), evidenceSince: now,
		positionsStale: true, takeoverJitter: randomTakeoverJitter(),
	}
}

func randomTakeoverJitter() time.Duration { return time.Duration(rand.Int64N(int64(takeoverStep))) }

// computePositions orders the hosts of this availability zone by rendezvous hashing. Leaving hosts get no position.
func (f *Fleet) computePositions() {
	type placed struct {
		host   string
		weight uint64
	}
	var list []placed
	add := func(host string) {
		if !f.IsLeaving(host) {
			list = append(list, placed{host: host, weight: xxhash.Sum64String(f.opts.AvailabilityZone + "/" + host)})
		}
	}
	c := f.current.Load()
	if c != nil {
		if _, registered := c.TargetOn(f.opts.Host); registered {
			add(f.opts.Host)
		}
	}
	for _, m := range f.members.byHost {
		if m.registered && m.zone == f.opts.AvailabilityZone {
			add(m.host)
		}
	}
	slices.SortFunc(list, func(a, b placed) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.host, b.host))
	})
	r := &f.readers
	r.positions = make(map[string]int, len(list))
	for position, p := range list {
		r.positions[p.host] = position
	}
	r.position = r.positionOf(f.opts.Host)
	r.positionsStale = false
}

// positionOf returns the position of the host. A host without a position comes last.
func (r *readerElection) positionOf(host string) int {
	if position, ok := r.positions[host]; ok {
		return position
	}
	return len(r.positions)
}

// tickReaders starts or stops reading the source.
func (f *Fleet) tickReaders(now time.Time) {
	r := &f.readers
	if f.opts.Source == nil || f.coldStart.phase == phaseSeeking {
		return
	}
	if r.positionsStale {
		f.computePositions()
	}
	for host, status := range r.statuses {
		if now.Sub(status.lastReading) > readerStatusLifetime {
			delete(r.statuses, host)
		}
	}
	switch wanted := f.shouldRead(now); {
	case wanted && !r.reading:
		f.startReading(now)
	case !wanted && r.reading:
		f.log.Info("stopped reading the source", "place", r.position)
		f.stopReading()
	}
	f.checkWatch(now)
	f.updateOwnStatus(now)
}

// checkWatch reads the manifest every checkPeriod, and restarts the watches when the watch hasn't reported a change
// that a check found.
func (f *Fleet) checkWatch(now time.Time) {
	r := &f.readers
	if !r.reading {
		return
	}
	if r.unseenRevision != 0 && now.Sub(r.unseenSince) > checkGrace {
		f.log.Info("watch did not report a change of the manifest; restarting the watches")
		f.stopReading()
		f.startReading(now)
		return
	}
	if !now.Before(r.nextCheckAt) {
		r.nextCheckAt = now.Add(withJitter(checkPeriod))
		f.startTask(probeTask{fleet: f, check: true})
	}
}

// compareRevision compares the revision that a check found with the one that the watch of the manifest last reported.
// answered says whether the source answered the check.
func (r *readerElection) compareRevision(now time.Time, answered bool, revision cicadacross.Revision) {
	for _, w := range r.watches {
		if w.key != watchedKeys[0] { // not the watch of the manifest
			continue
		}
		// While the call of the watch is pending, the check shows whether the source answers.
		w.lastCallSucceeded = answered
		if answered && w.revision != 0 && w.revision != revision {
			r.unseenRevision, r.unseenSince = revision, now
		}
	}
}

// shouldRead reports whether this host should read the source. With ReadersAll every host does, else the first
// readersPerZone hosts of the order. A host further back takes over when no reader has confirmed a working connection
// for takeoverAge and a delay that grows with its position. It stops when a reader before it has confirmed one within
// takeoverAge. While maxOutageReaders hosts before it read, it does not read either.
func (f *Fleet) shouldRead(now time.Time) bool {
	r := &f.readers
	if f.opts.Readers == ReadersAll || r.position < readersPerZone {
		return true
	}
	confirmedBefore, confirmedAny, readingBefore := time.Time{}, r.evidenceSince, 0
	for host, status := range r.statuses {
		if host == f.opts.Host {
			continue
		}
		confirmedAny = laterTime(confirmedAny, status.lastConfirmed)
		if r.positionOf(host) < r.position {
			confirmedBefore = laterTime(confirmedBefore, status.lastConfirmed)
			if now.Sub(status.lastReading) < activeReaderAge {
				readingBefore++
			}
		}
	}
	if r.reading {
		return !isWithin(now, confirmedBefore, takeoverAge) && readingBefore < maxOutageReaders
	}
	if readingBefore >= maxOutageReaders {
		return false
	}
	takeoverDelay := takeoverAge + takeoverStep*time.Duration(r.position-readersPerZone+1) + r.takeoverJitter
	return now.Sub(confirmedAny) > takeoverDelay
}

func (f *Fleet) startReading(now time.Time) {
	r := &f.readers
	f.log.Info("reading the source", "place", r.position, "policy", string(f.opts.Readers))
	r.reading = true
	r.nextCheckAt, r.unseenRevision = now.Add(withJitter(checkPeriod)), 0
	for _, key := range watchedKeys {
		w := newSourceWatch(f, key)
		r.watches = append(r.watches, w)
		f.tasks.Add(1)
		go w.run()
	}
	if r.position >= readersPerZone {
		f.exchangeWithSuccessors(now)
	}
}

// exchangeWithSuccessors exchanges with the next hosts in the order, so that they learn of the takeover before they
// take over too.
func (f *Fleet) exchangeWithSuccessors(now time.Time) {
	for host, position := range f.readers.positions {
		if position > f.readers.position && position <= f.readers.position+readersPerZone {
			if m := f.members.get(host); m != nil && m.peer != "" {
				f.exchangeWith(now, m)
			}
		}
	}
}

func (f *Fleet) stopReading() {
	r := &f.readers
	for _, w := range r.watches {
		w.cancel()
	}
	r.watches = nil
	r.reading = false
	f.hostList = platform.HostList{}
	r.takeoverJitter = randomTakeoverJitter()
	delete(r.statuses, f.opts.Host)
}

// updateOwnStatus renews the status of this host while it reads the source. If the source answered the last call of the
// manifest watch or a later check of it, the connection to the source is recorded as working.
func (f *Fleet) updateOwnStatus(now time.Time) {
	r := &f.readers
	if !r.reading {
		return
	}
	status := r.statuses[f.opts.Host]
	status.lastReading = now
	for _, w := range r.watches {
		if w.key == watchedKeys[0] && w.lastCallSucceeded { // the watch of the manifest
			status.lastConfirmed = now
		}
	}
	r.statuses[f.opts.Host] = status
}

// readerToAsk returns the reader whose reply is the most useful. For a host that doesn't read, it is the reader that
// reported most recently; for a host that took over, it is the first reader in the order, since its return ends the
// takeover. When no reader is known, it is the first host in the order, or "" if there is no other host.
func (r *readerElection) readerToAsk(now time.Time, self string) string {
	best := ""
	for host, status := range r.statuses {
		if host == self || now.Sub(status.lastReading) > activeReaderAge {
			continue
		}
		better := status.lastReading.After(r.statuses[best].lastReading)
		if r.reading {
			better = r.positionOf(host) < r.positionOf(best)
		}
		if best == "" || better {
			best = host
		}
	}
	if best != "" {
		return best
	}
	for host, position := range r.positions {
		if position == 0 && host != self {
			return host
		}
	}
	return ""
}

// readerRecords returns the reader statuses to send to a peer of the same availability zone, and nil for other peers.
func (f *Fleet) readerRecords(now time.Time, host string) []*peerpb.Reader {
	m := f.members.get(host)
	if m == nil || m.zone != f.opts.AvailabilityZone {
		return nil
	}
	var list []*peerpb.Reader
	for reader, status := range f.readers.statuses {
		if len(list) == maxReaders {
			break
		}
		list = append(list, &peerpb.Reader{
			Host:           reader,
			AliveAgeMs:     encodeAge(now, status.lastReading),
			ConfirmedAgeMs: encodeOptionalAge(now, status.lastConfirmed),
		})
	}
	return list
}

// mergeReaders merges the statuses of readers of this availability zone that a peer sent.
func (f *Fleet) mergeReaders(now time.Time, list []*peerpb.Reader) {
	r := &f.readers
	for _, record := range list {
		if record.GetHost() == f.opts.Host {
			continue
		}
		m := f.members.get(record.GetHost())
		if m == nil || m.zone != f.opts.AvailabilityZone {
			continue
		}
		status, known := r.statuses[record.GetHost()]
		if !known && len(r.statuses) >= maxReaderStatuses {
			continue
		}
		status.lastReading = laterTime(status.lastReading, decodeAge(now, record.GetAliveAgeMs()))
		status.lastConfirmed = laterTimeWithAge(now, status.lastConfirmed, record.ConfirmedAgeMs)
		if now.Sub(status.lastReading) <= readerStatusLifetime {
			r.statuses[record.GetHost()] = status
		}
	}
}

// discardStatuses drops all reader statuses after a pause, since they may be outdated.
func (r *readerElection) discardStatuses(now time.Time) {
	r.evidenceSince = now
	clear(r.statuses)
}
