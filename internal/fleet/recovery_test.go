package fleet_test

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadacross"
	"cicadacross/internal/register"
)

// Guards against a resumed process that acts on what it knew before the pause.
func TestPausedDaemonIsUnsettledUntilItHasCaughtUp(t *testing.T) {
	c := newCluster(t, 3)
	c.publish(c.publication(1, ""))
	c.startAll()
	c.within(10*time.Second, "ready", c.allReady)
	for _, n := range c.live() {
		assert.Assert(t, n.Settled())
	}
	c.clock.Advance(5 * time.Second)
	c.within(5*time.Second, "settled again", func() bool {
		return c.nodes[0].Settled() && c.nodes[0].State().Counts.Pauses == 1
	})
	// Without any peer the wait ends by time, and the pause shows whether or not the control goroutine has run.
	c.stop(1)
	c.stop(2)
	c.clock.Advance(5 * time.Second)
	assert.Assert(t, !c.nodes[0].Settled())
	c.advance(step)
	assert.Assert(t, !c.nodes[0].Settled())
	c.within(4*time.Second, "settled without peers", func() bool { return c.nodes[0].Settled() })
}

// Guards against a leaving host that gets work for longer than the goal, whichever signal says so.
func TestLeavingSpreadsWithinTheGoal(t *testing.T) {
	const goal = 3 * time.Second
	c := newCluster(t, 8)
	c.publish(c.publication(1, ""))
	c.startAll()
	c.within(10*time.Second, "ready", c.allReady)
	c.platform.Set(cicadacross.KeyHosts, []byte(`{"live":["host-00","host-01"],"leaving":[]}`))
	c.advance(12 * time.Second) // an absent list is asked for every 5 s
	everywhere := func(host string, want bool) func() bool {
		return func() bool {
			for _, n := range c.live() {
				if n.Leaving(host) != want {
					return false
				}
			}
			return true
		}
	}
	c.nodes[3].SetDraining(true)
	c.within(goal, "own word", everywhere("host-03", true))
	c.platform.Set(cicadacross.KeyHosts, []byte(`{"live":["host-00"],"leaving":["host-05"]}`))
	c.within(goal, "host list", everywhere("host-05", true))
	// A host that returns as a new process must get work again as soon, not when the samples happen to name it.
	c.stop(3)
	c.start(3)
	c.within(10*time.Second, "new process", c.allReady)
	c.within(goal, "own word is taken back", everywhere("host-03", false))
	c.nodes[4].SetDraining(true)
	c.within(goal, "own word of another", everywhere("host-04", true))
	c.nodes[4].SetDraining(false)
	c.within(goal, "and its end", everywhere("host-04", false))
	c.platform.Set(cicadacross.KeyHosts, []byte(`{"live":["host-00"],"leaving":[]}`))
	c.within(70*time.Second, "word of the list ends", everywhere("host-05", false))
}

// Guards against partitions that don't heal: the sides must meet on the highest version again, in both directions.
func TestLowerAndHigherPeerHealInBothDirections(t *testing.T) {
	c := newCluster(t, 2)
	c.nodes[1].opts.Source = nil
	c.publish(c.publication(1, ""))
	c.startAll()
	c.within(10*time.Second, "ready", c.allReady)
	c.stop(1)
	second := c.publication(2, "")
	c.publish(second)
	c.within(5*time.Second, "second version", c.follows(second.Version()))
	c.start(1)
	c.within(5*time.Second, "the returning side learns it", c.follows(second.Version()))
	c.stop(0)
	c.nodes[0].opts.Source = nil
	c.start(0)
	c.within(5*time.Second, "and gives it back", c.follows(second.Version()))
}

// Guards against suspects that stay with the daemon that saw the crash.
func TestSuspectsTravelWithTheExchange(t *testing.T) {
	c := newCluster(t, 2)
	sender, receiver := &suspectList{}, &suspectList{}
	c.nodes[0].opts.Quarantine, c.nodes[1].opts.Quarantine = sender, receiver
	c.publish(c.publication(1, ""))
	c.startAll()
	c.within(10*time.Second, "ready", c.allReady)
	sender.Merge([]cicadacross.Suspect{{Fingerprint: 7, Crashes: 2, Age: time.Second, Host: "host-00"}})
	c.within(5*time.Second, "suspect arrives", func() bool {
		list := receiver.Suspects()
		return len(list) > 0 && list[0].Fingerprint == 7 && list[0].Crashes == 2
	})
}

// suspectList is a quarantine that only holds suspects.
type suspectList struct {
	cicadacross.Quarantine
	mu   sync.Mutex
	list []cicadacross.Suspect
}

func (s *suspectList) Suspects() []cicadacross.Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list
}

func (s *suspectList) Merge(list []cicadacross.Suspect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = list
}

// badPublication returns the values of a version one part of which is not in its form, with the right digest and size.
func badPublication(t *testing.T, p *register.Publication) map[string][]byte {
	t.Helper()
	m, err := register.DecodeManifest(p.Manifest())
	assert.NilError(t, err)
	values := valuesOf(p)
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

// Guards against a host that is called cut off although a neighbour answers: exchanges went to random partners, and for
// longer than cutOffAfter of the status only to those behind a partition.
func TestNeighbourIsFoundWhenAllOthersAreLost(t *testing.T) {
	const longest, clusters = 8 * time.Second, 4
	for range clusters {
		c := newCluster(t, 6)
		c.publish(c.publication(1, ""))
		c.startAll()
		c.within(10*time.Second, "ready", c.allReady)
		c.advance(5 * time.Second)
		for i := 2; i < 6; i++ {
			c.stop(i)
		}
		for passed := time.Duration(0); passed < 20*time.Second; passed += time.Second {
			c.advance(time.Second)
			for _, m := range c.nodes[0].Members() {
				if m.Host == c.nodes[1].opts.Host {
					assert.Assert(t, m.Age <= longest, "not heard for %v", m.Age)
				}
			}
		}
		c.stopAll()
	}
}
