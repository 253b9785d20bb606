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

// callTimeout limits one call to another daemon. It exceeds the default ClaimWait, the time that an answer may wait for
// a running attempt, and is short compared to the timeouts of callers.
const callTimeout = time.Second

// Server serves the claim and history calls of other daemons from a store.
type Server struct {
	peerpb.UnimplementedIdempotencyServer
	store *Store
}

var _ peerpb.IdempotencyServer = (*Server)(nil)

// NewServer returns a server for the store.
func NewServer(store *Store) *Server { return &Server{store: store} }

// Claim answers the claim of another daemon. Its errors have the code FailedPrecondition.
func (s *Server) Claim(ctx context.Context, request *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	answer, err := s.store.AnswerClaim(ctx, Claim{
		Service:   request.GetService(),
		Key:       request.GetKey(),
		Host:      request.GetHost(),
		Version:   versionFromProto(request.GetVersion()),
		AskedHost: request.GetAskedHost(),
	})
	if err != nil {
		return nil, status.Error(codes.FailedPrecondition, err.Error())
	}
	reply := &peerpb.ClaimReply{State: stateToProto[answer.State]}
	if answer.State == AnswerDone {
		reply.Fingerprint = answer.Fingerprint
		reply.Head = headToProto(*answer.Response)
		reply.Body = answer.Response.Body
	}
	return reply, nil
}

// History returns the history of this daemon.
func (s *Server) History(context.Context, *peerpb.HistoryRequest) (*peerpb.HistoryReply, error) {
	history := s.store.History()
	reply := &peerpb.HistoryReply{Complete: history.Complete, Version: versionToProto(history.Version)}
	for _, e := range history.Epochs {
		epoch := &peerpb.Epoch{Service: e.Service, Until: versionToProto(e.Until), EndedAgeMs: toMillis(e.EndedAge)}
		for _, t := range e.Targets {
			target := &peerpb.EpochTarget{Host: t.Host, Peer: t.Peer}
			if t.CaughtUp {
				caughtUpAge := toMillis(t.CaughtUpAge)
				target.FollowedAgeMs = &caughtUpAge
			}
			epoch.Targets = append(epoch.Targets, target)
		}
		reply.Epochs = append(reply.Epochs, epoch)
	}
	return reply, nil
}

// Connections provides gRPC connections to daemons by peer address. *peer.Pool implements it.
type Connections interface {
	Conn(address string) (*grpc.ClientConn, error)
}

// Client implements Claimer over gRPC. It is safe for concurrent use.
type Client struct {
	connections Connections
}

var _ Claimer = (*Client)(nil)

// NewClient returns a client that uses the connections.
func NewClient(connections Connections) *Client { return &Client{connections: connections} }

// Claim sends the claim to the daemon at the address peer and waits at most one second for the answer. Its errors have
// KindClaim.
func (c *Client) Claim(ctx context.Context, peer string, claim Claim) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client, err := c.client(peer)
	if err != nil {
		return Answer{}, err
	}
	reply, err := client.Claim(ctx, &peerpb.ClaimRequest{
		Service:   claim.Service,
		Key:       claim.Key,
		Host:      claim.Host,
		Version:   versionToProto(claim.Version),
		AskedHost: claim.AskedHost,
	})
	if err != nil {
		return Answer{}, wrapError("claim", KindClaim, err, "peer %s", peer)
	}
	answer := Answer{State: stateFromProto[reply.GetState()]}
	if answer.State == AnswerDone {
		answer.Fingerprint = reply.GetFingerprint()
		answer.Response = responseFromProto(reply)
	}
	return answer, nil
}

// History fetches the history of the daemon at the address peer, and waits at most one second for it. Its errors have
// KindClaim.
func (c *Client) History(ctx context.Context, peer string) (History, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client, err := c.client(peer)
	if err != nil {
		return History{}, err
	}
	reply, err := client.History(ctx, &peerpb.HistoryRequest{})
	if err != nil {
		return History{}, wrapError("history", KindClaim, err, "peer %s", peer)
	}
	history := History{Complete: reply.GetComplete(), Version: versionFromProto(reply.GetVersion())}
	for _, e := range reply.GetEpochs() {
		history.Epochs = append(history.Epochs, epochFromProto(e))
	}
	return history, nil
}

