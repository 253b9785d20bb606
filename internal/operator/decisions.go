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
	defaultDecisions = 16_384
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

// DecisionLogOptions configures a decision log.
type DecisionLogOptions struct {
	Timers cicadacross.Timers
	// Capacity is the number of decisions that are kept; 0 means 16,384.
	Capacity int
	// Log receives a line for each decision; the zero Logger drops it.
	Log logr.Logger
	// LinesPerSecond bounds the lines to the log; 0 means 100. The next line says how many were left out.
	LinesPerSecond int
}

// DecisionLog keeps the latest decisions in memory and writes them to the log. It is safe for concurrent use.
type DecisionLog struct {
	timers cicadacross.Timers
	log    logr.Logger
	lines  *rate.Limiter

	mu      sync.Mutex
	entries []decisionEntry
	next    int
	omitted int
}

type decisionEntry struct {
	requestID string
	decision  string
	reasons   []Reason
	at        time.Time
}

var _ cicadacross.Decisions = (*DecisionLog)(nil)

// NewDecisionLog returns an empty log. Its memory grows with use up to the capacity.
func NewDecisionLog(opts DecisionLogOptions) *DecisionLog {
	if opts.Capacity <= 0 {
		opts.Capacity = defaultDecisions
	}
	if opts.LinesPerSecond <= 0 {
		opts.LinesPerSecond = defaultLines
	}
	return &DecisionLog{
		timers:  opts.Timers,
		log:     opts.Log,
		lines:   rate.NewLimiter(rate.Limit(opts.LinesPerSecond), opts.LinesPerSecond),
		entries: make([]decisionEntry, 0, opts.Capacity),
	}
}

// Record implements cicadacross.Decisions. Values are turned into text at once, since they may change later.
func (l *DecisionLog) Record(requestID, decision string, keysAndValues ...any) {
	requestID = cut(requestID, maxRequestID)
	entry := decisionEntry{requestID: requestID, decision: decision, at: l.timers.Now()}
	left := maxText
	for i := 0; i < len(keysAndValues) && len(entry.reasons) < maxReasons && left > 0; i += 2 {
		reason := Reason{Key: cut(fmt.Sprint(keysAndValues[i]), left)}
		left -= len(reason.Key)
		if i+1 < len(keysAndValues) {
			reason.Value = cut(fmt.Sprint(keysAndValues[i+1]), max(left, 0))
			left -= len(reason.Value)
		}
		entry.reasons = append(entry.reasons, reason)
	}
	omitted, write := l.keep(entry)
	if !write {
		return
	}
	line := []any{"request", requestID}
	for _, r := range entry.reasons {
		line = append(line, r.Key, r.Value)
	}
	if omitted > 0 {
		line = append(line, "omitted", omitted)
	}
	l.log.Info(decision, line...)
}

// keep stores the entry and reports whether it gets a log line, with the number of entries that got none before it.
func (l *DecisionLog) keep(entry decisionEntry) (omitted int, write bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.entries) < cap(l.entries) {
		l.entries = append(l.entries, entry)
	} else {
		l.entries[l.next] = entry
		l.next = (l.next + 1) % len(l.entries)
	}
	if !l.lines.AllowN(entry.at, 1) {
		l.omitted++
		return 0, false
	}
	omitted, l.omitted = l.omitted, 0
	return omitted, true
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
			decisions = append(decisions, Decision{Decision: e.decision, Reasons: e.reasons, Age: Age(now.Sub(e.at))})
		}
	}
	return decisions
}

// cut returns the text, or about its first bytes when it is longer. The copy lets go of the memory of the whole text.
func cut(text string, most int) string {
	if len(text) <= most {
		return text
	}
	return strings.ToValidUTF8(text[:most], "") + "..."
}
