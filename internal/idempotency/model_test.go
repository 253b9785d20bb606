package idempotency_test

import (
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cicadacross/internal/failure"
	"cicadacross/internal/idempotency"
)

// TestMain sets the seed and the size of the model test so that runs are reproducible. Flags on the command line take
// precedence, for example -rapid.seed=7 -rapid.checks=20000 for a longer run.
func TestMain(m *testing.M) {
	defaults := map[string]string{
		"rapid.seed": "1", "rapid.checks": "1200", "rapid.steps": "150", "rapid.nofailfile": "true",
	}
	flag.Parse()
	flag.Visit(func(f *flag.Flag) { delete(defaults, f.Name) })
	for name, value := range defaults {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func kindOf(err error) (idempotency.Kind, bool) { return failure.KindOf[idempotency.Kind](err) }

// Guards against a key that runs twice, under any order of configuration changes, restarts, pauses, lost and delayed
// messages, partitions and repeated attempts; and against a refusal that wrongly reports that no earlier attempt ran.
func TestModelKeyRunsAtMostOnce(t *testing.T) {
	total := make(map[string]int)
	rapid.Check(t, func(rt *rapid.T) {
		rapid.SyncTest(rt, func(rt *rapid.T) {
			first := rapid.SampledFrom([]int{1, 57}).Draw(rt, "first version")
			sim := newSimulation(first, func(format string, args ...any) { rt.Errorf(format, args...) })
			defer sim.close()
			race := rapid.Bool().Draw(rt, "race")
			if race || rapid.Bool().Draw(rt, "old fleet") {
				sim.timers.Advance(3 * time.Hour)
				sim.deliverAll()
			}
			actions := sim.actions()
			if race {
				actions = sim.raceActions(rt)
			}
			rt.Repeat(actions)
			for name, n := range sim.stats {
				total[name] += n
			}
		})
	})
	t.Log(total)
	// A run that rarely reaches the interesting cases proves nothing, so each must occur at least 10 times.
	for _, name := range []string{"ran", "replayed", "answer 1", "answer 2", "answer 3", "refused by an earlier owner"} {
		if total[name] < 10 {
			t.Errorf("%q was reached %d times", name, total[name])
		}
	}
}

// drawElement returns a random element, or false when the list is empty.
func drawElement[T any](rt *rapid.T, list []T, label string) (T, bool) {
	if len(list) == 0 {
		var none T
		return none, false
	}
	return list[rapid.IntRange(0, len(list)-1).Draw(rt, label)], true
}

func drawHost(rt *rapid.T, label string) string { return rapid.SampledFrom(hosts).Draw(rt, label) }

// actions returns the actions of the model test by name. Rapid selects them by the sorted names, so a new name changes
// the course of a fixed seed; a numbered copy makes an action more likely.
func (sim *simulation) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"send":           sim.sendOne,
		"submit":         sim.sendAndRun,
		"submit 2":       sim.sendAndRun,
		"submit 3":       sim.sendAndRun,
		"submit 4":       sim.sendAndRun,
		"submit 5":       sim.sendAndRun,
		"arrive":         func(rt *rapid.T) { sim.withForward(rt, sim.deliverForward) },
		"arrive 2":       func(rt *rapid.T) { sim.withForward(rt, sim.deliverForward) },
		"lose request":   func(rt *rapid.T) { sim.withForward(rt, sim.loseRequest) },
		"deliver claim":  func(rt *rapid.T) { sim.withMessage(rt, sim.deliverRequest) },
		"hand reply":     func(rt *rapid.T) { sim.withMessage(rt, sim.deliverReply) },
		"time out":       func(rt *rapid.T) { sim.withMessage(rt, sim.timeOutCall) },
		"relax":          func(*rapid.T) { sim.deliverAll() },
		"relax and wait": func(*rapid.T) { sim.deliverAll(); sim.advance(time.Second / 5); sim.deliverAll() },
		"execute":        func(rt *rapid.T) { sim.withExecution(rt, sim.execute) },
		"execute all":    func(*rapid.T) { sim.executeAll() },
		"finish":         func(rt *rapid.T) { sim.withExecution(rt, func(p *openExecution) { sim.finish(p, true) }) },
		"finish unknown": func(rt *rapid.T) { sim.withExecution(rt, func(p *openExecution) { sim.finish(p, false) }) },
		"roll out":       sim.rollOut,
		"apply":          sim.applySome,
		"apply next":     sim.applyNext,
		"exchange":       func(rt *rapid.T) { sim.exchange(drawHost(rt, "one"), drawHost(rt, "other")) },
		"exchange all":   func(*rapid.T) { sim.exchangeAll() },
		"cut or mend":    sim.setSomeLink,
		"restart":        sim.restart,
		"pause":          sim.pauseOrResume,
		"resume all":     func(*rapid.T) { sim.resumeAll() },
		"advance":        sim.advanceSome,
	}
}

