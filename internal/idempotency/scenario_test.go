package idempotency_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cicadacross/internal/idempotency"
)

// scenario runs fixed steps on a fleet that started three hours earlier with version 57 on all hosts.
func scenario(t *testing.T, steps func(sim *simulation)) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(57, func(format string, args ...any) { t.Errorf(format, args...) })
		defer sim.close()
		sim.timers.Advance(3 * time.Hour)
		sim.waitIdle()
		steps(sim)
	})
}

// sendTo starts an attempt with the key on the host. Its claims are not delivered.
func (sim *simulation) sendTo(host string, k *key) *attempt {
	if k.firstSent.IsZero() {
		k.firstSent = sim.timers.Now()
	}
	return sim.startAttempt(&forwardedRequest{key: k, content: 1, host: host, sent: sim.timers.Now()})
}

// publishAndApply publishes a version with a single target and applies it on the given hosts.
func (sim *simulation) publishAndApply(target string, followers ...string) {
	sim.publish(0, target)
	for _, h := range followers {
		sim.apply(h, len(sim.configs)-1)
	}
}

// advanceSeconds advances the time second by second. After each second, messages that can be delivered are, and all
// others are lost.
func (sim *simulation) advanceSeconds(seconds int) {
	for range seconds {
		sim.timers.Advance(time.Second)
		sim.waitIdle()
		sim.deliverAll()
		sim.failCalls(func(*message) bool { return true }, errLost)
	}
}

// completeExecution runs and finishes the only open execution.
func (sim *simulation) completeExecution(t *testing.T) {
	t.Helper()
	assert.Equal(t, len(sim.executions), 1)
	p := sim.executions[0]
	sim.execute(p)
	sim.finish(p, true)
}

func assertRefused(t *testing.T, a *attempt, kind idempotency.Kind) {
	t.Helper()
	got, ok := kindOf(a.err)
	assert.Assert(t, ok, "not refused: %+v", a)
	assert.Equal(t, got, kind, a.err.Error())
}

func assertReplayed(t *testing.T, a *attempt) {
	t.Helper()
	assert.Assert(t, a.reply != nil, "no reply: %v", a.err)
}

// Guards against a new owner that runs a key again that the earlier owner ran, also when it cannot reach the earlier
// owner.
func TestNewOwnerAsksTheEarlierOne(t *testing.T) {
	scenario(t, func(sim *simulation) {
		sim.publishAndApply("a", hosts...)
		k := sim.newKey(false, 0)
		sim.sendTo("a", k)
		sim.deliverAll()
		sim.completeExecution(t)
		sim.publishAndApply("b", "b")
		got := sim.sendTo("b", k)
		sim.failCalls(func(*message) bool { return true }, errLost)
		assertRefused(t, got, idempotency.KindEarlierUnknown)
		got = sim.sendTo("b", k)
		sim.deliverAll()
		assertReplayed(t, got)
	})
}

// Guards against a fence that blocks a key for longer than needed or is removed without asking the other owner, when
// the key moves to another owner and back.
func TestOwnerChangesAwayAndBack(t *testing.T) {
	scenario(t, func(sim *simulation) {
		sim.publishAndApply("a", hosts...)
		sim.publishAndApply("b", "a", "b")
		ran, idle := sim.newKey(true, 0), sim.newKey(true, 0)
		sim.sendTo("b", ran)
		sim.deliverAll()
		sim.completeExecution(t)
		sim.publishAndApply("a", "a")
		got := sim.sendTo("a", ran)
		sim.deliverAll()
		assertReplayed(t, got)
		sim.sendTo("a", idle)
		sim.deliverAll()
		sim.completeExecution(t)
	})
}

