package fleet_test

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	"cicadacross"
	"cicadacross/internal/fleet"
	"cicadacross/internal/peer"
	"cicadacross/internal/platform"
	"cicadacross/internal/register"
	standin "cicadacross/internal/standin/platform"
	"cicadacross/internal/timer"
)

const (
	fleetKey = "a key for the tests of the fleet"
	// clockStep is the amount by which a cluster moves the clock at once. It is shorter than a tick, so that no tick is
	// lost.
	clockStep = 100 * time.Millisecond
	// pollInterval lets answers of the platform arrive. maxCallWait bounds the wait for the network calls of one step,
	// some of which wait for a stopped peer. Without this wait, a slow machine would see timeouts that no fault causes.
	pollInterval = time.Millisecond
	maxCallWait  = 50 * time.Millisecond
)

var downFaults = standin.Faults{Down: true}

// node is one daemon of a cluster.
type node struct {
	*fleet.Fleet
	opts     fleet.Options
	listener net.Listener
	server   *grpc.Server
	running  bool
}

// cluster runs several Fleets in one process, on a clock that the test controls.
type cluster struct {
	t        *testing.T
	clock    *timer.Manual
	platform *standin.Server
	source   cicadacross.Source
	nodes    []*node
	// applied holds the versions that each host applied, in order, by host.
	applied map[string]*versionLog
}

// newCluster creates n nodes in two availability zones and starts none of them. The first two nodes are the seeds of
// all.
func newCluster(t *testing.T, n int) *cluster {
	t.Helper()
	clock := timer.NewManual(time.Unix(1_000_000, 0))
	c := &cluster{
		t: t, clock: clock, platform: standin.New(standin.Options{Timers: clock}), applied: make(map[string]*versionLog),
	}
	assert.NilError(t, c.platform.Start())
	t.Cleanup(c.platform.Stop)
	source, err := platform.NewSource(c.platform.Address())
	assert.NilError(t, err)
	c.source = source
	for i := range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		c.nodes = append(c.nodes, &node{listener: listener, opts: fleet.Options{
			Host:             fmt.Sprintf("host-%02d", i),
			AvailabilityZone: zoneOf(i),
			Peer:             listener.Addr().String(),
			FleetKey:         fleetKey,
			Source:           c.source,
			Timers:           c.clock,
		}})
	}
	for _, node := range c.nodes {
		node.opts.Seeds = []string{c.nodes[0].opts.Peer, c.nodes[min(1, n-1)].opts.Peer}
	}
	t.Cleanup(c.stopAll)
	return c
}

func zoneOf(i int) string { return []string{"bronte", "catania"}[i%2] }

func (c *cluster) start(list ...int) {
	c.t.Helper()
	for _, i := range list {
		n := c.nodes[i]
		record := &versionLog{}
		c.applied[n.opts.Host] = record
		n.opts.OnApply = record.add
		f, err := fleet.New(n.opts)
		assert.NilError(c.t, err)
		if n.listener == nil {
			n.listener, err = net.Listen("tcp", n.opts.Peer)
			assert.NilError(c.t, err)
		}
		n.Fleet, n.running = f, true
		n.server = peer.NewServer(fleetKey, grpc.StatsHandler(f.StatsHandler()))
		f.Register(n.server)
		go serveLoop{n.server, n.listener}.run()
		f.Start()
	}
}

type serveLoop struct {
	server   *grpc.Server
	listener net.Listener
}

func (l serveLoop) run() { _ = l.server.Serve(l.listener) }

func (c *cluster) startAll() {
	c.t.Helper()
	for i := range c.nodes {
		c.start(i)
	}
}

func (c *cluster) stop(i int) {
	n := c.nodes[i]
	if n.running {
		n.server.Stop()
		n.Stop()
		n.running, n.listener = false, nil
	}
}

func (c *cluster) stopAll() {
	for i, n := range c.nodes {
		c.stop(i)
		if n.listener != nil {
			_ = n.listener.Close()
		}
	}
}

func (c *cluster) runningNodes() []*node {
	var list []*node
	for _, n := range c.nodes {
		if n.running {
			list = append(list, n)
		}
	}
	return list
}

// advance moves the clock by d in steps of clockStep and waits after each for the nodes to handle their ticks.
func (c *cluster) advance(d time.Duration) {
	for ; d > 0; d -= clockStep {
		c.clock.Advance(clockStep)
		time.Sleep(pollInterval)
		for waited := pollInterval; c.callsInFlight() > 0 && waited < maxCallWait; waited += pollInterval {
			time.Sleep(pollInterval)
		}
	}
}

