// Package idempotency records the executions of requests with idempotency keys, so that each key runs at most once.
//
// Each key has one owner, which is selected among the service's targets by rendezvous hashing (see Owner), and only the
// daemon of the owner runs the key. When a configuration change moves a key, the new owner asks the earlier owners
// before it runs the key (see Claim). An earlier owner that did not run the key fences it: it refuses the key until it
// owns the key again by a newer configuration and the claiming host has fenced it in turn. Therefore, of two owners
// with different configuration versions, at most one can run a key, whichever version the sender used.
//
// A fence covers only the answering host. When a key moved from a first owner to a second and then to a third, the
// third owner asks both itself, because the second may not have asked the first.
//
// A daemon that has just started lacks two kinds of information. It does not know what the previous process on the host
// ran; for one repeat window it therefore refuses keys that may have been created before its start. Nor does it know
// which other hosts owned its keys by versions that it never applied. This is the gap in its history; while the gap is
// open, the daemon refuses keys for which such an owner may still matter. The gap closes
//   - when another daemon has provided its history, which takes one call; or,
//   - where no daemon has the history, when every target of the service and every host that is no longer in the
//     configuration was observed with the daemon's version or a newer one, at first only for keys that were created
//     after that and one repeat window later for all keys; or
//   - after EarlierOwnerTTL.
//
// A daemon that skipped versions has such a gap too. It is not enough to compare the configurations before and after
// the skipped versions: a skipped version may have moved a key away and the next one back.
package idempotency

import (
	"container/list"
	"context"
	"sync"
	"time"

	"cicadacross"
)

const (
	// DefaultWindow is the default repeat window, the time within which a caller may retry a request with the same key.
	DefaultWindow = 10 * time.Minute
	// ClockSkew is the maximum clock difference between a caller that creates UUIDv7 keys and a daemon.
	ClockSkew = 5 * time.Second
	// EarlierOwnerTTL is the time after which an earlier owner that was never observed with a newer configuration is no
	// longer asked.
	EarlierOwnerTTL = 2 * time.Hour
	// MaxResponseSize is the maximum size of a stored response, body and header together, in bytes.
	MaxResponseSize = 64 << 10

	defaultMaxRecords = 100_000
	// defaultMaxTotalResponseBytes keeps the stored responses well within the 256 MB of memory that a daemon may use.
	defaultMaxTotalResponseBytes = 64 << 20
	// defaultClaimWait is long enough for an ordinary request to end, and short compared to the timeouts of callers.
	defaultClaimWait = 200 * time.Millisecond
	// maintenanceInterval limits the delay until the store notices that a host has caught up with a configuration
	// change, and the rate at which it asks other daemons for their history.
	maintenanceInterval = time.Second
)

// Options configures a Store. Host, Timers and Claimer are required.
type Options struct {
	// Host is the name of the host on which this daemon runs.
	Host    string
	Timers  cicadacross.Timers
	Claimer Claimer
	// LastSeenVersion returns the configuration version that the host was last observed with, or false if it was never
	// observed. It must not call the store. Nil means that no host was ever observed.
	LastSeenVersion func(host string) (cicadacross.Version, bool)
	// Members returns the member table, including hosts that are no longer in the configuration but may still run. It
	// must not call the store. Nil means no members besides the hosts of the configuration.
	Members func() []Member
	// Settled reports whether the daemon may trust its configuration; it may not directly after a pause. It must not
	// call the store. Nil means that it always may.
	Settled func() bool
	// Window is the repeat window, which must be the same in the whole fleet; 0 means DefaultWindow.
	Window time.Duration
	// MaxRecords is the maximum number of records; 0 means 100,000.
	MaxRecords int
	// MaxTotalResponseBytes is the maximum total size of the stored responses; 0 means 64 MiB. A response beyond it is
	// not stored, and later attempts with its key get the outcome unknown.
	MaxTotalResponseBytes int
	// ClaimWait is how long the answer to a claim waits for a running attempt; 0 means 200 ms.
	ClaimWait time.Duration
}

// Member is a daemon in the member table.
type Member struct {
	Host string
	// Peer is the address at which the daemon serves other daemons, as IP:port.
	Peer string
}

