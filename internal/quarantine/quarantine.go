// Package quarantine keeps requests that crash upstreams from reaching more of them.
//
// Requests are identified by a fingerprint, such as Fingerprint returns. A crash of an upstream makes all requests in
// progress on it suspects. A suspect runs only while no other suspect runs on the same upstream, so that a second crash
// identifies the request that caused it. That request is quarantined: it is refused for the expiry time. A suspect that
// completes without a crash is cleared, that is, no longer a suspect. A second crash identifies a request only if it
// was a suspect when it began to run.
//
// # How many targets one fingerprint can take down
//
// Let k be the number of targets on which the fingerprint is in progress when the first of them crashes. The daemon
// announces a crash to all members immediately (OnCrash), and the failure that the ingress daemon receives lists the
// suspects. A member that misses the announcement learns of them from the periodic exchange between daemons. When each
// daemon exchanges its suspects with one random other every 2 s, all 600 daemons of a fleet were informed after 5 to 8
// rounds in 100 trials, that is within 16 s; 13 daemons after 2 to 4 rounds, within 8 s. Until an ingress daemon is
// informed, it sends the fingerprint to any target. Let u be the number of sends by daemons that aren't informed. When
// every informed daemon sends a suspect only to the target that ConfinedTarget returns, at most k + u + 1 targets go
// down. The last one is the confined target: there, the second crash quarantines the fingerprint, or the third one if
// that target wasn't informed of the first. How long the quarantine takes to spread no longer matters, since that
// target already refuses the fingerprint. Without ConfinedTarget, each send while the quarantine spreads can take down
// one more target.
//
// Without the announcement, a caller that repeats the request every s seconds makes u at most 16/s in a fleet of 600. u
// is 0 for requests with an idempotency key, which all go to one owner, and for sends through the ingress daemon that
// saw the crash.
//
// A fingerprint that is still sent after its expiry is no longer a suspect, and the count starts again at 0, so these
// bounds hold for one expiry time.
package quarantine

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"cicadacross"
)

const (
	// MaxSuspects is the maximum number of suspects that Suspects returns, so that the messages between daemons stay
	// small.
	MaxSuspects = 64

	defaultLimit  = 256
	defaultExpiry = 10 * time.Minute

	// quarantineCrashes is the number of crashes that quarantines a fingerprint.
	quarantineCrashes = 2

	// sameCrashTolerance is the maximum difference between the crash times in two reports of the same crash. The age in
	// a report doesn't include the time in transit, so the crash seems later at the receiver; without the tolerance,
	// two daemons that report the same crash to each other would keep it from expiring.
	sameCrashTolerance = 5 * time.Second
)

// Options configures a Tracker. Host and Timers are required.
type Options struct {
	// Host is the name of the upstream's host.
	Host   string
	Timers cicadacross.Timers
	// Limit is the maximum number of suspects and quarantined fingerprints together; 0 means 256.
	Limit int
	// Expiry is the time after the last crash at which a fingerprint is removed; 0 means 10 min.
	Expiry time.Duration
	// OnCrash is called after each crash, without holding a lock, to announce the suspects to other daemons; it may be
	// nil.
	OnCrash func()
}

// Tracker implements cicadacross.Quarantine for one upstream. It is safe for concurrent use.
type Tracker struct {
	opts Options

	mu      sync.Mutex
	entries map[uint64]*entry
	// clearedAt holds the time at which each fingerprint was cleared on this host, so that reports of earlier crashes
	// from other daemons don't add it again.
	clearedAt map[uint64]time.Time
	// current holds the requests in progress. RecordCrash replaces it, since a crash ends those requests.
	current *generation
	// requestEnded is closed and replaced when a request ends or the upstream crashes, so that waiting suspects try
	// again.
	requestEnded chan struct{}
}

var _ cicadacross.Quarantine = (*Tracker)(nil)

// generation counts the requests in progress between two crashes, by fingerprint.
type generation struct {
	counts map[uint64]int
	// confined counts those requests among them that were suspects when they entered, so that no other suspect could
	// enter besides them.
	confined map[uint64]int
}

func newGeneration() *generation {
	return &generation{counts: make(map[uint64]int), confined: make(map[uint64]int)}
}

// add adds n, which is 1 or -1, to the count of the fingerprint, and drops counts of 0.
func add(counts map[uint64]int, fingerprint uint64, n int) {
	if counts[fingerprint] += n; counts[fingerprint] <= 0 {
		delete(counts, fingerprint)
	}
}

// entry is one suspect or quarantined fingerprint.
type entry struct {
	crashes   int // 1 for a suspect, quarantineCrashes for a quarantined fingerprint
	lastCrash time.Time
	crashHost string // the host of the last crash
}

func (e *entry) quarantined() bool { return e.crashes >= quarantineCrashes }

