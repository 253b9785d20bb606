package roster_test

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"cicadacross"
	"cicadacross/internal/peer"
	"cicadacross/internal/peerpb"
	"cicadacross/internal/roster"
	"cicadacross/internal/timer"
	"cicadacross/platform/standin"
)

// startZone starts one node for each link speed, in Mbit/s, at 127.0.0.1 and the following addresses, with a registered
// upstream on each host, and waits until the election has settled. The node with the fastest link reads the registry.
func startZone(t *testing.T, port uint16, store *standin.Store, speeds ...float64) []*node {
	t.Helper()
	store.Put("op/config", routingRecord(3))
	for i := range speeds {
		store.Put(fmt.Sprintf("servers/i-%d", i+1), instanceRecord(fmt.Sprintf("127.0.0.%d:80", i+1), "ready", 1))
	}
	nodes := make([]*node, 0, len(speeds))
	for i, mbps := range speeds {
		nodes = append(nodes, startNodeWithLink(t, fmt.Sprintf("127.0.0.%d", i+1), port, store, mbps))
	}
	for _, n := range nodes {
		poll.WaitOn(t, n.hasVersion(3, len(speeds)), pollFor(applyLimit))
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for i, n := range nodes {
			if n.Status().IsReader != (i == 0) {
				return poll.Continue("host %d reads: %v", i+1, n.Status().IsReader)
			}
		}
		return poll.Success()
	}, pollFor(5*time.Second))
	return nodes
}

// Guards against daemons that use a removed target as long as it lives, because the daemon that reads the registry for
// them restarted: its first listing has no trace of what was removed meanwhile (review/6).
func TestRemovalDuringRestartOfReaderIsFollowed(t *testing.T) {
	for _, away := range []time.Duration{20 * time.Millisecond, 300 * time.Millisecond} {
		t.Run(away.String(), func(t *testing.T) {
			port := freePort(t)
			store := standin.NewStore()
			defer store.Close()
			nodes := startZone(t, port, store, 100, 90, 80)
			nodes[0].kill()
			store.Remove("servers/i-3")
			removed := time.Now()
			time.Sleep(away)
			nodes[0] = startNodeWithLink(t, "127.0.0.1", port, store, 100)
			for _, n := range nodes {
				poll.WaitOn(t, n.hasVersion(3, 2), pollFor(time.Until(removed.Add(applyLimit))))
			}
		})
	}
}

// followNode follows the node as another daemon does, which has all records up to the revision held, and returns a
// channel with the frames that arrive.
func followNode(t *testing.T, host string, port uint16, held uint64) <-chan *peerpb.FollowFrame {
	t.Helper()
	pool := peer.NewPool(fleetKey)
	t.Cleanup(pool.Close)
	conn, err := pool.Conn(net.JoinHostPort(host, fmt.Sprint(port)))
	assert.NilError(t, err)
	stream, err := peerpb.NewReplicationClient(conn).Follow(t.Context(), &peerpb.FollowRequest{Held: &held})
	assert.NilError(t, err)
	frames := make(chan *peerpb.FollowFrame, 1000)
	go receiveFrames(stream, frames)
	return frames
}

func receiveFrames(stream grpc.ServerStreamingClient[peerpb.FollowFrame], frames chan<- *peerpb.FollowFrame) {
	defer close(frames)
	for {
		frame, err := stream.Recv()
		if err != nil {
			return
		}
		frames <- frame
	}
}

// assertNamesRemoval receives frames up to the revision and checks that one of them shows that the record was removed.
func assertNamesRemoval(t *testing.T, frames <-chan *peerpb.FollowFrame, key string, revision uint64) {
	t.Helper()
	deadline := time.After(applyLimit)
	for {
		select {
		case frame, ok := <-frames:
			assert.Assert(t, ok, "the stream ended")
			if frame.GetWhole() || len(frame.GetPresentKeys()) > 0 {
				assert.Assert(t, !slices.Contains(frame.GetPresentKeys(), key))
				return
			}
			for _, r := range frame.GetRecords() {
				if r.GetKey() == key && r.GetRemoved() {
					return
				}
			}
			assert.Assert(t, frame.GetComplete() < revision, "complete up to %d without the removal", revision)
		case <-deadline:
			t.Fatalf("not complete up to revision %d after %v", revision, applyLimit)
		}
	}
}

