package admission_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadacross"
	"cicadacross/internal/timer"
)

// deployment describes the slots and the workloads of one target, from the most urgent to the least urgent workload.
type deployment struct {
	name      string
	slots     int
	workloads []workload
}

func rank(name string, urgency int, target time.Duration, worth float64) cicadacross.Rank {
	return cicadacross.NewRank(cicadacross.RankOptions{Name: name, Urgency: urgency, TargetTime: target, Worth: worth})
}

// deployments returns the two deployments, with the given fraction of the slots in use before the flood.
func deployments(load float64, repeatable bool) []deployment {
	const ms = time.Millisecond
	return []deployment{
		{name: "mandorlea", slots: 10, workloads: []workload{
			{"purchase", rank("payment", 1, 500*ms, 50), 60 * ms, 3000 * ms, false, load * 0.25},
			{"price", rank("interactive", 2, 250*ms, 5), 15 * ms, 2000 * ms, true, load * 0.35},
			{"upload", rank("bulk", 3, 15*time.Second, 1), 1200 * ms, 30 * time.Second, repeatable, load * 0.4},
		}},
		{name: "sofia", slots: 6, workloads: []workload{
			{"publication", rank("payment", 1, 600*ms, 20), 80 * ms, 3000 * ms, false, load * 0.2},
			{"page", rank("interactive", 2, 250*ms, 8), 20 * ms, 2000 * ms, true, load * 0.4},
			{"query", rank("internal", 3, 300*ms, 3), 10 * ms, 2000 * ms, true, load * 0.1},
			{"upload", rank("bulk", 4, 10*time.Second, 1), 900 * ms, 20 * time.Second, repeatable, load * 0.3},
		}},
	}
}

// The limits and times of the flood tests: a flood of one route at five times the capacity, with the goals of the
// design document.
const (
	floodFactor    = 5
	minKeptShare   = 0.95
	minOnTimeShare = 0.99
	minUsefulShare = 0.90
	trainingTime   = 90 * time.Second
	measuredTime   = 90 * time.Second
	longestTarget  = 15 * time.Second
	simulationSeed = 7
	loadBefore     = 0.65
	highLoadBefore = 0.85
)

// Guards against a flood that takes the slots of other routes, makes urgent ranks late, or wastes slots on requests
// that end too late. Checks the goals of the design document for floods of the most urgent route, the least urgent one
// and one between, with uploads that are repeatable, and so preemptible, and with uploads that aren't.
func TestFloodDoesNotDisplaceOtherRoutes(t *testing.T) {
	for _, load := range []float64{loadBefore, highLoadBefore} {
		for _, repeatable := range []bool{true, false} {
			for _, d := range deployments(load, repeatable) {
				floods := []int{0, len(d.workloads) - 1}
				if load == loadBefore && repeatable {
					floods = append(floods, 1)
				}
				for _, flood := range floods {
					name := fmt.Sprintf("%s/%.2f/repeatable=%v/%s", d.name, load, repeatable, d.workloads[flood].name)
					t.Run(name, func(t *testing.T) {
						t.Parallel()
						checkFlood(t, d, flood)
					})
				}
			}
		}
	}
}

func checkFlood(t *testing.T, d deployment, flood int) {
	clock := timer.NewManual(time.Unix(0, 0))
	g := newGate(t, "share", cicadacross.AdmissionOptions{
		Slots: d.slots, Timers: clock, LeastUrgent: d.workloads[len(d.workloads)-1].rank.Urgency(),
	})
	sim := newSimulation(clock, g, d.slots)
	rates := usualRates(d.workloads)
	sim.run(trainingTime, d.workloads, rates)
	sim.cooldown = longestTarget
	before, _ := sim.run(measuredTime, d.workloads, rates)
	rates[d.workloads[flood].name] = floodFactor
	during, usefulShare := sim.run(measuredTime, d.workloads, rates)
	assert.Check(t, usefulShare >= minUsefulShare, "%.3f of the slot time spent on requests answered on time", usefulShare)
	for i, w := range d.workloads {
		countsBefore, countsDuring := before[w.name], during[w.name]
		t.Logf("%s before %+v during %+v", w.name, *countsBefore, *countsDuring)
		urgent := i < len(d.workloads)-1
		if i == flood {
			// Most requests of the flood are refused on arrival; those that were started must be answered on time.
			startedOnTime := float64(countsDuring.onTime) / float64(countsDuring.onTime+countsDuring.late)
			assert.Check(t, !urgent || startedOnTime >= minOnTimeShare, "%s: %.3f of the started requests on time", w.name,
				startedOnTime)
			continue
		}
		keptShare := countsDuring.onTimeShare() / countsBefore.onTimeShare()
		assert.Check(t, keptShare >= minKeptShare, "%s kept %.3f of its on-time share", w.name, keptShare)
		assert.Check(t, !urgent || countsDuring.onTimeShare() >= minOnTimeShare, "%s: %.3f on time", w.name,
			countsDuring.onTimeShare())
	}
}

