package roster_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"cicadacross/platform/standin"
)

// stateRecord returns the record of the upstream on 127.0.0.2 with the sequence number.
func stateRecord(state string, born, sequence int) string {
	record := instanceRecord("127.0.0.2:80", state, born)
	return strings.Replace(record, `"seq":1`, fmt.Sprintf(`"seq":%d`, sequence), 1)
}

// inUse returns a check that the upstream on 127.0.0.2 may receive requests, or that it may not.
func (n *node) inUse(want bool) func(poll.LogT) poll.Result {
	return func(poll.LogT) poll.Result {
		if got := n.Configuration() != nil && !n.IsLeaving("127.0.0.2"); got != want {
			return poll.Continue("in use: got %v, wanted %v", got, want)
		}
		return poll.Success()
	}
}

// Guards against a draining or removed upstream that receives requests again because the registry completes an earlier
// write of it late, and against one that receives none after it has started or registered again.
func TestLateWriteOfAnOlderStateIsIgnored(t *testing.T) {
	const key = "servers/i-2"
	for name, c := range map[string]struct {
		change func(store *standin.Store)
		inUse  bool
	}{
		"late after draining": {func(store *standin.Store) {
			store.Put(key, stateRecord("draining", 10, 9))
			store.Put(key, stateRecord("ready", 10, 8))
		}, false},
		"late after removal": {func(store *standin.Store) {
			store.Put(key, stateRecord("draining", 10, 9))
			store.Remove(key)
			store.Put(key, stateRecord("ready", 10, 8))
		}, false},
		"late twice": {func(store *standin.Store) {
			store.Put(key, stateRecord("draining", 10, 9))
			store.Put(key, stateRecord("ready", 10, 7))
			store.Remove(key)
			store.Put(key, stateRecord("ready", 10, 8))
		}, false},
		"late from an earlier start": {func(store *standin.Store) {
			store.Put(key, stateRecord("draining", 20, 3))
			store.Put(key, stateRecord("ready", 10, 8))
		}, false},
		"late after an invalid record": {func(store *standin.Store) {
			store.Put(key, stateRecord("draining", 10, 9))
			store.Put(key, "not a record")
			store.Put(key, stateRecord("ready", 10, 8))
		}, false},
		"draining is late": {func(store *standin.Store) {
			store.Put(key, stateRecord("ready", 20, 1))
			store.Put(key, stateRecord("draining", 10, 9))
		}, true},
		"draining ended": {func(store *standin.Store) {
			store.Put(key, stateRecord("draining", 10, 9))
			store.Put(key, stateRecord("ready", 10, 10))
		}, true},
		"started again": {func(store *standin.Store) {
			store.Put(key, stateRecord("draining", 10, 9))
			store.Remove(key)
			store.Put(key, stateRecord("ready", 20, 1))
		}, true},
		"registered again": {func(store *standin.Store) {
			store.Put(key, stateRecord("ready", 10, 9))
			store.Remove(key)
			store.Put(key, stateRecord("ready", 10, 9))
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			store := standin.NewStore()
			defer store.Close()
			publishFleet(store)
			store.Put(key, stateRecord("ready", 10, 5))
			port := freePort(t)
			nodes := []*node{startNode(t, "127.0.0.1", port, store), startNode(t, "127.0.0.2", port, store)}
			for _, n := range nodes {
				poll.WaitOn(t, n.hasVersion(3, 2), pollFor(applyLimit))
			}
			c.change(store)
			store.Put("op/config", routingRecord(4))
			for _, n := range nodes {
				poll.WaitOn(t, n.hasNumber(4), pollFor(applyLimit))
				assert.Equal(t, !n.IsLeaving("127.0.0.2"), c.inUse)
			}
		})
	}
}

// Guards against a daemon that starts after such a late write, reads only the older state from the registry and sends
// requests to a draining or removed upstream, although other daemons know that it leaves.
func TestRestartedDaemonLearnsOfALateWrite(t *testing.T) {
	const key = "servers/i-2"
	for name, removed := range map[string]bool{"draining": false, "removed": true} {
		t.Run(name, func(t *testing.T) {
			store := standin.NewStore()
			defer store.Close()
			publishFleet(store)
			store.Put("servers/i-3", instanceRecord("127.0.0.3:80", "ready", 1))
			store.Put(key, stateRecord("ready", 10, 5))
			port := freePort(t)
			first, second := startNode(t, "127.0.0.1", port, store), startNode(t, "127.0.0.2", port, store)
			for _, n := range []*node{first, second} {
				poll.WaitOn(t, n.hasVersion(3, 3), pollFor(applyLimit))
			}
			store.Put(key, stateRecord("draining", 10, 9))
			for _, n := range []*node{first, second} {
				poll.WaitOn(t, n.inUse(false), pollFor(applyLimit))
			}
			if removed {
				store.Remove(key)
			}
			store.Put(key, stateRecord("ready", 10, 8))
			store.Put("op/config", routingRecord(4))
			for _, n := range []*node{first, second} {
				poll.WaitOn(t, n.hasNumber(4), pollFor(applyLimit))
			}
			restarted := startNode(t, "127.0.0.3", port, store)
			poll.WaitOn(t, restarted.hasNumber(4), pollFor(applyLimit))
			poll.WaitOn(t, restarted.inUse(false), pollFor(applyLimit))
			time.Sleep(time.Second)
			for _, n := range []*node{first, second, restarted} {
				assert.Assert(t, n.IsLeaving("127.0.0.2"))
			}
		})
	}
}

// hasNumber returns a check that the node has applied the version, whatever its targets are.
func (n *node) hasNumber(version uint64) func(poll.LogT) poll.Result {
	return func(poll.LogT) poll.Result {
		if c := n.Configuration(); c == nil || c.Version().Number() != version {
			return poll.Continue("version %d is not applied", version)
		}
		return poll.Success()
	}
}
