package roster_test

import (
	"context"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/grpc"
	"google.golang.org/grpc/stats"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"cicadacross/internal/peer"
	"cicadacross/internal/roster"
	"cicadacross/internal/timer"
	"cicadacross/platform"
	"cicadacross/platform/standin"
)

const (
	fleetKey = "a key for tests only"
	// applyLimit is the shortest time limit that the platform sets for applying a change.
	applyLimit = 2 * time.Second
)

func routingRecord(version int) string {
	return fmt.Sprintf(`{"version":%d,"listeners":[{"host":"h","rules":[{"name":"r%d","kind":"safe",`+
		`"match":{"prefix":"/a/"},"action":{"service":"desk","timeoutS":1,"maxAttempts":2}}]}],`+
		`"clusters":[{"name":"desk"}]}`, version, version)
}

func instanceRecord(address, state string, born int) string {
	return fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":"desk","version":"v1","zone":"z1","slots":4},`+
		`"status":{"state":%q,"seq":1,"coldRemainingS":0}}`, address, born, state)
}

// node is the control plane of one daemon, which serves others on an IP address of its own.
type node struct {
	*roster.Roster
	store *standin.Store // the store that this node uses
	sent  *atomic.Int64  // bytes sent to other nodes
	// metrics holds the metrics of the node.
	metrics metrics.Registry
	server  *grpc.Server
	silence *silence
}

// kill stops the node at once, without a message to other nodes.
func (n *node) kill() {
	n.server.Stop()
	n.Stop()
}

// fallSilent stops the node at once, while its connections stay open and new ones are accepted.
func (n *node) fallSilent() {
	n.silence.begin()
	n.Stop()
}

// failedStreams returns the number of streams from other nodes that ended although they were still wanted.
func (n *node) failedStreams() int64 {
	return metrics.GetOrRegisterCounter("registry.failed_streams", n.metrics).Count()
}

// sentBytesHandler counts the bytes that a gRPC server sends.
type sentBytesHandler struct{ sum atomic.Int64 }

func (s *sentBytesHandler) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context {
	return ctx
}

func (s *sentBytesHandler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context {
	return ctx
}

func (s *sentBytesHandler) HandleConn(context.Context, stats.ConnStats) {}

func (s *sentBytesHandler) HandleRPC(_ context.Context, event stats.RPCStats) {
	if out, ok := event.(*stats.OutPayload); ok {
		s.sum.Add(int64(out.WireLength))
	}
}

// startNode starts a node with an unknown link speed. All nodes of a test use the same port; they differ by IP address.
func startNode(t *testing.T, host string, port uint16, store *standin.Store) *node {
	t.Helper()
	return startNodeWithLink(t, host, port, store, 0)
}

// startNodeWithLink starts a node with a link of the given speed.
func startNodeWithLink(t *testing.T, host string, port uint16, store *standin.Store, mbps float64) *node {
	t.Helper()
	return startNodeWith(t, host, port, store, roster.Options{Timers: timer.System{}, LinkMbps: mbps})
}

// startNodeWith starts a node with the timers and the optional fields of the options.
func startNodeWith(t *testing.T, host string, port uint16, store *standin.Store, opts roster.Options) *node {
	t.Helper()
	registry, err := platform.NewStore(store.Address(), netip.MustParseAddr(host))
	assert.NilError(t, err)
	pool := peer.NewPool(fleetKey)
	values := metrics.NewRegistry()
	opts.Host, opts.AvailabilityZone, opts.PeerPort, opts.OperatorPort = host, "z1", port, port+1
	opts.Registry, opts.Format, opts.Pool, opts.Metrics = registry, platform.Format{}, pool, values
	d, err := roster.New(opts)
	assert.NilError(t, err)
	sent := new(sentBytesHandler)
	server := peer.NewServer(fleetKey, grpc.StatsHandler(sent))
	d.Register(server)
	listener, err := net.Listen("tcp", net.JoinHostPort(host, fmt.Sprint(port)))
	assert.NilError(t, err)
	quiet := newSilence()
	go serve(server, silentListener{Listener: listener, silence: quiet})
	d.Start()
	t.Cleanup(func() {
		quiet.release()
		server.Stop()
		d.Stop()
		pool.Close()
	})
	return &node{Roster: d, store: store, sent: &sent.sum, metrics: values, server: server, silence: quiet}
}

func serve(server *grpc.Server, listener net.Listener) { _ = server.Serve(listener) }

// freePort returns a port that no other test uses on 127.0.0.1. It is below the range that the system uses for outgoing
// connections, since those of other tests occupy ports on the addresses of the nodes.
func freePort(t *testing.T) uint16 {
	t.Helper()
	for range 100 {
		port := 20_000 + rand.IntN(10_000) // #nosec G404 -- no secret
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		assert.NilError(t, listener.Close())
		return uint16(port) // #nosec G115 -- below 30,000
	}
	t.Fatal("no free port")
	return 0
}

func (n *node) hasVersion(version uint64, targets int) func(poll.LogT) poll.Result {
	return func(poll.LogT) poll.Result {
		c := n.Configuration()
		if c == nil {
			return poll.Continue("no configuration")
		}
		if c.Version().Number() != version || c.TargetCount() != targets {
			return poll.Continue("version %d with %d targets", c.Version().Number(), c.TargetCount())
		}
		return poll.Success()
	}
}

func pollFor(limit time.Duration) poll.SettingOp {
	return func(c *poll.Settings) { c.Timeout, c.Delay = limit, 5*time.Millisecond }
}

func publishFleet(store *standin.Store) {
	store.Put("op/config", routingRecord(3))
	store.Put("servers/i-1", instanceRecord("127.0.0.1:80", "ready", 1))
	store.Put("servers/i-2", instanceRecord("127.0.0.2:80", "ready", 1))
}

// Guards against a draining or removed target that still receives requests, and against applying an older or invalid
// routing.
func TestChangesAreApplied(t *testing.T) {
	store := standin.NewStore()
	defer store.Close()
	publishFleet(store)
	n := startNode(t, "127.0.0.1", freePort(t), store)
	poll.WaitOn(t, n.hasVersion(3, 2), pollFor(applyLimit))
	store.Put("servers/i-2", instanceRecord("127.0.0.2:80", "draining", 1))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n.IsLeaving("127.0.0.2") {
			return poll.Success()
		}
		return poll.Continue("not leaving")
	}, pollFor(applyLimit))
	store.Put("op/config", routingRecord(2))
	store.Remove("servers/i-2")
	poll.WaitOn(t, n.hasVersion(3, 1), pollFor(applyLimit))
	assert.Assert(t, n.IsLeaving("127.0.0.2"))
	store.Put("op/config", "not a configuration")
	store.Put("servers/i-3", instanceRecord("127.0.0.3:80", "ready", 1))
	poll.WaitOn(t, n.hasVersion(3, 2), pollFor(applyLimit))
}

