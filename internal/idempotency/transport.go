package idempotency

import (
	"context"
	"encoding/hex"
	"net/http"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"cicadacross"
	"cicadacross/internal/peerpb"
)

// claimTimeout bounds one call to an earlier owner. It is above the wait for a running key and short against a caller's
// timeout.
const claimTimeout = time.Second

// Server answers the claims of other daemons from a store.
type Server struct {
	peerpb.UnimplementedIdempotencyServer
	store *Store
}

var _ peerpb.IdempotencyServer = (*Server)(nil)

// NewServer returns a server for the store.
func NewServer(store *Store) *Server { return &Server{store: store} }

// Claim answers a claim.
func (s *Server) Claim(ctx context.Context, request *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	answer, err := s.store.Answer(ctx, Claim{
		Service:   request.GetService(),
		Key:       request.GetKey(),
		Host:      request.GetHost(),
		Version:   versionFrom(request.GetVersion()),
		AskedHost: request.GetAskedHost(),
	})
	if err != nil {
		return nil, status.Error(codes.FailedPrecondition, err.Error())
	}
	reply := &peerpb.ClaimReply{State: stateTo[answer.State]}
	if answer.State == AnswerDone {
		reply.Fingerprint = answer.Fingerprint
		reply.Head = headTo(*answer.Reply)
		reply.Body = answer.Reply.Body
	}
	return reply, nil
}

// History tells the history of this daemon.
func (s *Server) History(context.Context, *peerpb.HistoryRequest) (*peerpb.HistoryReply, error) {
	told := s.store.Tell()
	reply := &peerpb.HistoryReply{Complete: told.Complete, Version: versionTo(told.Version)}
	for _, e := range told.Epochs {
		epoch := &peerpb.Epoch{Service: e.Service, Until: versionTo(e.Until), EndedAgeMs: millis(e.Age)}
		for _, t := range e.Targets {
			target := &peerpb.EpochTarget{Host: t.Host, Peer: t.Peer}
			if t.Followed {
				followedAge := millis(t.FollowedAge)
				target.FollowedAgeMs = &followedAge
			}
			epoch.Targets = append(epoch.Targets, target)
		}
		reply.Epochs = append(reply.Epochs, epoch)
	}
	return reply, nil
}

// Connections gives connections to daemons by peer address; *peer.Pool is one.
type Connections interface {
	Conn(address string) (*grpc.ClientConn, error)
}

// Client is the Claimer over grpc. It is safe for concurrent use.
type Client struct {
	connections Connections
}

var _ Claimer = (*Client)(nil)

// NewClient returns a client over the connections.
func NewClient(connections Connections) *Client { return &Client{connections: connections} }

// Claim sends the claim and waits for the answer, one second at most.
func (c *Client) Claim(ctx context.Context, peer string, claim Claim) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	client, err := c.client(peer)
	if err != nil {
		return Answer{}, err
	}
	reply, err := client.Claim(ctx, &peerpb.ClaimRequest{
		Service:   claim.Service,
		Key:       claim.Key,
		Host:      claim.Host,
		Version:   versionTo(claim.Version),
		AskedHost: claim.AskedHost,
	})
	if err != nil {
		return Answer{}, wrapError("claim", KindClaim, err, "peer %s", peer)
	}
	answer := Answer{State: stateFrom[reply.GetState()]}
	if answer.State == AnswerDone {
		answer.Fingerprint = reply.GetFingerprint()
		answer.Reply = replyFrom(reply)
	}
	return answer, nil
}

// History asks for the history and waits for the answer, one second at most.
func (c *Client) History(ctx context.Context, peer string) (History, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	client, err := c.client(peer)
	if err != nil {
		return History{}, err
	}
	reply, err := client.History(ctx, &peerpb.HistoryRequest{})
	if err != nil {
		return History{}, wrapError("history", KindClaim, err, "peer %s", peer)
	}
	told := History{Complete: reply.GetComplete(), Version: versionFrom(reply.GetVersion())}
	for _, e := range reply.GetEpochs() {
		told.Epochs = append(told.Epochs, epochFrom(e))
	}
	return told, nil
}

