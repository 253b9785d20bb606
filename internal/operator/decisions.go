package operator

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/time/rate"

	"cicadacross"
)

const (
	// defaultCapacity is the default number of decisions that are kept.
	defaultCapacity = 32_768
	// defaultLinesPerSecond is the default rate limit of log lines.
	defaultLinesPerSecond = 100
	// Limits on one decision: the sizes of its request ID and of its reasons (keys and values together) in bytes, and
	// the number of its reasons. They bound the memory of the decision log regardless of what callers send.
	maxRequestIDSize = 128
	maxReasons       = 16
	maxReasonsSize   = 1024
)

// Decision is one routing or placement decision.
type Decision struct {
	Decision string   `json:"decision"`
	Reasons  []Reason `json:"reasons,omitempty"`
	// Age is the time since the decision.
	Age Age `json:"age_ms"`
}

// Reason is one fact on which a decision was based, as a key and a value.
type Reason struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// DecisionLogOptions configures a decision log. Timers is required.
type DecisionLogOptions struct {
	Timers cicadacross.Timers
	// Capacity is the number of decisions that are kept; 0 means 32,768.
	Capacity int
	// Logger receives one line per decision; the zero Logger discards them.
	Logger logr.Logger
	// LinesPerSecond is the rate limit of lines to Logger; 0 means 100, a negative number means no lines. A line after
	// suppressed ones gives their number under the key left_out.
	LinesPerSecond int
}

// DecisionLog keeps the latest decisions in memory and writes them to the log. It is safe for concurrent use.
//
// The decisions are in one ring buffer instead of one record per request: all calls of a chain share a request ID, so a
// limit per request would lose the decisions on the later calls.
type DecisionLog struct {
	timers      cicadacross.Timers
	log         logr.Logger
	lineLimiter *rate.Limiter

	mu      sync.Mutex
	entries []decisionEntry
	// next is the index of the oldest entry, which the next decision overwrites once the ring is full.
	next int
	// suppressed is the number of log lines suppressed since the last line.
	suppressed int
}

// decisionEntry is one entry of the ring buffer. Its slice is reused when the entry is overwritten, so that Record
// doesn't allocate once the ring is full.
type decisionEntry struct {
	requestID string
	decision  string
	at        time.Time
	pairs     []any
}

var _ cicadacross.DecisionRecorder = (*DecisionLog)(nil)

// NewDecisionLog returns an empty decision log.
func NewDecisionLog(opts DecisionLogOptions) *DecisionLog {
	if opts.Capacity <= 0 {
		opts.Capacity = defaultCapacity
	}
	if opts.LinesPerSecond == 0 {
		opts.LinesPerSecond = defaultLinesPerSecond
	}
	linesPerSecond := max(opts.LinesPerSecond, 0)
	return &DecisionLog{
		timers:      opts.Timers,
		log:         opts.Logger,
		lineLimiter: rate.NewLimiter(rate.Limit(linesPerSecond), linesPerSecond),
		entries:     make([]decisionEntry, 0, opts.Capacity),
	}
}

// Record implements cicadacross.DecisionRecorder. It truncates strings to the limits of one decision. Values other than
// strings, booleans, numbers and durations are formatted immediately, since they may change later.
func (l *DecisionLog) Record(requestID, decision string, keysAndValues ...any) {
	if line := l.store(truncate(requestID, maxRequestIDSize), decision, keysAndValues); line != nil {
		l.log.Info("decision", line...)
	}
}

// store stores the decision and returns the keys and values of its log line, or nil when the line is suppressed.
func (l *DecisionLog) store(requestID, decision string, keysAndValues []any) []any {
	now := l.timers.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.nextEntry()
	e.requestID, e.decision, e.at = requestID, decision, now
	e.setReasons(keysAndValues)
	if !l.lineLimiter.AllowN(now, 1) {
		l.suppressed++
		return nil
	}
	line := append([]any{"request", requestID, "decision", decision}, e.pairs...)
	if l.suppressed > 0 {
		line = append(line, "left_out", l.suppressed)
		l.suppressed = 0
	}
	return line
}

// nextEntry returns the entry for the next decision. The caller must hold the lock.
func (l *DecisionLog) nextEntry() *decisionEntry {
	if n := len(l.entries); n < cap(l.entries) {
		l.entries = l.entries[:n+1]
		return &l.entries[n]
	}
	e := &l.entries[l.next]
	l.next = (l.next + 1) % len(l.entries)
	return e
}

// setReasons stores the keys and values up to the limits of one decision. A missing last value is stored as "".
func (e *decisionEntry) setReasons(keysAndValues []any) {
	clear(e.pairs)
	e.pairs = e.pairs[:0]
	remaining := maxReasonsSize
	for i := 0; i < len(keysAndValues) && i < 2*maxReasons && remaining > 0; i += 2 {
		value := any("")
		if i+1 < len(keysAndValues) {
			value = keysAndValues[i+1]
		}
		e.pairs = append(e.pairs, truncateValue(keysAndValues[i], &remaining), truncateValue(value, &remaining))
	}
}

// truncateValue returns the value, or its text truncated to the remaining bytes, and subtracts the length of the text
// from remaining. Numbers, booleans and durations don't count.
func truncateValue(value any, remaining *int) any {
	switch v := value.(type) {
	case bool, int, int32, int64, uint, uint32, uint64, float64, time.Duration:
		return value
	case string:
		if len(v) <= *remaining {
			*remaining -= len(v)
			return value
		}
	}
	text := truncate(fmt.Sprint(value), max(*remaining, 0))
	*remaining -= len(text)
	return text
}

// Decisions returns the decisions on the request that are still kept, in the order in which they were recorded.
func (l *DecisionLog) Decisions(requestID string) []Decision {
	requestID = truncate(requestID, maxRequestIDSize)
	now := l.timers.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	decisions := []Decision{}
	for i := range l.entries {
		e := &l.entries[(l.next+i)%len(l.entries)]
		if e.requestID == requestID {
			decisions = append(decisions, Decision{Decision: e.decision, Reasons: e.reasons(), Age: Age(now.Sub(e.at))})
		}
	}
	return decisions
}

func (e *decisionEntry) reasons() []Reason {
	var reasons []Reason
	for i := 0; i < len(e.pairs); i += 2 {
		reasons = append(reasons, Reason{Key: fmt.Sprint(e.pairs[i]), Value: fmt.Sprint(e.pairs[i+1])})
	}
	return reasons
}

// Flush logs the number of lines that were suppressed since the last line, if any.
func (l *DecisionLog) Flush() {
	l.mu.Lock()
	suppressed := l.suppressed
	l.suppressed = 0
	l.mu.Unlock()
	if suppressed > 0 {
		l.log.Info("decisions left out", "left_out", suppressed)
	}
}

// truncate returns the text, or its first limit bytes (less an incomplete character) followed by "..." when it is
// longer. The truncated text is a copy, so that the whole text can be garbage-collected.
func truncate(text string, limit int) string {
	if len(text) <= limit {
		return text
	}
	return strings.ToValidUTF8(text[:limit], "") + "..."
}
