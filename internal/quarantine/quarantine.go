// Package quarantine keeps requests that crash upstreams from reaching more of them.
//
// A crash makes suspects of all requests in progress. A suspect runs only while no other suspect does on the same
// upstream, so that a second crash names it; it is then refused for the expiry time. A suspect that completes without
// a crash is cleared. Requests are told apart by Fingerprint.
//
// # How many targets one fingerprint can take down
//
// Let k be the number of targets on which the fingerprint is in progress when the first of them crashes. The daemon
// announces a crash to all members at once (OnCrash), and the failure that the ingress daemon receives names the
// suspects. A member that misses the announcement learns of them by the exchange between daemons. With one exchange by
// each daemon with one random other every 2 s, all 600 daemons were informed after 5 to 8 rounds in 100 trials, that is
// within 16 s; 13 daemons after 2 to 4 rounds, within 8 s. Until an ingress daemon is informed, it sends the
// fingerprint to any target. Let u be the number of sends by daemons that aren't informed. When every informed daemon
// sends a suspect only to the target that ConfinedTarget returns, at most k + u + 1 targets go down: the last one is
// the confined target, where the second crash quarantines the fingerprint (the third one, if that target wasn't
// informed at the first). How long the quarantine takes to spread no longer matters, since that target already refuses.
// Without ConfinedTarget, each send while the quarantine spreads can take down one more target.
//
// Without the announcement, a caller that sends again every s seconds makes u at most 16/s in a fleet of 600. u is 0
// for requests with an idempotency key, which all go to one owner, and for sends through the ingress daemon that saw
// the crash.
//
// A fingerprint that stays in use after the expiry starts over, so these are bounds for one expiry time.
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
	// MaxSuspects is the most suspects that Suspects returns, so that an exchange stays small.
	MaxSuspects = 64

	defaultLimit  = 256
	defaultExpiry = 10 * time.Minute

	// quarantineCrashes is the number of crashes that quarantines a fingerprint.
	quarantineCrashes = 2

	// sameCrash is the largest difference between two reports of one crash. A report gets younger by the time that it
	// travels; without the tolerance, two daemons that tell each other the same crash would keep it from expiring.
	sameCrash = 5 * time.Second
)

// Options configures a Tracker. Host and Timers are required.
type Options struct {
	// Host is the host of the upstream.
	Host   string
	Timers cicadacross.Timers
	// Limit bounds the suspects and quarantined fingerprints together; 0 means 256.
	Limit int
	// Expiry is the time after the last crash at which a fingerprint is forgotten; 0 means 10 min.
	Expiry time.Duration
	// OnCrash is called after each crash, without a lock, so that other daemons are told of the suspects; it may be nil.
	OnCrash func()
}

// Tracker implements cicadacross.Quarantine for one upstream. It is safe for concurrent use.
type Tracker struct {
	opts Options

	mu      sync.Mutex
	entries map[uint64]*entry
	// cleared holds when each fingerprint was cleared here, so that other daemons' reports of earlier crashes don't
	// bring it back.
	cleared map[uint64]time.Time
	// present holds the requests in progress. Crashed replaces it, since those requests are over.
	present *generation
	// freed is closed when a suspect leaves.
	freed chan struct{}
}

var _ cicadacross.Quarantine = (*Tracker)(nil)

// generation counts the requests in progress between two crashes, by fingerprint.
type generation struct {
	counts map[uint64]int
}

func newGeneration() *generation { return &generation{counts: make(map[uint64]int)} }

type entry struct {
	crashes int
	last    time.Time
	host    string
}

func (e *entry) quarantined() bool { return e.crashes >= quarantineCrashes }

// weaker reports whether e is given up before f when there is no room for both.
func (e *entry) weaker(f *entry) bool {
	if e.quarantined() != f.quarantined() {
		return f.quarantined()
	}
	return e.last.Before(f.last)
}

