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

// TestMain fixes seed and size of the model test, so that every run takes the same course. Flags on the command line
// win, for example -rapid.seed=7 -rapid.checks=20000 for a longer run.
func TestMain(m *testing.M) {
	fixed := map[string]string{
		"rapid.seed": "1", "rapid.checks": "1200", "rapid.steps": "150", "rapid.nofailfile": "true",
	}
	flag.Parse()
	flag.Visit(func(f *flag.Flag) { delete(fixed, f.Name) })
	for name, value := range fixed {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func kindOf(err error) (idempotency.Kind, bool) { return failure.KindOf[idempotency.Kind](err) }

// Guards against a key that runs twice, in any order of configuration changes, restarts, pauses, lost and late
// messages, partitions and repeated sends; and against a refusal that denies an earlier run.
func TestModelKeyRunsAtMostOnce(t *testing.T) {
	total := make(map[string]int)
	rapid.Check(t, func(rt *rapid.T) {
		rapid.SyncTest(rt, func(rt *rapid.T) {
			first := rapid.SampledFrom([]int{1, 57}).Draw(rt, "first version")
			w := newWorld(first, func(format string, args ...any) { rt.Errorf(format, args...) })
			defer w.close()
			race := rapid.Bool().Draw(rt, "race")
			if race || rapid.Bool().Draw(rt, "old fleet") {
				w.timers.Advance(3 * time.Hour)
				w.relax()
			}
			actions := w.actions()
			if race {
				actions = w.raceActions(rt)
			}
			rt.Repeat(actions)
			for name, n := range w.stats {
				total[name] += n
			}
		})
	})
	t.Log(total)
	// A model that never gets to the interesting cases proves nothing.
	for _, name := range []string{"ran", "replayed", "answer 1", "answer 2", "answer 3", "refused by an earlier owner"} {
		if total[name] < 10 {
			t.Errorf("%q was reached %d times", name, total[name])
		}
	}
}

// pick returns one element, or false when there is none.
func pick[T any](rt *rapid.T, list []T, label string) (T, bool) {
	if len(list) == 0 {
		var none T
		return none, false
	}
	return list[rapid.IntRange(0, len(list)-1).Draw(rt, label)], true
}

func host(rt *rapid.T, label string) string { return rapid.SampledFrom(hosts).Draw(rt, label) }

func (w *world) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"send":           w.sendOne,
		"submit":         w.submit,
		"submit 2":       w.submit,
		"submit 3":       w.submit,
		"submit 4":       w.submit,
		"submit 5":       w.submit,
		"arrive":         func(rt *rapid.T) { w.doForward(rt, w.arrive) },
		"arrive 2":       func(rt *rapid.T) { w.doForward(rt, w.arrive) },
		"lose request":   func(rt *rapid.T) { w.doForward(rt, w.lose) },
		"deliver claim":  func(rt *rapid.T) { w.doMessage(rt, w.deliver) },
		"hand reply":     func(rt *rapid.T) { w.doMessage(rt, w.hand) },
		"time out":       func(rt *rapid.T) { w.doMessage(rt, w.timeOut) },
		"relax":          func(*rapid.T) { w.relax() },
		"relax and wait": func(*rapid.T) { w.relax(); w.advance(time.Second / 5); w.relax() },
		"execute":        func(rt *rapid.T) { w.doRun(rt, w.execute) },
		"execute all":    func(*rapid.T) { w.executeAll() },
		"finish":         func(rt *rapid.T) { w.doRun(rt, func(p *permit) { w.finish(p, true) }) },
		"finish unknown": func(rt *rapid.T) { w.doRun(rt, func(p *permit) { w.finish(p, false) }) },
		"roll out":       w.rollOut,
		"apply":          w.applySome,
		"apply next":     w.applyNext,
		"exchange":       func(rt *rapid.T) { w.exchange(host(rt, "one"), host(rt, "other")) },
		"exchange all":   func(*rapid.T) { w.exchangeAll() },
		"cut or mend":    w.cutOrMend,
		"restart":        w.restart,
		"pause":          w.pauseOrResume,
		"resume all":     func(*rapid.T) { w.resumeAll() },
		"advance":        w.advanceSome,
	}
}

