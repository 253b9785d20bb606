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
	// readersPerZone is the number of hosts of each availability zone that read the source while all is well.
	readersPerZone = 2
	// takeoverAge is the age of the confirmation from which the next host in the order becomes a reader.
	takeoverAge = 5 * time.Second
	// takeoverStep is added for each further place in the order, so that hosts take over one after the other.
	takeoverStep = time.Second
	// maxTrying bounds the hosts of an availability zone that try a source that doesn't answer. Without it each host of
	// the fleet would take over in turn during an outage of the platform.
	maxTrying = 4
	// tryingAge is how long the word that a host reads counts. Hosts far behind in the order hear it late.
	tryingAge = 20 * time.Second
	// checkPeriod is the time between two checks of a pending watch by a read on another connection. A watch is silent
	// for 30 s when all is well, so that a connection that has gone silent wouldn't show before.
	checkPeriod = 10 * time.Second
	// checkGrace is the time that the watch has to tell what the check found.
	checkGrace = time.Second
	// readerForget drops what is known of a reader that isn't heard of.
	readerForget = time.Minute
	// maxFacts bounds the readers that are remembered.
	maxFacts = 16
)

// readerFact is what is known of one reader of this availability zone.
type readerFact struct {
	alive     time.Time // when it last said that it reads
	confirmed time.Time // when it last had a working connection to the source; zero when never
}

// readership decides whether this host reads the source.
type readership struct {
	place       int // this host's place in the order of its availability zone
	order       map[string]int
	facts       map[string]readerFact
	epoch       time.Time // evidence older than this is not held against the readers
	jitter      time.Duration
	active      bool
	sourceHeard time.Time // when any reader last had an answer from the source; zero when never
	stale       bool      // the order must be computed again
	watches     []*sourceWatch
	askReader   bool // the next exchange is with a reader
	lastError   string
	checkAt     time.Time            // when to check the pending watch
	expected    cicadacross.Revision // what the check found and the watch hasn't told; 0 when they agree
	expectedAt  time.Time
}

func newReadership(now time.Time) readership {
	return readership{
		facts: make(map[string]readerFact), order: make(map[string]int), epoch: now, stale: true, jitter: takeoverJitter(),
	}
}

func takeoverJitter() time.Duration { return time.Duration(rand.Int64N(int64(takeoverStep))) }