// New returns a keeper without suspects.
func New(opts Options) *Tracker {
	if opts.Limit == 0 {
		opts.Limit = defaultLimit
	}
	if opts.Expiry == 0 {
		opts.Expiry = defaultExpiry
	}
	return &Tracker{
		opts:    opts,
		entries: make(map[uint64]*entry),
		cleared: make(map[uint64]time.Time),
		present: newGeneration(),
		freed:   make(chan struct{}),
	}
}

// Enter implements cicadacross.Quarantine. Its errors are of this package. The returned function may be called more
// than once. When the upstream crashed with the request in progress, Crashed must be called before it.
func (k *Tracker) Enter(ctx context.Context, fingerprint uint64) (leave func(), err error) {
	for {
		leave, wait, err := k.enter(fingerprint)
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

// enter returns leave, or wait when a suspect can't run yet, or an error.
func (k *Tracker) enter(fingerprint uint64) (leave func(), wait <-chan struct{}, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.opts.Timers.Now()
	e := k.entry(fingerprint, now)
	if e != nil && e.quarantined() {
		return nil, nil, newError("enter", KindQuarantined, "the request was in progress at %d crashes, last on host %q",
			e.crashes, e.host)
	}
	if e != nil && k.suspectInProgress(now) {
		return nil, k.freed, nil
	}
	k.present.counts[fingerprint]++
	r := &run{keeper: k, fingerprint: fingerprint, suspect: e != nil, begun: now, generation: k.present}
	return r.leave, nil, nil
}

func (k *Tracker) suspectInProgress(now time.Time) bool {
	for fingerprint := range k.present.counts {
		if k.entry(fingerprint, now) != nil {
			return true
		}
	}
	return false
}

// entry returns the entry of the fingerprint unless it has expired.
func (k *Tracker) entry(fingerprint uint64, now time.Time) *entry {
	e, ok := k.entries[fingerprint]
	if !ok {
		return nil
	}
	if now.Sub(e.last) >= k.opts.Expiry {
		delete(k.entries, fingerprint)
		return nil
	}
	return e
}

// run is one request in progress.
type run struct {
	keeper      *Tracker
	fingerprint uint64
	// suspect says that the request entered as the only suspect.
	suspect    bool
	begun      time.Time
	generation *generation
	left       bool
}

// leave ends the request, and clears a suspect that completed without a crash.
func (r *run) leave() {
	k := r.keeper
	k.mu.Lock()
	defer k.mu.Unlock()
	if r.left {
		return
	}
	r.left = true
	counts := r.generation.counts
	if counts[r.fingerprint]--; counts[r.fingerprint] <= 0 {
		delete(counts, r.fingerprint)
	}
	if r.generation != k.present {
		return
	}
	now := k.opts.Timers.Now()
	if r.suspect {
		k.clear(r.fingerprint, r.begun, now)
	}
	k.wake()
}

// clear forgets the suspect, unless a crash after the run began says otherwise.
func (k *Tracker) clear(fingerprint uint64, begun, now time.Time) {
	e := k.entry(fingerprint, now)
	if e == nil || e.quarantined() || e.last.After(begun) {
		return
	}
	delete(k.entries, fingerprint)
	if len(k.cleared) >= k.opts.Limit {
		k.forgetCleared(now)
	}
	k.cleared[fingerprint] = now
}

// forgetCleared drops the expired notes of cleared fingerprints, and the oldest one if none has expired.
func (k *Tracker) forgetCleared(now time.Time) {
	var oldest uint64
	var oldestTime time.Time
	for fingerprint, at := range k.cleared {
		if now.Sub(at) >= k.opts.Expiry {
			delete(k.cleared, fingerprint)
			continue
		}
		if oldestTime.IsZero() || at.Before(oldestTime) {
			oldest, oldestTime = fingerprint, at
		}
	}
	if len(k.cleared) >= k.opts.Limit {
		delete(k.cleared, oldest)
	}
}

// wake lets the waiting suspects try again.
func (k *Tracker) wake() {
	close(k.freed)
	k.freed = make(chan struct{})
}

// RecordCrash implements cicadacross.Quarantine. When exactly one suspect was in progress, it is quarantined. All other
// requests in progress become suspects, since the crash may have been the first of any of them.
func (k *Tracker) RecordCrash() {
	k.crashed()
	if k.opts.OnCrash != nil {
		k.opts.OnCrash()
	}
}

func (k *Tracker) crashed() {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.opts.Timers.Now()
	present := k.present.counts
	k.present = newGeneration()
	var suspects []*entry
	var others []uint64
	for fingerprint := range present {
		if e := k.entry(fingerprint, now); e != nil {
			e.last, e.host = now, k.opts.Host
			suspects = append(suspects, e)
			continue
		}
		others = append(others, fingerprint)
	}
	if len(suspects) == 1 {
		suspects[0].crashes = quarantineCrashes
	}
	// These come last: the entries above are up to date by now, so that none of them gives way.
	for _, fingerprint := range others {
		k.add(fingerprint, &entry{crashes: 1, last: now, host: k.opts.Host}, now)
	}
	k.wake()
}

// add puts the entry in. When there is no room, the weakest entry is given up, which may be the new one.
func (k *Tracker) add(fingerprint uint64, e *entry, now time.Time) {
	if len(k.entries) >= k.opts.Limit {
		k.dropExpired(now)
	}
	if len(k.entries) >= k.opts.Limit {
		weakest, f := k.weakest()
		if e.weaker(f) {
			return
		}
		delete(k.entries, weakest)
	}
	k.entries[fingerprint] = e
}

func (k *Tracker) dropExpired(now time.Time) {
	for fingerprint := range k.entries {
		k.entry(fingerprint, now)
	}
}

func (k *Tracker) weakest() (uint64, *entry) {
	var fingerprint uint64
	var weakest *entry
	for f, e := range k.entries {
		if weakest == nil || e.weaker(weakest) {
			fingerprint, weakest = f, e
		}
	}
	return fingerprint, weakest
}

// IsQuarantined implements cicadacross.Quarantine.
func (k *Tracker) IsQuarantined(fingerprint uint64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	e := k.entry(fingerprint, k.opts.Timers.Now())
	return e != nil && e.quarantined()
}

// IsSuspect reports whether the fingerprint is a suspect or quarantined. A daemon sends it to the target that
// ConfinedTarget returns, and to no other.
func (k *Tracker) IsSuspect(fingerprint uint64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.entry(fingerprint, k.opts.Timers.Now()) != nil
}

// Suspects implements cicadacross.Quarantine. It returns at most MaxSuspects.
func (k *Tracker) Suspects() []cicadacross.Suspect {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.opts.Timers.Now()
	k.dropExpired(now)
	list := make([]cicadacross.Suspect, 0, len(k.entries))
	for fingerprint, e := range k.entries {
		list = append(list, cicadacross.Suspect{
			Fingerprint: fingerprint, Crashes: e.crashes, Age: now.Sub(e.last), Host: e.host,
		})
	}
	slices.SortFunc(list, func(a, b cicadacross.Suspect) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return list[:min(len(list), MaxSuspects)]
}

// Merge implements cicadacross.Quarantine. It never weakens what is known here, and ignores crashes before the
// fingerprint was cleared here.
func (k *Tracker) Merge(suspects []cicadacross.Suspect) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.opts.Timers.Now()
	for _, s := range suspects {
		if s.Crashes < 1 || s.Age >= k.opts.Expiry {
			continue
		}
		told := &entry{crashes: min(s.Crashes, quarantineCrashes), last: now.Add(-max(s.Age, 0)), host: s.Host}
		if cleared, ok := k.cleared[s.Fingerprint]; ok && !told.last.After(cleared) {
			continue
		}
		e := k.entry(s.Fingerprint, now)
		if e == nil {
			k.add(s.Fingerprint, told, now)
			continue
		}
		e.crashes = max(e.crashes, told.crashes)
		if told.last.Sub(e.last) > sameCrash {
			e.last, e.host = told.last, told.host
		}
	}
}
