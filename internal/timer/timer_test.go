package timer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadacross/internal/timer"
)

// Guards against manual timers that fire early, late or more than once.
func TestManualFiresWhenDue(t *testing.T) {
	m := timer.NewManual(time.Unix(0, 0))
	once := m.After(2 * time.Second)
	every := m.Every(time.Second)
	m.Advance(time.Second)
	assert.Equal(t, len(once.C()), 0)
	assert.Equal(t, len(every.C()), 1)
	m.Advance(time.Second)
	assert.Equal(t, len(once.C()), 1)
	<-once.C()
	m.Advance(time.Hour)
	assert.Equal(t, len(once.C()), 0)
}
