package roster_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"cicadacross/platform/standin"
)

// slowLinkApplyLimit is the time limit that the platform sets for applying a change where links are slow.
const slowLinkApplyLimit = 2500 * time.Millisecond

// oddRecord returns the record of a ready upstream in an availability zone without daemons.
func oddRecord(address string) string {
	return strings.Replace(instanceRecord(address, "ready", 1), `"z1"`, `"z9"`, 1)
}

// nestedRecord returns the record of a ready upstream with an extra field of nested lists.
func nestedRecord(depth int) string {
	list := strings.Repeat("[", depth) + strings.Repeat("]", depth)
	return strings.Replace(oddRecord("127.0.0.9:80"), "{", `{"extra":`+list+",", 1)
}

// oddRecords returns values that another writer than an upstream may leave under the key prefix of the upstreams.
func oddRecords(t *testing.T) map[string]string {
	t.Helper()
	random := make([]byte, 1<<20)
	_, err := rand.NewChaCha8([32]byte{2}).Read(random)
	assert.NilError(t, err)
	sound := oddRecord("127.0.0.9:80")
	records := map[string]string{
		"nested":        nestedRecord(1000),
		"nested deeply": nestedRecord(500_000),
		"not closed":    strings.Repeat("[", 1_000_000),
		"port":          oddRecord("127.0.0.9:80000"),
		"port negative": oddRecord("127.0.0.9:-1"),
		"port huge":     oddRecord("127.0.0.9:99999999999999999999"),
		"no port":       oddRecord("127.0.0.9"),
		"any bytes":     string(random),
		"long address":  oddRecord(strings.Repeat("9", 500_000)),
		"long zone":     strings.Replace(sound, `"z9"`, `"`+strings.Repeat("z", 500_000)+`"`, 1),
	}
	for _, number := range []string{"1e400", "-1e400", "1e19", "18446744073709551616", "1" + strings.Repeat("0", 5000)} {
		for _, field := range []string{`"slots":4`, `"seq":1`, `"born":1`, `"coldRemainingS":0`} {
			name, _, _ := strings.Cut(field, ":")
			records[name+" "+number[:min(len(number), 20)]] = strings.Replace(sound, field, name+":"+number, 1)
		}
	}
	return records
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

// Guards against daemons that end, or stop following the registry or each other, because another writer leaves an odd
// record among those of the upstreams and writes it again.
func TestOddRecordsDoNotStopFollowing(t *testing.T) {
	for name, value := range oddRecords(t) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := standin.NewStore()
			defer store.Close()
			first, second := startPair(t, store)
			before := second.failedStreams()
			version := 3
			for round := range 6 {
				store.Put("servers/odd", value+strings.Repeat(" ", round))
				store.Put(fmt.Sprintf("servers/odd-%d", round), value)
				time.Sleep(300 * time.Millisecond)
				version++
				store.Put("op/config", routingRecord(version))
				for _, n := range []*node{first, second} {
					poll.WaitOn(t, n.hasNumber(uint64(version)), pollFor(applyLimit))
				}
			}
			assert.Equal(t, second.failedStreams()-before, int64(0))
			third := startNode(t, "127.0.0.3", freePort(t), store)
			poll.WaitOn(t, third.hasNumber(uint64(version)), pollFor(applyLimit))
			for _, n := range []*node{first, second, third} {
				assert.Assert(t, !n.IsLeaving("127.0.0.1") && !n.IsLeaving("127.0.0.2"))
			}
		})
	}
}

// Guards against a reader that repeats a watch whose response is too large, or too slow on its link, and so follows
// neither the operator nor the upstreams until the registry has discarded its history.
func TestWatchWithTooManyChangesIsReplacedByAListing(t *testing.T) {
	const key = "servers/i-2"
	for name, c := range map[string]struct {
		faults      standin.Faults
		size, count int
	}{
		"too large": {standin.Faults{}, 1 << 20, 6},
		"too slow":  {standin.Faults{SlowHost: "127.0.0.1", SlowDelay: slowDelay}, 100_000, 8},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := standin.NewStore()
			defer store.Close()
			publishFleet(store)
			n := startNode(t, "127.0.0.1", freePort(t), store)
			poll.WaitOn(t, n.hasVersion(3, 2), pollFor(applyLimit))
			store.SetFaults(c.faults)
			for i := range c.count {
				store.Put("servers/odd", strings.Repeat(fmt.Sprint(i), c.size))
			}
			store.Put(key, instanceRecord("127.0.0.2:80", "draining", 1))
			store.Put("op/config", routingRecord(4))
			poll.WaitOn(t, n.hasNumber(4), pollFor(slowLinkApplyLimit))
			assert.Assert(t, n.IsLeaving("127.0.0.2"))
		})
	}
}
