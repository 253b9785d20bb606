package roster_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/poll"

	"cicadacross/platform/standin"
)

// Guards against daemons that use an old routing, or a removed target, for seconds because the daemons at the start of
// the election order, which all others of the availability zone follow, are lost together, or the next ones soon after
// them.
func TestSurvivorsOfManyDaemonsFollowInTime(t *testing.T) {
	const daemons = 14
	for _, c := range []struct {
		name string
		lose func(*node)
		// lost is the number of daemons that are lost, later that of those among them which are lost after secondWave.
		lost, later int
	}{
		{name: "1 killed", lose: (*node).kill, lost: 1},
		{name: "2 killed", lose: (*node).kill, lost: 2},
		{name: "3 killed", lose: (*node).kill, lost: 3},
		{name: "7 killed", lose: (*node).kill, lost: 7},
		{name: "11 killed", lose: (*node).kill, lost: 11},
		{name: "2 silent", lose: (*node).fallSilent, lost: 2},
		{name: "7 silent", lose: (*node).fallSilent, lost: 7},
		{name: "11 silent", lose: (*node).fallSilent, lost: 11},
		{name: "4 and then 4 killed", lose: (*node).kill, lost: 8, later: 4},
		{name: "4 and then 4 silent", lose: (*node).fallSilent, lost: 8, later: 4},
	} {
		t.Run(c.name, func(t *testing.T) {
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
			for i, n := range nodes[:c.lost] {
				if i == c.lost-c.later {
					time.Sleep(secondWave)
				}
				c.lose(n)
			}
			store.Put("op/config", routingRecord(4))
			store.Remove(fmt.Sprintf("servers/i-%d", daemons))
			deadline := time.Now().Add(slowLinkApplyLimit)
			for _, n := range nodes[c.lost:] {
				poll.WaitOn(t, n.hasVersion(4, daemons-1), pollFor(time.Until(deadline)))
			}
		})
	}
}

// secondWave is the time after which further daemons are lost: those that have just taken over, or are about to.
const secondWave = 1300 * time.Millisecond
