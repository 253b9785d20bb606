package ingress

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"cicadacross/internal/relay"
)

// replaySize is how much of a body is kept for another attempt, in bytes.
const replaySize = 64 << 10

// markedReplaySize is the same for callers that mark their requests in a dialect, whose uploads have up to 360 KB.
const markedReplaySize = 512 << 10

// replayBody is the body of a caller's request. Its start is read before the first attempt and kept, so that a request
// with a short body can be sent again and no slot is held while a short body arrives.
type replayBody struct {
	source io.Reader
	start  []byte
	whole  bool // start is the whole body
	length int64
	passed int64 // bytes read beyond start
	// inlineSize is how much of start travels with the head.
	inlineSize int
}

// readStart reads the start of the body.
func readStart(r *http.Request, replaySize int64) (*replayBody, error) {
	b := &replayBody{source: r.Body, length: r.ContentLength, inlineSize: relay.MaxInlineBody}
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		b.whole = true
		return b, nil
	}
	if r.ContentLength > 0 && r.ContentLength <= replaySize {
		b.start = make([]byte, r.ContentLength)
		if _, err := io.ReadFull(r.Body, b.start); err != nil {
			return nil, wrapError("read", KindBody, err, "the body ended early")
		}
		b.whole = true
		return b, nil
	}
	start, err := io.ReadAll(io.LimitReader(r.Body, replaySize))
	if err != nil {
		return nil, wrapError("read", KindBody, err, "the body ended early")
	}
	b.start = slices.Clip(start)
	b.whole = int64(len(start)) < replaySize
	if b.whole {
		b.length = int64(len(start))
	}
	return b, nil
}

// replayable reports whether the body can be sent once more.
func (b *replayBody) replayable() bool { return b.passed == 0 }

// inline returns the part of the body that travels with the head.
func (b *replayBody) inline() []byte { return b.start[:min(len(b.start), b.inlineSize)] }

// allInline reports whether the whole body travels with the head.
func (b *replayBody) allInline() bool { return b.whole && len(b.start) <= b.inlineSize }

// holdBack keeps a body from travelling with the head, since several owners may be asked before one takes the request.
func (b *replayBody) holdBack() {
	if len(b.start) > heldBackSize {
		b.inlineSize = 0
	}
}

// heldBackSize is the size from which a body is held back, in bytes: above it the bytes of one more ask cost more than
// the time for one more message.
const heldBackSize = 2 << 10

// uploader sends the rest of a body while the answer is awaited.
type uploader struct {
	body   *replayBody
	stream *relay.Stream
	done   chan struct{}
}

// run sends the rest of the body. A body that breaks off ends the stream without its end message, so that the owner
// never takes it for whole.
func (u *uploader) run() {
	defer close(u.done)
	for piece := range slices.Chunk(u.body.start[len(u.body.inline()):], relay.ChunkSize) {
		if u.stream.SendChunk(piece) != nil {
			return
		}
	}
	if u.body.whole {
		_ = u.stream.End(int64(len(u.body.start)))
		return
	}
	u.passOn()
}

// passOn sends what the caller sends.
func (u *uploader) passOn() {
	buffer := make([]byte, relay.ChunkSize)
	for {
		n, err := u.body.source.Read(buffer)
		u.body.passed += int64(n)
		if n > 0 && u.stream.SendChunk(buffer[:n]) != nil {
			return
		}
		if errors.Is(err, io.EOF) {
			_ = u.stream.End(int64(len(u.body.start)) + u.body.passed)
			return
		}
		if err != nil {
			u.stream.Close()
			return
		}
	}
}

// stop waits for the end of run. It ends a wait for the caller's bytes by closing the read side of the connection,
// which the HTTP server then doesn't use again.
func (u *uploader) stop(w http.ResponseWriter) {
	select {
	case <-u.done:
		return
	default:
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
	<-u.done
}