func (c *Client) client(peer string) (peerpb.IdempotencyClient, error) {
	if peer == "" {
		return nil, newError("claim", KindClaim, "the peer address of the host is unknown")
	}
	conn, err := c.connections.Conn(peer)
	if err != nil {
		return nil, wrapError("claim", KindClaim, err, "peer %s", peer)
	}
	return peerpb.NewIdempotencyClient(conn), nil
}

// epochFromProto converts an epoch. On the wire, a host that has caught up is said to have followed.
func epochFromProto(e *peerpb.Epoch) Epoch {
	epoch := Epoch{
		Service: e.GetService(), Until: versionFromProto(e.GetUntil()), EndedAge: fromMillis(e.GetEndedAgeMs()),
	}
	for _, t := range e.GetTargets() {
		epoch.Targets = append(epoch.Targets, EpochTarget{
			Host:        t.GetHost(),
			Peer:        t.GetPeer(),
			CaughtUp:    t.FollowedAgeMs != nil,
			CaughtUpAge: fromMillis(t.GetFollowedAgeMs()),
		})
	}
	return epoch
}

// stateFromProto maps the states on the wire. A state that this version of the program does not know is missing and
// therefore maps to the zero value, AnswerUnknown.
var stateFromProto = map[peerpb.ClaimReply_State]AnswerState{
	peerpb.ClaimReply_STATE_FENCED:  AnswerFenced,
	peerpb.ClaimReply_STATE_RUNNING: AnswerRunning,
	peerpb.ClaimReply_STATE_DONE:    AnswerDone,
	peerpb.ClaimReply_STATE_UNKNOWN: AnswerUnknown,
}

var stateToProto = map[AnswerState]peerpb.ClaimReply_State{
	AnswerFenced:  peerpb.ClaimReply_STATE_FENCED,
	AnswerRunning: peerpb.ClaimReply_STATE_RUNNING,
	AnswerDone:    peerpb.ClaimReply_STATE_DONE,
	AnswerUnknown: peerpb.ClaimReply_STATE_UNKNOWN,
}

func headToProto(response cicadacross.StoredResponse) *peerpb.ReplyHead {
	head := &peerpb.ReplyHead{
		Status:        uint32(response.Status),
		ContentLength: int64(len(response.Body)),
		Replayed:      true,
	}
	for name, values := range response.Header {
		for _, value := range values {
			head.Headers = append(head.Headers, &peerpb.Header{Name: name, Value: value})
		}
	}
	return head
}

func responseFromProto(reply *peerpb.ClaimReply) *cicadacross.StoredResponse {
	response := &cicadacross.StoredResponse{
		Status: int(reply.GetHead().GetStatus()),
		Header: make(http.Header),
		Body:   reply.GetBody(),
	}
	// An empty body arrives as nil, which would mean that the body was not stored.
	if response.Body == nil {
		response.Body = []byte{}
	}
	for _, h := range reply.GetHead().GetHeaders() {
		response.Header[h.GetName()] = append(response.Header[h.GetName()], h.GetValue())
	}
	return response
}

func versionToProto(v cicadacross.Version) *peerpb.Version {
	// The digest of a version is hexadecimal, so decoding cannot fail.
	digest, _ := hex.DecodeString(v.Digest())
	return &peerpb.Version{Number: v.Number(), Digest: digest}
}

func versionFromProto(v *peerpb.Version) cicadacross.Version {
	return cicadacross.NewVersion(v.GetNumber(), hex.EncodeToString(v.GetDigest()))
}

func toMillis(d time.Duration) uint64 { return uint64(max(d, 0).Milliseconds()) }

func fromMillis(ms uint64) time.Duration {
	// Values beyond the range of time.Duration are limited, so that the result is not negative.
	const maxMillis = uint64(1<<63-1) / uint64(time.Millisecond)
	return time.Duration(min(ms, maxMillis)) * time.Millisecond
}