// evictedBefore reports whether e is evicted before f when the limit is reached: suspects before quarantined
// fingerprints, then the least recent crash first.
func (e *entry) evictedBefore(f *entry) bool {
	if e.quarantined() != f.quarantined() {
		return f.quarantined()
	}
	return e.lastCrash.Before(f.lastCrash)
}

// New returns a tracker without suspects.
func New(opts Options) *Tracker {
	if opts.Limit == 0 {
		opts.Limit = defaultLimit
	}
	if opts.Expiry == 0 {
		opts.Expiry = defaultExpiry
	}
	return &Tracker{
		opts:         opts,
		entries:      make(map[uint64]*entry),
		clearedAt:    make(map[uint64]time.Time),
		current:      newGeneration(),
		requestEnded: make(chan struct{}),
	}
}

// Enter implements cicadacross.Quarantine. Its errors are of type Error. The caller calls leave when the request has
// ended; calls after the first have no effect. When the upstream crashed with the request in progress, RecordCrash must
// be called before leave.
func (t *Tracker) Enter(ctx context.Context, fingerprint uint64) (leave func(), err error) {
	for {
		leave, wait, err := t.enter(fingerprint)
		if wait == nil {
			return leave, err
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, wrapError("enter", KindWaiting, ctx.Err(), "the request waited to be the only suspect in progress")
		}
	}
}

// enter tries once to enter. It returns leave when the request may run, a channel when the request is a suspect and
// another one is in progress, or an error when it is quarantined. The channel is closed when it may try again.
func (t *Tracker) enter(fingerprint uint64) (leave func(), wait <-chan struct{}, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opts.Timers.Now()
	e := t.entry(fingerprint, now)
	if e != nil && e.quarantined() {
		return nil, nil, newError("enter", KindQuarantined, "the request was in progress at %d crashes, last on host %q",
			e.crashes, e.crashHost)
	}
	if e != nil && t.suspectInProgress(now) {
		return nil, t.requestEnded, nil
	}
	add(t.current.counts, fingerprint, 1)
	if e != nil {
		add(t.current.confined, fingerprint, 1)
	}
	r := &activeRequest{tracker: t, fingerprint: fingerprint, suspect: e != nil, startedAt: now, generation: t.current}
	return r.end, nil, nil
}

func (t *Tracker) suspectInProgress(now time.Time) bool {
	for fingerprint := range t.current.counts {
		if t.entry(fingerprint, now) != nil {
			return true
		}
	}
	return false
}

// entry returns the entry of the fingerprint, or nil when there is none. It removes an entry that has expired. The
// caller must hold mu.
func (t *Tracker) entry(fingerprint uint64, now time.Time) *entry {
	e, ok := t.entries[fingerprint]
	if !ok {
		return nil
	}
	if now.Sub(e.lastCrash) >= t.opts.Expiry {
		delete(t.entries, fingerprint)
		return nil
	}
	return e
}

// activeRequest is one request in progress.
type activeRequest struct {
	tracker     *Tracker
	fingerprint uint64
	// suspect reports that the request was a suspect when it entered; no other suspect was in progress then.
	suspect    bool
	startedAt  time.Time
	generation *generation
	ended      bool
}

// end is the leave function that Enter returns. A suspect that completed without a crash is then no longer a suspect.
func (r *activeRequest) end() {
	t := r.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.ended {
		return
	}
	r.ended = true
	add(r.generation.counts, r.fingerprint, -1)
	if r.suspect {
		add(r.generation.confined, r.fingerprint, -1)
	}
	if r.generation != t.current {
		return
	}
	now := t.opts.Timers.Now()
	if r.suspect {
		t.clearSuspect(r.fingerprint, r.startedAt, now)
	}
	t.wakeWaiters()
}

// clearSuspect removes the suspect, unless it is quarantined or a crash was recorded for it after its request started.
func (t *Tracker) clearSuspect(fingerprint uint64, startedAt, now time.Time) {
	e := t.entry(fingerprint, now)
	if e == nil || e.quarantined() || e.lastCrash.After(startedAt) {
		return
	}
	delete(t.entries, fingerprint)
	if len(t.clearedAt) >= t.opts.Limit {
		t.trimCleared(now)
	}
	t.clearedAt[fingerprint] = now
}

// trimCleared removes the expired entries of clearedAt, and the oldest one if none has expired.
func (t *Tracker) trimCleared(now time.Time) {
	var oldest uint64
	var oldestTime time.Time
	for fingerprint, at := range t.clearedAt {
		if now.Sub(at) >= t.opts.Expiry {
			delete(t.clearedAt, fingerprint)
			continue
		}
		if oldestTime.IsZero() || at.Before(oldestTime) {
			oldest, oldestTime = fingerprint, at
		}
	}
	if len(t.clearedAt) >= t.opts.Limit {
		delete(t.clearedAt, oldest)
	}
}

// wakeWaiters lets the waiting suspects try again.
func (t *Tracker) wakeWaiters() {
	close(t.requestEnded)
	t.requestEnded = make(chan struct{})
}