// raceActions lets the owners of very few keys change while claims and replies are on their way. It leaves out what
// ends a race: long steps of time and the delivery of all messages at once.
func (w *world) raceActions(rt *rapid.T) map[string]func(*rapid.T) {
	racers := hosts[:rapid.IntRange(2, 3).Draw(rt, "racers")]
	for range 10 {
		w.publish(0, rapid.SampledFrom(racers).Draw(rt, "owner"))
	}
	applyNext := func(rt *rapid.T) {
		h := rapid.SampledFrom(racers).Draw(rt, "host")
		w.applyUpTo(h, w.daemons[h].config+1)
	}
	send := func(rt *rapid.T) {
		k := w.keys[rapid.IntRange(0, len(w.keys)-1).Draw(rt, "key")]
		d := w.daemons[rapid.SampledFrom(racers).Draw(rt, "owner")]
		if w.owner(d.config, k) == d.host {
			w.send(k, 1, d.config)
			w.arrive(w.forwards[len(w.forwards)-1])
		}
	}
	w.newKey(true, 0)
	w.newKey(false, 0)
	return map[string]func(*rapid.T){
		"send":            send,
		"send 2":          send,
		"deliver claim":   func(rt *rapid.T) { w.doMessage(rt, w.deliver) },
		"deliver claim 2": func(rt *rapid.T) { w.doMessage(rt, w.deliver) },
		"hand reply":      func(rt *rapid.T) { w.doMessage(rt, w.hand) },
		"hand reply 2":    func(rt *rapid.T) { w.doMessage(rt, w.hand) },
		"time out":        func(rt *rapid.T) { w.doMessage(rt, w.timeOut) },
		"execute":         func(rt *rapid.T) { w.doRun(rt, w.execute) },
		"finish":          func(rt *rapid.T) { w.doRun(rt, func(p *permit) { w.finish(p, true) }) },
		"apply next":      applyNext,
		"apply next 2":    applyNext,
		"advance":         func(*rapid.T) { w.advance(time.Second / 10) },
	}
}

func (w *world) sendOne(rt *rapid.T) { w.sendVia(rt, w.someKey(rt)) }

// submit sends a key and, more often than not, carries it through.
func (w *world) submit(rt *rapid.T) {
	w.sendVia(rt, w.someKey(rt))
	w.arrive(w.forwards[len(w.forwards)-1])
	if rapid.IntRange(0, 3).Draw(rt, "relax") > 0 {
		w.relax()
	}
	if len(w.runs) == 0 {
		return
	}
	p := w.runs[len(w.runs)-1]
	if rapid.IntRange(0, 3).Draw(rt, "execute") > 0 {
		w.execute(p)
	}
	if rapid.IntRange(0, 3).Draw(rt, "finish") > 0 {
		w.finish(p, rapid.IntRange(0, 4).Draw(rt, "known") > 0)
	}
}

// someKey returns a new key or one that was sent before, most likely a recent one.
func (w *world) someKey(rt *rapid.T) *key {
	if len(w.keys) == 0 || rapid.IntRange(0, 3).Draw(rt, "new") == 0 {
		timed := rapid.IntRange(0, 3).Draw(rt, "timed") > 0
		skew := time.Duration(rapid.IntRange(-5000, 5000).Draw(rt, "skew")) * time.Millisecond
		return w.newKey(timed, skew)
	}
	if rapid.IntRange(0, 4).Draw(rt, "any key") == 0 {
		return rapid.SampledFrom(w.keys).Draw(rt, "key")
	}
	return rapid.SampledFrom(w.keys[max(0, len(w.keys)-2):]).Draw(rt, "key")
}

// sendVia sends the key through the daemon of some host, or through an ingress daemon with any version.
func (w *world) sendVia(rt *rapid.T, k *key) {
	content := uint64(1)
	if rapid.IntRange(0, 19).Draw(rt, "other content") == 0 {
		content = 2
	}
	config := w.daemons[host(rt, "ingress")].config
	if rapid.IntRange(0, 3).Draw(rt, "any version") == 0 {
		config = rapid.IntRange(0, len(w.configs)-1).Draw(rt, "version")
	}
	w.send(k, content, config)
}

