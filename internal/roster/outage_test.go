package roster_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"cicadacross/platform/standin"
)

const (
	// outage is the time for which the store answers nothing.
	outage = 3 * time.Second
	// recovery is the time after an outage from which all changes must be applied within applyLimit.
	recovery = 3 * time.Second
)

// loseResponses makes the store leave pending calls and those of the next time without a response, as long as the
// outage lasts.
func loseResponses(store *standin.Store) {
	store.SetFaults(standin.Faults{Unresponsive: true})
	store.AbandonWatches()
	time.Sleep(outage)
}

// Guards against daemons that learn of leaving targets and new routings up to 11.6 s late, because their watch was
// pending during an outage and is never answered, while stale reads show no change (review/7).
func TestWatchFromBeforeAnOutageIsReplaced(t *testing.T) {
	t.Parallel()
	store := standin.NewStore()
	defer store.Close()
	nodes := startZone(t, freePort(t), store, 100, 90, 80)
	revision := store.Put("op/config", routingRecord(4))
	for _, n := range nodes {
		poll.WaitOn(t, n.hasVersion(4, 3), pollFor(applyLimit))
	}
	loseResponses(store)
	store.SetFaults(standin.Faults{StaleAt: revision})
	time.Sleep(recovery)
	store.Put("op/config", routingRecord(5))
	store.Remove("servers/i-3")
	deadline := time.Now().Add(applyLimit)
	for _, n := range nodes {
		poll.WaitOn(t, n.hasVersion(5, 2), pollFor(time.Until(deadline)))
	}
}

// Guards against a daemon that was a reader for a while, has a watch from then that is never answered, and doesn't
// notice it when it becomes the reader again.
func TestWatchFromAnEarlierElectionIsReplaced(t *testing.T) {
	t.Parallel()
	store := standin.NewStore()
	defer store.Close()
	nodes := startZone(t, freePort(t), store, 100, 90)
	revision := store.Put("op/config", routingRecord(4))
	for _, n := range nodes {
		poll.WaitOn(t, n.hasVersion(4, 2), pollFor(applyLimit))
	}
	loseResponses(store)
	store.SetFaults(standin.Faults{StaleAt: revision})
	time.Sleep(recovery)
	// The second daemon has left its call to the outage alone, since it isn't elected any more.
	nodes[0].kill()
	time.Sleep(recovery)
	store.Put("op/config", routingRecord(5))
	poll.WaitOn(t, nodes[1].hasVersion(5, 2), pollFor(applyLimit))
}

// Guards against a listing, and a wait before the next call, that outlast the outage in which they began: a daemon that
// starts meanwhile has no configuration for 3.5 s after it.
func TestListingFromBeforeTheEndOfAnOutageIsReplaced(t *testing.T) {
	t.Parallel()
	for _, started := range []time.Duration{800 * time.Millisecond, 2500 * time.Millisecond, 5 * time.Second} {
		t.Run(started.String(), func(t *testing.T) {
			t.Parallel()
			store := standin.NewStore()
			defer store.Close()
			publishFleet(store)
			store.SetFaults(standin.Faults{Unresponsive: true})
			n := startNode(t, "127.0.0.1", freePort(t), store)
			time.Sleep(started)
			store.SetFaults(standin.Faults{})
			// A ping that began in the outage lasts 0.7 s, and the next one begins 0.5 s later.
			poll.WaitOn(t, n.hasVersion(3, 2), pollFor(1400*time.Millisecond))
		})
	}
}

// Guards against stale reads that count as an outage: a removal then took effect 2.2 s later, after the grace period of
// records that expire during an outage. Guards also against a lost response to a watch that goes unnoticed meanwhile.
func TestStaleReadsAreNoOutage(t *testing.T) {
	t.Parallel()
	store := standin.NewStore()
	defer store.Close()
	nodes := startZone(t, freePort(t), store, 100, 90, 80)
	revision := store.Put("op/note", "a change that concerns no daemon")
	store.SetFaults(standin.Faults{StaleAt: revision - 1})
	time.Sleep(4 * time.Second)
	for i, n := range nodes {
		assert.Equal(t, n.Status().IsReader, i == 0, "host %d", i+1)
	}
	store.Remove("servers/i-3")
	deadline := time.Now().Add(applyLimit)
	for _, n := range nodes {
		poll.WaitOn(t, n.hasVersion(3, 2), pollFor(time.Until(deadline)))
	}
	time.Sleep(time.Second)
	store.AbandonWatches()
	store.Remove("servers/i-2")
	deadline = time.Now().Add(applyLimit)
	for _, n := range nodes {
		poll.WaitOn(t, n.hasVersion(3, 1), pollFor(time.Until(deadline)))
	}
}