// callsInFlight returns the number of network calls in progress.
func (c *cluster) callsInFlight() int {
	sum := 0
	for _, n := range c.runningNodes() {
		sum += n.State().CallsInFlight
	}
	return sum
}

// waitFor moves the clock until the condition holds and fails the test when it doesn't hold within the limit.
func (c *cluster) waitFor(limit time.Duration, what string, condition func() bool) {
	c.t.Helper()
	for passed := time.Duration(0); !condition(); passed += clockStep {
		if passed > limit {
			for _, n := range c.runningNodes() {
				c.t.Logf("%s: %+v", n.opts.Host, n.State())
			}
			c.t.Fatalf("not reached within %s: %s", limit, what)
		}
		c.advance(clockStep)
	}
}

// allApplied returns a condition that holds when every running node has applied the version.
func (c *cluster) allApplied(version cicadacross.Version) func() bool {
	return func() bool {
		for _, n := range c.runningNodes() {
			if conf := n.Configuration(); conf == nil || conf.Version() != version {
				return false
			}
		}
		return true
	}
}

func (c *cluster) allReady() bool {
	for _, n := range c.runningNodes() {
		if !n.Ready() {
			return false
		}
	}
	return true
}

// newPublication renders a version whose register lists all nodes. routeSuffix makes versions of one number differ in
// content.
func (c *cluster) newPublication(number int, routeSuffix string) *register.Publication {
	c.t.Helper()
	var rows strings.Builder
	rows.WriteString("service,target,host,region,availability_zone,upstream,peer,caller,operator,slots,connections\n")
	for i, n := range c.nodes {
		const row = "magazzino,magazzino-%d,%s,sicilia-est,%s,127.1.0.%d:8080,%s,127.1.0.%d:8000,127.1.0.%d:9000,10,110\n"
		fmt.Fprintf(&rows, row, i, n.opts.Host, zoneOf(i), i+1, n.opts.Peer, i+1, i+1)
	}
	rules := fmt.Sprintf(`version = %d
[[rank]]
name = "lookup"
urgency = 1
target_time = "300ms"
worth = 10
[[route]]
name = "stock%s"
service = "magazzino"
method = "GET"
path_prefix = "/stock"
rank = "lookup"
repeatable = true
timeout = "1s"
`, number, routeSuffix)
	p, faults := register.Parse(register.NewDocument("register.csv", []byte(rows.String())),
		register.NewDocument("rules.toml", []byte(rules)))
	assert.Equal(c.t, len(faults), 0, "%v", faults)
	return p
}

func (c *cluster) publish(p *register.Publication) { c.platform.SetAll(publishedValues(p)) }

// publishedValues returns the values of a publication by the keys under which they are published.
func publishedValues(p *register.Publication) map[string][]byte {
	values := map[string][]byte{cicadacross.KeyManifest: p.Manifest()}
	for digest, data := range p.Parts() {
		values[cicadacross.KeyPartPrefix+digest] = data
	}
	return values
}

// versionLog records the versions that a node applied. reverted is set when a version wasn't newer than the one before
// it.
type versionLog struct {
	list     []cicadacross.Version
	reverted bool
}

func (l *versionLog) add(previous, next *cicadacross.Configuration) {
	if previous != nil && next.Version().Compare(previous.Version()) <= 0 {
		l.reverted = true
	}
	l.list = append(l.list, next.Version())
}

// assertNoDowngrade stops all nodes and fails the test when any of them ever applied a version that wasn't newer than
// the one before it.
func (c *cluster) assertNoDowngrade() {
	c.t.Helper()
	c.stopAll()
	for host, record := range c.applied {
		assert.Assert(c.t, !record.reverted, "%s: %v", host, record.list)
	}
}

// Guards against a fleet that doesn't start, or doesn't follow a change, when all daemons start at once.
func TestFleetFollowsThePlatform(t *testing.T) {
	c := newCluster(t, 8)
	first := c.newPublication(1, "")
	c.publish(first)
	c.startAll()
	c.waitFor(10*time.Second, "first version", c.allApplied(first.Version()))
	c.waitFor(5*time.Second, "ready", c.allReady)
	second := c.newPublication(2, "")
	c.publish(second)
	c.waitFor(5*time.Second, "second version", c.allApplied(second.Version()))
	c.advance(5 * time.Second)
	readers := 0
	for _, n := range c.runningNodes() {
		if n.State().Reader {
			readers++
		}
		assert.Assert(t, n.Settled())
	}
	assert.Equal(t, readers, 4, "two readers in each of two availability zones")
	c.assertNoDowngrade()
}

func replaceOnce(t *testing.T, text, old, replacement string) string {
	t.Helper()
	assert.Equal(t, strings.Count(text, old), 1)
	return strings.Replace(text, old, replacement, 1)
}
