package integration_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"cicadacross"
	"cicadacross/integration/harness"
)

// Checks the path from end to end: a published configuration reaches every daemon, and an upstream responds to a
// request that is sent to any daemon.
func TestRequestToAnyDaemonIsAnswered(t *testing.T) {
	f := harness.NewFleet(t, harness.Options{})
	for _, h := range f.Hosts("") {
		response, err := h.Request(context.Background(), "GET", "/lots/7", "", nil)
		assert.NilError(t, err)
		assert.Equal(t, response.Status, 200, "%s: %v", h.Name(), response)
		assert.Equal(t, response.Header.Get(cicadacross.HeaderOutcome), "done")
	}
}