func usualRates(workloads []workload) map[string]float64 {
	rates := make(map[string]float64)
	for _, w := range workloads {
		rates[w.name] = w.usualShare
	}
	return rates
}

// Guards against a newly started policy that lets a flood in progress shut out another route: every other route must
// have at least half of its requests answered on time, although no usual rate is known. The load before the flood is
// 0.65.
func TestNewPolicyStarvesNoRoute(t *testing.T) {
	for _, d := range deployments(loadBefore, true) {
		for _, flood := range []int{0, 1, len(d.workloads) - 1} {
			clock := timer.NewManual(time.Unix(0, 0))
			g := newGate(t, "share", cicadacross.AdmissionOptions{Slots: d.slots, Timers: clock})
			sim := newSimulation(clock, g, d.slots)
			sim.cooldown = longestTarget
			rates := usualRates(d.workloads)
			rates[d.workloads[flood].name] = floodFactor
			during, _ := sim.run(measuredTime/2, d.workloads, rates)
			for i, w := range d.workloads {
				assert.Check(t, i == flood || during[w.name].onTimeShare() >= 0.5, "%s, flood of %s: %s got %.3f", d.name,
					d.workloads[flood].name, w.name, during[w.name].onTimeShare())
			}
		}
	}
}

// Guards against a target that loses half of its slots and then makes all routes late alike: the most urgent route must
// still be served, and no route may be shut out.
func TestFewerSlotsAffectLeastUrgentFirst(t *testing.T) {
	for _, d := range deployments(loadBefore, false) {
		clock := timer.NewManual(time.Unix(0, 0))
		g := newGate(t, "share", cicadacross.AdmissionOptions{Slots: d.slots, Timers: clock})
		sim := newSimulation(clock, g, d.slots)
		rates := usualRates(d.workloads)
		sim.run(trainingTime, d.workloads, rates)
		sim.cooldown = longestTarget
		g.Resize(d.slots / 2)
		during, _ := sim.run(measuredTime, d.workloads, rates)
		for i, w := range d.workloads {
			t.Logf("%s %s %+v", d.name, w.name, *during[w.name])
			want := 0.15
			if i == 0 {
				want = 0.95
			}
			share := during[w.name].onTimeShare()
			assert.Check(t, share >= want, "%s: %s %.3f on time", d.name, w.name, share)
		}
	}
}

// Guards against baselines that are too weak or a flood that is too easy to be a valid comparison: strict priority must
// starve the other routes in a flood of the most urgent one, and arrival order must make the urgent routes late.
func TestBaselinesFailUnderFlood(t *testing.T) {
	for _, policy := range []string{"priority", "fifo"} {
		for _, d := range deployments(loadBefore, true) {
			clock := timer.NewManual(time.Unix(0, 0))
			g := newGate(t, policy, cicadacross.AdmissionOptions{Slots: d.slots, Timers: clock})
			sim := newSimulation(clock, g, d.slots)
			rates := usualRates(d.workloads)
			rates[d.workloads[0].name] = floodFactor
			during, _ := sim.run(measuredTime/2, d.workloads, rates)
			assert.Check(t, during[d.workloads[1].name].onTimeShare() < 0.5, "%s, %s", policy, d.name)
		}
	}
}
