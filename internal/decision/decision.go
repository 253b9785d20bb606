// Package decision records routing and placement decisions: as lines of the log, sampled at high rates, and by request
// for the operator's explain command.
package decision

import (
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/time/rate"

	"cicadacross"
)

const (
	defaultRequests = 8192
	defaultExpiry   = 10 * time.Minute
	// defaultLines keeps the log readable and its cost small; the records by request are complete anyway.
	defaultLines = 100

	// maxEntries and maxPairs bound the memory of one request. With all of the default requests at these bounds, the
	// records take about 32 MB.
	maxEntries = 12
	maxPairs   = 16
)

// Options configures a Book. Timers and Logger are required.
type Options struct {
	Timers cicadacross.Timers
	Logger logr.Logger
	// Requests bounds the requests that are kept; 0 means 8192.
	Requests int
	// Expiry is the time after its first decision at which a request is forgotten; 0 means 10 min.
	Expiry time.Duration
	// LinesPerSecond bounds the lines of the log, with a burst of two seconds; 0 means 100.
	LinesPerSecond int
}

// Entry is one decision.
type Entry struct {
	Time     time.Time
	Decision string
	// KeysAndValues alternates keys and values. Only the first 8 pairs are kept.
	KeysAndValues []any
}

// Book implements cicadacross.Decisions. It is safe for concurrent use.
type Book struct {
	opts    Options
	limiter *rate.Limiter

	mu sync.Mutex
	// slots is a ring of requests; next is the slot to use next, and byID finds the slot of a request.
	slots []slot
	next  int
	byID  map[string]int
	// leftOut counts the lines left out since the last line.
	leftOut int
}

var _ cicadacross.Decisions = (*Book)(nil)

// slot holds one request. Its slices are used again for the next request in the slot.
type slot struct {
	id      string
	begun   time.Time
	entries []Entry
}

// New returns an empty book.
func New(opts Options) *Book {
	if opts.Requests == 0 {
		opts.Requests = defaultRequests
	}
	if opts.Expiry == 0 {
		opts.Expiry = defaultExpiry
	}
	if opts.LinesPerSecond == 0 {
		opts.LinesPerSecond = defaultLines
	}
	return &Book{
		opts:    opts,
		limiter: rate.NewLimiter(rate.Limit(opts.LinesPerSecond), 2*opts.LinesPerSecond),
		byID:    make(map[string]int),
	}
}

// Record implements cicadacross.Decisions. It keeps the values themselves, which must not change afterwards, and no
// reference to the slice.
func (b *Book) Record(requestID, decision string, keysAndValues ...any) {
	now := b.opts.Timers.Now()
	leftOut, logged := b.record(now, requestID, decision, keysAndValues)
	if !logged {
		return
	}
	line := make([]any, 0, len(keysAndValues)+6)
	line = append(line, "request", requestID, "decision", decision)
	line = append(line, keysAndValues...)
	if leftOut > 0 {
		line = append(line, "left_out", leftOut)
	}
	b.opts.Logger.Info("decision", line...)
}

// record keeps the decision and says whether it is logged, with the count of lines left out before it.
func (b *Book) record(now time.Time, requestID, decision string, keysAndValues []any) (leftOut int, logged bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slot(requestID, now).add(now, decision, keysAndValues)
	if !b.limiter.AllowN(now, 1) {
		b.leftOut++
		return 0, false
	}
	leftOut = b.leftOut
	b.leftOut = 0
	return leftOut, true
}

// slot returns the slot of the request. A new request takes the slot of the oldest one when all are in use.
func (b *Book) slot(requestID string, now time.Time) *slot {
	if i, ok := b.byID[requestID]; ok && now.Sub(b.slots[i].begun) < b.opts.Expiry {
		return &b.slots[i]
	}
	i := b.next
	b.next = (b.next + 1) % b.opts.Requests
	if i == len(b.slots) {
		b.slots = append(b.slots, slot{})
	}
	s := &b.slots[i]
	// The old request may have begun again in another slot after it expired.
	if j, ok := b.byID[s.id]; ok && j == i {
		delete(b.byID, s.id)
	}
	s.id, s.begun, s.entries = requestID, now, s.entries[:0]
	b.byID[requestID] = i
	return s
}

func (s *slot) add(now time.Time, decision string, keysAndValues []any) {
	n := len(s.entries)
	if n == maxEntries {
		return
	}
	if n < cap(s.entries) {
		s.entries = s.entries[:n+1]
	} else {
		s.entries = append(s.entries, Entry{})
	}
	e := &s.entries[n]
	e.Time, e.Decision = now, decision
	e.KeysAndValues = append(e.KeysAndValues[:0], keysAndValues[:min(len(keysAndValues), maxPairs)]...)
}

// Find returns the decisions of the request in the order in which they were recorded, the first 12 at most, or nil when
// none is known.
func (b *Book) Find(requestID string) []Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	i, ok := b.byID[requestID]
	if !ok || b.opts.Timers.Now().Sub(b.slots[i].begun) >= b.opts.Expiry {
		return nil
	}
	entries := slices.Clone(b.slots[i].entries)
	for j := range entries {
		entries[j].KeysAndValues = slices.Clone(entries[j].KeysAndValues)
	}
	return entries
}

// Flush logs the count of lines left out since the last line, if there are any.
func (b *Book) Flush() {
	b.mu.Lock()
	leftOut := b.leftOut
	b.leftOut = 0
	b.mu.Unlock()
	if leftOut > 0 {
		b.opts.Logger.Info("decisions left out", "left_out", leftOut)
	}
}