// raceActions returns actions that change the owners of two keys while claims and replies are in transit. It leaves out
// what ends a race: long time steps and the delivery of all messages at once.
func (sim *simulation) raceActions(rt *rapid.T) map[string]func(*rapid.T) {
	racers := hosts[:rapid.IntRange(2, 3).Draw(rt, "racers")]
	for range 10 {
		sim.publish(0, rapid.SampledFrom(racers).Draw(rt, "owner"))
	}
	applyNext := func(rt *rapid.T) {
		h := rapid.SampledFrom(racers).Draw(rt, "host")
		sim.applyUpTo(h, sim.daemons[h].config+1)
	}
	send := func(rt *rapid.T) {
		k := sim.keys[rapid.IntRange(0, len(sim.keys)-1).Draw(rt, "key")]
		d := sim.daemons[rapid.SampledFrom(racers).Draw(rt, "owner")]
		if sim.owner(d.config, k) == d.host {
			sim.send(k, 1, d.config)
			sim.deliverForward(sim.forwards[len(sim.forwards)-1])
		}
	}
	sim.newKey(true, 0)
	sim.newKey(false, 0)
	return map[string]func(*rapid.T){
		"send":            send,
		"send 2":          send,
		"deliver claim":   func(rt *rapid.T) { sim.withMessage(rt, sim.deliverRequest) },
		"deliver claim 2": func(rt *rapid.T) { sim.withMessage(rt, sim.deliverRequest) },
		"hand reply":      func(rt *rapid.T) { sim.withMessage(rt, sim.deliverReply) },
		"hand reply 2":    func(rt *rapid.T) { sim.withMessage(rt, sim.deliverReply) },
		"time out":        func(rt *rapid.T) { sim.withMessage(rt, sim.timeOutCall) },
		"execute":         func(rt *rapid.T) { sim.withExecution(rt, sim.execute) },
		"finish":          func(rt *rapid.T) { sim.withExecution(rt, func(p *openExecution) { sim.finish(p, true) }) },
		"apply next":      applyNext,
		"apply next 2":    applyNext,
		"advance":         func(*rapid.T) { sim.advance(time.Second / 10) },
	}
}

func (sim *simulation) sendOne(rt *rapid.T) { sim.sendVia(rt, sim.someKey(rt)) }

// sendAndRun sends a key and usually delivers the messages, runs the request and finishes it.
func (sim *simulation) sendAndRun(rt *rapid.T) {
	sim.sendVia(rt, sim.someKey(rt))
	sim.deliverForward(sim.forwards[len(sim.forwards)-1])
	if rapid.IntRange(0, 3).Draw(rt, "relax") > 0 {
		sim.deliverAll()
	}
	if len(sim.executions) == 0 {
		return
	}
	p := sim.executions[len(sim.executions)-1]
	if rapid.IntRange(0, 3).Draw(rt, "execute") > 0 {
		sim.execute(p)
	}
	if rapid.IntRange(0, 3).Draw(rt, "finish") > 0 {
		sim.finish(p, rapid.IntRange(0, 4).Draw(rt, "known") > 0)
	}
}

// someKey returns a new key or one that was sent before, most likely a recent one.
func (sim *simulation) someKey(rt *rapid.T) *key {
	if len(sim.keys) == 0 || rapid.IntRange(0, 3).Draw(rt, "new") == 0 {
		timed := rapid.IntRange(0, 3).Draw(rt, "timed") > 0
		skew := time.Duration(rapid.IntRange(-5000, 5000).Draw(rt, "skew")) * time.Millisecond
		return sim.newKey(timed, skew)
	}
	if rapid.IntRange(0, 4).Draw(rt, "any key") == 0 {
		return rapid.SampledFrom(sim.keys).Draw(rt, "key")
	}
	return rapid.SampledFrom(sim.keys[max(0, len(sim.keys)-2):]).Draw(rt, "key")
}

// sendVia sends the key by the configuration of a random host or, less often, by a random configuration.
func (sim *simulation) sendVia(rt *rapid.T, k *key) {
	content := uint64(1)
	if rapid.IntRange(0, 19).Draw(rt, "other content") == 0 {
		content = 2
	}
	config := sim.daemons[drawHost(rt, "ingress")].config
	if rapid.IntRange(0, 3).Draw(rt, "any version") == 0 {
		config = rapid.IntRange(0, len(sim.configs)-1).Draw(rt, "version")
	}
	sim.send(k, content, config)
}