// Guards against a fence that is removed without asking the owner to which the key was granted. The fenced owner never
// applied the version of that owner, since an operator used its number for two manifests.
func TestHolderOfAFenceIsAskedWhateverItsVersion(t *testing.T) {
	scenario(t, func(sim *simulation) {
		sim.publishAndApply("a", hosts...)
		sim.publishAndApply("b", "b")
		k := sim.newKey(true, 0)
		sim.sendTo("b", k)
		sim.deliverAll()
		assertRefused(t, sim.sendTo("a", k), idempotency.KindMisrouted)
		sim.completeExecution(t)
		sim.publish(0, "a")
		a := sim.daemons["a"]
		a.store.Applied(sim.configs[a.config], sim.configs[len(sim.configs)-1], false)
		got := sim.sendTo("a", k)
		sim.deliverAll()
		assertReplayed(t, got)
	})
}

// Guards against a key that runs on two owners that claim it from each other at the same time. A deliberately broken
// store showed the need for this test.
func TestCrossedClaims(t *testing.T) {
	scenario(t, func(sim *simulation) {
		sim.publishAndApply("a", hosts...)
		sim.publishAndApply("b", "b")
		k := sim.newKey(true, 0)
		older := sim.sendTo("b", k)
		claim := sim.messages[len(sim.messages)-1]
		sim.deliverRequest(claim) // a fences the key; its answer is in transit
		sim.apply("a", len(sim.configs)-1)
		sim.publishAndApply("a", "a")
		newer := sim.sendTo("a", k)
		sim.deliverRequest(sim.messages[len(sim.messages)-1]) // b ends its own attempt and fences the key
		sim.deliverReply(claim)
		assertRefused(t, older, idempotency.KindEarlierUnknown)
		sim.deliverAll()
		assert.Assert(t, newer.execution != nil)
	})
}

// Guards against a daemon that skipped a version and does not know the owner by it, b. Its own epoch, in which c owned
// the key and which ends with the same version, once hid the epoch that another daemon reported.
func TestSkippedOwnerIsAsked(t *testing.T) {
	scenario(t, func(sim *simulation) {
		sim.publishAndApply("c", hosts...)
		sim.publishAndApply("b", "b", "c", "d")
		k := sim.newKey(true, 0)
		sim.sendTo("b", k)
		sim.deliverAll()
		sim.completeExecution(t)
		sim.timers.Advance(time.Minute)
		sim.publishAndApply("a", "a", "c")
		assertRefused(t, sim.sendTo("a", k), idempotency.KindEarlierUnknown)
		sim.advanceSeconds(3) // each second another daemon is asked; only c has the history
		got := sim.sendTo("a", k)
		sim.deliverAll()
		assertReplayed(t, got)
	})
}

// Guards against a daemon that omits epochs with only itself as owner from its history, because it never has to ask
// itself.
func TestDaemonTellsOfItsOwnEpoch(t *testing.T) {
	scenario(t, func(sim *simulation) {
		sim.publishAndApply("a", hosts...)
		sim.publishAndApply("b")
		sim.publishAndApply("c")
		last := len(sim.configs) - 1
		sim.kill("c")
		sim.start("c", last)
		sim.setLink("c", "b", false)
		sim.setLink("c", "d", false)
		sim.timers.Advance(6 * time.Second)
		sim.waitIdle()
		k := sim.newKey(true, 0)
		sim.sendTo("a", k)
		sim.deliverAll()
		sim.completeExecution(t)
		sim.apply("a", last-1)
		sim.apply("a", last)
		sim.failCalls(func(*message) bool { return true }, errLost)
		sim.advanceSeconds(3) // each second another daemon is asked; only a is reachable
		got := sim.sendTo("c", k)
		sim.deliverAll()
		assertReplayed(t, got)
	})
}

// Guards against a recently started daemon that runs a key created after its start, while a host that lost its target
// by a version that the daemon never applied still runs keys. Found by the model test.
func TestYoungDaemonKnowsNoRemovedOwner(t *testing.T) {
	scenario(t, func(sim *simulation) {
		sim.publishAndApply("d", hosts...)
		sim.publishAndApply("b")
		sim.kill("b")
		sim.start("b", len(sim.configs)-1)
		for _, h := range []string{"a", "c"} {
			sim.setLink("b", h, false)
		}
		sim.timers.Advance(time.Minute)
		sim.waitIdle()
		k := sim.newKey(true, 0)
		sim.sendTo("d", k)
		sim.deliverAll()
		sim.completeExecution(t)
		assertRefused(t, sim.sendTo("b", k), idempotency.KindEarlierUnknown)
	})
}