// RecordCrash implements cicadacross.Quarantine. When exactly one suspect was in progress, and was one when it entered,
// it is quarantined. One that became a suspect while it was in progress, by a report from another daemon, stays a
// suspect: upstreams that run the same popular page may crash at the same time for another reason. Requests in progress
// that weren't suspects become suspects, since each of them may have caused the crash.
func (t *Tracker) RecordCrash() {
	t.recordCrash()
	if t.opts.OnCrash != nil {
		t.opts.OnCrash()
	}
}

func (t *Tracker) recordCrash() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opts.Timers.Now()
	inProgress, confined := t.current.counts, t.current.confined
	t.current = newGeneration()
	var suspects []*entry
	var others []uint64
	wasConfined := false
	for fingerprint := range inProgress {
		if e := t.entry(fingerprint, now); e != nil {
			e.lastCrash, e.crashHost = now, t.opts.Host
			suspects = append(suspects, e)
			wasConfined = wasConfined || confined[fingerprint] > 0
			continue
		}
		others = append(others, fingerprint)
	}
	if len(suspects) == 1 && wasConfined {
		suspects[0].crashes = quarantineCrashes
	}
	// The new suspects are added last: the entries above already have the new crash time then, so that they aren't the
	// first to be evicted.
	for _, fingerprint := range others {
		t.add(fingerprint, &entry{crashes: 1, lastCrash: now, crashHost: t.opts.Host}, now)
	}
	t.wakeWaiters()
}

// add adds the entry. When the limit is reached, it evicts the entry that evictedBefore orders first; if that is the
// new one, it isn't added.
func (t *Tracker) add(fingerprint uint64, e *entry, now time.Time) {
	if len(t.entries) >= t.opts.Limit {
		t.removeExpired(now)
	}
	if len(t.entries) >= t.opts.Limit {
		evicted, f := t.nextEvicted()
		if e.evictedBefore(f) {
			return
		}
		delete(t.entries, evicted)
	}
	t.entries[fingerprint] = e
}

func (t *Tracker) removeExpired(now time.Time) {
	for fingerprint := range t.entries {
		t.entry(fingerprint, now)
	}
}

func (t *Tracker) nextEvicted() (uint64, *entry) {
	var fingerprint uint64
	var evicted *entry
	for f, e := range t.entries {
		if evicted == nil || e.evictedBefore(evicted) {
			fingerprint, evicted = f, e
		}
	}
	return fingerprint, evicted
}

// IsQuarantined implements cicadacross.Quarantine.
func (t *Tracker) IsQuarantined(fingerprint uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entry(fingerprint, t.opts.Timers.Now())
	return e != nil && e.quarantined()
}

// IsSuspect implements cicadacross.Quarantine. A daemon sends a suspect only to the target that ConfinedTarget returns.
func (t *Tracker) IsSuspect(fingerprint uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.entry(fingerprint, t.opts.Timers.Now()) != nil
}

// Suspects implements cicadacross.Quarantine. It returns at most MaxSuspects, the quarantined ones first, so that a
// crash with many requests in progress doesn't keep others from learning of them.
func (t *Tracker) Suspects() []cicadacross.Suspect {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opts.Timers.Now()
	t.removeExpired(now)
	list := make([]cicadacross.Suspect, 0, len(t.entries))
	for fingerprint, e := range t.entries {
		list = append(list, cicadacross.Suspect{
			Fingerprint: fingerprint, Crashes: e.crashes, Age: now.Sub(e.lastCrash), Host: e.crashHost,
		})
	}
	slices.SortFunc(list, func(a, b cicadacross.Suspect) int {
		return cmp.Or(-cmp.Compare(min(a.Crashes, quarantineCrashes), min(b.Crashes, quarantineCrashes)),
			cmp.Compare(a.Age, b.Age), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return list[:min(len(list), MaxSuspects)]
}

// Merge implements cicadacross.Quarantine. It never lowers a crash count or crash time, and ignores crashes that
// happened before the fingerprint was cleared on this host.
func (t *Tracker) Merge(suspects []cicadacross.Suspect) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opts.Timers.Now()
	for _, s := range suspects {
		if s.Crashes < 1 || s.Age >= t.opts.Expiry {
			continue
		}
		reported := &entry{
			crashes: min(s.Crashes, quarantineCrashes), lastCrash: now.Add(-max(s.Age, 0)), crashHost: s.Host,
		}
		if cleared, ok := t.clearedAt[s.Fingerprint]; ok && !reported.lastCrash.After(cleared) {
			continue
		}
		e := t.entry(s.Fingerprint, now)
		if e == nil {
			t.add(s.Fingerprint, reported, now)
			continue
		}
		e.crashes = max(e.crashes, reported.crashes)
		if reported.lastCrash.Sub(e.lastCrash) > sameCrashTolerance {
			e.lastCrash, e.crashHost = reported.lastCrash, reported.crashHost
		}
	}
}