// rollOut publishes a version and applies it on some hosts.
func (sim *simulation) rollOut(rt *rapid.T) {
	sim.publishSome(rt)
	set := rapid.IntRange(0, 1<<len(hosts)-1).Draw(rt, "followers")
	for i, h := range hosts {
		if set&(1<<i) != 0 {
			sim.applyUpTo(h, len(sim.configs)-1)
		}
	}
}

func (sim *simulation) withForward(rt *rapid.T, do func(*forwardedRequest)) {
	if f, ok := drawElement(rt, sim.forwards, "request"); ok {
		do(f)
	}
}

func (sim *simulation) loseRequest(f *forwardedRequest) {
	sim.forwards = slices.DeleteFunc(sim.forwards, func(g *forwardedRequest) bool { return g == f })
}

func (sim *simulation) withMessage(rt *rapid.T, do func(*message)) {
	if m, ok := drawElement(rt, sim.messages, "message"); ok {
		do(m)
	}
}

func (sim *simulation) timeOutCall(m *message) {
	sim.failCalls(func(n *message) bool { return n == m }, errLost)
}

func (sim *simulation) withExecution(rt *rapid.T, do func(*openExecution)) {
	if p, ok := drawElement(rt, sim.executions, "run"); ok {
		do(p)
	}
}

func (sim *simulation) executeAll() {
	for _, p := range slices.Clone(sim.executions) {
		sim.execute(p)
	}
}

func (sim *simulation) publishSome(rt *rapid.T) {
	set := rapid.IntRange(1, 1<<len(hosts)-1).Draw(rt, "targets")
	var targets []string
	for i, h := range hosts {
		if set&(1<<i) != 0 {
			targets = append(targets, h)
		}
	}
	sim.publish(0, targets...)
}

func (sim *simulation) applySome(rt *rapid.T) {
	sim.applyUpTo(drawHost(rt, "host"), rapid.IntRange(0, len(sim.configs)-1).Draw(rt, "version"))
}

func (sim *simulation) applyNext(rt *rapid.T) {
	h := drawHost(rt, "host")
	sim.applyUpTo(h, sim.daemons[h].config+1)
}

func (sim *simulation) applyUpTo(h string, config int) {
	if config < len(sim.configs) && sim.ready(h) {
		sim.apply(h, config)
	}
}

func (sim *simulation) exchangeAll() {
	for range 2 {
		for _, a := range hosts {
			for _, b := range hosts {
				if a < b {
					sim.exchange(a, b)
				}
			}
		}
	}
}

func (sim *simulation) setSomeLink(rt *rapid.T) {
	sim.setLink(drawHost(rt, "one"), drawHost(rt, "other"), rapid.IntRange(0, 2).Draw(rt, "up") > 0)
}

// restart ends a process or starts it again. A new process does not start with a version older than that of its
// predecessor; docs/at-most-once.md names this limit.
func (sim *simulation) restart(rt *rapid.T) {
	h := drawHost(rt, "host")
	d := sim.daemons[h]
	if d.alive {
		sim.kill(h)
		if rapid.Bool().Draw(rt, "stays down") {
			return
		}
	}
	oldest := max(d.config, sim.oldestConfig(0))
	sim.start(h, rapid.IntRange(oldest, len(sim.configs)-1).Draw(rt, "version"))
}

func (sim *simulation) pauseOrResume(rt *rapid.T) {
	d := sim.daemons[drawHost(rt, "host")]
	d.paused = !d.paused && rapid.Bool().Draw(rt, "pause")
	d.settled = false
}

func (sim *simulation) resumeAll() {
	for _, d := range sim.daemons {
		d.paused, d.settled = false, true
	}
}

// oldestConfig returns the index of the oldest configuration that a daemon may still use after the time step. The model
// keeps this lag below EarlierOwnerTTL, after which earlier owners are no longer asked.
func (sim *simulation) oldestConfig(step time.Duration) int {
	oldest := 0
	for i, publishedAt := range sim.publishedAt {
		if sim.timers.Now().Add(step).Sub(publishedAt) > idempotency.EarlierOwnerTTL-time.Minute {
			oldest = i
		}
	}
	return oldest
}

func (sim *simulation) advanceSome(rt *rapid.T) {
	step := rapid.SampledFrom([]time.Duration{
		100 * time.Millisecond, time.Second, 3 * time.Second, 6 * time.Second, 6 * time.Second, time.Minute,
		5 * time.Minute, 10 * time.Minute, 40 * time.Minute,
	}).Draw(rt, "step")
	sim.advance(step)
}

func (sim *simulation) advance(step time.Duration) {
	for _, h := range hosts {
		sim.apply(h, max(sim.daemons[h].config, sim.oldestConfig(step)))
	}
	sim.timers.Advance(step)
	sim.waitIdle()
}
