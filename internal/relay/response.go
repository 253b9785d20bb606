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
	// ChunkSize is the maximum size of a body chunk in one message between daemons, in bytes. The message then fits
	// into a grpc buffer of 32 KB; the next larger buffers have 1 MB.
	ChunkSize = 32<<10 - 64
	// MaxInlineBody is the maximum size of the first part of a body, which is sent in the same message as the head, in
	// bytes. It leaves room for the headers in the message.
	MaxInlineBody = 24 << 10
	// maxStoredBody is the maximum size of a response body that is stored for later attempts with the same key, in
	// bytes.
	maxStoredBody = 64 << 10
)

var chunkBuffers = sync.Pool{New: func() any { return new([ChunkSize]byte) }}

// forwardResponse forwards the upstream's response to the sender. When the request has an idempotency key, it also
// stores the response for later attempts with the key.
func (e *execution) forwardResponse(response *upstream.Response) error {
	defer func() { _ = response.Body.Close() }()
	buffer := chunkBuffers.Get().(*[ChunkSize]byte)
	defer chunkBuffers.Put(buffer)
	t := &responseTransfer{execution: e, response: response}
	t.head = &peerpb.ReplyHead{
		Status:        uint32(response.Status), // #nosec G115
		Headers:       EncodeHeader(response.Header, e.endToEndHeaders()...),
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
		if err := t.sendChunk(buffer[:n]); err != nil {
			return err
		}
	}
}

// endToEndHeaders returns the names of the response headers that an upstream can't keep from the caller.
func (e *execution) endToEndHeaders() []string {
	if e.owner.opts.Dialect == nil {
		return nil
	}
	return e.owner.opts.Dialect.EndToEndHeaders()
}

// responseTransfer is the state of forwarding one response.
type responseTransfer struct {
	execution       *execution
	response        *upstream.Response
	head            *peerpb.ReplyHead // nil after it was sent
	bytesRead       int64             // of the body
	storedBody      []byte            // a copy of the body, as far as read; only with a key
	tooLargeToStore bool              // the body is larger than maxStoredBody
}

// nextReadLimit returns the maximum number of bytes to read for the next message.
func (t *responseTransfer) nextReadLimit() int {
	if t.head != nil {
		return MaxInlineBody
	}
	return ChunkSize
}

// readNext reads the next part of the body into the buffer. It waits for the whole body when that is known to be
// shorter than the buffer, so that the response is sent in one message. Otherwise it returns what has arrived, or with
// a dialect and an unknown length calls readFull for the first part.
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

// readFull reads a response of unknown length until the buffer is full or the body ends, so that a response that breaks
// off early can be replaced by one that the daemon generates. An unwrapped io.ErrUnexpectedEOF comes from io.ReadFull
// and means that the body ended properly; the body reader wraps the error of a truncated body.
func (t *responseTransfer) readFull(buffer []byte) (int, error) {
	n, err := io.ReadFull(t.response.Body, buffer)
	if err == io.ErrUnexpectedEOF { //nolint:errorlint // a wrapped one is a truncated body
		return n, io.EOF
	}
	return n, err
}

func (t *responseTransfer) store(chunk []byte) {
	if t.execution.key == nil || t.tooLargeToStore {
		return
	}
	if len(t.storedBody)+len(chunk) > maxStoredBody {
		t.storedBody, t.tooLargeToStore = nil, true
		return
	}
	t.storedBody = append(t.storedBody, chunk...)
}

// sendChunk sends a part of the body that is not the last one. The first part goes into the message with the head.
func (t *responseTransfer) sendChunk(chunk []byte) error {
	message := &peerpb.ForwardReply{Message: &peerpb.ForwardReply_Chunk{Chunk: chunk}}
	if t.head != nil {
		t.head.Body = chunk
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

// finish stores the complete response if the request has a key, releases the slot and sends the last part of the body
// and the end.
func (t *responseTransfer) finish(lastChunk []byte) error {
	e := t.execution
	if e.key != nil {
		e.key.Done(t.storedResponse())
	}
	e.release(true)
	e.recordServiceTime(t.response.Status, t.bytesRead)
	end := &peerpb.ReplyEnd{Length: uint64(t.bytesRead), Load: e.owner.load(e.head.GetKind())} // #nosec G115
	end.Trailers = EncodeHeader(t.response.Trailer)
	e.recordDecision("answer", "status", t.response.Status, "length", t.bytesRead)
	if t.head != nil {
		t.head.Body, t.head.End = lastChunk, end
		return e.send(&peerpb.ForwardReply{Message: &peerpb.ForwardReply_Head{Head: t.head}})
	}
	if len(lastChunk) > 0 {
		if err := e.send(&peerpb.ForwardReply{Message: &peerpb.ForwardReply_Chunk{Chunk: lastChunk}}); err != nil {
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

// failResponse reports to the sender that the call failed after it may have run: no response arrived, or the response
// is invalid or broke off.
func (e *execution) failResponse(err error) error {
	if e.key != nil {
		e.key.Unknown()
	}
	e.release(false)
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

// ResponseHasNoBody reports whether a response has no body, regardless of its Content-Length.
func ResponseHasNoBody(method string, status int) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}
