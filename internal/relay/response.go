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
	// ChunkSize is the largest piece of a body in one message between daemons, in bytes. With its envelope a chunk
	// fits into a 32 KB buffer of grpc, whose next size is 1 MB.
	ChunkSize = 32<<10 - 64
	// MaxInlineBody is the largest start of a body that travels with the head, in bytes; it leaves room for the headers.
	MaxInlineBody = 24 << 10
	// maxKept is the largest body that is kept for later sends of a key, in bytes.
	maxKept = 64 << 10
)

var chunks = sync.Pool{New: func() any { return new([ChunkSize]byte) }}

// answer passes the answer of the upstream on and keeps it when the request has a key.
func (r *run) answer(reply *upstream.Response) error {
	defer func() { _ = reply.Body.Close() }()
	buffer := chunks.Get().(*[ChunkSize]byte)
	defer chunks.Put(buffer)
	t := &transfer{run: r, reply: reply}
	t.head = &peerpb.ReplyHead{
		Status:        uint32(reply.Status), // #nosec G115
		Headers:       EncodeHeader(reply.Header),
		ContentLength: reply.ContentLength,
	}
	for {
		n, err := t.read(buffer[:t.room()])
		atEnd := errors.Is(err, io.EOF)
		if err != nil && !atEnd {
			return r.answerFailed(err)
		}
		t.total += int64(n)
		t.keep(buffer[:n])
		if atEnd {
			return t.finish(buffer[:n])
		}
		if err := t.pass(buffer[:n]); err != nil {
			return err
		}
	}
}

// transfer is the state of one answer on its way.
type transfer struct {
	run     *run
	reply   *upstream.Response
	head    *peerpb.ReplyHead // nil when it is sent
	total   int64
	kept    []byte
	tooLong bool
}

// room returns how much of the buffer the next message takes.
func (t *transfer) room() int {
	if t.head != nil {
		return MaxInlineBody
	}
	return ChunkSize
}

// read fills the buffer with a short answer, so that it travels in one message. It returns pieces of a long answer or
// one of unknown length as they come.
func (t *transfer) read(buffer []byte) (int, error) {
	short := t.head != nil && t.reply.ContentLength >= 0 && t.reply.ContentLength < int64(len(buffer))
	if t.run.owner.opts.Dialect != nil && t.head != nil && t.reply.ContentLength < 0 {
		return t.readWhole(buffer)
	}
	if !short {
		return t.reply.Body.Read(buffer)
	}
	n, err := io.ReadFull(t.reply.Body, buffer)
	if errors.Is(err, io.ErrUnexpectedEOF) && int64(n) == t.reply.ContentLength {
		return n, io.EOF
	}
	return n, err
}

// readWhole fills the buffer with an answer of unknown length, so that one that breaks off early can be replaced by an
// answer of the daemon. ReadFull's own sentinel means a proven end; the reader wraps the one of a cut.
func (t *transfer) readWhole(buffer []byte) (int, error) {
	n, err := io.ReadFull(t.reply.Body, buffer)
	if err == io.ErrUnexpectedEOF { //nolint:errorlint // a wrapped one is a cut
		return n, io.EOF
	}
	return n, err
}

func (t *transfer) keep(piece []byte) {
	if t.run.key == nil || t.tooLong {
		return
	}
	if len(t.kept)+len(piece) > maxKept {
		t.kept, t.tooLong = nil, true
		return
	}
	t.kept = append(t.kept, piece...)
}

// pass sends a piece that isn't the last one.
func (t *transfer) pass(piece []byte) error {
	message := &peerpb.ForwardReply{Message: &peerpb.ForwardReply_Chunk{Chunk: piece}}
	if t.head != nil {
		t.head.Body = piece
		message.Message = &peerpb.ForwardReply_Head{Head: t.head}
		t.head = nil
	}
	err := t.run.send(message)
	if err != nil && t.run.key != nil {
		// The ingress daemon is gone; the rest is read for later sends of the key.
		t.run.gone = true
		return nil
	}
	return err
}

// finish records the whole answer, frees the slot and sends the last message.
func (t *transfer) finish(piece []byte) error {
	r := t.run
	if r.key != nil {
		r.key.Done(t.keptReply())
	}
	r.release()
	end := &peerpb.ReplyEnd{Length: uint64(t.total), Load: r.owner.load(r.head.GetKind())} // #nosec G115
	end.Trailers = EncodeHeader(t.reply.Trailer)
	r.record("answer", "status", t.reply.Status, "length", t.total)
	if t.head != nil {
		t.head.Body, t.head.End = piece, end
		return r.send(&peerpb.ForwardReply{Message: &peerpb.ForwardReply_Head{Head: t.head}})
	}
	if len(piece) > 0 {
		if err := r.send(&peerpb.ForwardReply{Message: &peerpb.ForwardReply_Chunk{Chunk: piece}}); err != nil {
			return err
		}
	}
	return r.send(&peerpb.ForwardReply{Message: &peerpb.ForwardReply_End{End: end}})
}

func (t *transfer) keptReply() cicadacross.StoredResponse {
	kept := cicadacross.StoredResponse{Status: t.reply.Status, Header: t.reply.Header}
	if !t.tooLong {
		kept.Body = append([]byte{}, t.kept...)
	}
	return kept
}

// sendKept answers with the kept reply of an earlier send.
func (r *run) sendKept(kept *cicadacross.StoredResponse) error {
	head := &peerpb.ReplyHead{
		Status:        uint32(kept.Status), // #nosec G115
		Headers:       EncodeHeader(kept.Header),
		ContentLength: int64(len(kept.Body)),
		Replayed:      true,
		Body:          kept.Body,
		End:           &peerpb.ReplyEnd{Length: uint64(len(kept.Body)), Load: r.owner.load(r.head.GetKind())},
	}
	return r.send(&peerpb.ForwardReply{Message: &peerpb.ForwardReply_Head{Head: head}})
}

// answerFailed reports an answer that broke off.
func (r *run) answerFailed(err error) error {
	if r.key != nil {
		r.key.Unknown()
	}
	r.release()
	return r.fail(r.failureKind(err), err.Error())
}

func (r *run) failureKind(err error) string {
	if r.preempted.Load() {
		return FailurePreempted
	}
	kind, _ := failure.KindOf[upstream.Kind](err)
	switch {
	case kind == upstream.KindSilent, kind == upstream.KindTimeout:
		return FailureTimeout
	case kind == upstream.KindBroken && r.owner.opts.Upstream.State().Down:
		return FailureCrashed
	}
	return FailureBroken
}

// Bodyless reports whether an answer has no body whatever its Content-Length says.
func Bodyless(method string, status int) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}
