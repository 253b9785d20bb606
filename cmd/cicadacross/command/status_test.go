package command_test

import (
	"encoding/json"
	"net/http/httptest"
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/zeromicro/go-zero/rest/router"
	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"cicadacross"
	"cicadacross/cmd/cicadacross/command"
	"cicadacross/internal/operator"
	"cicadacross/internal/timer"
)

// singleDaemon is a fleet of one daemon.
type singleDaemon struct {
	address string
	ready   bool
}

func (d *singleDaemon) State() operator.State {
	version := operator.Version{Version: cicadacross.NewVersion(7, "aa")}
	return operator.State{Host: "h1", AvailabilityZone: "bronte", Version: version, Ready: d.ready}
}

func (d *singleDaemon) Members() []operator.Member {
	state := d.State()
	return []operator.Member{{Host: state.Host, AvailabilityZone: state.AvailabilityZone, Operator: d.address}}
}

func serveDaemon(t *testing.T, ready bool) (address string, decisions *operator.DecisionLog) {
	t.Helper()
	d := &singleDaemon{ready: ready}
	decisions = operator.NewDecisionLog(operator.DecisionLogOptions{Timers: timer.System{}})
	handler := operator.NewHandler(operator.HandlerOptions{
		StateProvider: d, Decisions: decisions, Metrics: metrics.NewRegistry(),
	})
	routes := router.NewRouter()
	for _, r := range handler.Routes() {
		assert.NilError(t, routes.Handle(r.Method, r.Path, r.Handler))
	}
	server := httptest.NewServer(routes)
	t.Cleanup(server.Close)
	d.address = server.Listener.Addr().String()
	return d.address, decisions
}

// Guards against a status that scripts can't evaluate: the exit code must report whether the fleet has followed, and
// must differ when no daemon could be queried.
func TestStatusExitCodes(t *testing.T) {
	good, _ := serveDaemon(t, true)
	code, out, errs := run(t, "status", "--operator", "127.0.0.1:1,"+good, "--expect", "7", "--wait", "1m")
	assert.Equal(t, code, command.ExitOK, errs)
	assert.Assert(t, is.Contains(out, "bronte: 1 of 1 hosts follow"))

	bad, _ := serveDaemon(t, false)
	code, out, errs = run(t, "status", "--operator", bad, "--json")
	assert.Equal(t, code, command.ExitNegativeResult, errs)
	var report operator.Report
	assert.NilError(t, json.Unmarshal([]byte(out), &report))
	assert.Equal(t, report.Zones[0].Findings[0].Condition, operator.ConditionNotReady)

	code, out, _ = run(t, "status", "--operator", "127.0.0.1:1")
	assert.Equal(t, code, command.ExitFailed)
	assert.Equal(t, out, "")
	code, _, errs = run(t, "status", "--operator", "bronte")
	assert.Equal(t, code, command.ExitFailed)
	assert.Assert(t, is.Contains(errs, "--operator"))
}

// Guards against an empty explanation that is not reported as such, and against an exit code of 0 for it.
func TestExplainExitCodes(t *testing.T) {
	address, decisions := serveDaemon(t, true)
	decisions.Record("r7", "refused", "reason", "queue is full")
	code, out, errs := run(t, "explain", "--operator", address, "r7")
	assert.Equal(t, code, command.ExitOK, errs)
	assert.Assert(t, is.Contains(out, "h1 (bronte): refused, because queue is full"))

	code, _, errs = run(t, "explain", "--operator", address, "r8")
	assert.Equal(t, code, command.ExitNegativeResult, errs)
	code, _, errs = run(t, "explain", "--operator", address)
	assert.Equal(t, code, command.ExitFailed)
	assert.Assert(t, is.Contains(errs, "give one request ID"))
}
