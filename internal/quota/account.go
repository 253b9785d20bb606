// Package quota limits the memory that a daemon uses for the requests of callers that it doesn't control. All parts of
// a daemon that keep bytes of requests and responses share one account. When it is used up, holds that make too little
// progress are evicted, the largest first; then further bytes are refused before they are read.
package quota

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"cicadacross"
)

// Use is what memory is held for.
type Use string

// The uses of memory.
const (
	// UseHead is the head of a request that is still arriving.
	UseHead Use = "head"
	// UseBody is the body of a request.
	UseBody Use = "body"
	// UseResponse is a response that a caller has not read yet.
	UseResponse Use = "response"
	// UseFrame is the first message of a request from another daemon.
	UseFrame Use = "frame"
)

// shares holds the part of the capacity that each use may take.
var shares = map[Use]float64{UseHead: 0.25, UseBody: 0.75, UseResponse: 0.75, UseFrame: 0.5}

const (
	// reservedShare is the part of the capacity that is reserved for holds of at most smallSize bytes.
	reservedShare = 0.25
	smallSize     = 16 << 10
	// sourceShare is the part of the capacity that holds of one source may take.
	sourceShare = 0.5
	// evictionAge is the age from which a hold may be evicted, and the time without progress after which it may be.
	evictionAge = time.Second
	// minRate is the progress in bytes per second below which a hold may be evicted. A link of 7 Mbit/s reaches it with
	// 200 transfers at a time.
	minRate = 4 << 10
)

// Options configures an Account.
type Options struct {
	// Capacity is the number of bytes that all holds together may have; 0 means no limit.
	Capacity int64
	Timers   cicadacross.Timers
	// Logger logs refusals and evictions, at most once per logInterval. The zero value discards them.
	Logger logr.Logger
}

const logInterval = 10 * time.Second

// Account counts the memory that is in use. It is safe for concurrent use. A nil Account has no limit.
type Account struct {
	opts Options

	mu       sync.Mutex
	used     int64
	byUse    map[Use]int64
	bySource map[string]int64
	holds    map[*Hold]struct{}
	refused  int64
	evicted  int64
	loggedAt time.Time
}

// New returns an account without holds.
func New(opts Options) *Account {
	if opts.Logger.GetSink() == nil {
		opts.Logger = logr.Discard()
	}
	return &Account{
		opts: opts, byUse: make(map[Use]int64), bySource: make(map[string]int64), holds: make(map[*Hold]struct{}),
	}
}

// Stats is the state of an account.
type Stats struct {
	used, refused, evicted int64
}

// Used returns the number of bytes in use.
func (s Stats) Used() int64 { return s.used }

// Refused returns how often bytes were refused.
func (s Stats) Refused() int64 { return s.refused }

// Evicted returns how many holds were evicted.
func (s Stats) Evicted() int64 { return s.evicted }

// Stats returns the current state.
func (a *Account) Stats() Stats {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Stats{used: a.used, refused: a.refused, evicted: a.evicted}
}

// HoldOptions describes a hold.
type HoldOptions struct {
	Use Use
	// Source identifies the caller; "" means that it is unknown.
	Source string
	// Evict is called at most once, when the hold is evicted; it must make the owner of the hold release its memory. It
	// may be called before Open returns. nil means that the hold can't be evicted.
	Evict func()
}

// Hold is the memory that is used for one purpose. It is safe for concurrent use. A nil Hold has no limit.
type Hold struct {
	account  *Account
	opts     HoldOptions
	opened   time.Time
	active   time.Time // time of the last progress
	progress int64     // bytes
	size     int64     // bytes
	paused   bool
	evicted  bool
	closed   bool
}

// Open returns a hold without memory. Close must be called.
func (a *Account) Open(opts HoldOptions) *Hold {
	if a == nil {
		return nil
	}
	now := a.opts.Timers.Now()
	h := &Hold{account: a, opts: opts, opened: now, active: now}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holds[h] = struct{}{}
	return h
}

