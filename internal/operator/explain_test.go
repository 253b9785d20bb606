package operator_test

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"cicadacross/internal/operator"
	"cicadacross/internal/timer"
)

// Guards against decisions of several daemons that are listed in the wrong order, and against request IDs that can't be
// queried because of their characters.
func TestExplainPutsTheDecisionsOfAllDaemonsInOrder(t *testing.T) {
	const id = "order 7/ü"
	a, b := newDaemon(t, "a1", "bronte", newVersion), newDaemon(t, "b1", "catania", newVersion)
	stopped := newDaemon(t, "c1", "adrano", newVersion)
	connect(a, b, stopped)
	stopped.server.Close()
	advance := func() {
		a.clock.Advance(20 * time.Millisecond)
		b.clock.Advance(20 * time.Millisecond)
	}
	a.decisions.Record(id, "target picked", "reason", "least load", "target", "b1")
	b.decisions.Record("another", "admitted")
	advance()
	b.decisions.Record(id, "refused", "reason", "queue is full", "queued", 40)
	advance()
	a.decisions.Record(id, "answered", "outcome", "not-run", "odd")

	e, err := newClient(t, a.address()).Explain(t.Context(), id)
	assert.NilError(t, err)
	var steps []string
	for _, s := range e.Steps {
		steps = append(steps, s.Host+" "+s.Decision)
	}
	assert.DeepEqual(t, steps, []string{"a1 target picked", "b1 refused", "a1 answered"})
	text := e.String()
	assert.Assert(t, is.Contains(text, "+0s       a1 (bronte): target picked, because least load (target=b1)"))
	assert.Assert(t, is.Contains(text, `+40ms     a1 (bronte): answered (outcome=not-run, odd="")`))
	assert.Assert(t, is.Contains(text, "no answer from c1"))
}

// Guards against a decision log that grows without bound, loses the latest decisions, returns those of another request
// from a reused entry, or floods the log.
func TestDecisionLogIsBounded(t *testing.T) {
	var lines strings.Builder
	clock := timer.NewManual(time.Unix(0, 0))
	log := operator.NewDecisionLog(operator.DecisionLogOptions{
		Timers: clock, Capacity: 4, LinesPerSecond: 2, Logger: logr.FromSlogHandler(slog.NewTextHandler(&lines, nil)),
	})
	for i := range 10 {
		log.Record(fmt.Sprint("r", i%2), "d", "n", i, "long", strings.Repeat("x", 9000), "late", strings.Repeat("x", 9000))
	}
	clock.Advance(time.Second)
	log.Record("r0", "last", "odd")
	decisions := log.Decisions("r0")
	assert.Equal(t, len(decisions), 2)
	assert.Equal(t, decisions[0].Reasons[0].Value, "8")
	assert.Equal(t, len(decisions[0].Reasons), 2)
	assert.Assert(t, len(decisions[0].Reasons[1].Value) < 1100)
	assert.Equal(t, decisions[0].Age.Duration(), time.Second)
	assert.DeepEqual(t, decisions[1], operator.Decision{
		Decision: "last", Reasons: []operator.Reason{{Key: "odd"}},
	})
	assert.Equal(t, strings.Count(lines.String(), "\n"), 3)
	assert.Assert(t, strings.HasSuffix(lines.String(), "msg=decision request=r0 decision=last odd=\"\" left_out=8\n"))
	log.Record("r1", "a")
	log.Record("r1", "b")
	log.Flush()
	assert.Assert(t, strings.HasSuffix(lines.String(), "msg=\"decisions left out\" left_out=1\n"))
}

// Guards against allocations on the request path other than those of the arguments.
func TestDecisionLogRecordsWithoutAllocation(t *testing.T) {
	log := operator.NewDecisionLog(operator.DecisionLogOptions{
		Timers: timer.NewManual(time.Unix(0, 0)), Capacity: 4, LinesPerSecond: -1,
	})
	pairs := []any{"host", "h1", "wait", time.Millisecond, "status", 200}
	record := func() { log.Record("r1", "answer", pairs...) }
	for range 100 {
		record()
	}
	assert.Equal(t, testing.AllocsPerRun(1000, record), 0.0)
}

// Guards against missing paths, and against metrics or decisions that a plain HTTP client can't read.
func TestHandlerServesEveryPath(t *testing.T) {
	d := newDaemon(t, "a1", "bronte", newVersion)
	connect(d)
	metrics.GetOrRegisterCounter("applied", d.metrics).Inc(3)
	d.decisions.Record("r7", "admitted")
	assert.Equal(t, string(get(t, d, "/v1/metrics")), `{"applied":{"count":3}}`)
	assert.Equal(t, string(get(t, d, "/healthz")), `{"ready":true,"draining":false}`)
	assert.Assert(t, is.Contains(string(get(t, d, "/v1/members")), `"host":"a1","availability_zone":"bronte"`))
	assert.Assert(t, is.Contains(string(get(t, d, "/v1/decisions/r7")), `"decision":"admitted"`))
	assert.Assert(t, is.Contains(string(get(t, d, "/v1/decisions/r8")), `"decisions":[]`))
}
