package roster_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/poll"

	"cicadacross/platform/standin"
)

// Guards against daemons that use an old routing, or a removed target, for seconds because the daemons at the start of
// the election order, which all others of the availability zone follow, are gone together.
func TestSurvivorsOfManyDaemonsFollowInTime(t *testing.T) {
	const daemons = 14
	for _, lost := range []int{1, 2, 3, 7, 11} {
		t.Run(fmt.Sprintf("%d of %d", lost, daemons), func(t *testing.T) {
			t.Parallel()
			port := freePort(t)
			store := standin.NewStore()
			defer store.Close()
			store.Put("op/config", routingRecord(3))
			for i := 1; i <= daemons; i++ {
				store.Put(fmt.Sprintf("servers/i-%d", i), instanceRecord(fmt.Sprintf("127.0.0.%d:80", i), "ready", 1))
			}
			var nodes []*node
			for i := 1; i <= daemons; i++ {
				// The link speeds set the election order.
				nodes = append(nodes, startNodeWithLink(t, fmt.Sprintf("127.0.0.%d", i), port, store, float64(100-i)))
			}
			for _, n := range nodes {
				poll.WaitOn(t, n.hasVersion(3, daemons), pollFor(5*time.Second))
			}
			time.Sleep(3 * time.Second)
			for _, n := range nodes[:lost] {
				n.kill()
			}
			store.Put("op/config", routingRecord(4))
			store.Remove(fmt.Sprintf("servers/i-%d", daemons))
			deadline := time.Now().Add(slowLinkApplyLimit)
			for _, n := range nodes[lost:] {
				poll.WaitOn(t, n.hasVersion(4, daemons-1), pollFor(time.Until(deadline)))
			}
		})
	}
}
