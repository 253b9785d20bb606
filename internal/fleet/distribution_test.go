package fleet_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadacross"
	standin "cicadacross/internal/standin/platform"
)

// Guards against a fleet that reverts to an older version when the platform serves an older state.
func TestStaleSourceNeverReverts(t *testing.T) {
	c := newCluster(t, 4)
	old, current := c.newPublication(1, ""), c.newPublication(2, "")
	c.publish(old)
	c.startAll()
	c.waitFor(10*time.Second, "old version", c.allApplied(old.Version()))
	c.platform.Freeze()
	c.publish(current)
	c.waitFor(5*time.Second, "current version", c.allApplied(current.Version()))
	c.platform.SetFaults(standin.Faults{Stale: true})
	c.stop(2)
	c.start(2)
	c.waitFor(10*time.Second, "restarted daemon gets the version of its peers", c.allApplied(current.Version()))
	c.advance(10 * time.Second)
	assert.Assert(t, c.allApplied(current.Version())())
	c.assertNoDowngrade()
}

// Guards against a fleet in which two versions with the same number stay applied on different daemons.
func TestEqualNumbersConvergeOnOneContent(t *testing.T) {
	c := newCluster(t, 6)
	a, b := c.newPublication(1, "-a"), c.newPublication(1, "-b")
	higher := a
	if b.Version().Compare(a.Version()) > 0 {
		higher = b
	}
	c.publish(a)
	c.startAll()
	c.waitFor(10*time.Second, "first of the two", c.allApplied(a.Version()))
	c.publish(b)
	// When the lower of the two is published second, only the readers see it.
	c.waitFor(10*time.Second, "the conflict is in the state of a daemon", func() bool {
		for _, n := range c.runningNodes() {
			if n.State().Conflict != nil {
				return true
			}
		}
		return false
	})
	c.waitFor(10*time.Second, "higher of the two", c.allApplied(higher.Version()))
	next := c.newPublication(2, "")
	c.publish(next)
	c.waitFor(10*time.Second, "next number", c.allApplied(next.Version()))
	for _, n := range c.runningNodes() {
		assert.Assert(t, n.State().Conflict == nil, "the next number resolves the conflict")
	}
	c.assertNoDowngrade()
}

// Guards against a version that is applied in part when one of its parts is invalid.
func TestVersionWithInvalidPartIsRefused(t *testing.T) {
	c := newCluster(t, 3)
	good := c.newPublication(1, "")
	c.publish(good)
	c.startAll()
	c.waitFor(10*time.Second, "good version", c.allApplied(good.Version()))
	bad := publishedValuesWithBadPart(t, c.newPublication(2, "-changed"))
	c.platform.SetAll(bad)
	c.waitFor(10*time.Second, "refusal", func() bool { return c.nodes[0].State().Refused != nil })
	refused := c.nodes[0].State().Refused
	assert.Equal(t, refused.Version.Number(), uint64(2))
	assert.Assert(t, refused.Reason != "")
	c.advance(3 * time.Second)
	assert.Assert(t, c.allApplied(good.Version())(), "the good version stays applied")
	fixed := c.newPublication(3, "")
	c.publish(fixed)
	c.waitFor(10*time.Second, "fixed version", c.allApplied(fixed.Version()))
	assert.Assert(t, c.nodes[0].State().Refused == nil, "a refusal of an older version is no longer shown")
}

// Guards against parts that are lost when the platform truncates values during a fetch, and against applying a
// truncated part.
func TestFetchIsRetriedAfterTruncatedValues(t *testing.T) {
	c := newCluster(t, 3)
	first, second := c.newPublication(1, ""), c.newPublication(2, "-changed")
	c.publish(first)
	c.startAll()
	c.waitFor(10*time.Second, "first version", c.allApplied(first.Version()))
	// The manifest is complete; the changed part is published later.
	c.platform.Set(cicadacross.KeyManifest, second.Manifest())
	c.waitFor(5*time.Second, "pending version", func() bool { return len(c.nodes[0].State().Pending) > 0 })
	c.platform.SetFaults(standin.Faults{Truncate: true})
	c.platform.SetAll(publishedValues(second))
	c.advance(3 * time.Second)
	assert.Assert(t, c.allApplied(first.Version())())
	c.platform.SetFaults(standin.Faults{})
	c.waitFor(20*time.Second, "second version", c.allApplied(second.Version()))
	c.assertNoDowngrade()
}

