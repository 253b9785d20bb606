package timer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"cicadacross/internal/timer"
)

// Guards against a process without CPU time that is taken for an idle one, and against an idle one that is taken for a
// process without CPU time.
func TestLagFollowsLateTimers(t *testing.T) {
	clock := timer.NewManual(time.Unix(1000, 0))
	meter := timer.NewLagMeter(clock)
	assert.Equal(t, meter.Lag(), time.Duration(0))
	meter.Start()
	defer meter.Stop()
	awaitLag := func(step time.Duration, isReached func(lag time.Duration) bool) {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			clock.Advance(step)
			if !isReached(meter.Lag()) {
				return poll.Continue("lag %v", meter.Lag())
			}
			return poll.Success()
		}, poll.WithDelay(2*time.Millisecond), poll.WithTimeout(5*time.Second))
	}
	awaitLag(time.Second, func(lag time.Duration) bool { return lag >= 100*time.Millisecond })
	awaitLag(50*time.Millisecond, func(lag time.Duration) bool { return lag < 10*time.Millisecond })
}
