package integration_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"cicadacross/cmd/cicadacross/command"
	"cicadacross/integration/harness"
)

// Guards against an operator who can't see whether a fleet whose upstreams register themselves has followed, or why a
// request went where it went.
func TestOperatorSeesARegisteredFleet(t *testing.T) {
	hosts := []string{"127.0.3.8", "127.0.3.9"}
	f := newRegisteredFleet(t, hosts...)
	operators := fmt.Sprintf("--operator=%s:%d,%s:%d", hosts[0], registeredOperator, hosts[1], registeredOperator)
	f.route(2, "desk")
	good := harness.RunCommand(t, "status", operators, "--expect=2", "--wait=5s")
	assert.Equal(t, good.Code, command.ExitGood, "%v", good)
	assert.Assert(t, is.Contains(good.Out, "2 of 2 hosts follow"))

	status, _ := f.sendAs(hosts[0], "/v2/x", "explained", nil)
	assert.Equal(t, status, http.StatusOK)
	explained := harness.RunCommand(t, "explain", operators, "explained")
	assert.Equal(t, explained.Code, command.ExitGood, "%v", explained)
	assert.Assert(t, is.Contains(explained.Out, "pick"))
	assert.Assert(t, is.Contains(explained.Out, "answer"))

	f.daemons[hosts[1]].Kill()
	harness.Eventually(t, 15*time.Second, "status names the dead host", func() bool {
		bad := harness.RunCommand(t, "status", operators, "--expect=2")
		return bad.Code == command.ExitBad && is.Contains(bad.Out, hosts[1]+" dead")().Success()
	})
}
