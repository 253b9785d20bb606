package fleet_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadacross"
	standin "cicadacross/internal/standin/platform"
)

// Guards against a fleet that goes back when the platform serves an older state.
func TestStaleSourceNeverReverts(t *testing.T) {
	c := newCluster(t, 4)
	old, current := c.publication(1, ""), c.publication(2, "")
	c.publish(old)
	c.startAll()
	c.within(10*time.Second, "old version", c.follows(old.Version()))
	c.platform.Freeze()
	c.publish(current)
	c.within(5*time.Second, "current version", c.follows(current.Version()))
	c.platform.SetFaults(standin.Faults{Stale: true})
	c.stop(2)
	c.start(2)
	c.within(10*time.Second, "restarted daemon gets the version of its peers", c.follows(current.Version()))
	c.advance(10 * time.Second)
	assert.Assert(t, c.follows(current.Version())())
	c.assertNoRevert()
}

// Guards against halves of the fleet that keep two contents of one number.
func TestEqualNumbersConvergeOnOneContent(t *testing.T) {
	c := newCluster(t, 6)
	a, b := c.publication(1, "-a"), c.publication(1, "-b")
	higher := a
	if b.Version().Compare(a.Version()) > 0 {
		higher = b
	}
	c.publish(a)
	c.startAll()
	c.within(10*time.Second, "first of the two", c.follows(a.Version()))
	c.publish(b)
	// When the lower of the two comes second, only the readers see it.
	c.within(10*time.Second, "the conflict is shown to operators", func() bool {
		for _, n := range c.live() {
			if n.State().Conflict != nil {
				return true
			}
		}
		return false
	})
	c.within(10*time.Second, "higher of the two", c.follows(higher.Version()))
	next := c.publication(2, "")
	c.publish(next)
	c.within(10*time.Second, "next number", c.follows(next.Version()))
	for _, n := range c.live() {
		assert.Assert(t, n.State().Conflict == nil, "the remedy ends the conflict")
	}
	c.assertNoRevert()
}

// Guards against a version that is applied in part when one of its parts is not a valid one.
func TestBadPartIsRefusedWhole(t *testing.T) {
	c := newCluster(t, 3)
	good := c.publication(1, "")
	c.publish(good)
	c.startAll()
	c.within(10*time.Second, "good version", c.follows(good.Version()))
	bad := badPublication(t, c.publication(2, "-changed"))
	c.platform.SetAll(bad)
	c.within(10*time.Second, "refusal", func() bool { return c.nodes[0].State().Refused != nil })
	refused := c.nodes[0].State().Refused
	assert.Equal(t, refused.Version.Number(), uint64(2))
	assert.Assert(t, refused.Reason != "")
	c.advance(3 * time.Second)
	assert.Assert(t, c.follows(good.Version())(), "the good version stays in force")
	fixed := c.publication(3, "")
	c.publish(fixed)
	c.within(10*time.Second, "fixed version", c.follows(fixed.Version()))
	assert.Assert(t, c.nodes[0].State().Refused == nil, "a refusal of an older version is no longer shown")
}

// Guards against parts that are lost when the platform cuts values short midway, and against applying one of them.
func TestFetchThatFailsMidwayIsTriedAgain(t *testing.T) {
	c := newCluster(t, 3)
	first, second := c.publication(1, ""), c.publication(2, "-changed")
	c.publish(first)
	c.startAll()
	c.within(10*time.Second, "first version", c.follows(first.Version()))
	// The manifest is whole, and the changed part comes later.
	c.platform.Set(cicadacross.KeyManifest, second.Manifest())
	c.within(5*time.Second, "pending version", func() bool { return len(c.nodes[0].State().Pending) > 0 })
	c.platform.SetFaults(standin.Faults{Truncate: true})
	c.platform.SetAll(valuesOf(second))
	c.advance(3 * time.Second)
	assert.Assert(t, c.follows(first.Version())())
	c.platform.SetFaults(standin.Faults{})
	c.within(20*time.Second, "second version", c.follows(second.Version()))
	c.assertNoRevert()
}

