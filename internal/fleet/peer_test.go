package fleet_test

import (
	"context"
	"encoding/hex"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/klauspost/compress/zstd"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"gotest.tools/v3/assert"

	"cicadacross/internal/peer"
	"cicadacross/internal/peerpb"
	"cicadacross/internal/register"
)

// fakePeer is a peer that serves one version and can fail in the middle of a fetch of parts or never answer it.
type fakePeer struct {
	peerpb.UnimplementedDistributionServer
	address     string
	publication *register.Publication
	failAt      int // parts to send before the failure; below 0 to send all
	stalled     bool
	release     chan struct{}

	mu        sync.Mutex
	requested []string // digests of the requested parts
}

func startFakePeer(t *testing.T, p *fakePeer) *fakePeer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p.address, p.release = listener.Addr().String(), make(chan struct{})
	server := peer.NewServer(fleetKey)
	peerpb.RegisterDistributionServer(server, p)
	go serveLoop{server, listener}.run()
	t.Cleanup(func() {
		close(p.release)
		server.Stop()
	})
	return p
}

func (p *fakePeer) Fetch(request *peerpb.FetchRequest, stream grpc.ServerStreamingServer[peerpb.FetchReply]) error {
	encoder, err := zstd.NewWriter(nil)
	if err != nil {
		return err
	}
	if request.GetVersion() != nil {
		digest, _ := hex.DecodeString(p.publication.Version().Digest())
		return stream.Send(&peerpb.FetchReply{Digest: digest, Data: encoder.EncodeAll(p.publication.Manifest(), nil)})
	}
	if p.stalled {
		<-p.release
		return nil
	}
	for i, digest := range request.GetDigests() {
		p.mu.Lock()
		p.requested = append(p.requested, hex.EncodeToString(digest))
		p.mu.Unlock()
		if i == p.failAt {
			return status.Error(codes.Unavailable, "stream ended by the test")
		}
		data := p.publication.Parts()[hex.EncodeToString(digest)]
		if err := stream.Send(&peerpb.FetchReply{Digest: digest, Data: encoder.EncodeAll(data, nil)}); err != nil {
			return err
		}
	}
	return nil
}

func (p *fakePeer) requestedDigests() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.requested
}

// announce announces the version of the fake peer to the node.
func (p *fakePeer) announce(t *testing.T, n *node, host string) {
	t.Helper()
	digest, err := hex.DecodeString(p.publication.Version().Digest())
	assert.NilError(t, err)
	version := &peerpb.Version{Number: p.publication.Version().Number(), Digest: digest}
	_, err = n.Announce(t.Context(), &peerpb.AnnounceRequest{Version: version, Host: host, Peer: p.address})
	assert.NilError(t, err)
}

// Guards against parts that are lost, or fetched again, when a peer fails in the middle of a fetch, and against a fetch
// that waits for an unresponsive peer while another one has the version.
func TestFetchContinuesWithAnotherPeer(t *testing.T) {
	c := newCluster(t, 1)
	c.platform.SetFaults(downFaults)
	c.start(0)
	version := c.newPublication(4, "")
	stalled := startFakePeer(t, &fakePeer{publication: version, stalled: true})
	failing := startFakePeer(t, &fakePeer{publication: version, failAt: 1})
	healthy := startFakePeer(t, &fakePeer{publication: version, failAt: -1})
	stalled.announce(t, c.nodes[0], "host-80")
	failing.announce(t, c.nodes[0], "host-81")
	healthy.announce(t, c.nodes[0], "host-82")
	c.waitFor(5*time.Second, "version from the third peer", c.allApplied(version.Version()))
	assert.Equal(t, len(version.Parts()), 2)
	assert.Equal(t, len(failing.requestedDigests()), 2)
	assert.DeepEqual(t, healthy.requestedDigests(), failing.requestedDigests()[1:])
}

// Guards against messages that make a daemon panic, allocate memory or keep records without bound.
func TestMessagesOutOfBoundsAreRefused(t *testing.T) {
	c := newCluster(t, 1)
	c.start(0)
	n := c.nodes[0]
	self := &peerpb.Member{Host: "host-77"}
	long := string(make([]byte, 300))
	for name, request := range map[string]*peerpb.ExchangeRequest{
		"empty":         {},
		"long host":     {Self: &peerpb.Member{Host: long}},
		"short digest":  {Self: &peerpb.Member{Host: "host-77", Version: &peerpb.Version{Number: 1, Digest: []byte{1}}}},
		"incarnation":   {Self: &peerpb.Member{Host: "host-77", Incarnation: ^uint64(0)}},
		"many members":  {Self: self, Members: make([]*peerpb.Member, 100)},
		"many readers":  {Self: self, Readers: make([]*peerpb.Reader, 100)},
		"many suspects": {Self: self, Suspects: make([]*peerpb.Suspect, 100)},
	} {
		_, err := n.Exchange(t.Context(), request)
		assert.Equal(t, status.Code(err), codes.InvalidArgument, name)
	}
	_, err := n.Announce(t.Context(), &peerpb.AnnounceRequest{Host: "host-77", News: make([]*peerpb.Member, 100)})
	assert.Equal(t, status.Code(err), codes.InvalidArgument)
	// Nil entries and implausible ages within the bounds are accepted without effect.
	maximum := ^uint64(0)
	_, err = n.Exchange(context.Background(), &peerpb.ExchangeRequest{
		Self:        &peerpb.Member{Host: "host-77", HeardAgeMs: maximum},
		SourceAgeMs: &maximum,
		Members: []*peerpb.Member{
			nil, {Host: n.opts.Host, Incarnation: maximum}, {Host: "host-78", Peer: "nowhere", HeardAgeMs: maximum},
		},
		Readers: []*peerpb.Reader{nil, {Host: "host-79", AliveAgeMs: maximum}},
	})
	assert.NilError(t, err)
	members := n.Members()
	assert.Equal(t, len(members), 2, "only the sender becomes a member")
	assert.Assert(t, members[0].Incarnation > 0)
}
