package integration_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"cicadacross"
	"cicadacross/integration/harness"
)

// Guards the whole path: what is published reaches every daemon, and a request to any daemon is answered by an
// upstream.
func TestRequestToAnyDaemonIsAnswered(t *testing.T) {
	f := harness.NewFleet(t, harness.Options{})
	for _, h := range f.Hosts("") {
		answer, err := h.Request(context.Background(), "GET", "/lots/7", "", nil)
		assert.NilError(t, err)
		assert.Equal(t, answer.Status, 200, "%s: %v", h.Name(), answer)
		assert.Equal(t, answer.Header.Get(cicadacross.HeaderOutcome), "done")
	}
}