// Guards against a daemon that goes back when announcements of several versions and answers of the platform cross.
func TestCrossingUpdatesEndAtTheNewest(t *testing.T) {
	c := newCluster(t, 8)
	c.publish(c.publication(1, ""))
	c.startAll()
	c.within(10*time.Second, "ready", c.allReady)
	c.platform.SetFaults(standin.Faults{Reorder: true})
	last := c.publication(1, "")
	for number := 2; number <= 12; number++ {
		last = c.publication(number, "")
		c.publish(last)
		c.advance(step)
	}
	c.within(10*time.Second, "newest version", c.follows(last.Version()))
	c.assertNoRevert()
}

// Guards against a fleet whose versions are lost when the platform is down, and against daemons that can't start then.
func TestColdStartWithTheSourceDown(t *testing.T) {
	c := newCluster(t, 5)
	version := c.publication(3, "")
	c.publish(version)
	c.start(0)
	c.within(10*time.Second, "first daemon", c.allReady)
	c.platform.SetFaults(standin.Faults{Down: true})
	c.start(1, 2, 3, 4)
	c.within(5*time.Second, "others get the version from it", c.follows(version.Version()))
	c.within(5*time.Second, "ready", c.allReady)
	c.stop(0)
	c.stop(2)
	c.start(2)
	c.within(5*time.Second, "restarted daemon with one seed alive", c.follows(version.Version()))
	c.stop(1)
	c.start(1)
	c.within(30*time.Second, "restarted daemon without seeds is found by the others", c.follows(version.Version()))
}

// Guards against an availability zone that no longer follows the platform when its readers die.
func TestOtherHostsTakeOverReading(t *testing.T) {
	c := newCluster(t, 10)
	first := c.publication(1, "")
	c.publish(first)
	c.startAll()
	c.within(10*time.Second, "ready", c.allReady)
	c.advance(5 * time.Second)
	var returning []int
	for i, n := range c.nodes {
		if n.State().Reader {
			returning = append(returning, i)
		}
	}
	for _, i := range returning {
		c.stop(i)
	}
	second := c.publication(2, "")
	c.publish(second)
	c.within(9*time.Second, "takeover within 5 s and the places", c.follows(second.Version()))
	c.start(returning...)
	c.within(20*time.Second, "the first hosts read again and the others stop", func() bool {
		readers := 0
		for _, n := range c.live() {
			if n.State().Reader {
				readers++
			}
		}
		return readers == 4
	})
}

// Guards against changes that wait for the end of watches whose connections have gone silent.
func TestSilentWatchesAreReplaced(t *testing.T) {
	c := newCluster(t, 4)
	c.publish(c.publication(1, ""))
	c.startAll()
	c.within(10*time.Second, "ready", c.allReady)
	c.advance(3 * time.Second)
	c.platform.Mute()
	second := c.publication(2, "")
	c.publish(second)
	c.within(13*time.Second, "version by a check", c.follows(second.Version()))
	c.advance(14 * time.Second)
	third := c.publication(3, "")
	c.publish(third)
	c.within(3*time.Second, "version by the new watches", c.follows(third.Version()))
}

// Guards against calls to a dead platform that grow with the fleet.
func TestSourceOutageCostsBoundedCalls(t *testing.T) {
	c := newCluster(t, 12)
	c.publish(c.publication(1, ""))
	c.startAll()
	c.within(10*time.Second, "ready", c.allReady)
	c.platform.SetFaults(standin.Faults{Down: true})
	c.advance(40 * time.Second)
	before := c.platform.Counts().Calls
	c.advance(20 * time.Second)
	calls := c.platform.Counts().Calls - before
	// Two readers and at most four more in each of two zones, two keys each, a delay of 2.5 s on average at the limit.
	assert.Assert(t, calls < 12*2*20, "%d calls in 20 s", calls)
	readers := 0
	for _, n := range c.live() {
		if n.State().Reader {
			readers++
		}
	}
	assert.Assert(t, readers < 12, "%d hosts try the source", readers)
}
