package relay_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadacross/internal/relay"
	"cicadacross/internal/timer"
)

// Guards against treating a request that waited in a socket buffer while the process was stopped as if all its time
// were left, and against shortening the time of requests when the process was only busy.
func TestPauseTakesTimeFromRequests(t *testing.T) {
	clock := timer.NewManual(time.Unix(0, 0))
	p := relay.NewPauseDetector(clock)
	for range 10 {
		clock.Advance(400 * time.Millisecond)
		assert.Equal(t, p.TimeLost(), time.Duration(0))
	}
	clock.Advance(3 * time.Second)
	assert.Equal(t, p.TimeLost(), 3*time.Second)
	clock.Advance(100 * time.Millisecond)
	assert.Equal(t, p.TimeLost(), 3*time.Second, "still read from the buffers")
	clock.Advance(200 * time.Millisecond)
	assert.Equal(t, p.TimeLost(), time.Duration(0))
}
