package relay

import (
	"context"
	"io"
	"sync"

	"cicadacross/internal/peerpb"
)

// upload reads the body of a request as it arrives from the sender. At most two messages are in memory.
type upload struct {
	ctx             context.Context
	session         session
	unread          []byte // the part of the last chunk that Read has not returned
	complete        bool   // the end of the body has arrived
	announcedLength int64  // bytes; -1 when unknown
	receivedLength  int64  // bytes
	messages        chan uploadMessage
	done            chan struct{}
	once            sync.Once
	err             error // returned by every further Read
	receiving       bool  // run has been started
}

type uploadMessage struct {
	request *peerpb.ForwardRequest
	err     error
}

func newUpload(ctx context.Context, s session, head *peerpb.ForwardHead) *upload {
	return &upload{
		ctx: ctx, session: s, unread: head.GetBody(), complete: head.GetComplete(),
		announcedLength: head.GetContentLength(), receivedLength: int64(len(head.GetBody())),
		messages: make(chan uploadMessage), done: make(chan struct{}),
	}
}

func (u *upload) empty() bool { return u.complete && u.receivedLength == 0 }

// Read returns io.EOF only when the body has the announced length.
func (u *upload) Read(p []byte) (int, error) {
	for len(u.unread) == 0 {
		if u.err == nil {
			u.err = u.receiveNext()
		}
		if u.err != nil {
			return 0, u.err
		}
	}
	n := copy(p, u.unread)
	u.unread = u.unread[n:]
	return n, nil
}

// receiveNext waits for the next chunk and stores it as unread. It returns io.EOF at the end of the body.
func (u *upload) receiveNext() error {
	if u.complete {
		return u.checkLength(u.receivedLength)
	}
	if !u.receiving {
		u.receiving = true
		go u.run()
	}
	select {
	case m := <-u.messages:
		return u.handleMessage(m)
	case <-u.done:
		return newError("upload", KindEnded, "the upload was aborted")
	case <-u.ctx.Done():
		return wrapError("upload", KindEnded, context.Cause(u.ctx), "the time ended")
	}
}

// handleMessage stores a chunk as unread. It returns io.EOF for the end of the body, or an error when the stream broke
// or the length is wrong.
func (u *upload) handleMessage(m uploadMessage) error {
	if m.err != nil {
		return wrapError("upload", KindBroken, m.err, "the stream broke before the end of the request body")
	}
	if end := m.request.GetEnd(); end != nil {
		u.complete = true
		return u.checkLength(int64(end.GetLength())) // #nosec G115
	}
	u.unread = m.request.GetChunk()
	u.receivedLength += int64(len(u.unread))
	return nil
}

// checkLength returns io.EOF when the received length equals the length that the sender sent, in bytes, and the
// announced one if that is known.
func (u *upload) checkLength(sent int64) error {
	if sent != u.receivedLength || (u.announcedLength >= 0 && u.announcedLength != u.receivedLength) {
		return newError("upload", KindLength, "%d bytes received, %d sent, %d announced",
			u.receivedLength, sent, u.announcedLength)
	}
	return io.EOF
}

// run receives messages and passes them to receiveNext until the end of the body or of the stream, or until it has a
// message to pass on after abort.
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
