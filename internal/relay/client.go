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

// defaultConnectLimit bounds the wait for a connection to another daemon. A daemon that isn't reached within it may be
// behind a partition, and another target is tried while time is left.
const defaultConnectLimit = 300 * time.Millisecond

// ClientOptions configures the side of the relay that sends requests.
type ClientOptions struct {
	Pool *peer.Pool
	// Host is the name of this host; requests for its target go to Local without grpc.
	Host   string
	Local  *Owner
	Timers cicadacross.Timers
	// ConnectLimit bounds the wait for a connection; 0 means 300 ms.
	ConnectLimit time.Duration
	// SilenceLimit is how long nothing may arrive from a daemon that holds requests before the connection is probed;
	// 0 means 500 ms.
	SilenceLimit time.Duration
}

// Client sends requests to the daemons that own the targets. It is safe for concurrent use.
type Client struct {
	opts  ClientOptions
	watch watch
}

// NewClient returns a client. Start begins to look for silent connections.
func NewClient(opts ClientOptions) *Client {
	if opts.ConnectLimit <= 0 {
		opts.ConnectLimit = defaultConnectLimit
	}
	if opts.SilenceLimit <= 0 {
		opts.SilenceLimit = defaultSilenceLimit
	}
	c := &Client{opts: opts}
	c.watch.init(c)
	return c
}

// link is the client's side of a grpc stream or of its in-process counterpart.
type link interface {
	Send(*peerpb.ForwardRequest) error
	Recv() (*peerpb.ForwardReply, error)
}

// Stream is one request on its way. SendChunk and End may run concurrently with Recv. Close must be called.
type Stream struct {
	link   link
	cancel context.CancelFunc
	heard  *heard // nil for the target of this host
	once   sync.Once
}

// Open sends the head to the daemon that owns the target. After an error the request did not run. The stream calls
// cancel, which must end ctx, when it is closed; this happens before the return of an error.
func (c *Client) Open(
	ctx context.Context, cancel context.CancelFunc, target cicadacross.Target, head *peerpb.ForwardHead,
) (*Stream, error) {
	s := &Stream{cancel: cancel}
	err := c.attach(ctx, s, target)
	if err == nil {
		err = s.link.Send(&peerpb.ForwardRequest{Message: &peerpb.ForwardRequest_Head{Head: head}})
	}
	if err != nil {
		s.Close()
		return nil, wrapError("open", KindUnreachable, err, "the head was not sent")
	}
	return s, nil
}

// attach connects the stream with the owner of the target.
func (c *Client) attach(ctx context.Context, s *Stream, target cicadacross.Target) (err error) {
	if c.IsLocal(target) {
		s.link = newPipe(ctx, c.opts.Local)
		return nil
	}
	s.link, err = c.dial(ctx, target.Peer())
	if err == nil {
		s.heard = c.watch.begin(target.Peer())
	}
	return err
}

func (c *Client) dial(ctx context.Context, address string) (link, error) {
	conn, err := c.opts.Pool.Conn(address)
	if err != nil {
		return nil, err
	}
	if err := c.connected(ctx, conn); err != nil {
		return nil, err
	}
	return peerpb.NewRelayClient(conn).Forward(ctx)
}

// connected waits a short while for the connection.
func (c *Client) connected(ctx context.Context, conn *grpc.ClientConn) error {
	state := conn.GetState()
	if state == connectivity.Ready {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, c.opts.ConnectLimit)
	defer cancel()
	for ; state != connectivity.Ready; state = conn.GetState() {
		if state == connectivity.TransientFailure || state == connectivity.Shutdown {
			return newError("connect", KindUnreachable, "connection state %s", state)
		}
		conn.Connect()
		if !conn.WaitForStateChange(ctx, state) {
			return wrapError("connect", KindUnreachable, ctx.Err(), "no connection in time")
		}
	}
	return nil
}

// Confirm lets a request run whose head asked to wait for it. An error means that the stream ended.
func (s *Stream) Confirm() error {
	err := s.link.Send(&peerpb.ForwardRequest{Message: &peerpb.ForwardRequest_Confirm{Confirm: true}})
	if err != nil {
		return wrapError("confirm", KindBroken, err, "the stream ended")
	}
	return nil
}

// IsLocal reports whether requests for the target go to the owner in this process.
func (c *Client) IsLocal(target cicadacross.Target) bool {
	return c.opts.Local != nil && target.Host() == c.opts.Host
}

// SendChunk sends a piece of the body. The piece may be reused afterwards. An error means that the stream ended; Recv
// tells why.
func (s *Stream) SendChunk(piece []byte) error {
	err := s.link.Send(&peerpb.ForwardRequest{Message: &peerpb.ForwardRequest_Chunk{Chunk: piece}})
	if err != nil {
		return wrapError("send", KindBroken, err, "the stream ended")
	}
	return nil
}

// End tells the owner that the body ended after length bytes.
func (s *Stream) End(length int64) error {
	end := &peerpb.ForwardEnd{Length: uint64(length)} // #nosec G115
	err := s.link.Send(&peerpb.ForwardRequest{Message: &peerpb.ForwardRequest_End{End: end}})
	if err != nil {
		return wrapError("send", KindBroken, err, "the stream ended")
	}
	return nil
}

// Recv returns the next message of the owner. It never returns io.EOF: a stream that ends is broken, since a reader
// stops at the last message.
func (s *Stream) Recv() (*peerpb.ForwardReply, error) {
	m, err := s.link.Recv()
	if err == nil {
		if s.heard != nil {
			s.heard.mark()
		}
		return m, nil
	}
	switch status.Code(err) {
	case codes.Unauthenticated, codes.Unimplemented:
		// These come before the owner reads the request.
		return nil, wrapError("receive", KindRejected, err, "the other daemon rejected the call")
	}
	if errors.Is(err, io.EOF) {
		return nil, newError("receive", KindBroken, "the stream ended without a final message")
	}
	return nil, wrapError("receive", KindBroken, err, "the stream broke")
}

// Close ends the stream. Before the final message it cancels the request. It is safe for concurrent use.
func (s *Stream) Close() { s.once.Do(s.close) }

func (s *Stream) close() {
	s.cancel()
	if s.heard != nil {
		s.heard.end()
	}
}
