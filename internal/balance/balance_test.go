package balance_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadacross"
	"cicadacross/internal/balance"
	"cicadacross/internal/kernel"
	"cicadacross/internal/timer"
)

const pickCount = 1000

// newTargets returns targets named after their availability zone and number.
func newTargets(perZone int, zones ...string) []cicadacross.Target {
	var list []cicadacross.Target
	for _, zone := range zones {
		for i := range perZone {
			host := fmt.Sprintf("%s%d", zone, i)
			list = append(list, cicadacross.NewTarget(cicadacross.TargetOptions{
				Name: host, Host: host, AvailabilityZone: zone, Slots: 10,
			}))
		}
	}
	return list
}

func newLeast(clock cicadacross.Timers) *balance.Least {
	opts := cicadacross.BalancerOptions{AvailabilityZone: "a", Timers: clock}
	return balance.NewLeast(opts, rand.New(rand.NewPCG(1, 1)))
}

func loadOf(inProgress int) cicadacross.Load {
	return cicadacross.Load{InProgress: inProgress, Slots: 10}
}

// countPicks picks a target pickCount times and returns how often each host was selected.
func countPicks(t *testing.T, b cicadacross.Balancer, candidates []cicadacross.Target) map[string]int {
	t.Helper()
	chosen := make(map[string]int)
	for range pickCount {
		target, ok := b.Pick(candidates)
		assert.Assert(t, ok)
		chosen[target.Host()]++
	}
	return chosen
}

// Guards against traffic between availability zones for a small difference in load, and against overload of the own
// availability zone while targets in others are idle.
func TestLeastPrefersSameZoneUnlessClearlyMoreLoaded(t *testing.T) {
	b := newLeast(timer.NewManual(time.Unix(0, 0)))
	targets := newTargets(2, "a", "b")
	for _, host := range []string{"a0", "a1"} {
		b.Observe(host, loadOf(6))
	}
	for _, host := range []string{"b0", "b1"} {
		b.Observe(host, loadOf(4))
	}
	chosen := countPicks(t, b, targets)
	assert.Equal(t, chosen["a0"]+chosen["a1"], pickCount)
	for _, host := range []string{"a0", "a1"} {
		b.Observe(host, loadOf(9))
	}
	chosen = countPicks(t, b, targets)
	assert.Equal(t, chosen["b0"]+chosen["b1"], pickCount)
}

// Guards against a herd effect: all requests between two reports go to the target that was idle in the last report.
func TestOutstandingRequestsCountBetweenReports(t *testing.T) {
	b := newLeast(timer.NewManual(time.Unix(0, 0)))
	targets := newTargets(3, "a")
	for _, target := range targets {
		b.Observe(target.Host(), loadOf(0))
	}
	chosen := make(map[string]int)
	var ends []func()
	for range 30 {
		target, _ := b.Pick(targets)
		ends = append(ends, b.Begin(target.Host()))
		chosen[target.Host()]++
	}
	for _, target := range targets {
		assert.Assert(t, chosen[target.Host()] >= 8, "%v", chosen)
	}
	for _, end := range ends {
		end()
		end()
	}
	// A second call of end must not make the host appear idle.
	b.Observe("a0", loadOf(5))
	b.Observe("a1", loadOf(0))
	b.Observe("a2", loadOf(5))
	assert.Assert(t, countPicks(t, b, targets)["a1"] > pickCount/2)
}

// Guards against selection by outdated reports.
func TestStaleReportCountsAsUnknown(t *testing.T) {
	clock := timer.NewManual(time.Unix(0, 0))
	b := newLeast(clock)
	targets := newTargets(2, "a")
	b.Observe("a0", loadOf(0))
	b.Observe("a1", loadOf(10))
	assert.Equal(t, countPicks(t, b, targets)["a0"], pickCount)
	clock.Advance(3 * time.Second)
	b.Observe("a0", loadOf(8))
	// The report of a1, 10 of 10, is outdated; an unknown load is preferred to a known 8 of 10.
	assert.Equal(t, countPicks(t, b, targets)["a1"], pickCount)
}

// Guards against new requests to a draining target while there is another one, even a busy one in another zone.
func TestDrainingTargetIsAvoided(t *testing.T) {
	b := newLeast(timer.NewManual(time.Unix(0, 0)))
	targets := newTargets(1, "a", "b")
	b.Observe("a0", cicadacross.Load{Slots: 10, Draining: true})
	b.Observe("b0", cicadacross.Load{InProgress: 10, Queued: 40, Slots: 10})
	assert.Equal(t, countPicks(t, b, targets)["b0"], pickCount)
	assert.Equal(t, countPicks(t, b, targets[:1])["a0"], pickCount)
}

// Guards against a cold target that immediately gets its full share of requests because it is idle, and against a newly
// started daemon that treats all targets as cold.
func TestReturnedTargetIsRampedUp(t *testing.T) {
	clock := timer.NewManual(time.Unix(0, 0))
	b := newLeast(clock)
	targets := newTargets(2, "a")
	b.Observe("a0", loadOf(0))
	b.Observe("a1", loadOf(0))
	assert.Assert(t, countPicks(t, b, targets)["a1"] > pickCount*4/10)
	clock.Advance(5 * time.Second)
	countPicks(t, b, targets[1:])
	var shares []int
	for range 3 {
		b.Observe("a0", loadOf(0))
		b.Observe("a1", loadOf(0))
		shares = append(shares, countPicks(t, b, targets)["a0"])
		clock.Advance(5 * time.Second)
	}
	// a0 has returned: both targets are idle, but a0 gets a tenth of its share at first and all of it after 10 s.
	assert.Assert(t, shares[0] < pickCount/10, "%v", shares)
	assert.Assert(t, shares[1] > pickCount*2/10 && shares[1] < pickCount*4/10, "%v", shares)
	assert.Assert(t, shares[2] > pickCount*4/10, "%v", shares)
	selected, ok := b.Pick(targets[:1])
	assert.Assert(t, ok)
	assert.Equal(t, selected.Host(), "a0")
}

// Guards against data races, against a pick from an empty list, and against an uneven baseline.
func TestBalancersUnderConcurrentUse(t *testing.T) {
	targets := newTargets(2, "a", "b")
	for _, name := range []string{"least", "roundrobin"} {
		factory, err := kernel.Balancers.Lookup(name)
		assert.NilError(t, err)
		b := factory(cicadacross.BalancerOptions{AvailabilityZone: "a", Timers: timer.System{}})
		_, ok := b.Pick(nil)
		assert.Assert(t, !ok)
		var wg sync.WaitGroup
		for range 8 {
			wg.Go(func() {
				for range 200 {
					target, _ := b.Pick(targets)
					end := b.Begin(target.Host())
					b.Observe(target.Host(), loadOf(1))
					end()
				}
			})
		}
		wg.Wait()
	}
	picked := countPicks(t, &balance.RoundRobin{}, targets)
	assert.Equal(t, picked["a0"], pickCount/4)
}
