package relay

import (
	"context"
	"io"
	"sync"

	"cicadacross/internal/peerpb"
)

// upload is the body of a request on its way to the upstream. At most two messages are in memory.
type upload struct {
	ctx      context.Context
	session  session
	rest     []byte
	complete bool
	length   int64 // announced; -1 when unknown
	received int64
	messages chan uploadMessage
	done     chan struct{}
	once     sync.Once
	err      error
	running  bool
}

type uploadMessage struct {
	request *peerpb.ForwardRequest
	err     error
}

func newUpload(ctx context.Context, s session, head *peerpb.ForwardHead) *upload {
	return &upload{
		ctx: ctx, session: s, rest: head.GetBody(), complete: head.GetComplete(), length: head.GetContentLength(),
		received: int64(len(head.GetBody())), messages: make(chan uploadMessage), done: make(chan struct{}),
	}
}

func (u *upload) empty() bool { return u.complete && u.received == 0 }

// Read returns io.EOF only when the body has the announced length.
func (u *upload) Read(p []byte) (int, error) {
	for len(u.rest) == 0 {
		if u.err == nil {
			u.err = u.next()
		}
		if u.err != nil {
			return 0, u.err
		}
	}
	n := copy(p, u.rest)
	u.rest = u.rest[n:]
	return n, nil
}

// next waits for the next chunk.
func (u *upload) next() error {
	if u.complete {
		return u.verify(u.received)
	}
	if !u.running {
		u.running = true
		go u.run()
	}
	select {
	case m := <-u.messages:
		return u.take(m)
	case <-u.done:
		return newError("upload", KindEnded, "the upload was given up")
	case <-u.ctx.Done():
		return wrapError("upload", KindEnded, context.Cause(u.ctx), "the time ended")
	}
}

func (u *upload) take(m uploadMessage) error {
	if m.err != nil {
		return wrapError("upload", KindBroken, m.err, "the stream broke before the end of the body")
	}
	if end := m.request.GetEnd(); end != nil {
		u.complete = true
		return u.verify(int64(end.GetLength())) // #nosec G115
	}
	u.rest = m.request.GetChunk()
	u.received += int64(len(u.rest))
	return nil
}

func (u *upload) verify(sent int64) error {
	if sent != u.received || (u.length >= 0 && u.length != u.received) {
		return newError("upload", KindLength, "%d bytes received, %d sent, %d announced", u.received, sent, u.length)
	}
	return io.EOF
}

// run receives messages until the end of the body or of the stream.
func (u *upload) run() {
	for {
		request, err := u.session.Recv()
		select {
		case u.messages <- uploadMessage{request: request, err: err}:
		case <-u.done:
			return
		}
		if err != nil || request.GetEnd() != nil {
			return
		}
	}
}

// abort unblocks Read.
func (u *upload) abort() { u.once.Do(func() { close(u.done) }) }

func (u *upload) close() { u.abort() }