// Guards against followers that keep a record which their daemon never had: it was written and removed while the daemon
// missed changes and listed all records, and the followers had it from another daemon.
func TestListingShowsFollowersWhatItLacks(t *testing.T) {
	store := standin.NewStore()
	defer store.Close()
	publishFleet(store)
	port := freePort(t)
	n := startNode(t, "127.0.0.1", port, store)
	poll.WaitOn(t, n.hasVersion(3, 2), pollFor(applyLimit))
	frames := followNode(t, "127.0.0.1", port, 4)
	store.SetFaults(standin.Faults{MissChanges: true})
	store.Put("servers/i-2", instanceRecord("127.0.0.2:80", "ready", 2))
	store.Put("servers/i-3", instanceRecord("127.0.0.3:80", "ready", 1))
	removed := store.Remove("servers/i-3")
	store.DiscardHistory()
	store.SetFaults(standin.Faults{})
	assertNamesRemoval(t, frames, "servers/i-3", removed)
}

// leapTimers is the system clock with an offset that tests change, and with short intervals between deletions of old
// tombstones.
type leapTimers struct {
	timer.System
	offset atomic.Int64
}

func (l *leapTimers) Now() time.Time { return l.System.Now().Add(time.Duration(l.offset.Load())) }

func (l *leapTimers) Every(d time.Duration) cicadacross.Timer {
	return l.System.Every(min(d, 500*time.Millisecond))
}

// Guards against a daemon that was away for so long that the others have forgotten what was removed meanwhile.
func TestForgottenRemovalIsFollowed(t *testing.T) {
	store := standin.NewStore()
	defer store.Close()
	publishFleet(store)
	port := freePort(t)
	timers := new(leapTimers)
	n := startNodeWith(t, "127.0.0.1", port, store, roster.Options{Timers: timers})
	poll.WaitOn(t, n.hasVersion(3, 2), pollFor(applyLimit))
	removed := store.Remove("servers/i-2")
	poll.WaitOn(t, n.hasVersion(3, 1), pollFor(applyLimit))
	timers.offset.Store(int64(time.Hour))
	time.Sleep(1200 * time.Millisecond)
	assertNamesRemoval(t, followNode(t, "127.0.0.1", port, removed-1), "servers/i-2", removed)
}

// followedDaemon is a daemon that sends its followers the given frame.
type followedDaemon struct {
	peerpb.UnimplementedReplicationServer
	frame *peerpb.FollowFrame
}

func (f *followedDaemon) Follow(
	_ *peerpb.FollowRequest, stream grpc.ServerStreamingServer[peerpb.FollowFrame],
) error {
	if err := stream.Send(f.frame); err != nil {
		return err
	}
	<-stream.Context().Done()
	return nil
}

// Guards against a daemon that uses a removed target again because another one, which hasn't learned of the removal
// yet, sends an older record of it.
func TestOlderRecordOfAnotherDaemonIsIgnored(t *testing.T) {
	store := standin.NewStore()
	defer store.Close()
	publishFleet(store)
	port := freePort(t)
	older := store.Put("servers/i-3", instanceRecord("127.0.0.3:80", "draining", 1))
	store.Remove("servers/i-3")
	age := uint64(0)
	server := peer.NewServer(fleetKey)
	peerpb.RegisterReplicationServer(server, &followedDaemon{frame: &peerpb.FollowFrame{
		Complete: older, ConfirmedAgeMs: &age, Records: []*peerpb.Record{
			{Key: "servers/i-3", Value: []byte(instanceRecord("127.0.0.3:80", "draining", 1)), Revision: older},
			{Key: "servers/i-4", Value: []byte(instanceRecord("127.0.0.4:80", "ready", 1)), Revision: older + 10},
		},
	}})
	listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.2:%d", port))
	assert.NilError(t, err)
	go serve(server, listener)
	defer server.Stop()
	n := startNode(t, "127.0.0.1", port, store)
	// The record of the later revision shows that the frame has arrived.
	poll.WaitOn(t, n.hasVersion(3, 3), pollFor(applyLimit))
	_, used := n.Configuration().TargetOn("127.0.0.3")
	assert.Assert(t, !used)
}

