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
	// defaultDecisions is the number of decisions that are kept.
	defaultDecisions = 32_768
	// defaultLines is the number of log lines a second.
	defaultLines = 100
	// The bounds of one decision, in bytes of text, bound the memory of the whole log whatever callers send.
	maxRequestID = 128
	maxReasons   = 16
	maxText      = 1024
)

// Decision is one routing or placement decision.
type Decision struct {
	Decision string   `json:"decision"`
	Reasons  []Reason `json:"reasons,omitempty"`
	// Age is the time since the decision.
	Age Age `json:"age_ms"`
}

// Reason is one fact on which a decision was based.
type Reason struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// DecisionLogOptions configures a decision log. Timers is required.
type DecisionLogOptions struct {
	Timers cicadacross.Timers
	// Capacity is the number of decisions that are kept; 0 means 32,768.
	Capacity int
	// Log receives a line for each decision; the zero Logger drops it.
	Log logr.Logger
	// LinesPerSecond bounds the lines to the log; 0 means 100, below 0 means none. The next line says how many were
	// left out.
	LinesPerSecond int
}

// DecisionLog keeps the latest decisions in memory and writes them to the log. It is safe for concurrent use.
//
// The decisions form one ring rather than one record for each request: a chain of calls shares a request ID, so that a
// bound for each request would lose the later calls of the chain.
type DecisionLog struct {
	timers cicadacross.Timers
	log    logr.Logger
	lines  *rate.Limiter

	mu      sync.Mutex
	entries []decisionEntry
	next    int
	leftOut int
}

// decisionEntry is one place in the ring. The slice is used again by the next decision in the place, so that Record
// allocates nothing once the ring is full.
type decisionEntry struct {
	requestID string
	decision  string
	at        time.Time
	pairs     []any
}

var _ cicadacross.DecisionRecorder = (*DecisionLog)(nil)

// NewDecisionLog returns an empty log. Its memory grows with use up to the capacity.
func NewDecisionLog(opts DecisionLogOptions) *DecisionLog {
	if opts.Capacity <= 0 {
		opts.Capacity = defaultDecisions
	}
	if opts.LinesPerSecond == 0 {
		opts.LinesPerSecond = defaultLines
	}
	lines := max(opts.LinesPerSecond, 0)
	return &DecisionLog{
		timers:  opts.Timers,
		log:     opts.Log,
		lines:   rate.NewLimiter(rate.Limit(lines), lines),
		entries: make([]decisionEntry, 0, opts.Capacity),
	}
}

// Record implements cicadacross.DecisionRecorder. Texts are cut to the bounds of one decision. Values other than texts,
// booleans and numbers are turned into text at once, since they may change later.
func (l *DecisionLog) Record(requestID, decision string, keysAndValues ...any) {
	if line := l.record(cut(requestID, maxRequestID), decision, keysAndValues); line != nil {
		l.log.Info("decision", line...)
	}
}

// record keeps the decision and returns its log line, or nil when it is left out.
func (l *DecisionLog) record(requestID, decision string, keysAndValues []any) []any {
	now := l.timers.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.place()
	e.requestID, e.decision, e.at = requestID, decision, now
	e.keep(keysAndValues)
	if !l.lines.AllowN(now, 1) {
		l.leftOut++
		return nil
	}
	line := append([]any{"request", requestID, "decision", decision}, e.pairs...)
	if l.leftOut > 0 {
		line = append(line, "left_out", l.leftOut)
		l.leftOut = 0
	}
	return line
}

// place returns the place of the next decision. The lock is held.
func (l *DecisionLog) place() *decisionEntry {
	if n := len(l.entries); n < cap(l.entries) {
		l.entries = l.entries[:n+1]
		return &l.entries[n]
	}
	e := &l.entries[l.next]
	l.next = (l.next + 1) % len(l.entries)
	return e
}

// keep stores the pairs within the bounds.
func (e *decisionEntry) keep(keysAndValues []any) {
	clear(e.pairs)
	e.pairs = e.pairs[:0]
	left := maxText
	for i := 0; i < len(keysAndValues) && i < 2*maxReasons && left > 0; i += 2 {
		value := any("")
		if i+1 < len(keysAndValues) {
			value = keysAndValues[i+1]
		}
		e.pairs = append(e.pairs, bounded(keysAndValues[i], &left), bounded(value, &left))
	}
}

// bounded returns the value, or its text cut to what is left, and takes the length of the text from left.
func bounded(value any, left *int) any {
	switch v := value.(type) {
	case bool, int, int32, int64, uint, uint32, uint64, float64, time.Duration:
		return value
	case string:
		if len(v) <= *left {
			*left -= len(v)
			return value
		}
	}
	text := cut(fmt.Sprint(value), max(*left, 0))
	*left -= len(text)
	return text
}

// Decisions returns the decisions of the request that are still kept, the earliest first.
func (l *DecisionLog) Decisions(requestID string) []Decision {
	requestID = cut(requestID, maxRequestID)
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

// Flush logs the number of lines left out since the last line, if there are any.
func (l *DecisionLog) Flush() {
	l.mu.Lock()
	leftOut := l.leftOut
	l.leftOut = 0
	l.mu.Unlock()
	if leftOut > 0 {
		l.log.Info("decisions left out", "left_out", leftOut)
	}
}

// cut returns the text, or about its first bytes when it is longer. The copy lets go of the memory of the whole text.
func cut(text string, most int) string {
	if len(text) <= most {
		return text
	}
	return strings.ToValidUTF8(text[:most], "") + "..."
}
