package drain_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadacross/internal/drain"
	"cicadacross/internal/timer"
)

// Guards against requests that get more time than a shutdown leaves, or less time than they have without one.
func TestLimitShortensDeadlines(t *testing.T) {
	l := drain.NewLimit(timer.System{})
	defer l.Close()
	now := time.Now()
	early, late := now.Add(50*time.Millisecond), now.Add(time.Hour)
	assert.Equal(t, l.Apply(late), late, "before Begin")
	assert.Equal(t, (*drain.Limit)(nil).Apply(late), late, "nil limit")
	end := now.Add(300 * time.Millisecond)
	l.Begin(end)
	l.Begin(late)
	assert.NilError(t, l.Reached().Err())
	assert.Assert(t, l.Begun().Err() != nil)
	assert.Equal(t, l.Apply(early), early)
	assert.Assert(t, l.Apply(late).Before(end), "no time is left for the response")
	<-l.LastResponse().Done()
	assert.Assert(t, !time.Now().Before(l.Apply(late)))
	assert.Assert(t, time.Now().Before(end), "no time is left for refusals")
	<-l.Reached().Done()
	assert.Assert(t, !time.Now().Before(end))
}