func (c *Client) client(peer string) (peerpb.IdempotencyClient, error) {
	if peer == "" {
		return nil, newError("claim", KindClaim, "the address of the host isn't known")
	}
	conn, err := c.connections.Conn(peer)
	if err != nil {
		return nil, wrapError("claim", KindClaim, err, "peer %s", peer)
	}
	return peerpb.NewIdempotencyClient(conn), nil
}

func epochFrom(e *peerpb.Epoch) Epoch {
	epoch := Epoch{Service: e.GetService(), Until: versionFrom(e.GetUntil()), Age: duration(e.GetEndedAgeMs())}
	for _, t := range e.GetTargets() {
		epoch.Targets = append(epoch.Targets, EpochTarget{
			Host:        t.GetHost(),
			Peer:        t.GetPeer(),
			Followed:    t.FollowedAgeMs != nil,
			FollowedAge: duration(t.GetFollowedAgeMs()),
		})
	}
	return epoch
}

// A state that this version of the program doesn't know counts as unknown.
var stateFrom = map[peerpb.ClaimReply_State]AnswerState{
	peerpb.ClaimReply_STATE_FENCED:  AnswerFenced,
	peerpb.ClaimReply_STATE_RUNNING: AnswerRunning,
	peerpb.ClaimReply_STATE_DONE:    AnswerDone,
	peerpb.ClaimReply_STATE_UNKNOWN: AnswerUnknown,
}

var stateTo = map[AnswerState]peerpb.ClaimReply_State{
	AnswerFenced:  peerpb.ClaimReply_STATE_FENCED,
	AnswerRunning: peerpb.ClaimReply_STATE_RUNNING,
	AnswerDone:    peerpb.ClaimReply_STATE_DONE,
	AnswerUnknown: peerpb.ClaimReply_STATE_UNKNOWN,
}

func headTo(reply cicadacross.StoredResponse) *peerpb.ReplyHead {
	head := &peerpb.ReplyHead{
		Status:        uint32(reply.Status),
		ContentLength: int64(len(reply.Body)),
		Replayed:      true,
	}
	for name, values := range reply.Header {
		for _, value := range values {
			head.Headers = append(head.Headers, &peerpb.Header{Name: name, Value: value})
		}
	}
	return head
}

func replyFrom(reply *peerpb.ClaimReply) *cicadacross.StoredResponse {
	kept := &cicadacross.StoredResponse{
		Status: int(reply.GetHead().GetStatus()),
		Header: make(http.Header),
		Body:   reply.GetBody(),
	}
	// An empty body arrives as nil, which would mean that the body wasn't kept.
	if kept.Body == nil {
		kept.Body = []byte{}
	}
	for _, h := range reply.GetHead().GetHeaders() {
		kept.Header[h.GetName()] = append(kept.Header[h.GetName()], h.GetValue())
	}
	return kept
}

func versionTo(v cicadacross.Version) *peerpb.Version {
	// The digest of a version is hexadecimal, so that decoding can't fail.
	digest, _ := hex.DecodeString(v.Digest())
	return &peerpb.Version{Number: v.Number(), Digest: digest}
}

func versionFrom(v *peerpb.Version) cicadacross.Version {
	return cicadacross.NewVersion(v.GetNumber(), hex.EncodeToString(v.GetDigest()))
}

func millis(d time.Duration) uint64 { return uint64(max(d, 0).Milliseconds()) }

func duration(ms uint64) time.Duration {
	// A value beyond the range of a duration must not come out negative.
	const longest = uint64(1<<63-1) / uint64(time.Millisecond)
	return time.Duration(min(ms, longest)) * time.Millisecond
}
