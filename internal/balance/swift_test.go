package balance_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadacross"
	"cicadacross/internal/balance"
	"cicadacross/internal/timer"
)

func newSwift() (*balance.Swift, *timer.Manual) {
	clock := timer.NewManual(time.Unix(1000, 0))
	opts := cicadacross.BalancerOptions{AvailabilityZone: "z1", Timers: clock}
	return balance.NewSwift(opts, rand.New(rand.NewPCG(1, 2))), clock
}

func candidate(host, zone string, warmAt time.Time) cicadacross.Target {
	return cicadacross.NewTarget(cicadacross.TargetOptions{
		Name: host, Host: host, AvailabilityZone: zone, Slots: 4, WarmAt: warmAt,
	})
}

var small = cicadacross.Placement{Kind: "lookup", Aim: 500 * time.Millisecond}

func share(s *balance.Swift, request cicadacross.Placement, among ...cicadacross.Target) map[string]int {
	counts := make(map[string]int)
	for range 300 {
		list := append([]cicadacross.Target{}, among...)
		target, _ := s.Place(request, list)
		counts[target.Host()]++
	}
	return counts
}

// Guards against requests that go to a target with a queue or a slow one while a quick one of the zone is free.
func TestSwiftTakesTheFirstAnswer(t *testing.T) {
	s, _ := newSwift()
	s.Report("slow", "lookup", cicadacross.Load{Slots: 4, Work: 300 * time.Millisecond})
	s.Report("full", "lookup", cicadacross.Load{
		Slots: 4, InProgress: 4, Wait: 250 * time.Millisecond, Work: 100 * time.Millisecond,
	})
	s.Report("quick", "lookup", cicadacross.Load{Slots: 4, Work: 100 * time.Millisecond})
	none := time.Time{}
	counts := share(s, small, candidate("slow", "z1", none), candidate("full", "z1", none), candidate("quick", "z1", none))
	assert.Equal(t, counts["quick"], 300)
}

// Guards against requests that take a detour over other hosts' links although the target on the own host answers in
// time, and against a queue at it that isn't seen (nocciolo-mesh-grown, scale-1: links of 7 Mbit/s were full).
func TestSwiftPrefersTheOwnHostWhileThatIsInTime(t *testing.T) {
	clock := timer.NewManual(time.Unix(1000, 0))
	load := cicadacross.Load{Slots: 4, Work: 250 * time.Millisecond}
	s := balance.NewSwift(cicadacross.BalancerOptions{
		AvailabilityZone: "z1", Timers: clock, Host: "own", OwnLoad: func(string) cicadacross.Load { return load },
	}, rand.New(rand.NewPCG(1, 2)))
	none := time.Time{}
	own, near := candidate("own", "z1", none), candidate("near", "z1", none)
	s.Report("near", "lookup", cicadacross.Load{Slots: 4, Work: 50 * time.Millisecond})
	assert.Equal(t, share(s, small, own, near)["own"], 300)
	load.InProgress, load.Queued, load.Wait = 4, 3, 200*time.Millisecond
	assert.Equal(t, share(s, small, own, near)["near"], 300)
}

// Guards against traffic between availability zones for answers that the own zone gives in time, and against requests
// that stay in a zone that can't.
func TestSwiftStaysHomeWhileThatIsInTime(t *testing.T) {
	s, _ := newSwift()
	none := time.Time{}
	home, away := candidate("home", "z1", none), candidate("away", "z2", none)
	s.Report("home", "lookup", cicadacross.Load{Slots: 4, Work: 200 * time.Millisecond})
	s.Report("away", "lookup", cicadacross.Load{Slots: 4, Work: 100 * time.Millisecond})
	assert.Equal(t, share(s, small, home, away)["home"], 300)
	s.Report("home", "lookup", cicadacross.Load{
		Slots: 4, InProgress: 4, Wait: 300 * time.Millisecond, Work: 200 * time.Millisecond,
	})
	assert.Equal(t, share(s, small, home, away)["away"], 300)
	bulky := small
	bulky.Bulky = true
	assert.Equal(t, share(s, bulky, home, away)["home"], 300)
}

// Guards against a target that has just started and gets as much as a warm one.
func TestSwiftAvoidsColdTargets(t *testing.T) {
	s, clock := newSwift()
	for _, host := range []string{"cold", "warm"} {
		s.Report(host, "lookup", cicadacross.Load{Slots: 4, Work: 150 * time.Millisecond})
	}
	cold := candidate("cold", "z1", clock.Now().Add(time.Second))
	assert.Equal(t, share(s, small, cold, candidate("warm", "z1", time.Time{}))["warm"], 300)
}

// Guards against a target that rejects calls although it has free slots, and attracts requests by that.
func TestSwiftAvoidsTargetsThatReject(t *testing.T) {
	s, _ := newSwift()
	for _, host := range []string{"grey", "good"} {
		s.Report(host, "lookup", cicadacross.Load{Slots: 4, Work: 150 * time.Millisecond})
	}
	for range 20 {
		s.Judge("grey", false)
		s.Judge("good", true)
	}
	none := time.Time{}
	assert.Equal(t, share(s, small, candidate("grey", "z1", none), candidate("good", "z1", none))["good"], 300)
}

// Guards against a wait that is believed long after it was told.
func TestSwiftForgetsOldWaits(t *testing.T) {
	s, clock := newSwift()
	s.Report("a", "lookup", cicadacross.Load{Slots: 4, Wait: time.Second, Work: 100 * time.Millisecond})
	s.Report("b", "lookup", cicadacross.Load{Slots: 4, Work: 200 * time.Millisecond})
	none := time.Time{}
	assert.Equal(t, share(s, small, candidate("a", "z1", none), candidate("b", "z1", none))["b"], 300)
	clock.Advance(3 * time.Second)
	assert.Equal(t, share(s, small, candidate("a", "z1", none), candidate("b", "z1", none))["a"], 300)
}

// Guards against a fleet of many targets in which those that haven't been heard of lately are taken to be idle and get
// most requests (sofia-static-grown, scale-2: 43% of the page reads' worth).
func TestSwiftTakesUnknownTargetsForAverage(t *testing.T) {
	s, clock := newSwift()
	for range 100 {
		s.Report("silent", "lookup", cicadacross.Load{Slots: 4, Wait: 200 * time.Millisecond, Work: 100 * time.Millisecond})
	}
	clock.Advance(3 * time.Second)
	s.Report("heard", "lookup", cicadacross.Load{Slots: 4, Wait: 20 * time.Millisecond, Work: 110 * time.Millisecond})
	none := time.Time{}
	assert.Equal(t, share(s, small, candidate("silent", "z1", none), candidate("heard", "z1", none))["heard"], 300)
}