// Guards against the record of an earlier instance that takes precedence over a later one at the same address.
func TestNewerInstanceAtAnAddressWins(t *testing.T) {
	store := standin.NewStore()
	defer store.Close()
	store.Put("op/config", routingRecord(1))
	store.Put("servers/i-new", instanceRecord("127.0.0.2:80", "ready", 20))
	store.Put("servers/i-old", instanceRecord("127.0.0.2:80", "ready", 10))
	n := startNode(t, "127.0.0.1", freePort(t), store)
	poll.WaitOn(t, n.hasVersion(1, 1), pollFor(applyLimit))
	target, _ := n.Configuration().TargetOn("127.0.0.2")
	assert.Equal(t, target.Name(), "i-new")
}

// Guards against a change that is missed when a watch stalls without an error and the registry discards its history
// meanwhile (seen in sofia-static, scale-2: a daemon used version 5 for 4 s after version 9 was acknowledged).
func TestStalledWatchIsDetected(t *testing.T) {
	store := standin.NewStore()
	defer store.Close()
	publishFleet(store)
	n := startNode(t, "127.0.0.1", freePort(t), store)
	poll.WaitOn(t, n.hasVersion(3, 2), pollFor(applyLimit))
	store.SetFaults(standin.Faults{MissChanges: true})
	time.Sleep(500 * time.Millisecond)
	store.Put("op/config", routingRecord(4))
	time.Sleep(500 * time.Millisecond)
	store.DiscardHistory()
	store.SetFaults(standin.Faults{})
	poll.WaitOn(t, n.hasVersion(4, 2), pollFor(3*time.Second))
}

// Guards against a daemon that misses changes while the store refuses its calls, although another daemon has them.
func TestRefusedDaemonFollowsOthers(t *testing.T) {
	port := freePort(t)
	store := standin.NewStore()
	defer store.Close()
	publishFleet(store)
	refused := standin.NewStore()
	defer refused.Close()
	publishFleet(refused)
	first := startNode(t, "127.0.0.1", port, store)
	second := startNode(t, "127.0.0.2", port, refused)
	poll.WaitOn(t, first.hasVersion(3, 2), pollFor(applyLimit))
	poll.WaitOn(t, second.hasVersion(3, 2), pollFor(applyLimit))
	refused.SetFaults(standin.Faults{Status: http.StatusServiceUnavailable})
	time.Sleep(1500 * time.Millisecond)
	// A routing record of this size is sent compressed.
	store.Put("op/config", strings.Replace(routingRecord(9), "{", `{"note":"`+strings.Repeat("x", 100_000)+`",`, 1))
	poll.WaitOn(t, first.hasVersion(9, 2), pollFor(applyLimit))
	poll.WaitOn(t, second.hasVersion(9, 2), pollFor(applyLimit))
}

