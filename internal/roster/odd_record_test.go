package roster_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"cicadacross/platform/standin"
)

// oddRecord returns the record of a ready upstream in an availability zone without daemons.
func oddRecord(address string) string {
	return strings.Replace(instanceRecord(address, "ready", 1), `"z1"`, `"z9"`, 1)
}

// nestedRecord returns the record of a ready upstream with an extra field of nested lists.
func nestedRecord(depth int) string {
	list := strings.Repeat("[", depth) + strings.Repeat("]", depth)
	return strings.Replace(oddRecord("127.0.0.9:80"), "{", `{"extra":`+list+",", 1)
}

// startPair starts two nodes, of which the second has the first as its only source.
func startPair(t *testing.T, store *standin.Store) (*node, *node) {
	t.Helper()
	port := freePort(t)
	refused := standin.NewStore()
	t.Cleanup(refused.Close)
	publishFleet(store)
	publishFleet(refused)
	first := startNode(t, "127.0.0.1", port, store)
	second := startNode(t, "127.0.0.2", port, refused)
	poll.WaitOn(t, first.hasVersion(3, 2), pollFor(applyLimit))
	poll.WaitOn(t, second.hasVersion(3, 2), pollFor(applyLimit))
	refused.SetFaults(standin.Faults{Status: http.StatusServiceUnavailable})
	time.Sleep(1500 * time.Millisecond)
	return first, second
}

// Guards against streams between daemons that end each time a large record other than the routing is written again:
// it was sent as the difference to a value that the receiver doesn't keep.
func TestLargeInstanceRecordIsSentWhole(t *testing.T) {
	store := standin.NewStore()
	defer store.Close()
	first, second := startPair(t, store)
	before := second.failedStreams()
	for round := range 5 {
		store.Put("servers/odd", nestedRecord(1000+round))
		time.Sleep(500 * time.Millisecond)
	}
	store.Put("op/config", routingRecord(4))
	poll.WaitOn(t, first.hasNumber(4), pollFor(applyLimit))
	poll.WaitOn(t, second.hasNumber(4), pollFor(applyLimit))
	assert.Equal(t, second.failedStreams()-before, int64(0))
}
