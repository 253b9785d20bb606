package roster_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"cicadacross"
	"cicadacross/internal/peer"
	"cicadacross/internal/peerpb"
	"cicadacross/internal/quarantine"
	"cicadacross/internal/roster"
	"cicadacross/internal/timer"
	"cicadacross/platform/standin"
)

// crasher is the fingerprint of a request that crashes each upstream.
const crasher = 7

// informLimit is the time after which the platform counts a daemon that started or returned as connected.
const informLimit = 3 * time.Second

// quarantineNode is a node with the quarantine of its daemon.
type quarantineNode struct {
	*node
	tracker *quarantine.Tracker
}

func startQuarantineNode(
	t *testing.T, n int, port uint16, store *standin.Store, timers cicadacross.Timers,
) *quarantineNode {
	t.Helper()
	q := new(quarantineNode)
	host := fmt.Sprintf("127.0.0.%d", n)
	q.tracker = quarantine.New(quarantine.Options{
		Host: host, Timers: timers, OnCrash: func() { q.AnnounceSuspects() },
	})
	q.node = startNodeWith(t, host, port, store, roster.Options{Timers: timers, Quarantine: q.tracker})
	return q
}

// startQuarantineNodes starts a fleet of the given size and waits until all its daemons know each other.
func startQuarantineNodes(t *testing.T, size int, port uint16, store *standin.Store) []*quarantineNode {
	t.Helper()
	store.Put("op/config", routingRecord(3))
	for i := 1; i <= size; i++ {
		store.Put(fmt.Sprintf("servers/i-%d", i), instanceRecord(fmt.Sprintf("127.0.0.%d:80", i), "ready", 1))
	}
	var nodes []*quarantineNode
	for i := 1; i <= size; i++ {
		nodes = append(nodes, startQuarantineNode(t, i, port, store, timer.System{}))
	}
	for _, n := range nodes {
		poll.WaitOn(t, n.hasVersion(3, size), pollFor(applyLimit))
	}
	// The daemons have asked each other for suspects.
	time.Sleep(1200 * time.Millisecond)
	return nodes
}

// crash crashes the upstream of the node while it runs the crasher.
func (n *quarantineNode) crash(t *testing.T) {
	t.Helper()
	leave, err := n.tracker.Enter(context.Background(), crasher)
	assert.NilError(t, err)
	n.tracker.RecordCrash()
	leave()
}

func (n *quarantineNode) hasQuarantined(poll.LogT) poll.Result {
	if !n.tracker.IsQuarantined(crasher) {
		return poll.Continue("not quarantined at this daemon")
	}
	return poll.Success()
}

// Guards against a daemon that starts after a request was quarantined and sends it to further upstreams, which it
// crashes (review/9): ten instead of two.
func TestStartedDaemonLearnsOfQuarantinedRequests(t *testing.T) {
	store := standin.NewStore()
	defer store.Close()
	port := freePort(t)
	nodes := startQuarantineNodes(t, 5, port, store)
	nodes[0].crash(t)
	nodes[0].crash(t)
	for _, n := range nodes {
		poll.WaitOn(t, n.hasQuarantined, pollFor(informLimit))
	}
	// The daemons are restarted in turn, also the one that saw the crashes. Two at a time ask each other too.
	for i := 0; i < len(nodes); i += 2 {
		restarted := []int{i}
		if i+1 < len(nodes) {
			restarted = append(restarted, i+1)
		}
		for _, k := range restarted {
			nodes[k].kill()
		}
		for _, k := range restarted {
			nodes[k] = startQuarantineNode(t, k+1, port, store, timer.System{})
		}
		for _, k := range restarted {
			poll.WaitOn(t, nodes[k].hasQuarantined, pollFor(informLimit))
		}
	}
}

// Guards against a daemon that can't be reached when an upstream crashes, and doesn't learn of it afterwards.
func TestUnreachableDaemonIsInformedOnceItReturns(t *testing.T) {
	store := standin.NewStore()
	defer store.Close()
	port := freePort(t)
	nodes := startQuarantineNodes(t, 5, port, store)
	away := nodes[4]
	away.server.Stop()
	nodes[0].crash(t)
	nodes[0].crash(t)
	for _, n := range nodes[1:4] {
		poll.WaitOn(t, n.hasQuarantined, pollFor(informLimit))
	}
	time.Sleep(3 * time.Second)
	assert.Assert(t, !away.tracker.IsQuarantined(crasher))
	away.serveAgain(t, "127.0.0.5", port)
	poll.WaitOn(t, away.hasQuarantined, pollFor(informLimit))
}

