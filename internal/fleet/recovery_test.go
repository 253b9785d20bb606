package fleet_test

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadacross"
	"cicadacross/internal/register"
)

// Guards against a resumed process that acts on state from before the pause.
func TestPausedDaemonIsUnsettledUntilItHasCaughtUp(t *testing.T) {
	c := newCluster(t, 3)
	c.publish(c.newPublication(1, ""))
	c.startAll()
	c.waitFor(10*time.Second, "ready", c.allReady)
	for _, n := range c.runningNodes() {
		assert.Assert(t, n.Settled())
	}
	c.clock.Advance(5 * time.Second)
	c.waitFor(5*time.Second, "settled again", func() bool {
		return c.nodes[0].Settled() && c.nodes[0].State().Counts.Pauses == 1
	})
	// Without any peer, Settled becomes true by timeout. Before that, the pause is visible both before and after the
	// control goroutine has run.
	c.stop(1)
	c.stop(2)
	c.clock.Advance(5 * time.Second)
	assert.Assert(t, !c.nodes[0].Settled())
	c.advance(clockStep)
	assert.Assert(t, !c.nodes[0].Settled())
	c.waitFor(4*time.Second, "settled without peers", func() bool { return c.nodes[0].Settled() })
}

// Guards against a leaving host that receives requests for longer than the goal, for each source of the leaving state.
func TestLeavingSpreadsWithinTheGoal(t *testing.T) {
	const goal = 3 * time.Second
	c := newCluster(t, 8)
	c.publish(c.newPublication(1, ""))
	c.startAll()
	c.waitFor(10*time.Second, "ready", c.allReady)
	c.platform.Set(cicadacross.KeyHosts, []byte(`{"live":["host-00","host-01"],"leaving":[]}`))
	c.advance(12 * time.Second) // an absent list is read again every 5 s
	leavingOnAll := func(host string, want bool) func() bool {
		return func() bool {
			for _, n := range c.runningNodes() {
				if n.IsLeaving(host) != want {
					return false
				}
			}
			return true
		}
	}
	c.nodes[3].SetDraining(true)
	c.waitFor(goal, "draining reported by the host", leavingOnAll("host-03", true))
	c.platform.Set(cicadacross.KeyHosts, []byte(`{"live":["host-00"],"leaving":["host-05"]}`))
	c.waitFor(goal, "host list", leavingOnAll("host-05", true))
	// A host that returns as a new process must count as not leaving within the same time, not only when random samples
	// include it.
	c.stop(3)
	c.start(3)
	c.waitFor(10*time.Second, "new process", c.allReady)
	c.waitFor(goal, "draining reset by the new process", leavingOnAll("host-03", false))
	c.nodes[4].SetDraining(true)
	c.waitFor(goal, "draining reported by another host", leavingOnAll("host-04", true))
	c.nodes[4].SetDraining(false)
	c.waitFor(goal, "draining ended by the same process", leavingOnAll("host-04", false))
	c.platform.Set(cicadacross.KeyHosts, []byte(`{"live":["host-00"],"leaving":[]}`))
	c.waitFor(70*time.Second, "state from the host list expires", leavingOnAll("host-05", false))
}

// Guards against partitions that don't heal: both sides must converge on the higher version, whichever side has it.
func TestPartitionHealsInBothDirections(t *testing.T) {
	c := newCluster(t, 2)
	c.nodes[1].opts.Source = nil
	c.publish(c.newPublication(1, ""))
	c.startAll()
	c.waitFor(10*time.Second, "ready", c.allReady)
	c.stop(1)
	second := c.newPublication(2, "")
	c.publish(second)
	c.waitFor(5*time.Second, "second version", c.allApplied(second.Version()))
	c.start(1)
	c.waitFor(5*time.Second, "the returning peer gets the higher version", c.allApplied(second.Version()))
	c.stop(0)
	c.nodes[0].opts.Source = nil
	c.start(0)
	c.waitFor(5*time.Second, "the other peer gets it back after a restart", c.allApplied(second.Version()))
}

// Guards against suspects that are known only to the daemon that saw the crash.
func TestExchangeSpreadsSuspects(t *testing.T) {
	c := newCluster(t, 2)
	sender, receiver := &fakeQuarantine{}, &fakeQuarantine{}
	c.nodes[0].opts.Quarantine, c.nodes[1].opts.Quarantine = sender, receiver
	c.publish(c.newPublication(1, ""))
	c.startAll()
	c.waitFor(10*time.Second, "ready", c.allReady)
	sender.Merge([]cicadacross.Suspect{{Fingerprint: 7, Crashes: 2, Age: time.Second, Host: "host-00"}})
	c.waitFor(5*time.Second, "suspect arrives", func() bool {
		list := receiver.Suspects()
		return len(list) > 0 && list[0].Fingerprint == 7 && list[0].Crashes == 2
	})
}

// fakeQuarantine is a quarantine that only holds suspects.
type fakeQuarantine struct {
	cicadacross.Quarantine
	mu   sync.Mutex
	list []cicadacross.Suspect
}

func (s *fakeQuarantine) Suspects() []cicadacross.Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list
}

func (s *fakeQuarantine) Merge(list []cicadacross.Suspect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = list
}

// publishedValuesWithBadPart returns the values of a version one part of which can't be decoded but has the right
// digest and size.
func publishedValuesWithBadPart(t *testing.T, p *register.Publication) map[string][]byte {
	t.Helper()
	m, err := register.DecodeManifest(p.Manifest())
	assert.NilError(t, err)
	values := publishedValues(p)
	manifest := string(p.Manifest())
	for _, part := range m.Parts() {
		if part.Name() != register.RulesPart {
			continue
		}
		data := values[cicadacross.KeyPartPrefix+part.Digest()]
		damaged := append([]byte(nil), data...)
		damaged[0] = '['
		digest := register.Digest(damaged)
		values[cicadacross.KeyPartPrefix+digest] = damaged
		manifest = replaceOnce(t, manifest, part.Digest(), digest)
	}
	values[cicadacross.KeyManifest] = []byte(manifest)
	return values
}

// Guards against a host that is reported as cut off although a neighbour answers. Exchanges went to random partners
// and, for longer than the 10 s after which the status reports a daemon as cut off, only to those behind a partition.
func TestReachablePartnerIsFoundWhenAllOthersAreLost(t *testing.T) {
	const maxSilence, clusters = 8 * time.Second, 4
	for range clusters {
		c := newCluster(t, 6)
		c.publish(c.newPublication(1, ""))
		c.startAll()
		c.waitFor(10*time.Second, "ready", c.allReady)
		c.advance(5 * time.Second)
		for i := 2; i < 6; i++ {
			c.stop(i)
		}
		for passed := time.Duration(0); passed < 20*time.Second; passed += time.Second {
			c.advance(time.Second)
			for _, m := range c.nodes[0].Members() {
				if m.Host == c.nodes[1].opts.Host {
					assert.Assert(t, m.LastHeardAge <= maxSilence, "not heard for %v", m.LastHeardAge)
				}
			}
		}
		c.stopAll()
	}
}