// Guards against a number of registry calls that grows with the number of daemons of an availability zone.
func TestOneDaemonPerAvailabilityZoneReads(t *testing.T) {
	port := freePort(t)
	store := standin.NewStore()
	defer store.Close()
	store.Put("op/config", routingRecord(3))
	for i := 1; i <= 5; i++ {
		store.Put(fmt.Sprintf("servers/i-%d", i), instanceRecord(fmt.Sprintf("127.0.0.%d:80", i), "ready", 1))
	}
	var nodes []*node
	for i := 1; i <= 5; i++ {
		nodes = append(nodes, startNode(t, fmt.Sprintf("127.0.0.%d", i), port, store))
	}
	for _, n := range nodes {
		poll.WaitOn(t, n.hasVersion(3, 5), pollFor(applyLimit))
	}
	time.Sleep(3 * time.Second)
	readers := 0
	for _, n := range nodes {
		if n.Status().IsReader {
			readers++
		}
	}
	assert.Equal(t, readers, 1)
	store.Put("op/config", routingRecord(4))
	for _, n := range nodes {
		poll.WaitOn(t, n.hasVersion(4, 5), pollFor(applyLimit))
	}
}

// Guards against daemons that all watch the registry while the upstreams of a new fleet register one after the other:
// with hundreds of daemons, these calls are most of all.
func TestFewDaemonsReadWhileAFleetRegisters(t *testing.T) {
	const daemons = 8
	port := freePort(t)
	store := standin.NewStore()
	defer store.Close()
	store.Put("op/config", routingRecord(3))
	var nodes []*node
	for i := 1; i <= daemons; i++ {
		nodes = append(nodes, startNode(t, fmt.Sprintf("127.0.0.%d", i), port, store))
	}
	for _, n := range nodes {
		poll.WaitOn(t, n.hasVersion(3, 0), pollFor(applyLimit))
	}
	for i := 1; i <= daemons; i++ {
		time.Sleep(200 * time.Millisecond)
		store.Put(fmt.Sprintf("servers/i-%d", i), instanceRecord(fmt.Sprintf("127.0.0.%d:80", i), "ready", 1))
	}
	for _, n := range nodes {
		poll.WaitOn(t, n.hasVersion(3, daemons), pollFor(applyLimit))
	}
	// Each daemon lists the records and watches until it discovers another one; only the elected reader continues.
	assert.Assert(t, store.FreshCalls() <= 3*daemons, "%d calls of %d daemons", store.FreshCalls(), daemons)
}

// Guards against live upstreams that receive no requests after an outage of the registry: their records expired during
// the outage, and they register again within about 2 s.
func TestRemovedInstancesHaveAGracePeriodAfterAnOutage(t *testing.T) {
	store := standin.NewStore()
	defer store.Close()
	publishFleet(store)
	n := startNode(t, "127.0.0.1", freePort(t), store)
	poll.WaitOn(t, n.hasVersion(3, 2), pollFor(applyLimit))
	store.SetFaults(standin.Faults{Status: http.StatusServiceUnavailable})
	time.Sleep(4 * time.Second)
	store.Remove("servers/i-2")
	store.SetFaults(standin.Faults{})
	time.Sleep(1200 * time.Millisecond)
	assert.Equal(t, n.Configuration().TargetCount(), 2)
	poll.WaitOn(t, n.hasVersion(3, 1), pollFor(4*time.Second))
}

// slowDelay is the delay of a slow link for each 16 KB. With a routing record of slowRoutingSize bytes, a response
// takes about 1.3 s.
const (
	slowDelay       = 100 * time.Millisecond
	slowRoutingSize = 150_000
)

func largeRoutingRecord(version int) string {
	return strings.Replace(routingRecord(version), "{", `{"note":"`+strings.Repeat("x", slowRoutingSize)+`",`, 1)
}

// Guards against a reader that interrupts a response in transit because it is slow, and then requests it repeatedly
// (seen in nocciolo-mesh-grown, quiet-1: a whole availability zone had not applied a version 7 s after it was
// acknowledged).
func TestSlowResponseIsNotInterrupted(t *testing.T) {
	store := standin.NewStore()
	defer store.Close()
	publishFleet(store)
	n := startNode(t, "127.0.0.1", freePort(t), store)
	poll.WaitOn(t, n.hasVersion(3, 2), pollFor(applyLimit))
	store.SetFaults(standin.Faults{SlowHost: "127.0.0.1", SlowDelay: slowDelay})
	store.Put("op/config", largeRoutingRecord(4))
	poll.WaitOn(t, n.hasVersion(4, 2), pollFor(applyLimit))
}

