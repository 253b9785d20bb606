package relay

import (
	"context"
	"io"
	"slices"

	"cicadacross/internal/peerpb"
)

// pipe is the in-process counterpart of a grpc stream, for requests to the target of this host.
type pipe struct {
	ctx      context.Context
	owner    *Owner
	requests chan *peerpb.ForwardRequest
	replies  chan *peerpb.ForwardReply
	done     chan struct{}
	err      error // set before done is closed
}

// newPipe starts a request at the owner. The pipe buffers at most one message in each direction.
func newPipe(ctx context.Context, owner *Owner) *pipe {
	p := &pipe{
		ctx: ctx, owner: owner,
		requests: make(chan *peerpb.ForwardRequest, 1),
		replies:  make(chan *peerpb.ForwardReply, 1),
		done:     make(chan struct{}),
	}
	go p.run()
	return p
}

func (p *pipe) run() {
	p.err = p.owner.serve(ownerSide{p})
	close(p.done)
}

// Send sends a message to the owner. It copies a chunk, as grpc does by encoding it.
func (p *pipe) Send(m *peerpb.ForwardRequest) error {
	if chunk := m.GetChunk(); chunk != nil {
		m.Message = &peerpb.ForwardRequest_Chunk{Chunk: slices.Clone(chunk)}
	}
	select {
	case p.requests <- m:
		return nil
	case <-p.done:
		return io.EOF
	case <-p.ctx.Done():
		return p.ctx.Err()
	}
}

// Recv returns the next message from the owner. Messages that the owner sent before it ended are returned first.
func (p *pipe) Recv() (*peerpb.ForwardReply, error) {
	select {
	case m := <-p.replies:
		return m, nil
	case <-p.ctx.Done():
		return nil, p.ctx.Err()
	case <-p.done:
	}
	select {
	case m := <-p.replies:
		return m, nil
	default:
	}
	if p.err != nil {
		return nil, p.err
	}
	return nil, io.EOF
}

// ownerSide is the owner side of a pipe.
type ownerSide struct{ p *pipe }

func (e ownerSide) Context() context.Context { return e.p.ctx }

func (e ownerSide) Recv() (*peerpb.ForwardRequest, error) {
	select {
	case m := <-e.p.requests:
		return m, nil
	case <-e.p.ctx.Done():
		return nil, e.p.ctx.Err()
	}
}

func (e ownerSide) Send(m *peerpb.ForwardReply) error {
	switch body := m.GetMessage().(type) {
	case *peerpb.ForwardReply_Chunk:
		body.Chunk = slices.Clone(body.Chunk)
	case *peerpb.ForwardReply_Head:
		body.Head.Body = slices.Clone(body.Head.GetBody())
	}
	select {
	case e.p.replies <- m:
		return nil
	case <-e.p.ctx.Done():
		return e.p.ctx.Err()
	}
}
