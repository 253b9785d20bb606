package operator_test

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/rest/router"
	"gotest.tools/v3/assert"

	"cicadacross"
	"cicadacross/internal/operator"
	"cicadacross/internal/timer"
)

func init() { logx.Disable() }

var (
	oldVersion = version(7, "aa")
	newVersion = version(8, "bb")
)

func version(number uint64, digest string) operator.Version {
	return operator.Version{Version: cicadacross.NewVersion(number, digest)}
}

// fakeDaemon serves the operator endpoint with the state and members that a test sets.
type fakeDaemon struct {
	state     operator.State
	members   []operator.Member
	decisions *operator.DecisionLog
	metrics   metrics.Registry
	clock     *timer.Manual
	server    *httptest.Server
}

func (d *fakeDaemon) State() operator.State      { return d.state }
func (d *fakeDaemon) Members() []operator.Member { return append([]operator.Member(nil), d.members...) }

// newDaemon starts a server on loopback that acts as a healthy daemon.
func newDaemon(t *testing.T, host, zone string, v operator.Version) *fakeDaemon {
	t.Helper()
	// The clocks of the hosts differ by hours, so that a result that depends on them is wrong.
	clock := timer.NewManual(time.Unix(int64(host[0])*3600, 0))
	d := &fakeDaemon{
		state: operator.State{
			Host: host, AvailabilityZone: zone, Version: v, Ready: true,
			AppliedAge: operator.NewAge(20 * time.Second), PeersAge: operator.NewAge(time.Second),
			SourceAge: operator.NewAge(3 * time.Second),
		},
		clock:     clock,
		decisions: operator.NewDecisionLog(operator.DecisionLogOptions{Timers: clock}),
		metrics:   metrics.NewRegistry(),
	}
	handler := operator.NewHandler(operator.HandlerOptions{StateProvider: d, Decisions: d.decisions, Metrics: d.metrics})
	routes := router.NewRouter()
	for _, r := range handler.Routes() {
		assert.NilError(t, routes.Handle(r.Method, r.Path, r.Handler))
	}
	d.server = httptest.NewServer(routes)
	t.Cleanup(d.server.Close)
	return d
}

func (d *fakeDaemon) address() string { return d.server.Listener.Addr().String() }

// member returns the daemon as its peers report it.
func (d *fakeDaemon) member() operator.Member {
	return operator.Member{
		Host: d.state.Host, AvailabilityZone: d.state.AvailabilityZone, Operator: d.address(), Version: d.state.Version,
		HeardAge: operator.NewAge(time.Second), Registered: true,
	}
}

// connect makes all daemons members of each other.
func connect(daemons ...*fakeDaemon) {
	var members []operator.Member
	for _, d := range daemons {
		members = append(members, d.member())
	}
	for _, d := range daemons {
		d.members = members
	}
}

func newClient(t *testing.T, addresses ...string) *operator.Client {
	t.Helper()
	clock := timer.NewManual(time.Unix(0, 0))
	c, err := operator.NewClient(operator.ClientOptions{Timers: clock, Addresses: addresses})
	assert.NilError(t, err)
	return c
}
