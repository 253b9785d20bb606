package ingress_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"cicadacross/internal/ingress"
)

// Guards against a fleet that is busy with questions for slots that nobody has (nocciolo-mesh-grown, scale-1 on a small
// twin: 2,493 refusals of owners for 528 answers), and against one that goes on asking little after a flood.
func TestFewOwnersAreAskedWhileFewAccept(t *testing.T) {
	var a ingress.Acceptance
	assert.Equal(t, a.Questions("look"), 3)
	for i := range 100 {
		a.Note("look", i%5 == 0)
		a.Note("pay", i%5 < 2)
	}
	assert.Equal(t, a.Questions("look"), 1)
	assert.Equal(t, a.Questions("pay"), 2)
	for range 40 {
		a.Note("look", true)
	}
	assert.Equal(t, a.Questions("look"), 3)
	assert.Equal(t, a.Questions("other"), 3)
}
