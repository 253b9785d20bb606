package daemon

import (
	"github.com/rcrowley/go-metrics"

	"cicadacross"
)

// outcomeCounter counts the outcomes of the requests that this daemon received from callers and forwards all decisions
// to a recorder. The last decision of the ingress on a request determines its outcome. It is safe for concurrent use.
type outcomeCounter struct {
	recorder cicadacross.DecisionRecorder
	// done, notRun and unknown count the outcomes; aborted counts responses that ended early after their header was
	// sent.
	done, notRun, unknown, aborted metrics.Counter
}

var _ cicadacross.DecisionRecorder = (*outcomeCounter)(nil)

func newOutcomeCounter(recorder cicadacross.DecisionRecorder, r metrics.Registry) *outcomeCounter {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("requests."+name, r) }
	return &outcomeCounter{
		recorder: recorder, done: counter("done"), notRun: counter("not_run"), unknown: counter("unknown"),
		aborted: counter("aborted"),
	}
}

// Record counts and forwards the decision. It implements cicadacross.DecisionRecorder.
func (c *outcomeCounter) Record(requestID, decision string, keysAndValues ...any) {
	c.count(decision, keysAndValues)
	c.recorder.Record(requestID, decision, keysAndValues...)
}

func (c *outcomeCounter) count(decision string, keysAndValues []any) {
	if findValue("side", keysAndValues) != "ingress" {
		return
	}
	switch decision {
	case "answer":
		c.done.Inc(1)
	case "abort":
		c.aborted.Inc(1)
	case "refuse":
		if findValue("outcome", keysAndValues) == cicadacross.OutcomeNotRun.String() {
			c.notRun.Inc(1)
		} else {
			c.unknown.Inc(1)
		}
	}
}

// findValue returns the value of the key in alternating keys and values, or nil when there is none.
func findValue(key string, keysAndValues []any) any {
	for i := 0; i+1 < len(keysAndValues); i += 2 {
		if keysAndValues[i] == key {
			return keysAndValues[i+1]
		}
	}
	return nil
}
