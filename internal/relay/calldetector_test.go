package relay_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"cicadacross/internal/relay"
)

// Guards against calls of upstreams that are refused like callers' requests, so that the work of the request that
// called is lost (nocciolo-mesh-grown, scale-1: 1,298 calls refused for 2,037 answered), and against a caller's route
// that is taken for such a call.
func TestOriginsTellCallsFromCallersRequests(t *testing.T) {
	var alone relay.Origins
	for range 100 {
		assert.Assert(t, !alone.Note("quote", "desk"), "there is one service only")
	}
	var o relay.Origins
	calls := 0
	for i := range 200 {
		if o.Note("sync", "desk") {
			calls++
		}
		service := "desk"
		if i%5 == 4 {
			service = "store"
		}
		assert.Assert(t, !o.Note("quote", service))
	}
	assert.Assert(t, calls > 150, "%d", calls)
	assert.Assert(t, !o.Note("sync", "store"))
	assert.Assert(t, !o.Note("sync", "desk"))
}