// serveAgain makes the node reachable for others after its server was stopped.
func (n *quarantineNode) serveAgain(t *testing.T, host string, port uint16) {
	t.Helper()
	n.server = peer.NewServer(fleetKey)
	n.Register(n.server)
	listener, err := net.Listen("tcp", net.JoinHostPort(host, fmt.Sprint(port)))
	assert.NilError(t, err)
	go serve(n.server, listener)
	t.Cleanup(n.server.Stop)
}

// Guards against a daemon that was cut off from the registry and all others during a crash, and doesn't learn of it
// when those that announced it have stopped.
func TestDaemonThatWasCutOffAsksForSuspects(t *testing.T) {
	store, registry := standin.NewStore(), standin.NewStore()
	defer store.Close()
	defer registry.Close()
	port := freePort(t)
	nodes := startQuarantineNodes(t, 3, port, store)
	for _, s := range []*standin.Store{store, registry} {
		s.Put("servers/i-4", instanceRecord("127.0.0.4:80", "ready", 1))
	}
	registry.Put("op/config", routingRecord(3))
	for i := 1; i <= 3; i++ {
		registry.Put(fmt.Sprintf("servers/i-%d", i), instanceRecord(fmt.Sprintf("127.0.0.%d:80", i), "ready", 1))
	}
	cutOff := startQuarantineNode(t, 4, port, registry, timer.System{})
	poll.WaitOn(t, cutOff.hasVersion(3, 4), pollFor(applyLimit))
	time.Sleep(1200 * time.Millisecond)
	registry.SetFaults(standin.Faults{Status: http.StatusServiceUnavailable})
	for _, n := range nodes {
		n.server.Stop()
		n.tracker.Merge([]cicadacross.Suspect{{Fingerprint: crasher, Crashes: 2, Host: "127.0.0.9"}})
	}
	time.Sleep(4 * time.Second)
	for i, n := range nodes {
		n.serveAgain(t, fmt.Sprintf("127.0.0.%d", i+1), port)
	}
	registry.SetFaults(standin.Faults{})
	poll.WaitOn(t, cutOff.hasQuarantined, pollFor(informLimit))
}

// Guards against a daemon that was paused during a crash, and doesn't learn of it when those that announced it have
// stopped.
func TestPausedDaemonAsksForSuspects(t *testing.T) {
	store := standin.NewStore()
	defer store.Close()
	port := freePort(t)
	nodes := startQuarantineNodes(t, 3, port, store)
	store.Put("servers/i-4", instanceRecord("127.0.0.4:80", "ready", 1))
	timers := new(leapTimers)
	paused := startQuarantineNode(t, 4, port, store, timers)
	poll.WaitOn(t, paused.hasVersion(3, 4), pollFor(applyLimit))
	time.Sleep(1200 * time.Millisecond)
	for _, n := range nodes {
		n.tracker.Merge([]cicadacross.Suspect{{Fingerprint: crasher, Crashes: 2, Host: "127.0.0.9"}})
	}
	time.Sleep(time.Second)
	assert.Assert(t, !paused.tracker.IsQuarantined(crasher))
	timers.offset.Store(int64(5 * time.Second))
	poll.WaitOn(t, paused.hasQuarantined, pollFor(informLimit))
}

// slowDaemon is a daemon that takes a while to acknowledge suspects. It sends the crashes of each to received.
type slowDaemon struct {
	peerpb.UnimplementedReplicationServer
	received chan uint32
}

func (s *slowDaemon) Warn(_ context.Context, request *peerpb.WarnRequest) (*peerpb.WarnReply, error) {
	for _, suspect := range request.GetSuspects() {
		s.received <- suspect.GetCrashes()
	}
	time.Sleep(500 * time.Millisecond)
	return &peerpb.WarnReply{Informed: true}, nil
}

// Guards against a second crash that isn't announced to a daemon which is just acknowledging the first.
func TestCrashDuringAnAnnouncementIsAnnounced(t *testing.T) {
	store := standin.NewStore()
	defer store.Close()
	publishFleet(store)
	port := freePort(t)
	slow := &slowDaemon{received: make(chan uint32, 100)}
	server := peer.NewServer(fleetKey)
	peerpb.RegisterReplicationServer(server, slow)
	listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.2:%d", port))
	assert.NilError(t, err)
	go serve(server, listener)
	defer server.Stop()
	n := startQuarantineNode(t, 1, port, store, timer.System{})
	poll.WaitOn(t, n.hasVersion(3, 2), pollFor(applyLimit))
	time.Sleep(1500 * time.Millisecond) // it has asked the other daemon for suspects
	n.crash(t)
	assert.Equal(t, <-slow.received, uint32(1))
	n.crash(t)
	select {
	case crashes := <-slow.received:
		assert.Equal(t, crashes, uint32(2))
	case <-time.After(informLimit):
		t.Fatal("the second crash was not announced")
	}
}
