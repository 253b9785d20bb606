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
		Name: host, Host: host, AvailabilityZone: zone, Slots: 4, WarmupEnd: warmAt,
	})
}

var small = cicadacross.PlacementRequest{Route: "lookup", TargetTime: 500 * time.Millisecond}

func share(s *balance.Swift, request cicadacross.PlacementRequest, among ...cicadacross.Target) map[string]int {
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
	s.ObserveReply("slow", "lookup", cicadacross.Load{Slots: 4, ServiceTime: 300 * time.Millisecond})
	s.ObserveReply("full", "lookup", cicadacross.Load{
		Slots: 4, InProgress: 4, QueueWait: 250 * time.Millisecond, ServiceTime: 100 * time.Millisecond,
	})
	s.ObserveReply("quick", "lookup", cicadacross.Load{Slots: 4, ServiceTime: 100 * time.Millisecond})
	none := time.Time{}
	counts := share(s, small, candidate("slow", "z1", none), candidate("full", "z1", none), candidate("quick", "z1", none))
	assert.Equal(t, counts["quick"], 300)
}

// Guards against requests that take a detour over other hosts' links although the target on the own host answers in
// time, and against a queue at it that isn't seen (nocciolo-mesh-grown, scale-1: links of 7 Mbit/s were full).
func TestSwiftPrefersTheOwnHostWhileThatIsInTime(t *testing.T) {
	clock := timer.NewManual(time.Unix(1000, 0))
	load := cicadacross.Load{Slots: 4, ServiceTime: 250 * time.Millisecond}
	s := balance.NewSwift(cicadacross.BalancerOptions{
		AvailabilityZone: "z1", Timers: clock, Host: "own", OwnLoad: func(string) cicadacross.Load { return load },
	}, rand.New(rand.NewPCG(1, 2)))
	none := time.Time{}
	own, near := candidate("own", "z1", none), candidate("near", "z1", none)
	s.ObserveReply("near", "lookup", cicadacross.Load{Slots: 4, ServiceTime: 50 * time.Millisecond})
	assert.Equal(t, share(s, small, own, near)["own"], 300)
	load.InProgress, load.Queued, load.QueueWait = 4, 3, 200*time.Millisecond
	assert.Equal(t, share(s, small, own, near)["near"], 300)
}

// Guards against traffic between availability zones for answers that the own zone gives in time, and against requests
// that stay in a zone that can't.
func TestSwiftStaysHomeWhileThatIsInTime(t *testing.T) {
	s, _ := newSwift()
	none := time.Time{}
	home, away := candidate("home", "z1", none), candidate("away", "z2", none)
	s.ObserveReply("home", "lookup", cicadacross.Load{Slots: 4, ServiceTime: 200 * time.Millisecond})
	s.ObserveReply("away", "lookup", cicadacross.Load{Slots: 4, ServiceTime: 100 * time.Millisecond})
	assert.Equal(t, share(s, small, home, away)["home"], 300)
	s.ObserveReply("home", "lookup", cicadacross.Load{
		Slots: 4, InProgress: 4, QueueWait: 300 * time.Millisecond, ServiceTime: 200 * time.Millisecond,
	})
	assert.Equal(t, share(s, small, home, away)["away"], 300)
	bulky := small
	bulky.LargeBody = true
	assert.Equal(t, share(s, bulky, home, away)["home"], 300)
}

// Guards against a target that has just started and gets as much as a warm one.
func TestSwiftAvoidsColdTargets(t *testing.T) {
	s, clock := newSwift()
	for _, host := range []string{"cold", "warm"} {
		s.ObserveReply(host, "lookup", cicadacross.Load{Slots: 4, ServiceTime: 150 * time.Millisecond})
	}
	cold := candidate("cold", "z1", clock.Now().Add(time.Second))
	assert.Equal(t, share(s, small, cold, candidate("warm", "z1", time.Time{}))["warm"], 300)
}

// Guards against a target that rejects calls although it has free slots, and attracts requests by that.
func TestSwiftAvoidsTargetsThatReject(t *testing.T) {
	s, _ := newSwift()
	for _, host := range []string{"grey", "good"} {
		s.ObserveReply(host, "lookup", cicadacross.Load{Slots: 4, ServiceTime: 150 * time.Millisecond})
	}
	for range 20 {
		s.RecordResult("grey", false)
		s.RecordResult("good", true)
	}
	none := time.Time{}
	assert.Equal(t, share(s, small, candidate("grey", "z1", none), candidate("good", "z1", none))["good"], 300)
}

// Guards against a wait that is believed long after it was told.
func TestSwiftForgetsOldWaits(t *testing.T) {
	s, clock := newSwift()
	s.ObserveReply("a", "lookup", cicadacross.Load{Slots: 4, QueueWait: time.Second, ServiceTime: 100 * time.Millisecond})
	s.ObserveReply("b", "lookup", cicadacross.Load{Slots: 4, ServiceTime: 200 * time.Millisecond})
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
		s.ObserveReply("silent", "lookup", cicadacross.Load{
			Slots: 4, QueueWait: 200 * time.Millisecond, ServiceTime: 100 * time.Millisecond,
		})
	}
	clock.Advance(3 * time.Second)
	s.ObserveReply("heard", "lookup", cicadacross.Load{
		Slots: 4, QueueWait: 20 * time.Millisecond, ServiceTime: 110 * time.Millisecond,
	})
	none := time.Time{}
	assert.Equal(t, share(s, small, candidate("silent", "z1", none), candidate("heard", "z1", none))["heard"], 300)
}
