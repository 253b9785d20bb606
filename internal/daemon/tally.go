package daemon

import (
	"github.com/rcrowley/go-metrics"

	"cicadacross"
)

// tally counts the outcomes of the requests that this daemon took from callers, and passes the decisions on. The last
// decision of the ingress about a request says how it ended. It is safe for concurrent use.
type tally struct {
	next cicadacross.DecisionRecorder
	// done, notRun and unknown count the outcomes; aborted counts answers that broke off after their head.
	done, notRun, unknown, aborted metrics.Counter
}

var _ cicadacross.DecisionRecorder = (*tally)(nil)

func newTally(next cicadacross.DecisionRecorder, r metrics.Registry) *tally {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("requests."+name, r) }
	return &tally{
		next: next, done: counter("done"), notRun: counter("not_run"), unknown: counter("unknown"),
		aborted: counter("aborted"),
	}
}

// Record implements cicadacross.DecisionRecorder.
func (t *tally) Record(requestID, decision string, keysAndValues ...any) {
	t.count(decision, keysAndValues)
	t.next.Record(requestID, decision, keysAndValues...)
}

func (t *tally) count(decision string, keysAndValues []any) {
	if valueOf("side", keysAndValues) != "ingress" {
		return
	}
	switch decision {
	case "answer":
		t.done.Inc(1)
	case "abort":
		t.aborted.Inc(1)
	case "refuse":
		if valueOf("outcome", keysAndValues) == cicadacross.OutcomeNotRun.String() {
			t.notRun.Inc(1)
		} else {
			t.unknown.Inc(1)
		}
	}
}

func valueOf(key string, keysAndValues []any) any {
	for i := 0; i+1 < len(keysAndValues); i += 2 {
		if keysAndValues[i] == key {
			return keysAndValues[i+1]
		}
	}
	return nil
}
