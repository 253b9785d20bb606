package idempotency_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cicadacross/internal/idempotency"
)

// scenario runs a fixed course of events in a fleet that has been up for long, with version 57 everywhere.
func scenario(t *testing.T, course func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(57, func(format string, args ...any) { t.Errorf(format, args...) })
		defer w.close()
		w.timers.Advance(3 * time.Hour)
		w.wait()
		course(w)
	})
}

// sendTo sends the key straight to the host. Claims stay under way.
func (w *world) sendTo(host string, k *key) *begin {
	if k.firstSent.IsZero() {
		k.firstSent = w.timers.Now()
	}
	return w.begin(&forward{key: k, content: 1, host: host, sent: w.timers.Now()})
}

// move publishes a version with the one target and applies it on the hosts.
func (w *world) move(target string, followers ...string) {
	w.publish(0, target)
	for _, h := range followers {
		w.apply(h, len(w.configs)-1)
	}
}

// tick lets seconds pass one by one. Messages that can be delivered are, and the others are lost.
func (w *world) tick(seconds int) {
	for range seconds {
		w.timers.Advance(time.Second)
		w.wait()
		w.relax()
		w.settle(func(*message) bool { return true }, errLost)
	}
}

// complete carries the only permission to run through.
func (w *world) complete(t *testing.T) {
	t.Helper()
	assert.Equal(t, len(w.runs), 1)
	p := w.runs[0]
	w.execute(p)
	w.finish(p, true)
}

func assertRefused(t *testing.T, b *begin, kind idempotency.Kind) {
	t.Helper()
	got, ok := kindOf(b.err)
	assert.Assert(t, ok, "not refused: %+v", b)
	assert.Equal(t, got, kind, b.err.Error())
}

func assertReplayed(t *testing.T, b *begin) {
	t.Helper()
	assert.Assert(t, b.reply != nil, "no reply: %v", b.err)
}

// Guards against a new owner that runs what the earlier one ran, and against one that runs while it can't ask.
func TestNewOwnerAsksTheEarlierOne(t *testing.T) {
	scenario(t, func(w *world) {
		w.move("a", hosts...)
		k := w.newKey(false, 0)
		w.sendTo("a", k)
		w.relax()
		w.complete(t)
		w.move("b", "b")
		b := w.sendTo("b", k)
		w.settle(func(*message) bool { return true }, errLost)
		assertRefused(t, b, idempotency.KindEarlierUnknown)
		b = w.sendTo("b", k)
		w.relax()
		assertReplayed(t, b)
	})
}

// Guards against a fence that outlives its purpose, or that is lifted without asking: the key moves away and back.
func TestOwnerChangesAwayAndBack(t *testing.T) {
	scenario(t, func(w *world) {
		w.move("a", hosts...)
		w.move("b", "a", "b")
		ran, idle := w.newKey(true, 0), w.newKey(true, 0)
		w.sendTo("b", ran)
		w.relax()
		w.complete(t)
		w.move("a", "a")
		b := w.sendTo("a", ran)
		w.relax()
		assertReplayed(t, b)
		w.sendTo("a", idle)
		w.relax()
		w.complete(t)
	})
}

// Guards against a fence that is lifted without asking its holder, whose version the fenced owner never heard of: an
// operator published it under a number that was used twice.
func TestHolderOfAFenceIsAskedWhateverItsVersion(t *testing.T) {
	scenario(t, func(w *world) {
		w.move("a", hosts...)
		w.move("b", "b")
		k := w.newKey(true, 0)
		w.sendTo("b", k)
		w.relax()
		assertRefused(t, w.sendTo("a", k), idempotency.KindMisrouted)
		w.complete(t)
		w.publish(0, "a")
		a := w.daemons["a"]
		a.store.Applied(w.configs[a.config], w.configs[len(w.configs)-1], false)
		b := w.sendTo("a", k)
		w.relax()
		assertReplayed(t, b)
	})
}

// Guards against a key that runs at two owners whose claims cross. Found by breaking the store on purpose.
func TestCrossedClaims(t *testing.T) {
	scenario(t, func(w *world) {
		w.move("a", hosts...)
		w.move("b", "b")
		k := w.newKey(true, 0)
		older := w.sendTo("b", k)
		claim := w.messages[len(w.messages)-1]
		w.deliver(claim) // a fences the key; its answer is under way
		w.apply("a", len(w.configs)-1)
		w.move("a", "a")
		newer := w.sendTo("a", k)
		w.deliver(w.messages[len(w.messages)-1]) // b gives up its own claim
		w.hand(claim)
		assertRefused(t, older, idempotency.KindEarlierUnknown)
		w.relax()
		assert.Assert(t, newer.run != nil)
	})
}

// Guards against a daemon that skipped a version and doesn't know its owner, b. Its own view, in which c owned the key
// up to the same version, once hid what it was told.
func TestSkippedOwnerIsAsked(t *testing.T) {
	scenario(t, func(w *world) {
		w.move("c", hosts...)
		w.move("b", "b", "c", "d")
		k := w.newKey(true, 0)
		w.sendTo("b", k)
		w.relax()
		w.complete(t)
		w.timers.Advance(time.Minute)
		w.move("a", "a", "c")
		assertRefused(t, w.sendTo("a", k), idempotency.KindEarlierUnknown)
		w.tick(3) // each tick asks another daemon; only c knows
		b := w.sendTo("a", k)
		w.relax()
		assertReplayed(t, b)
	})
}

