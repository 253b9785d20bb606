package admission_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadacross"
	"cicadacross/internal/timer"
)

// deployment is the size and the mix of kinds of one target, the most urgent kind first and the least urgent last.
type deployment struct {
	name  string
	slots int
	kinds []workload
}

func rank(name string, urgency int, target time.Duration, worth float64) cicadacross.Rank {
	return cicadacross.NewRank(cicadacross.RankOptions{Name: name, Urgency: urgency, TargetTime: target, Worth: worth})
}

// deployments returns the two deployments with the given load before the flood.
func deployments(load float64, repeatable bool) []deployment {
	const ms = time.Millisecond
	return []deployment{
		{name: "mandorlea", slots: 10, kinds: []workload{
			{"purchase", rank("payment", 1, 500*ms, 50), 60 * ms, 3000 * ms, false, load * 0.25},
			{"price", rank("interactive", 2, 250*ms, 5), 15 * ms, 2000 * ms, true, load * 0.35},
			{"upload", rank("bulk", 3, 15*time.Second, 1), 1200 * ms, 30 * time.Second, repeatable, load * 0.4},
		}},
		{name: "sofia", slots: 6, kinds: []workload{
			{"publication", rank("payment", 1, 600*ms, 20), 80 * ms, 3000 * ms, false, load * 0.2},
			{"page", rank("interactive", 2, 250*ms, 8), 20 * ms, 2000 * ms, true, load * 0.4},
			{"query", rank("internal", 3, 300*ms, 3), 10 * ms, 2000 * ms, true, load * 0.1},
			{"upload", rank("bulk", 4, 10*time.Second, 1), 900 * ms, 20 * time.Second, repeatable, load * 0.3},
		}},
	}
}

// The goals of the design page for a flood of one kind at five times the capacity.
const (
	floodTimes     = 5
	keptGoal       = 0.95
	inTimeGoal     = 0.99
	busyGoal       = 0.90
	learningTime   = 90 * time.Second
	countedTime    = 90 * time.Second
	longestTarget  = 15 * time.Second
	fixtureSeed    = 7
	loadBefore     = 0.65
	highLoadBefore = 0.85
)

// Guards against a flood that takes the slots of other kinds, makes urgent ranks late, or leaves slots to work that
// ends too late: the goals of the design page, for floods of the most urgent kind, the least urgent kind and one
// between, with uploads that may be cancelled and with uploads that may not.
func TestFloodKeepsOtherWork(t *testing.T) {
	for _, load := range []float64{loadBefore, highLoadBefore} {
		for _, repeatable := range []bool{true, false} {
			for _, d := range deployments(load, repeatable) {
				floods := []int{0, len(d.kinds) - 1}
				if load == loadBefore && repeatable {
					floods = append(floods, 1)
				}
				for _, flood := range floods {
					name := fmt.Sprintf("%s/%.2f/repeatable=%v/%s", d.name, load, repeatable, d.kinds[flood].name)
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
	g := build(t, "share", cicadacross.AdmissionOptions{
		Slots: d.slots, Timers: clock, LeastUrgent: d.kinds[len(d.kinds)-1].rank.Urgency(),
	})
	f := newFixture(clock, g, d.slots)
	rates := usualRates(d.kinds)
	f.run(learningTime, d.kinds, rates)
	f.tail = longestTarget
	before, _ := f.run(countedTime, d.kinds, rates)
	rates[d.kinds[flood].name] = floodTimes
	during, busy := f.run(countedTime, d.kinds, rates)
	assert.Check(t, busy >= busyGoal, "slots were %.3f busy with work that ended in time", busy)
	for i, k := range d.kinds {
		b, n := before[k.name], during[k.name]
		t.Logf("%s before %+v during %+v", k.name, *b, *n)
		urgent := i < len(d.kinds)-1
		if i == flood {
			// Most requests of the flood are refused at once; those that were begun must be answered in time.
			begun := float64(n.inTime) / float64(n.inTime+n.late)
			assert.Check(t, !urgent || begun >= inTimeGoal, "%s: %.3f of those begun in time", k.name, begun)
			continue
		}
		kept := n.share() / b.share()
		assert.Check(t, kept >= keptGoal, "%s kept %.3f of its work", k.name, kept)
		assert.Check(t, !urgent || n.share() >= inTimeGoal, "%s: %.3f in time", k.name, n.share())
	}
}

func usualRates(kinds []workload) map[string]float64 {
	rates := make(map[string]float64)
	for _, k := range kinds {
		rates[k.name] = k.usual
	}
	return rates
}

// Guards against a fresh owner that lets a flood under way at its start keep a kind out: each kind must get at least
// half of what it asks for, although no usual rate is known. The load before is 0.65.
func TestFreshOwnerStarvesNoKind(t *testing.T) {
	for _, d := range deployments(loadBefore, true) {
		for _, flood := range []int{0, 1, len(d.kinds) - 1} {
			clock := timer.NewManual(time.Unix(0, 0))
			g := build(t, "share", cicadacross.AdmissionOptions{Slots: d.slots, Timers: clock})
			f := newFixture(clock, g, d.slots)
			f.tail = longestTarget
			rates := usualRates(d.kinds)
			rates[d.kinds[flood].name] = floodTimes
			during, _ := f.run(countedTime/2, d.kinds, rates)
			for i, k := range d.kinds {
				assert.Check(t, i == flood || during[k.name].share() >= 0.5, "%s, flood of %s: %s got %.3f", d.name,
					d.kinds[flood].name, k.name, during[k.name].share())
			}
		}
	}
}

// Guards against a target that loses half of its slots and then lets all kinds be late alike: the most urgent kind must
// still be served, and no kind may be kept out.
func TestLostSlotsCostTheLeastUrgentFirst(t *testing.T) {
	for _, d := range deployments(loadBefore, false) {
		clock := timer.NewManual(time.Unix(0, 0))
		g := build(t, "share", cicadacross.AdmissionOptions{Slots: d.slots, Timers: clock})
		f := newFixture(clock, g, d.slots)
		rates := usualRates(d.kinds)
		f.run(learningTime, d.kinds, rates)
		f.tail = longestTarget
		g.Resize(d.slots / 2)
		during, _ := f.run(countedTime, d.kinds, rates)
		for i, k := range d.kinds {
			t.Logf("%s %s %+v", d.name, k.name, *during[k.name])
			want := 0.15
			if i == 0 {
				want = 0.95
			}
			assert.Check(t, during[k.name].share() >= want, "%s: %s %.3f in time", d.name, k.name, during[k.name].share())
		}
	}
}

// Guards against a baseline that was made too weak or a flood that was made too easy: strict priority must starve
// the other kinds in a flood of the most urgent one, and arrival order must make the urgent kinds late.
func TestFloodDefeatsTheBaselines(t *testing.T) {
	for _, policy := range []string{"priority", "fifo"} {
		for _, d := range deployments(loadBefore, true) {
			clock := timer.NewManual(time.Unix(0, 0))
			g := build(t, policy, cicadacross.AdmissionOptions{Slots: d.slots, Timers: clock})
			f := newFixture(clock, g, d.slots)
			rates := usualRates(d.kinds)
			rates[d.kinds[0].name] = floodTimes
			during, _ := f.run(countedTime/2, d.kinds, rates)
			assert.Check(t, during[d.kinds[1].name].share() < 0.5, "%s, %s", policy, d.name)
		}
	}
}
