package relay

import (
	"errors"
	"io"
	"net/http"
	"sync"

	"cicadacross"
	"cicadacross/internal/failure"
	"cicadacross/internal/peerpb"
	"cicadacross/internal/upstream"
)

const (
	// ChunkSize is the maximum size of a body chunk in one message between daemons, in bytes. With its envelope, a
	// chunk fits into a 32 KB buffer of grpc, whose next size is 1 MB.
	ChunkSize = 32<<10 - 64
	// MaxInlineBody is the maximum size of the first part of a body that is sent in the same message as the head, in
	// bytes; it leaves room for the headers.
	MaxInlineBody = 24 << 10
	// maxStoredBody is the maximum size of a response body that is stored for later attempts with the same key, in
	// bytes.
	maxStoredBody = 64 << 10
)

var chunkBuffers = sync.Pool{New: func() any { return new([ChunkSize]byte) }}

// forwardResponse forwards the upstream's response to the sender and stores it when the request has a key.
func (e *execution) forwardResponse(response *upstream.Response) error {
	defer func() { _ = response.Body.Close() }()
	buffer := chunkBuffers.Get().(*[ChunkSize]byte)
	defer chunkBuffers.Put(buffer)
	t := &responseTransfer{execution: e, response: response}
	t.head = &peerpb.ReplyHead{
		Status:        uint32(response.Status), // #nosec G115
		Headers:       EncodeHeader(response.Header),
		ContentLength: response.ContentLength,
	}
	for {
		n, err := t.readNext(buffer[:t.nextReadLimit()])
		atEnd := errors.Is(err, io.EOF)
		if err != nil && !atEnd {
			return e.failResponse(err)
		}
		t.bytesRead += int64(n)
		t.store(buffer[:n])
		if atEnd {
			return t.finish(buffer[:n])
		}
		if err := t.sendPiece(buffer[:n]); err != nil {
			return err
		}
	}
}

// responseTransfer is the state of forwarding one response.
type responseTransfer struct {
	execution       *execution
	response        *upstream.Response
	head            *peerpb.ReplyHead // nil after it was sent
	bytesRead       int64
	storedBody      []byte
	tooLargeToStore bool
}

// nextReadLimit returns the maximum number of bytes to read for the next message.
func (t *responseTransfer) nextReadLimit() int {
	if t.head != nil {
		return MaxInlineBody
	}
	return ChunkSize
}

// readNext reads the next part of the body. It fills the buffer with a short response, so that the response is sent in
// one message. It returns the parts of a long response, or of one of unknown length, as they arrive.
func (t *responseTransfer) readNext(buffer []byte) (int, error) {
	short := t.head != nil && t.response.ContentLength >= 0 && t.response.ContentLength < int64(len(buffer))
	if t.execution.owner.opts.Dialect != nil && t.head != nil && t.response.ContentLength < 0 {
		return t.readFull(buffer)
	}
	if !short {
		return t.response.Body.Read(buffer)
	}
	n, err := io.ReadFull(t.response.Body, buffer)
	if errors.Is(err, io.ErrUnexpectedEOF) && int64(n) == t.response.ContentLength {
		return n, io.EOF
	}
	return n, err
}

// readFull fills the buffer with a response of unknown length, so that a response that breaks off early can be replaced
// by one that the daemon generates. An unwrapped io.ErrUnexpectedEOF comes from io.ReadFull and means that the body
// ended properly; the body reader wraps the error of a truncated body.
func (t *responseTransfer) readFull(buffer []byte) (int, error) {
	n, err := io.ReadFull(t.response.Body, buffer)
	if err == io.ErrUnexpectedEOF { //nolint:errorlint // a wrapped one is a truncated body
		return n, io.EOF
	}
	return n, err
}

func (t *responseTransfer) store(piece []byte) {
	if t.execution.key == nil || t.tooLargeToStore {
		return
	}
	if len(t.storedBody)+len(piece) > maxStoredBody {
		t.storedBody, t.tooLargeToStore = nil, true
		return
	}
	t.storedBody = append(t.storedBody, piece...)
}

// sendPiece sends a part of the body that is not the last one.
func (t *responseTransfer) sendPiece(piece []byte) error {
	message := &peerpb.ForwardReply{Message: &peerpb.ForwardReply_Chunk{Chunk: piece}}
	if t.head != nil {
		t.head.Body = piece
		message.Message = &peerpb.ForwardReply_Head{Head: t.head}
		t.head = nil
	}
	err := t.execution.send(message)
	if err != nil && t.execution.key != nil {
		// The ingress daemon is disconnected; the rest is read to store it for later attempts with the key.
		t.execution.senderGone = true
		return nil
	}
	return err
}

// finish stores the complete response, releases the slot and sends the last message.
func (t *responseTransfer) finish(piece []byte) error {
	e := t.execution
	if e.key != nil {
		e.key.Done(t.storedResponse())
	}
	e.release()
	end := &peerpb.ReplyEnd{Length: uint64(t.bytesRead), Load: e.owner.load(e.head.GetKind())} // #nosec G115
	end.Trailers = EncodeHeader(t.response.Trailer)
	e.record("answer", "status", t.response.Status, "length", t.bytesRead)
	if t.head != nil {
		t.head.Body, t.head.End = piece, end
		return e.send(&peerpb.ForwardReply{Message: &peerpb.ForwardReply_Head{Head: t.head}})
	}
	if len(piece) > 0 {
		if err := e.send(&peerpb.ForwardReply{Message: &peerpb.ForwardReply_Chunk{Chunk: piece}}); err != nil {
			return err
		}
	}
	return e.send(&peerpb.ForwardReply{Message: &peerpb.ForwardReply_End{End: end}})
}

func (t *responseTransfer) storedResponse() cicadacross.StoredResponse {
	stored := cicadacross.StoredResponse{Status: t.response.Status, Header: t.response.Header}
	if !t.tooLargeToStore {
		stored.Body = append([]byte{}, t.storedBody...)
	}
	return stored
}

// sendStored answers with the stored response to an earlier attempt.
func (e *execution) sendStored(stored *cicadacross.StoredResponse) error {
	head := &peerpb.ReplyHead{
		Status:        uint32(stored.Status), // #nosec G115
		Headers:       EncodeHeader(stored.Header),
		ContentLength: int64(len(stored.Body)),
		Replayed:      true,
		Body:          stored.Body,
		End:           &peerpb.ReplyEnd{Length: uint64(len(stored.Body)), Load: e.owner.load(e.head.GetKind())},
	}
	return e.send(&peerpb.ForwardReply{Message: &peerpb.ForwardReply_Head{Head: head}})
}

// failResponse reports that the response broke off.
func (e *execution) failResponse(err error) error {
	if e.key != nil {
		e.key.Unknown()
	}
	e.release()
	return e.fail(e.failureKind(err), err.Error())
}

func (e *execution) failureKind(err error) string {
	if e.preempted.Load() {
		return FailurePreempted
	}
	kind, _ := failure.KindOf[upstream.Kind](err)
	switch {
	case kind == upstream.KindSilent, kind == upstream.KindTimeout:
		return FailureTimeout
	case kind == upstream.KindBroken && e.owner.opts.Upstream.State().Down:
		return FailureCrashed
	}
	return FailureBroken
}

// Bodyless reports whether a response has no body whatever its Content-Length says.
func Bodyless(method string, status int) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}