// Guards against a daemon that doesn't tell that it was an owner itself, since it never has to ask itself.
func TestDaemonTellsOfItsOwnEpoch(t *testing.T) {
	scenario(t, func(w *world) {
		w.move("a", hosts...)
		w.move("b")
		w.move("c")
		last := len(w.configs) - 1
		w.kill("c")
		w.start("c", last)
		w.setLink("c", "b", false)
		w.setLink("c", "d", false)
		w.timers.Advance(6 * time.Second)
		w.wait()
		k := w.newKey(true, 0)
		w.sendTo("a", k)
		w.relax()
		w.complete(t)
		w.apply("a", last-1)
		w.apply("a", last)
		w.settle(func(*message) bool { return true }, errLost)
		w.tick(3) // each tick asks another daemon; only a is in reach
		b := w.sendTo("c", k)
		w.relax()
		assertReplayed(t, b)
	})
}

// Guards against a young daemon that runs a key newer than itself while a host, which lost its target by a version that
// the daemon never applied, still runs keys. Found by the model test.
func TestYoungDaemonKnowsNoRemovedOwner(t *testing.T) {
	scenario(t, func(w *world) {
		w.move("d", hosts...)
		w.move("b")
		w.kill("b")
		w.start("b", len(w.configs)-1)
		for _, h := range []string{"a", "c"} {
			w.setLink("b", h, false)
		}
		w.timers.Advance(time.Minute)
		w.wait()
		k := w.newKey(true, 0)
		w.sendTo("d", k)
		w.relax()
		w.complete(t)
		assertRefused(t, w.sendTo("b", k), idempotency.KindEarlierUnknown)
	})
}

// Guards against a daemon whose gap closes because all hosts followed, and that forgets what they ran before they did.
func TestGapClosesForKeysAfterTheLastFollower(t *testing.T) {
	scenario(t, func(w *world) {
		w.move("b")
		w.move("a")
		for i, h := range hosts {
			w.kill(h)
			w.start(h, len(w.configs)-1-min(i, 1)) // only a has the last version
		}
		w.exchangeAll()
		w.tick(7)
		k := w.newKey(true, 0)
		w.sendTo("b", k)
		w.relax()
		w.complete(t)
		for _, h := range hosts {
			w.apply(h, len(w.configs)-1)
		}
		w.exchangeAll()
		w.tick(7)
		assertRefused(t, w.sendTo("a", k), idempotency.KindEarlierUnknown)
		assert.Assert(t, w.sendTo("a", w.newKey(true, 0)).run != nil)
	})
}

// Guards against a daemon that runs, or gives up, what its predecessor on the host may have run.
func TestYoungDaemon(t *testing.T) {
	scenario(t, func(w *world) {
		w.move("a", hosts...)
		plain, old := w.newKey(false, 0), w.newKey(true, 0)
		w.sendTo("a", old)
		w.relax()
		w.execute(w.runs[0])
		w.kill("a")
		w.start("a", len(w.configs)-1)
		w.relax()
		early := w.newKey(true, 5*time.Second) // by a clock that is 5 s ahead
		w.timers.Advance(6 * time.Second)
		w.wait()
		for _, k := range []*key{plain, old, early} {
			assertRefused(t, w.sendTo("a", k), idempotency.KindEarlierUnknown)
		}
		w.move("b", "b")
		b := w.sendTo("b", old)
		w.relax()
		assertRefused(t, b, idempotency.KindEarlierUnknown)
		fresh := w.newKey(true, 0)
		w.sendTo("b", fresh)
		w.relax()
		assert.Assert(t, w.runs[len(w.runs)-1].forward.key == fresh)
		w.timers.Advance(idempotency.DefaultWindow)
		w.wait()
		last := w.sendTo("a", w.newKey(false, 0))
		w.relax()
		assert.Assert(t, last.run != nil)
	})
}

// Guards against a key whose clock is fast and which is taken as young enough at the moment when its record expires.
// Found by the model test.
func TestKeyOfAFastClockAtTheEndOfTheWindow(t *testing.T) {
	scenario(t, func(w *world) {
		w.move("a", hosts...)
		k := w.newKey(true, idempotency.ClockSkew)
		w.sendTo("a", k)
		w.relax()
		w.complete(t)
		w.timers.Advance(idempotency.DefaultWindow)
		w.wait()
		assertRefused(t, w.sendTo("a", k), idempotency.KindEarlierUnknown)
	})
}

// Guards against a resumed daemon that trusts an outdated configuration.
func TestUnsettledDaemonRefuses(t *testing.T) {
	scenario(t, func(w *world) {
		w.move("a", hosts...)
		w.daemons["a"].settled = false
		k := w.newKey(true, 0)
		assertRefused(t, w.sendTo("a", k), idempotency.KindUnsettled)
		w.exchange("a", "b")
		b := w.sendTo("a", k)
		w.relax()
		assert.Assert(t, b.run != nil)
	})
}
