package ingress

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"cicadacross/internal/relay"
)

// defaultReplaySize is how much of a body is kept for another attempt without a dialect, in bytes.
const defaultReplaySize = 64 << 10

// dialectReplaySize is how much of a body is kept with a dialect, whose callers upload up to 360 KB, in bytes.
const dialectReplaySize = 512 << 10

// requestBody is the body of a caller's request. Its start is read before the first attempt and kept, so that a request
// with a short body can be sent again and no slot is held while a short body arrives.
type requestBody struct {
	source   io.Reader
	start    []byte
	complete bool  // start is the whole body
	length   int64 // bytes of the whole body; -1 if unknown
	streamed int64 // bytes read after start
	// maxInline is how much of start is sent with the head, in bytes.
	maxInline int
}

// readBodyStart reads the start of the body, up to replaySize bytes.
func readBodyStart(r *http.Request, replaySize int64) (*requestBody, error) {
	b := &requestBody{source: r.Body, length: r.ContentLength, maxInline: relay.MaxInlineBody}
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		b.complete = true
		return b, nil
	}
	if r.ContentLength > 0 && r.ContentLength <= replaySize {
		b.start = make([]byte, r.ContentLength)
		if _, err := io.ReadFull(r.Body, b.start); err != nil {
			return nil, wrapError("read", KindBody, err, "the body ended early")
		}
		b.complete = true
		return b, nil
	}
	start, err := io.ReadAll(io.LimitReader(r.Body, replaySize))
	if err != nil {
		return nil, wrapError("read", KindBody, err, "the body ended early")
	}
	b.start = slices.Clip(start)
	b.complete = int64(len(start)) < replaySize
	if b.complete {
		b.length = int64(len(start))
	}
	return b, nil
}

// replayable reports whether the body can be sent again.
func (b *requestBody) replayable() bool { return b.streamed == 0 }

// inline returns the part of the body that is sent with the head.
func (b *requestBody) inline() []byte { return b.start[:min(len(b.start), b.maxInline)] }

// fitsInline reports whether the whole body is sent with the head.
func (b *requestBody) fitsInline() bool { return b.complete && len(b.start) <= b.maxInline }

// deferLargeBody keeps a large body out of the head, since several owners may be asked before one accepts the request.
func (b *requestBody) deferLargeBody() {
	if len(b.start) > maxUndeferredSize {
		b.maxInline = 0
	}
}

// maxUndeferredSize is the size above which a body is deferred, in bytes. Above it, sending the body to one more owner
// costs more than the delay of one more message.
const maxUndeferredSize = 2 << 10

// uploader sends the rest of a body while the response is awaited.
type uploader struct {
	body   *requestBody
	stream *relay.Stream
	done   chan struct{}
}

// run sends the rest of the body. When the body ends early, the stream ends without its end message, so that the owner
// never mistakes the body for a complete one.
func (u *uploader) run() {
	defer close(u.done)
	for chunk := range slices.Chunk(u.body.start[len(u.body.inline()):], relay.ChunkSize) {
		if u.stream.SendChunk(chunk) != nil {
			return
		}
	}
	if u.body.complete {
		_ = u.stream.End(int64(len(u.body.start)))
		return
	}
	u.streamRest()
}

// streamRest sends the body as it arrives from the caller.
func (u *uploader) streamRest() {
	buffer := make([]byte, relay.ChunkSize)
	for {
		n, err := u.body.source.Read(buffer)
		u.body.streamed += int64(n)
		if n > 0 && u.stream.SendChunk(buffer[:n]) != nil {
			return
		}
		if errors.Is(err, io.EOF) {
			_ = u.stream.End(int64(len(u.body.start)) + u.body.streamed)
			return
		}
		if err != nil {
			u.stream.Close()
			return
		}
	}
}

// stop waits for the end of run, which the end of the stream causes unless run waits for the caller's bytes. It
// interrupts that wait with a read deadline in the past. The HTTP server then cancels the context of the connection,
// which is therefore closed after the response.
func (u *uploader) stop(w http.ResponseWriter) {
	if u.body.complete {
		<-u.done
		return
	}
	select {
	case <-u.done:
		return
	default:
	}
	w.Header()["Connection"] = []string{"close"}
	_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
	<-u.done
}