func (o Options) withDefaults() Options {
	if o.LastSeenVersion == nil {
		o.LastSeenVersion = func(string) (cicadacross.Version, bool) { return cicadacross.Version{}, false }
	}
	if o.Members == nil {
		o.Members = func() []Member { return nil }
	}
	if o.Settled == nil {
		o.Settled = func() bool { return true }
	}
	if o.Window == 0 {
		o.Window = DefaultWindow
	}
	if o.MaxRecords == 0 {
		o.MaxRecords = defaultMaxRecords
	}
	if o.MaxTotalResponseBytes == 0 {
		o.MaxTotalResponseBytes = defaultMaxTotalResponseBytes
	}
	if o.ClaimWait == 0 {
		o.ClaimWait = defaultClaimWait
	}
	return o
}

// Store holds the records of the keys that this daemon owns or owned. It is safe for concurrent use.
type Store struct {
	opts      Options
	startedAt time.Time
	cancel    context.CancelFunc
	stopped   chan struct{}

	mu            sync.Mutex
	records       map[recordID]*record
	byExpiry      *list.List // of *record, the next to expire first
	responseBytes int
	history       history
	// gapOpened tells run to ask for the history immediately.
	gapOpened chan struct{}
}

var _ cicadacross.IdempotencyStore = (*Store)(nil)

// New returns an empty store, which refuses every key until the first call of Applied. The daemon is considered started
// at the time of this call.
func New(opts Options) *Store {
	opts = opts.withDefaults()
	return &Store{
		opts:      opts,
		startedAt: opts.Timers.Now(),
		records:   make(map[recordID]*record),
		byExpiry:  list.New(),
		history:   newHistory(opts),
		gapOpened: make(chan struct{}, 1),
	}
}

// Start starts a goroutine that removes expired records, records which hosts have caught up with configuration changes
// and asks other daemons for their history. It must be called at most once.
func (s *Store) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.stopped = make(chan struct{})
	go s.run(ctx)
}

// Close stops the goroutine that Start started and waits for its end.
func (s *Store) Close() {
	if s.cancel == nil {
		return
	}
	s.cancel()
	<-s.stopped
}

// run calls maintain periodically, and immediately when the history gets a gap, until ctx ends.
func (s *Store) run(ctx context.Context) {
	defer close(s.stopped)
	ticker := s.opts.Timers.Every(maintenanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.gapOpened:
		case <-ticker.C():
		}
		// When both signals are pending, one call of maintain handles them.
		drain(s.gapOpened)
		drain(ticker.C())
		s.maintain(ctx)
	}
}

// drain removes one pending value from the channel, if there is one.
func drain[T any](c <-chan T) {
	select {
	case <-c:
	default:
	}
}

// maintain does one round of the periodic work, including the history call when the history has a gap. A failed call is
// repeated in the next round, with another daemon.
func (s *Store) maintain(ctx context.Context) {
	s.mu.Lock()
	now := s.opts.Timers.Now()
	s.removeExpired(now)
	s.history.update(now)
	peer, ok := s.history.nextHistoryPeer()
	s.mu.Unlock()
	if !ok {
		return
	}
	remote, err := s.opts.Claimer.History(ctx, peer)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history.merge(remote, s.opts.Timers.Now())
}

// History returns the history of this daemon, for other daemons.
func (s *Store) History() History {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.history.snapshot(s.opts.Timers.Now())
}

// Applied records a configuration that the daemon has just applied. old is the previous configuration, or nil for the
// first one. skipped means that the fleet may have applied other versions in between. A configuration that is not newer
// than the current one is ignored.
//
// The call must return before the daemon announces the version to other daemons: they take the version as the promise
// that this daemon no longer runs keys that moved to other owners.
func (s *Store) Applied(old, applied *cicadacross.Configuration, skipped bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history.apply(old, applied, skipped, s.opts.Timers.Now())
	if s.history.gap == nil {
		return
	}
	select {
	case s.gapOpened <- struct{}{}:
	default:
	}
}

// Len returns the number of records.
func (s *Store) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.records)
}

// missingRecordMeansNotRun reports whether a key without a record certainly did not run on this host within the repeat
// window. It does when the daemon has been up for the whole window, or the key was created after its start.
func (s *Store) missingRecordMeansNotRun(createdAt keyTime, now time.Time) bool {
	return now.Sub(s.startedAt) >= s.opts.Window || createdAt.provenAfter(s.startedAt)
}