// rollOut publishes a version and applies it on some hosts.
func (w *world) rollOut(rt *rapid.T) {
	w.publishSome(rt)
	set := rapid.IntRange(0, 1<<len(hosts)-1).Draw(rt, "followers")
	for i, h := range hosts {
		if set&(1<<i) != 0 {
			w.applyUpTo(h, len(w.configs)-1)
		}
	}
}

func (w *world) doForward(rt *rapid.T, do func(*forward)) {
	if f, ok := pick(rt, w.forwards, "request"); ok {
		do(f)
	}
}

func (w *world) lose(f *forward) {
	w.forwards = slices.DeleteFunc(w.forwards, func(g *forward) bool { return g == f })
}

func (w *world) doMessage(rt *rapid.T, do func(*message)) {
	if m, ok := pick(rt, w.messages, "message"); ok {
		do(m)
	}
}

func (w *world) timeOut(m *message) {
	w.settle(func(n *message) bool { return n == m }, errLost)
}

func (w *world) doRun(rt *rapid.T, do func(*permit)) {
	if p, ok := pick(rt, w.runs, "run"); ok {
		do(p)
	}
}

func (w *world) executeAll() {
	for _, p := range slices.Clone(w.runs) {
		w.execute(p)
	}
}

func (w *world) publishSome(rt *rapid.T) {
	set := rapid.IntRange(1, 1<<len(hosts)-1).Draw(rt, "targets")
	var targets []string
	for i, h := range hosts {
		if set&(1<<i) != 0 {
			targets = append(targets, h)
		}
	}
	w.publish(0, targets...)
}

func (w *world) applySome(rt *rapid.T) {
	w.applyUpTo(host(rt, "host"), rapid.IntRange(0, len(w.configs)-1).Draw(rt, "version"))
}

func (w *world) applyNext(rt *rapid.T) {
	h := host(rt, "host")
	w.applyUpTo(h, w.daemons[h].config+1)
}

func (w *world) applyUpTo(h string, config int) {
	if config < len(w.configs) && w.ready(h) {
		w.apply(h, config)
	}
}

func (w *world) exchangeAll() {
	for range 2 {
		for _, a := range hosts {
			for _, b := range hosts {
				if a < b {
					w.exchange(a, b)
				}
			}
		}
	}
}

func (w *world) cutOrMend(rt *rapid.T) {
	w.setLink(host(rt, "one"), host(rt, "other"), rapid.IntRange(0, 2).Draw(rt, "up") > 0)
}

// restart ends a process or starts it again. A new process doesn't come up with a version before that of the one
// before it; docs/at-most-once.md names this limit.
func (w *world) restart(rt *rapid.T) {
	h := host(rt, "host")
	d := w.daemons[h]
	if d.alive {
		w.kill(h)
		if rapid.Bool().Draw(rt, "stays down") {
			return
		}
	}
	least := max(d.config, w.leastConfig(0))
	w.start(h, rapid.IntRange(least, len(w.configs)-1).Draw(rt, "version"))
}

func (w *world) pauseOrResume(rt *rapid.T) {
	d := w.daemons[host(rt, "host")]
	d.paused = !d.paused && rapid.Bool().Draw(rt, "pause")
	d.settled = false
}

func (w *world) resumeAll() {
	for _, d := range w.daemons {
		d.paused, d.settled = false, true
	}
}

// leastConfig returns the oldest configuration that a daemon may still have after the step of time: none lags longer
// than the obligation to ask earlier owners lasts.
func (w *world) leastConfig(step time.Duration) int {
	least := 0
	for i, made := range w.made {
		if w.timers.Now().Add(step).Sub(made) > idempotency.OwnerObligation-time.Minute {
			least = i
		}
	}
	return least
}

func (w *world) advanceSome(rt *rapid.T) {
	step := rapid.SampledFrom([]time.Duration{
		100 * time.Millisecond, time.Second, 3 * time.Second, 6 * time.Second, 6 * time.Second, time.Minute,
		5 * time.Minute, 10 * time.Minute, 40 * time.Minute,
	}).Draw(rt, "step")
	w.advance(step)
}

func (w *world) advance(step time.Duration) {
	for _, h := range hosts {
		w.apply(h, max(w.daemons[h].config, w.leastConfig(step)))
	}
	w.timers.Advance(step)
	w.wait()
}