// computeOrder orders the hosts of this availability zone by rendezvous hashing.
func (f *Fleet) computeOrder() {
	type placed struct {
		host   string
		weight uint64
	}
	var list []placed
	add := func(host string) {
		if !f.Leaving(host) {
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
	r.order = make(map[string]int, len(list))
	for place, p := range list {
		r.order[p.host] = place
	}
	r.place = r.placeOf(f.opts.Host)
	r.stale = false
}

// placeOf returns the place of the host; a host that the register doesn't name comes last.
func (r *readership) placeOf(host string) int {
	if place, ok := r.order[host]; ok {
		return place
	}
	return len(r.order)
}

// tickReaders starts or stops reading.
func (f *Fleet) tickReaders(now time.Time) {
	r := &f.readers
	if f.opts.Source == nil || f.cold.phase == phaseSeeking {
		return
	}
	if r.stale {
		f.computeOrder()
	}
	for host, fact := range r.facts {
		if now.Sub(fact.alive) > readerForget {
			delete(r.facts, host)
		}
	}
	switch wanted := f.shouldRead(now); {
	case wanted && !r.active:
		f.startReading(now)
	case !wanted && r.active:
		f.log.Info("stops reading the source", "place", r.place)
		f.stopReading()
	}
	f.checkWatch(now)
	f.confirmOwn(now)
}

// checkWatch reads the manifest from time to time, and watches again when the watch hasn't told of a change.
func (f *Fleet) checkWatch(now time.Time) {
	r := &f.readers
	if !r.active {
		return
	}
	if r.expected != 0 && now.Sub(r.expectedAt) > checkGrace {
		f.log.Info("a watch of the source has gone silent")
		f.stopReading()
		f.startReading(now)
		return
	}
	if !now.Before(r.checkAt) {
		r.checkAt = now.Add(jittered(checkPeriod))
		f.begin(probeTask{fleet: f, check: true})
	}
}

// checked compares the result of a check with what the watch has told.
func (r *readership) checked(now time.Time, heard bool, revision cicadacross.Revision) {
	for _, w := range r.watches {
		if w.key != watchedKeys[0] {
			continue
		}
		w.working = heard
		if heard && w.revision != 0 && w.revision != revision {
			r.expected, r.expectedAt = revision, now
		}
	}
}

// shouldRead decides whether this host reads the source.
func (f *Fleet) shouldRead(now time.Time) bool {
	r := &f.readers
	if f.opts.Readers == ReadersAll || r.place < readersPerZone {
		return true
	}
	confirmedBefore, confirmedAny, trying := time.Time{}, r.epoch, 0
	for host, fact := range r.facts {
		if host == f.opts.Host {
			continue
		}
		confirmedAny = latest(confirmedAny, fact.confirmed)
		if r.placeOf(host) < r.place {
			confirmedBefore = latest(confirmedBefore, fact.confirmed)
			if now.Sub(fact.alive) < tryingAge {
				trying++
			}
		}
	}
	if r.active {
		return !heardWithin(now, confirmedBefore, takeoverAge) && trying < maxTrying
	}
	if trying >= maxTrying {
		return false
	}
	patience := takeoverAge + takeoverStep*time.Duration(r.place-readersPerZone+1) + r.jitter
	return now.Sub(confirmedAny) > patience
}

func (f *Fleet) startReading(now time.Time) {
	r := &f.readers
	f.log.Info("reads the source", "place", r.place, "policy", string(f.opts.Readers))
	r.active = true
	r.checkAt, r.expected = now.Add(jittered(checkPeriod)), 0
	for _, key := range watchedKeys {
		w := newSourceWatch(f, key)
		r.watches = append(r.watches, w)
		f.tasks.Add(1)
		go w.run()
	}
	if r.place >= readersPerZone {
		f.tellSuccessors(now)
	}
}

// tellSuccessors lets the hosts behind this one hear of the takeover before they take over too.
func (f *Fleet) tellSuccessors(now time.Time) {
	for host, place := range f.readers.order {
		if place > f.readers.place && place <= f.readers.place+readersPerZone {
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
	r.active = false
	f.hostList = platform.HostList{}
	r.jitter = takeoverJitter()
	delete(r.facts, f.opts.Host)
}

// confirmOwn records this host's own reading among the facts.
func (f *Fleet) confirmOwn(now time.Time) {
	r := &f.readers
	if !r.active {
		return
	}
	fact := r.facts[f.opts.Host]
	fact.alive = now
	for _, w := range r.watches {
		if w.key == watchedKeys[0] && w.working {
			fact.confirmed = now
		}
	}
	r.facts[f.opts.Host] = fact
}

// readerToAsk returns the reader that tells most: for a host that doesn't read, the one last heard of; for one that
// took over, the first in the order, since its return ends the takeover. It is "" when there is none.
func (r *readership) readerToAsk(now time.Time, self string) string {
	best := ""
	for host, fact := range r.facts {
		if host == self || now.Sub(fact.alive) > tryingAge {
			continue
		}
		better := fact.alive.After(r.facts[best].alive)
		if r.active {
			better = r.placeOf(host) < r.placeOf(best)
		}
		if best == "" || better {
			best = host
		}
	}
	if best != "" {
		return best
	}
	for host, place := range r.order {
		if place == 0 && host != self {
			return host
		}
	}
	return ""
}

// readerRecords returns the facts for a peer of the same availability zone.
func (f *Fleet) readerRecords(now time.Time, host string) []*peerpb.Reader {
	m := f.members.get(host)
	if m == nil || m.zone != f.opts.AvailabilityZone {
		return nil
	}
	var list []*peerpb.Reader
	for reader, fact := range f.readers.facts {
		if len(list) == maxReaders {
			break
		}
		list = append(list, &peerpb.Reader{
			Host:           reader,
			AliveAgeMs:     encodeAge(now, fact.alive),
			ConfirmedAgeMs: encodeOptionalAge(now, fact.confirmed),
		})
	}
	return list
}

// mergeReaders takes a peer's facts about readers of this availability zone.
func (f *Fleet) mergeReaders(now time.Time, list []*peerpb.Reader) {
	r := &f.readers
	for _, p := range list {
		if p.GetHost() == f.opts.Host {
			continue
		}
		m := f.members.get(p.GetHost())
		if m == nil || m.zone != f.opts.AvailabilityZone {
			continue
		}
		fact, known := r.facts[p.GetHost()]
		if !known && len(r.facts) >= maxFacts {
			continue
		}
		fact.alive = latest(fact.alive, decodeAge(now, p.GetAliveAgeMs()))
		fact.confirmed = later(now, fact.confirmed, p.ConfirmedAgeMs)
		if now.Sub(fact.alive) <= readerForget {
			r.facts[p.GetHost()] = fact
		}
	}
}

// doubtReaders sets all evidence about readers aside, after a pause.
func (r *readership) doubtReaders(now time.Time) {
	r.epoch = now
	clear(r.facts)
}
