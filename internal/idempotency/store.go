// Package idempotency keeps the records by which a request that must not repeat runs at most once.
//
// Each key has one owner, the first of the service's targets by rendezvous hashing (see Owner), and only its daemon
// runs the key. When a configuration moves a key, the new owner asks the earlier ones before it runs the key (see
// Claim). An earlier owner that didn't run the key fences it: it refuses the key until it owns it again by a later
// configuration and the asker has given it up in turn. So of two owners at different versions at most one can run a
// key, whichever version the sender used.
//
// A fence speaks of the answering host only. When a key moved from a first owner to a second and on to a third, the
// third asks both itself: the second may not have asked the first.
//
// A daemon that has just started knows neither what its predecessor ran nor which other hosts owned its keys by
// versions that it never applied. The first is solved by age: it refuses keys that may be older than itself, for one
// repeat window. The second is the gap in its history: while the gap is open, it refuses. The gap closes when another
// daemon has told its history, which takes one call; or, where no daemon knows it, when every target of the service
// and every host that the configuration no longer has was seen with the daemon's version or a later one; or after
// OwnerObligation. A daemon that skipped versions has such
// a gap too. Comparing the parts before and after the skip wouldn't do: a skipped version may have moved a key away
// and the next one back.
package idempotency

import (
	"container/list"
	"context"
	"sync"
	"time"

	"cicadacross"
)

const (
	// DefaultWindow is the time within which a caller may send a key again.
	DefaultWindow = 10 * time.Minute
	// ClockSkew is the largest difference between the clocks of a caller and a daemon that UUIDv7 keys may have.
	ClockSkew = 5 * time.Second
	// OwnerObligation is the time after which an earlier owner that never followed a change is no longer asked.
	OwnerObligation = 2 * time.Hour
	// MaxReply is the largest reply that is kept, in bytes of body and header together.
	MaxReply = 64 << 10

	defaultMaxRecords = 100_000
	// defaultMaxReplyBytes keeps the replies well within the 256 MB that a daemon may use.
	defaultMaxReplyBytes = 64 << 20
	// defaultClaimWait is long enough for an ordinary request to end, and short against a caller's timeout.
	defaultClaimWait = 200 * time.Millisecond
	// tickInterval bounds how late the store notices that a host has followed a change, and how often it asks for the
	// history.
	tickInterval = time.Second
)

// Options configures a Store. Host, Timers and Claimer are required.
type Options struct {
	// Host is the host of this daemon.
	Host    string
	Timers  cicadacross.Timers
	Claimer Claimer
	// Seen returns the version that the host was last seen with, or false when it wasn't seen. It must not call the
	// store. Nil means that no host was ever seen.
	Seen func(host string) (cicadacross.Version, bool)
	// Members returns the member table, also the hosts that the configuration no longer has but that may still run. It
	// must not call the store. Nil means the hosts of the configuration.
	Members func() []Member
	// Settled reports whether the daemon may trust its configuration, which isn't so right after a pause. It must not
	// call the store. Nil means always.
	Settled func() bool
	// Window is the repeat window, the same in the whole fleet; 0 means DefaultWindow.
	Window time.Duration
	// MaxRecords bounds the records; 0 means 100,000.
	MaxRecords int
	// MaxReplyBytes bounds the kept replies together; 0 means 64 MB. A reply beyond it isn't kept, and a further send
	// of its key is answered as unknown.
	MaxReplyBytes int
	// ClaimWait is how long a claim waits for a key that is running; 0 means 200 ms.
	ClaimWait time.Duration
}

// Member is a daemon of the member table.
type Member struct {
	Host string
	// Peer is the address at which it serves other daemons, as IP:port.
	Peer string
}

func (o Options) withDefaults() Options {
	if o.Seen == nil {
		o.Seen = func(string) (cicadacross.Version, bool) { return cicadacross.Version{}, false }
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
	if o.MaxReplyBytes == 0 {
		o.MaxReplyBytes = defaultMaxReplyBytes
	}
	if o.ClaimWait == 0 {
		o.ClaimWait = defaultClaimWait
	}
	return o
}

// Store keeps the records of the keys that one daemon owns or owned. It is safe for concurrent use.
type Store struct {
	opts    Options
	started time.Time
	cancel  context.CancelFunc
	ended   chan struct{}

	mu         sync.Mutex
	records    map[recordID]*record
	expiring   *list.List // of *record, the next to expire first
	replyBytes int
	history    history
	// gapOpened tells run to ask for the history at once.
	gapOpened chan struct{}
}

var _ cicadacross.IdempotencyStore = (*Store)(nil)

// New returns an empty store. It refuses every key until the first call of Applied. The age of the daemon counts from
// this call.
func New(opts Options) *Store {
	opts = opts.withDefaults()
	return &Store{
		opts:      opts,
		started:   opts.Timers.Now(),
		records:   make(map[recordID]*record),
		expiring:  list.New(),
		history:   newHistory(opts),
		gapOpened: make(chan struct{}, 1),
	}
}

// Start begins to drop expired records and to notice which hosts have followed a change. It must be called once.
func (s *Store) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.ended = make(chan struct{})
	go s.run(ctx)
}

// Close ends what Start began.
func (s *Store) Close() {
	if s.cancel == nil {
		return
	}
	s.cancel()
	<-s.ended
}

func (s *Store) run(ctx context.Context) {
	defer close(s.ended)
	ticker := s.opts.Timers.Every(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.gapOpened:
		case <-ticker.C():
		}
		// One round serves both signals when they come together.
		drain(s.gapOpened)
		drain(ticker.C())
		s.tick(ctx)
	}
}

func drain[T any](c <-chan T) {
	select {
	case <-c:
	default:
	}
}

func (s *Store) tick(ctx context.Context) {
	s.mu.Lock()
	now := s.opts.Timers.Now()
	s.sweep(now)
	s.history.observe(now)
	peer, ok := s.history.helper()
	s.mu.Unlock()
	if !ok {
		return
	}
	told, err := s.opts.Claimer.History(ctx, peer)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history.learn(told, s.opts.Timers.Now())
}

// Tell returns the history that this daemon knows, as the answer to another daemon.
func (s *Store) Tell() History {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.history.tell(s.opts.Timers.Now())
}

// Applied takes a configuration that the daemon has just applied. old is nil at the first one. skipped says that the
// fleet may have applied other versions between the two. A configuration that isn't newer than the present one is
// ignored.
//
// The call must return before the daemon tells another one of the version, since other owners take the version as the
// promise that this daemon no longer runs the keys that it gave away.
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

// remembers reports whether a key without a record certainly didn't run on this host within the repeat window.
func (s *Store) remembers(a age, now time.Time) bool {
	return now.Sub(s.started) >= s.opts.Window || a.after(s.started)
}
