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
// (nocciolo-mesh-grown, scale-1: uploads at 2.3 times their usual rate took a third of the quotes with them).
func TestLinkTakesBodiesOneAfterTheOther(t *testing.T) {
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
	// At 0, 171 and 343 ms.
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

// Guards against bodies that are held up where the link is unknown or fast.
func TestFastLinkHoldsNothingUp(t *testing.T) {
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

// Guards against a part of the link that stays the same whether small messages are held up or not.
func TestLinkFollowsTheDelayOfSmallMessages(t *testing.T) {
	clock := timer.NewManual(time.Unix(1000, 0))
	l := admission.NewLink(admission.LinkOptions{Mbps: slowLink, Timers: clock})
	bodies := func(delay time.Duration) int {
		for range 100 {
			l.ObserveRTT(delay)
			clock.Advance(100 * time.Millisecond)
		}
		n := 0
		for _, err := l.Reserve(smallBody, time.Second); err == nil; n++ {
			_, err = l.Reserve(smallBody, time.Second)
		}
		clock.Advance(time.Minute)
		return n
	}
	quick := bodies(5 * time.Millisecond)
	slow := bodies(200 * time.Millisecond)
	assert.Assert(t, slow >= 1 && quick >= 4*slow, "%d and %d", quick, slow)
	assert.Equal(t, bodies(5*time.Millisecond), quick)
}
