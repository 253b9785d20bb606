package ingress_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"cicadacross/internal/ingress"
)

// Guards against a fleet that is busy asking for slots that no owner has (scenario nocciolo-mesh-grown, scale 1, on a
// small scaled-down copy: 2,493 refusals by owners for 528 responses), and against one that continues to ask few owners
// after an overload.
func TestFewOwnersAreAskedWhileFewAccept(t *testing.T) {
	var a ingress.AcceptanceRates
	assert.Equal(t, a.OnTimeRefusalLimit("look"), 3)
	for i := range 100 {
		a.Record("look", i%5 == 0)
		a.Record("pay", i%5 < 2)
	}
	assert.Equal(t, a.OnTimeRefusalLimit("look"), 1)
	assert.Equal(t, a.OnTimeRefusalLimit("pay"), 2)
	for range 40 {
		a.Record("look", true)
	}
	assert.Equal(t, a.OnTimeRefusalLimit("look"), 3)
	assert.Equal(t, a.OnTimeRefusalLimit("other"), 3)
}
