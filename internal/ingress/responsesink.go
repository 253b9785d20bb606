package ingress

import (
	"errors"
	"net/http"
	"os"
	"sync"
	"time"

	"cicadacross/internal/quota"
	"cicadacross/internal/relay"
)

const (
	// maxBufferedResponse is how much of a response of another daemon is buffered while its caller doesn't read, in
	// bytes: a chunk and what the flow control of the stream allows.
	maxBufferedResponse = relay.ChunkSize + 256<<10
	// maxBufferedLocalResponse is the same for a response of the upstream on this host: the chunks that are read, in the
	// pipe and written.
	maxBufferedLocalResponse = 3 * relay.ChunkSize
)

// responseSink limits the time and the memory of a response that a caller reads slowly. A nil responseSink has no
// limits.
type responseSink struct {
	control      *http.ResponseController
	hold         *quota.Hold
	size         int64 // bytes that are counted for the response
	end          time.Time
	stallTimeout time.Duration // 0 means none
	stalled      *limitEvent

	mu sync.Mutex
	// interrupted is set when the response is evicted, closed by close. The write deadline isn't changed by limitWrite
	// afterwards.
	interrupted bool
	closed      bool
}

// newResponseSink returns the sink of a response of the length; -1 means an unknown length. close must be called.
func (a *attempt) newResponseSink(length int64) *responseSink {
	r := &responseSink{
		control: http.NewResponseController(a.w), size: maxBufferedResponse, stallTimeout: a.server.opts.StallTimeout,
		stalled: a.server.events.responseStalled,
		end:     time.Now().Add(a.server.remaining(a.req) + writeGracePeriod),
	}
	if a.server.opts.Client.IsLocal(a.target) {
		r.size = maxBufferedLocalResponse
	}
	if length >= 0 {
		r.size = min(r.size, length)
	}
	r.hold = a.server.opts.Quota.Open(quota.HoldOptions{Use: quota.UseResponse, Evict: r.interrupt})
	return r
}

// reserve counts the memory of the response. It returns an error when no memory is left.
func (r *responseSink) reserve() error { return r.hold.Grow(r.size) }

// limitWrite sets the write deadline for the next bytes.
func (r *responseSink) limitWrite() {
	if r == nil {
		return
	}
	// A response that waits for its upstream can't be evicted.
	r.hold.Resume()
	limit := r.end
	if stalled := time.Now().Add(r.stallTimeout); r.stallTimeout > 0 && stalled.Before(limit) {
		limit = stalled
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.interrupted {
		_ = r.control.SetWriteDeadline(limit)
	}
}

// recordWrite records the result of the write after limitWrite.
func (r *responseSink) recordWrite(err error) {
	switch {
	case r == nil:
	case err == nil:
		r.hold.Pause()
	case errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(r.end):
		r.stalled.record()
	}
}

// interrupt makes the current and all further writes fail.
func (r *responseSink) interrupt() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		r.interrupted = true
		_ = r.control.SetWriteDeadline(time.Unix(1, 0))
	}
}

// close releases the memory. With a stall timeout, the last write deadline also applies to the bytes that the HTTP
// server has buffered.
func (r *responseSink) close() {
	r.hold.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	if !r.interrupted && r.stallTimeout == 0 {
		_ = r.control.SetWriteDeadline(time.Time{})
	}
}

// limitWrite sets the write deadline for a response that is written in one piece.
func (s *Server) limitWrite(w http.ResponseWriter) {
	if s.opts.StallTimeout > 0 {
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(s.opts.StallTimeout))
	}
}

// resetWriteLimit removes the write deadline that the previous response on the connection has left.
func (s *Server) resetWriteLimit(w http.ResponseWriter) {
	if s.opts.StallTimeout > 0 {
		_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
	}
}
