package admission_test

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadacross/internal/admission"
	"cicadacross/internal/timer"
)

const (
	slowLink  = 7.0     // Mbit/s
	smallBody = 60_000  // bytes: 171 ms on 40% of the link
	largeBody = 600_000 // bytes
)

// Guards against bodies that share a slow link until all of them, and the small requests between them, are late
// (scenario nocciolo-mesh-grown, scale 1: uploads at 2.3 times their usual rate cost a third of the quotes).
func TestLinkSerializesBodies(t *testing.T) {
	clock := timer.NewManual(time.Unix(1000, 0))
	l := admission.NewLink(admission.LinkOptions{Mbps: slowLink, Timers: clock})
	var waits []time.Duration
	var refused *admission.Error
	for range 10 {
		wait, err := l.Reserve(smallBody, 500*time.Millisecond)
		if err != nil {
			assert.Assert(t, errors.As(err, &refused))
			break
		}
		waits = append(waits, wait)
	}
	// They may start at 0, 171 and 343 ms.
	assert.Equal(t, len(waits), 3)
	assert.Equal(t, waits[0], time.Duration(0))
	assert.Assert(t, refused.RetryAfter() > 0)
	clock.Advance(time.Second)
	wait, err := l.Reserve(largeBody, 0)
	assert.NilError(t, err)
	assert.Equal(t, wait, time.Duration(0))
	l.Cancel(largeBody)
	wait, err = l.Reserve(-1, 0)
	assert.NilError(t, err)
	assert.Equal(t, wait, time.Duration(0))
}

// Guards against bodies that are delayed on a fast link or one of unknown speed.
func TestFastLinkDoesNotDelayBodies(t *testing.T) {
	clock := timer.NewManual(time.Unix(1000, 0))
	for _, mbps := range []float64{0, 1000} {
		l := admission.NewLink(admission.LinkOptions{Mbps: mbps, Timers: clock})
		for range 20 {
			wait, err := l.Reserve(smallBody, time.Second)
			assert.NilError(t, err)
			assert.Assert(t, wait < 50*time.Millisecond)
		}
	}
}

// Guards against a fixed share of the link for bodies, independent of the delay of small messages.
func TestLinkShareFollowsRTT(t *testing.T) {
	clock := timer.NewManual(time.Unix(1000, 0))
	l := admission.NewLink(admission.LinkOptions{Mbps: slowLink, Timers: clock})
	admittedBodies := func(rtt time.Duration) int {
		for range 100 {
			l.ObserveRTT(rtt)
			clock.Advance(100 * time.Millisecond)
		}
		n := 0
		for _, err := l.Reserve(smallBody, time.Second); err == nil; n++ {
			_, err = l.Reserve(smallBody, time.Second)
		}
		clock.Advance(time.Minute)
		return n
	}
	lowRTTBodies := admittedBodies(5 * time.Millisecond)
	highRTTBodies := admittedBodies(200 * time.Millisecond)
	assert.Assert(t, highRTTBodies >= 1 && lowRTTBodies >= 4*highRTTBodies, "%d and %d", lowRTTBodies, highRTTBodies)
	assert.Equal(t, admittedBodies(5*time.Millisecond), lowRTTBodies)
}
