package relay

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/status"

	"cicadacross"
	"cicadacross/internal/peer"
	"cicadacross/internal/peerpb"
)

// defaultConnectTimeout limits the wait for a connection to another daemon. A daemon that can't be reached within it
// may be behind a network partition, and another target is tried while time is left.
const defaultConnectTimeout = 300 * time.Millisecond

// ClientOptions configures a Client.
type ClientOptions struct {
	Pool *peer.Pool
	// Host is the name of this host. Requests for its target go to Local without grpc.
	Host   string
	Local  *Owner
	Timers cicadacross.Timers
	// ConnectTimeout is the timeout for connecting to another daemon; 0 means 300 ms.
	ConnectTimeout time.Duration
	// SilenceTimeout is how long a connection with open streams may deliver nothing before it is probed; 0 means 500 ms.
	SilenceTimeout time.Duration
}

// Client sends requests to the daemons that own the targets. It is safe for concurrent use.
type Client struct {
	opts    ClientOptions
	monitor livenessMonitor
}

// NewClient returns a client. Call Start to monitor its connections.
func NewClient(opts ClientOptions) *Client {
	if opts.ConnectTimeout <= 0 {
		opts.ConnectTimeout = defaultConnectTimeout
	}
	if opts.SilenceTimeout <= 0 {
		opts.SilenceTimeout = defaultSilenceTimeout
	}
	c := &Client{opts: opts}
	c.monitor.init(c)
	return c
}

// clientStream is the client side of a grpc stream or of its in-process counterpart.
type clientStream interface {
	Send(*peerpb.ForwardRequest) error
	Recv() (*peerpb.ForwardReply, error)
}

// Stream forwards one request. SendChunk and End may run concurrently with Recv. Close must be called.
type Stream struct {
	stream   clientStream
	cancel   context.CancelFunc
	activity *peerActivity // nil for the target of this host
	once     sync.Once
}

// Open sends the head to the daemon that owns the target. After an error the request did not run. The stream calls
// cancel, which must end ctx, when it is closed; Open closes it before it returns an error.
func (c *Client) Open(
	ctx context.Context, cancel context.CancelFunc, target cicadacross.Target, head *peerpb.ForwardHead,
) (*Stream, error) {
	s := &Stream{cancel: cancel}
	err := c.connect(ctx, s, target)
	if err == nil {
		err = s.stream.Send(&peerpb.ForwardRequest{Message: &peerpb.ForwardRequest_Head{Head: head}})
	}
	if err != nil {
		s.Close()
		return nil, wrapError("open", KindUnreachable, err, "sending the request head failed")
	}
	return s, nil
}

// connect connects the stream to the owner of the target.
func (c *Client) connect(ctx context.Context, s *Stream, target cicadacross.Target) (err error) {
	if c.IsLocal(target) {
		s.stream = newPipe(ctx, c.opts.Local)
		return nil
	}
	s.stream, err = c.dial(ctx, target.Peer())
	if err == nil {
		s.activity = c.monitor.streamOpened(target.Peer())
	}
	return err
}

func (c *Client) dial(ctx context.Context, address string) (clientStream, error) {
	conn, err := c.opts.Pool.Conn(address)
	if err != nil {
		return nil, err
	}
	if err := c.awaitConnection(ctx, conn); err != nil {
		return nil, err
	}
	return peerpb.NewRelayClient(conn).Forward(ctx)
}

// awaitConnection waits for the connection, at most for ConnectTimeout.
func (c *Client) awaitConnection(ctx context.Context, conn *grpc.ClientConn) error {
	state := conn.GetState()
	if state == connectivity.Ready {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, c.opts.ConnectTimeout)
	defer cancel()
	for ; state != connectivity.Ready; state = conn.GetState() {
		if state == connectivity.TransientFailure || state == connectivity.Shutdown {
			return newError("connect", KindUnreachable, "connection state %s", state)
		}
		conn.Connect()
		if !conn.WaitForStateChange(ctx, state) {
			return wrapError("connect", KindUnreachable, ctx.Err(), "no connection within the time limit")
		}
	}
	return nil
}

// Confirm sends the confirmation for which the owner waits before it runs a request whose head asks for one. An error
// means that the stream ended.
func (s *Stream) Confirm() error {
	err := s.stream.Send(&peerpb.ForwardRequest{Message: &peerpb.ForwardRequest_Confirm{Confirm: true}})
	if err != nil {
		return wrapError("confirm", KindBroken, err, "the stream ended")
	}
	return nil
}

// IsLocal reports whether requests for the target go to the owner in this process.
func (c *Client) IsLocal(target cicadacross.Target) bool {
	return c.opts.Local != nil && target.Host() == c.opts.Host
}

// HasHeardSince reports whether a message from the daemon that owns the target arrived after t.
func (c *Client) HasHeardSince(target cicadacross.Target, t time.Time) bool {
	return c.monitor.hasHeardSince(target.Peer(), t)
}

// SendChunk sends a part of the body. The caller may reuse chunk afterwards. An error means that the stream ended; Recv
// returns the reason.
func (s *Stream) SendChunk(chunk []byte) error {
	err := s.stream.Send(&peerpb.ForwardRequest{Message: &peerpb.ForwardRequest_Chunk{Chunk: chunk}})
	if err != nil {
		return wrapError("send", KindBroken, err, "the stream ended")
	}
	return nil
}

// End reports to the owner that the body ended after length bytes. An error means that the stream ended; Recv returns
// the reason.
func (s *Stream) End(length int64) error {
	end := &peerpb.ForwardEnd{Length: uint64(length)} // #nosec G115
	err := s.stream.Send(&peerpb.ForwardRequest{Message: &peerpb.ForwardRequest_End{End: end}})
	if err != nil {
		return wrapError("send", KindBroken, err, "the stream ended")
	}
	return nil
}

// Recv returns the next message from the owner. It never returns io.EOF: a stream that ends is broken, since a reader
// stops at the last message.
func (s *Stream) Recv() (*peerpb.ForwardReply, error) {
	m, err := s.stream.Recv()
	if err == nil {
		if s.activity != nil {
			s.activity.recordReceived()
		}
		return m, nil
	}
	switch status.Code(err) {
	case codes.Unauthenticated, codes.Unimplemented:
		// The owner returns these before it reads the request.
		return nil, wrapError("receive", KindRejected, err, "the other daemon rejected the call")
	}
	if errors.Is(err, io.EOF) {
		return nil, newError("receive", KindBroken, "the stream ended without a final message")
	}
	return nil, wrapError("receive", KindBroken, err, "the stream broke")
}

// Close ends the stream. Called before the final message, it cancels the request. It is safe for concurrent use, and
// calls after the first have no effect.
func (s *Stream) Close() { s.once.Do(s.close) }

func (s *Stream) close() {
	s.cancel()
	if s.activity != nil {
		s.activity.streamClosed()
	}
}