// Guards against a daemon that reverts to an older version when announcements of several versions and answers of the
// platform arrive out of order.
func TestReorderedUpdatesEndAtTheNewestVersion(t *testing.T) {
	c := newCluster(t, 8)
	c.publish(c.newPublication(1, ""))
	c.startAll()
	c.waitFor(10*time.Second, "ready", c.allReady)
	c.platform.SetFaults(standin.Faults{Reorder: true})
	last := c.newPublication(1, "")
	for number := 2; number <= 12; number++ {
		last = c.newPublication(number, "")
		c.publish(last)
		c.advance(clockStep)
	}
	c.waitFor(10*time.Second, "newest version", c.allApplied(last.Version()))
	c.assertNoDowngrade()
}

// Guards against daemons that can't start, and a fleet that loses its version, while the platform is down.
func TestColdStartWithTheSourceDown(t *testing.T) {
	c := newCluster(t, 5)
	version := c.newPublication(3, "")
	c.publish(version)
	c.start(0)
	c.waitFor(10*time.Second, "first daemon", c.allReady)
	c.platform.SetFaults(standin.Faults{Down: true})
	c.start(1, 2, 3, 4)
	c.waitFor(5*time.Second, "others get the version from the first daemon", c.allApplied(version.Version()))
	c.waitFor(5*time.Second, "ready", c.allReady)
	c.stop(0)
	c.stop(2)
	c.start(2)
	c.waitFor(5*time.Second, "restarted daemon with one running seed", c.allApplied(version.Version()))
	c.stop(1)
	c.start(1)
	c.waitFor(30*time.Second, "restarted daemon without running seeds gets the version", c.allApplied(version.Version()))
}

// Guards against an availability zone that no longer follows the platform after its readers stop.
func TestOtherHostsTakeOverReading(t *testing.T) {
	c := newCluster(t, 10)
	first := c.newPublication(1, "")
	c.publish(first)
	c.startAll()
	c.waitFor(10*time.Second, "ready", c.allReady)
	c.advance(5 * time.Second)
	var stoppedReaders []int
	for i, n := range c.nodes {
		if n.State().Reader {
			stoppedReaders = append(stoppedReaders, i)
		}
	}
	for _, i := range stoppedReaders {
		c.stop(i)
	}
	second := c.newPublication(2, "")
	c.publish(second)
	c.waitFor(9*time.Second, "takeover within 5 s and a delay for each position", c.allApplied(second.Version()))
	c.start(stoppedReaders...)
	c.waitFor(20*time.Second, "the first readers read again and the others stop", func() bool {
		readers := 0
		for _, n := range c.runningNodes() {
			if n.State().Reader {
				readers++
			}
		}
		return readers == 4
	})
}

// Guards against changes that are noticed only when watches end, because their connections died without an error.
func TestUnresponsiveWatchesAreReplaced(t *testing.T) {
	c := newCluster(t, 4)
	c.publish(c.newPublication(1, ""))
	c.startAll()
	c.waitFor(10*time.Second, "ready", c.allReady)
	c.advance(3 * time.Second)
	c.platform.SuppressWatches()
	second := c.newPublication(2, "")
	c.publish(second)
	c.waitFor(13*time.Second, "version by a check", c.allApplied(second.Version()))
	c.advance(14 * time.Second)
	third := c.newPublication(3, "")
	c.publish(third)
	c.waitFor(3*time.Second, "version by the new watches", c.allApplied(third.Version()))
}

// Guards against a rate of calls to an unavailable platform that grows with the fleet.
func TestSourceOutageCostsBoundedCalls(t *testing.T) {
	c := newCluster(t, 12)
	c.publish(c.newPublication(1, ""))
	c.startAll()
	c.waitFor(10*time.Second, "ready", c.allReady)
	c.platform.SetFaults(standin.Faults{Down: true})
	c.advance(40 * time.Second)
	before := c.platform.Counts().Calls
	c.advance(20 * time.Second)
	calls := c.platform.Counts().Calls - before
	// Two readers and at most four more hosts in each of two zones, two keys each, and a delay of 2.5 s on average at the
	// maximum backoff.
	assert.Assert(t, calls < 12*2*20, "%d calls in 20 s", calls)
	readers := 0
	for _, n := range c.runningNodes() {
		if n.State().Reader {
			readers++
		}
	}
	assert.Assert(t, readers < 12, "%d hosts read the source", readers)
}
