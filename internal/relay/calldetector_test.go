package relay_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"cicadacross/internal/relay"
)

// Guards against refusing calls from upstreams as if they were callers' requests, which loses the work of the request
// that made the call (nocciolo-mesh-grown, scale-1: 1,298 calls refused for 2,037 answered), and against taking a
// caller's route for one that upstreams call.
func TestUpstreamCallDetector(t *testing.T) {
	var alone relay.UpstreamCallDetector
	for range 100 {
		assert.Assert(t, !alone.Observe("quote", "desk"), "there is one service only")
	}
	var o relay.UpstreamCallDetector
	calls := 0
	for i := range 200 {
		if o.Observe("sync", "desk") {
			calls++
		}
		service := "desk"
		if i%5 == 4 {
			service = "store"
		}
		assert.Assert(t, !o.Observe("quote", service))
	}
	assert.Assert(t, calls > 150, "%d", calls)
	assert.Assert(t, !o.Observe("sync", "store"))
	assert.Assert(t, !o.Observe("sync", "desk"))
}