// Guards against an availability zone that misses changes because its reader, which never receives a complete response,
// still counts as confirmed by the registry.
func TestReaderWithStalledResponsesIsReplaced(t *testing.T) {
	for _, slow := range []string{"127.0.0.1", "127.0.0.2"} {
		port := freePort(t)
		store := standin.NewStore()
		publishFleet(store)
		first := startNode(t, "127.0.0.1", port, store)
		second := startNode(t, "127.0.0.2", port, store)
		poll.WaitOn(t, first.hasVersion(3, 2), pollFor(applyLimit))
		poll.WaitOn(t, second.hasVersion(3, 2), pollFor(applyLimit))
		store.SetFaults(standin.Faults{SlowHost: slow, SlowDelay: time.Hour})
		time.Sleep(1500 * time.Millisecond)
		store.Put("op/config", largeRoutingRecord(4))
		poll.WaitOn(t, first.hasVersion(4, 2), pollFor(applyLimit))
		poll.WaitOn(t, second.hasVersion(4, 2), pollFor(applyLimit))
		store.Close()
	}
}

// Guards against changes of a large routing that fill slow links (seen in nocciolo-mesh-grown, scale-1: requests waited
// behind versions of 1,400 routes that arrived every 0.3 s), and against differences that a daemon can't decode.
func TestLargeRoutingIsSentAsDifference(t *testing.T) {
	const versions = 8
	random := make([]byte, 100_000)
	_, err := rand.NewChaCha8([32]byte{1}).Read(random)
	assert.NilError(t, err)
	note := `{"note":"` + hex.EncodeToString(random) + `",`
	port := freePort(t)
	store := standin.NewStore()
	defer store.Close()
	publishFleet(store)
	first := startNode(t, "127.0.0.1", port, store)
	second := startNode(t, "127.0.0.2", port, store)
	store.Put("op/config", strings.Replace(routingRecord(4), "{", note, 1))
	poll.WaitOn(t, first.hasVersion(4, 2), pollFor(applyLimit))
	poll.WaitOn(t, second.hasVersion(4, 2), pollFor(applyLimit))
	time.Sleep(time.Second)
	before := first.sent.Load() + second.sent.Load()
	for version := 5; version < 5+versions; version++ {
		store.Put("op/config", strings.Replace(routingRecord(version), "{", note, 1))
		time.Sleep(100 * time.Millisecond)
	}
	poll.WaitOn(t, first.hasVersion(4+versions, 2), pollFor(applyLimit))
	poll.WaitOn(t, second.hasVersion(4+versions, 2), pollFor(applyLimit))
	sent := first.sent.Load() + second.sent.Load() - before
	assert.Assert(t, sent < int64(len(random)), "%d bytes for %d changes", sent, versions)
	// A node that starts later doesn't hold the record against which the next one is compressed.
	third := startNode(t, "127.0.0.3", port, store)
	poll.WaitOn(t, third.hasVersion(4+versions, 2), pollFor(applyLimit))
	store.Put("op/config", strings.Replace(routingRecord(5+versions), "{", note, 1))
	for _, n := range []*node{first, second, third} {
		poll.WaitOn(t, n.hasVersion(5+versions, 2), pollFor(applyLimit))
	}
}

// Guards against the election of a reader with a slow link, which delays all daemons of its availability zone, while
// others have fast links.
func TestDaemonWithFastestLinkReads(t *testing.T) {
	for fast := 1; fast <= 3; fast++ {
		port := freePort(t)
		store := standin.NewStore()
		store.Put("op/config", routingRecord(3))
		for i := 1; i <= 3; i++ {
			store.Put(fmt.Sprintf("servers/i-%d", i), instanceRecord(fmt.Sprintf("127.0.0.%d:80", i), "ready", 1))
		}
		nodes := make(map[int]*node)
		for i := 1; i <= 3; i++ {
			mbps := 7.0
			if i == fast {
				mbps = 140
			}
			nodes[i] = startNodeWithLink(t, fmt.Sprintf("127.0.0.%d", i), port, store, mbps)
		}
		for _, n := range nodes {
			poll.WaitOn(t, n.hasVersion(3, 3), pollFor(applyLimit))
		}
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			for i, n := range nodes {
				if n.Status().IsReader != (i == fast) {
					return poll.Continue("host %d reads: %v", i, n.Status().IsReader)
				}
			}
			return poll.Success()
		}, pollFor(5*time.Second))
		store.Close()
	}
}