// Guards against a daemon that ignores what other hosts ran before they caught up, after its gap has closed because all
// of them did.
func TestGapClosesForKeysAfterTheLastFollower(t *testing.T) {
	scenario(t, func(sim *simulation) {
		sim.publishAndApply("b")
		sim.publishAndApply("a")
		for i, h := range hosts {
			sim.kill(h)
			sim.start(h, len(sim.configs)-1-min(i, 1)) // only a has the last version
		}
		sim.exchangeAll()
		sim.advanceSeconds(7)
		k := sim.newKey(true, 0)
		sim.sendTo("b", k)
		sim.deliverAll()
		sim.completeExecution(t)
		for _, h := range hosts {
			sim.apply(h, len(sim.configs)-1)
		}
		sim.exchangeAll()
		sim.advanceSeconds(7)
		assertRefused(t, sim.sendTo("a", k), idempotency.KindEarlierUnknown)
		assert.Assert(t, sim.sendTo("a", sim.newKey(true, 0)).execution != nil)
	})
}

// Guards against a recently started daemon that runs, or grants to another owner, a key that the previous process on
// the host may have run.
func TestYoungDaemon(t *testing.T) {
	scenario(t, func(sim *simulation) {
		sim.publishAndApply("a", hosts...)
		plain, old := sim.newKey(false, 0), sim.newKey(true, 0)
		sim.sendTo("a", old)
		sim.deliverAll()
		sim.execute(sim.executions[0])
		sim.kill("a")
		sim.start("a", len(sim.configs)-1)
		sim.deliverAll()
		early := sim.newKey(true, 5*time.Second) // by a clock that is 5 s ahead
		sim.timers.Advance(6 * time.Second)
		sim.waitIdle()
		for _, k := range []*key{plain, old, early} {
			assertRefused(t, sim.sendTo("a", k), idempotency.KindEarlierUnknown)
		}
		sim.publishAndApply("b", "b")
		got := sim.sendTo("b", old)
		sim.deliverAll()
		assertRefused(t, got, idempotency.KindEarlierUnknown)
		fresh := sim.newKey(true, 0)
		sim.sendTo("b", fresh)
		sim.deliverAll()
		assert.Assert(t, sim.executions[len(sim.executions)-1].forward.key == fresh)
		sim.timers.Advance(idempotency.DefaultWindow)
		sim.waitIdle()
		last := sim.sendTo("a", sim.newKey(false, 0))
		sim.deliverAll()
		assert.Assert(t, last.execution != nil)
	})
}

// Guards against a key from a fast clock that still counts as recent when its record expires. Found by the model test.
func TestKeyOfAFastClockAtTheEndOfTheWindow(t *testing.T) {
	scenario(t, func(sim *simulation) {
		sim.publishAndApply("a", hosts...)
		k := sim.newKey(true, idempotency.ClockSkew)
		sim.sendTo("a", k)
		sim.deliverAll()
		sim.completeExecution(t)
		sim.timers.Advance(idempotency.DefaultWindow)
		sim.waitIdle()
		assertRefused(t, sim.sendTo("a", k), idempotency.KindEarlierUnknown)
	})
}

// Guards against a daemon that trusts an outdated configuration when it resumes after a pause.
func TestUnsettledDaemonRefuses(t *testing.T) {
	scenario(t, func(sim *simulation) {
		sim.publishAndApply("a", hosts...)
		sim.daemons["a"].settled = false
		k := sim.newKey(true, 0)
		assertRefused(t, sim.sendTo("a", k), idempotency.KindUnsettled)
		sim.exchange("a", "b")
		got := sim.sendTo("a", k)
		sim.deliverAll()
		assert.Assert(t, got.execution != nil)
	})
}