// Guards against a daemon that starts right after a restoration of the registry and doesn't know of the evacuations
// that the copy lacks, while the others keep them until the operator writes them again.
func TestStartedDaemonLearnsOfEvacuationsInTheirGracePeriod(t *testing.T) {
	const key = "op/evacuate/z1"
	store := newStoreWithEras(t)
	store.Put("servers/i-3", instanceRecord("127.0.0.3:80", "ready", 1))
	port := freePort(t)
	nodes := []*node{startNode(t, "127.0.0.1", port, store), startNode(t, "127.0.0.2", port, store)}
	backup := store.Copy()
	store.Put(key, "{}")
	for _, n := range nodes {
		poll.WaitOn(t, n.evacuates("z1"), pollFor(applyLimit))
	}
	store.Restore(backup)
	awaitEra(t, nodes, 2)
	started := startNode(t, "127.0.0.3", port, store)
	poll.WaitOn(t, started.evacuates("z1"), pollFor(applyLimit))
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, started.Configuration().IsEvacuated("z1"))
	}
	store.Put(key, "{}")
	store.Remove(key)
	poll.WaitOn(t, started.evacuates(), pollFor(applyLimit))
}

// Guards against a daemon that starts right after an outage of the registry and doesn't use live upstreams whose
// records expired during the outage, which the others use until they are registered again.
func TestStartedDaemonUsesUpstreamsInTheirGracePeriod(t *testing.T) {
	store := standin.NewStore()
	defer store.Close()
	publishFleet(store)
	store.Put("servers/i-3", instanceRecord("127.0.0.3:80", "ready", 1))
	port := freePort(t)
	first := startNode(t, "127.0.0.1", port, store)
	poll.WaitOn(t, first.hasVersion(3, 3), pollFor(applyLimit))
	store.SetFaults(standin.Faults{Status: http.StatusServiceUnavailable})
	time.Sleep(4 * time.Second)
	store.Remove("servers/i-2")
	store.SetFaults(standin.Faults{})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !first.Status().IsReader {
			return poll.Continue("the registry hasn't confirmed the records again")
		}
		return poll.Success()
	}, pollFor(applyLimit))
	started := startNode(t, "127.0.0.3", port, store)
	poll.WaitOn(t, started.hasVersion(3, 3), pollFor(applyLimit))
	poll.WaitOn(t, started.hasVersion(3, 2), pollFor(graceLimit))
}

// Guards against a daemon that never uses a live upstream again, because the daemon that knew how long the upstream
// counts as removed after a restoration of the registry has stopped.
func TestRemovalHeldByAnotherDaemonEnds(t *testing.T) {
	t.Parallel()
	store := newStoreWithEras(t)
	store.Put("servers/i-3", instanceRecord("127.0.0.3:80", "ready", 1))
	port := freePort(t)
	nodes := []*node{startNode(t, "127.0.0.1", port, store)}
	awaitNumber(t, nodes, 3)
	backup := store.Copy()
	store.Remove("servers/i-2")
	awaitInUse(t, nodes, false)
	store.Restore(backup)
	awaitEra(t, nodes, 2)
	started := startNode(t, "127.0.0.3", port, store)
	poll.WaitOn(t, started.inUse(true), pollFor(applyLimit))
	poll.WaitOn(t, started.inUse(false), pollFor(applyLimit))
	nodes[0].kill()
	poll.WaitOn(t, started.inUse(true), pollFor(heldRemovalLimit))
}

// heldRemovalLimit is the time in which the removal of an upstream that a restored registry has ends: 15 s and 3 s for
// the daemons to learn of it.
const heldRemovalLimit = 18 * time.Second