// Grow adds n bytes to the hold. It returns an error of KindFull when there is no memory left, which leaves the hold as
// it is, and one of KindEvicted when the hold was evicted.
func (h *Hold) Grow(n int64) error {
	if h == nil {
		return nil
	}
	a := h.account
	a.mu.Lock()
	if h.evicted {
		a.mu.Unlock()
		return newError("grow", KindEvicted, "the transfer was too slow while memory was short")
	}
	var victims []*Hold
	fits := a.fits(h, n)
	if !fits {
		victims = a.evictStalled(h, n)
		fits = a.fits(h, n)
	}
	if fits {
		a.add(h, n)
	} else {
		a.refused++
	}
	logged := !fits || len(victims) > 0
	if logged {
		now := a.opts.Timers.Now()
		if logged = now.Sub(a.loggedAt) >= logInterval; logged {
			a.loggedAt = now
		}
	}
	used, refused, evicted := a.used, a.refused, a.evicted
	a.mu.Unlock()
	if logged {
		a.opts.Logger.Info("memory for callers is used up", "use", h.opts.Use, "used", used, "capacity", a.opts.Capacity,
			"refused", refused, "evicted", evicted)
	}
	for _, v := range victims {
		v.opts.Evict()
	}
	if !fits {
		return newError("grow", KindFull, "no memory is left for %s of %d bytes", h.opts.Use, h.size+n)
	}
	return nil
}

// Progress records that n bytes of the transfer have passed.
func (h *Hold) Progress(n int64) {
	if h == nil || n <= 0 {
		return
	}
	now := h.account.opts.Timers.Now()
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.active = now
	h.progress += n
}

// Pause excludes the hold from eviction, because the transfer doesn't wait for the caller, until Resume is called.
func (h *Hold) Pause() { h.setPaused(true) }

// Resume includes the hold in evictions again. The transfer begins anew for the measurement of its progress.
func (h *Hold) Resume() { h.setPaused(false) }

func (h *Hold) setPaused(paused bool) {
	if h == nil {
		return
	}
	now := h.account.opts.Timers.Now()
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.paused, h.opened, h.active, h.progress = paused, now, now, 0
}

// Evicted reports whether the hold was evicted.
func (h *Hold) Evicted() bool {
	if h == nil {
		return false
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	return h.evicted
}

// Close releases the memory of the hold. Calls after the first have no effect.
func (h *Hold) Close() {
	if h == nil {
		return
	}
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if !h.closed && !h.evicted {
		a.release(h)
	}
	h.closed = true
}

// fits reports whether the hold may have n more bytes.
func (a *Account) fits(h *Hold, n int64) bool {
	capacity := a.opts.Capacity
	if capacity <= 0 {
		return true
	}
	if h.size+n <= smallSize {
		return a.used+n <= capacity
	}
	return a.used+n <= portion(capacity, 1-reservedShare) &&
		a.byUse[h.opts.Use]+n <= portion(capacity, shares[h.opts.Use]) &&
		(h.opts.Source == "" || a.bySource[h.opts.Source]+n <= portion(capacity, sourceShare))
}

func portion(capacity int64, share float64) int64 { return int64(share * float64(capacity)) }

// evictStalled evicts the holds that make too little progress, the largest first, until n more bytes fit into h or none
// is left.
func (a *Account) evictStalled(h *Hold, n int64) []*Hold {
	now := a.opts.Timers.Now()
	var stalled []*Hold
	for other := range a.holds {
		if other != h && other.opts.Evict != nil && other.size > 0 && other.isStalled(now) {
			stalled = append(stalled, other)
		}
	}
	slices.SortFunc(stalled, func(x, y *Hold) int {
		return cmp.Or(cmp.Compare(y.size, x.size), x.active.Compare(y.active))
	})
	for i, victim := range stalled {
		if a.fits(h, n) {
			return stalled[:i]
		}
		victim.evicted = true
		a.evicted++
		a.release(victim)
	}
	return stalled
}

// isStalled reports whether the transfer makes too little progress.
func (h *Hold) isStalled(now time.Time) bool {
	age := now.Sub(h.opened)
	if h.paused || age < evictionAge {
		return false
	}
	return now.Sub(h.active) >= evictionAge || float64(h.progress) < minRate*age.Seconds()
}

func (a *Account) add(h *Hold, n int64) {
	h.size += n
	a.used += n
	a.byUse[h.opts.Use] += n
	if h.opts.Source != "" {
		a.bySource[h.opts.Source] += n
	}
}

func (a *Account) release(h *Hold) {
	delete(a.holds, h)
	size := h.size
	a.add(h, -size)
	if h.opts.Source != "" && a.bySource[h.opts.Source] == 0 {
		delete(a.bySource, h.opts.Source)
	}
}
