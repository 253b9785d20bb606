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

const picks = 1000

// service returns targets named by their availability zone and number.
func service(perZone int, zones ...string) []cicadacross.Target {
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

func busy(inProgress int) cicadacross.Load {
	return cicadacross.Load{InProgress: inProgress, Slots: 10}
}

// count picks often and returns how often each host was chosen.
func count(t *testing.T, b cicadacross.Balancer, candidates []cicadacross.Target) map[string]int {
	t.Helper()
	chosen := make(map[string]int)
	for range picks {
		target, ok := b.Pick(candidates)
		assert.Assert(t, ok)
		chosen[target.Host()]++
	}
	return chosen
}

// Guards against traffic between availability zones for a small difference of load, and against a home zone that is
// overloaded while others are idle.
func TestOwnZoneIsPreferredUnlessClearlyMoreLoaded(t *testing.T) {
	b := newLeast(timer.NewManual(time.Unix(0, 0)))
	targets := service(2, "a", "b")
	for _, host := range []string{"a0", "a1"} {
		b.Observe(host, busy(6))
	}
	for _, host := range []string{"b0", "b1"} {
		b.Observe(host, busy(4))
	}
	chosen := count(t, b, targets)
	assert.Equal(t, chosen["a0"]+chosen["a1"], picks)
	for _, host := range []string{"a0", "a1"} {
		b.Observe(host, busy(9))
	}
	chosen = count(t, b, targets)
	assert.Equal(t, chosen["b0"]+chosen["b1"], picks)
}

// Guards against a herd: all requests between two reports going to the target that was idle at the last one.
func TestOwnRequestsCountBetweenReports(t *testing.T) {
	b := newLeast(timer.NewManual(time.Unix(0, 0)))
	targets := service(3, "a")
	for _, target := range targets {
		b.Observe(target.Host(), busy(0))
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
	// A second call of end must not make the host look idle.
	b.Observe("a0", busy(5))
	b.Observe("a1", busy(0))
	b.Observe("a2", busy(5))
	assert.Assert(t, count(t, b, targets)["a1"] > picks/2)
}

// Guards against choices by reports that are too old to be true.
func TestOldEvidenceCountsAsUnknown(t *testing.T) {
	clock := timer.NewManual(time.Unix(0, 0))
	b := newLeast(clock)
	targets := service(2, "a")
	b.Observe("a0", busy(0))
	b.Observe("a1", busy(10))
	assert.Equal(t, count(t, b, targets)["a0"], picks)
	clock.Advance(3 * time.Second)
	b.Observe("a0", busy(8))
	// The old report of a1 says 10 of 10; unknown is preferred to a known 8 of 10.
	assert.Equal(t, count(t, b, targets)["a1"], picks)
}

// Guards against new work for a target that is leaving while another is left, even a busy one in another zone.
func TestDrainingTargetIsAvoided(t *testing.T) {
	b := newLeast(timer.NewManual(time.Unix(0, 0)))
	targets := service(1, "a", "b")
	b.Observe("a0", cicadacross.Load{Slots: 10, Draining: true})
	b.Observe("b0", cicadacross.Load{InProgress: 10, Queued: 40, Slots: 10})
	assert.Equal(t, count(t, b, targets)["b0"], picks)
	assert.Equal(t, count(t, b, targets[:1])["a0"], picks)
}

// Guards against a cold target that gets its full part of the work at once because it is idle, and against a daemon
// that has just started and takes all targets as cold.
func TestReturnedTargetGetsWorkGradually(t *testing.T) {
	clock := timer.NewManual(time.Unix(0, 0))
	b := newLeast(clock)
	targets := service(2, "a")
	b.Observe("a0", busy(0))
	b.Observe("a1", busy(0))
	assert.Assert(t, count(t, b, targets)["a1"] > picks*4/10)
	clock.Advance(5 * time.Second)
	count(t, b, targets[1:])
	var shares []int
	for range 3 {
		b.Observe("a0", busy(0))
		b.Observe("a1", busy(0))
		shares = append(shares, count(t, b, targets)["a0"])
		clock.Advance(5 * time.Second)
	}
	// a0 has returned: both are idle, but it gets a tenth of its part at first and all of it after 10 s.
	assert.Assert(t, shares[0] < picks/10, "%v", shares)
	assert.Assert(t, shares[1] > picks*2/10 && shares[1] < picks*4/10, "%v", shares)
	assert.Assert(t, shares[2] > picks*4/10, "%v", shares)
	only, ok := b.Pick(targets[:1])
	assert.Assert(t, ok)
	assert.Equal(t, only.Host(), "a0")
}

// Guards against data races, against a pick from nothing, and against a baseline that isn't even.
func TestBalancersUnderConcurrentUse(t *testing.T) {
	targets := service(2, "a", "b")
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
					b.Observe(target.Host(), busy(1))
					end()
				}
			})
		}
		wg.Wait()
	}
	even := count(t, &balance.RoundRobin{}, targets)
	assert.Equal(t, even["a0"], picks/4)
}
