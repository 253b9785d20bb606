package ingress

import (
	"errors"
	"io"
	"net/http"

	"cicadacross/internal/relay"
)

// defaultReplaySize is how much of a body is kept for another attempt without a dialect, in bytes.
const defaultReplaySize = 64 << 10

// dialectReplaySize is how much of a body is kept with a dialect, whose callers upload up to 360 KB, in bytes.
const dialectReplaySize = 512 << 10

// replaySizeLimit returns how much of a body is kept for another attempt, in bytes.
func (s *Server) replaySizeLimit() int64 {
	if s.opts.Dialect != nil {
		return dialectReplaySize
	}
	return defaultReplaySize
}

// requestBody is the body of a caller's request. Its start is read before the first attempt and kept, so that a request
// with a short body can be sent again and no slot is held while a short body arrives.
type requestBody struct {
	source *bodySource // nil when there is no body
	// start is the kept part in segments of at most relay.ChunkSize bytes, each allocated when the one before is full.
	start    [][]byte
	size     int64 // bytes in start
	complete bool  // start is the whole body
	length   int64 // bytes of the whole body; -1 if unknown
	streamed int64 // bytes read after start
	failed   bool  // reading the rest after start failed
	// maxInline is how much of start is sent with the head, in bytes.
	maxInline int
}

// readBodyStart reads the start of the body of the length, up to replaySize bytes; -1 means an unknown length.
func readBodyStart(source *bodySource, length, replaySize int64) (*requestBody, error) {
	b := &requestBody{source: source, length: length, maxInline: relay.MaxInlineBody}
	limit := replaySize
	if length >= 0 {
		limit = min(limit, length)
	}
	for b.size < limit {
		err := b.readSegment(limit - b.size)
		if errors.Is(err, io.EOF) && length < 0 {
			b.complete, b.length = true, b.size
			return b, nil
		}
		if err != nil {
			return nil, wrapError("read", KindBody, err, "the body ended early")
		}
	}
	b.complete = b.size == length
	if !b.complete {
		// The rest is passed on in one buffer.
		source.limitBuffer()
		return b, source.hold.Grow(relay.ChunkSize + streamedReceiveBuffer)
	}
	return b, nil
}

// readSegment fills one more segment with at most limit bytes. The first segment begins small, since a caller may
// announce more than it sends.
func (b *requestBody) readSegment(limit int64) error {
	size := min(limit, relay.ChunkSize)
	capacity := size
	if len(b.start) == 0 {
		capacity = min(size, firstSegmentSize)
	}
	if err := b.source.hold.Grow(capacity); err != nil {
		return err
	}
	segment := make([]byte, 0, capacity)
	b.start = append(b.start, segment)
	for int64(len(segment)) < size {
		if len(segment) == cap(segment) {
			added := min(size, 2*int64(cap(segment))) - int64(cap(segment))
			if err := b.source.hold.Grow(added); err != nil {
				return err
			}
			segment = append(make([]byte, 0, int64(cap(segment))+added), segment...)
		}
		n, err := b.source.Read(segment[len(segment):cap(segment)])
		segment = segment[:len(segment)+n]
		b.start[len(b.start)-1] = segment
		b.size += int64(n)
		if err != nil && (int64(len(segment)) < size || !errors.Is(err, io.EOF)) {
			return err
		}
	}
	return nil
}

// firstSegmentSize is the initial size of the first segment, in bytes.
const firstSegmentSize = 4 << 10

// replayable reports whether the body can be sent again.
func (b *requestBody) replayable() bool { return b.streamed == 0 && !b.failed }

// first returns the first segment, or nil.
func (b *requestBody) first() []byte {
	if len(b.start) == 0 {
		return nil
	}
	return b.start[0]
}

// inline returns the part of the body that is sent with the head.
func (b *requestBody) inline() []byte { return b.first()[:min(len(b.first()), b.maxInline)] }

// fitsInline reports whether the whole body is sent with the head.
func (b *requestBody) fitsInline() bool { return b.complete && b.size <= int64(b.maxInline) }

// deferLargeBody keeps a large body out of the head, since several owners may be asked before one accepts the request.
func (b *requestBody) deferLargeBody() {
	if b.size > maxUndeferredSize {
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
	unsent := u.body.first()[len(u.body.inline()):]
	for i := range u.body.start {
		if i > 0 {
			unsent = u.body.start[i]
		}
		if len(unsent) > 0 && u.stream.SendChunk(unsent) != nil {
			return
		}
	}
	if u.body.complete {
		_ = u.stream.End(u.body.size)
		return
	}
	u.streamRest()
}

// streamRest sends the body as it arrives from the caller.
func (u *uploader) streamRest() {
	buffer := make([]byte, relay.ChunkSize)
	u.body.source.hold.Resume()
	for {
		n, err := u.body.source.Read(buffer)
		u.body.streamed += int64(n)
		if n > 0 && u.stream.SendChunk(buffer[:n]) != nil {
			return
		}
		if errors.Is(err, io.EOF) {
			u.body.source.end()
			_ = u.stream.End(u.body.size + u.body.streamed)
			return
		}
		if err != nil {
			u.body.failed = true
			u.stream.Close()
			return
		}
	}
}

// stop waits for the end of run, which the end of the stream causes unless run waits for the caller's bytes. It
// interrupts that wait. The HTTP server then cancels the context of the connection, which is therefore closed after the
// response.
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
	u.body.source.interrupt()
	<-u.done
}
