package ingress

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"cicadacross"
	"cicadacross/internal/quota"
)

// minStallProgress is how much of a body must arrive within the stall timeout, in bytes. With the default timeout, a
// link of 7 Mbit/s carries 200 bodies at a time at that rate.
const minStallProgress = 16 << 10

// streamedReceiveBuffer is the size of the receive buffer of a connection whose body is passed on while it arrives, in
// bytes. It bounds what the system keeps for the daemon while no slot is free.
const streamedReceiveBuffer = 128 << 10

// bodySource reads the body of a caller's request. A read fails when the caller sends less than minStallProgress bytes
// within the stall timeout, at the deadline of the request, and after interrupt. Read must not be called concurrently
// with itself.
type bodySource struct {
	body    io.Reader
	conn    net.Conn // nil if unknown
	control *http.ResponseController
	hold    *quota.Hold
	timers  cicadacross.Timers
	stalled *limitEvent

	mu sync.Mutex
	// remaining returns the time within which the next bytes must arrive. It is called without the lock.
	remaining    func() time.Duration
	stallTimeout time.Duration // 0 means none
	// waited is the time for which Read has waited for the last received bytes, of which there are fewer than
	// minStallProgress.
	waited   time.Duration
	received int
	// frozen is set when the read deadline of the connection must not be changed any more.
	frozen bool
}

// Read reads from the body.
func (b *bodySource) Read(p []byte) (int, error) {
	b.limitRead()
	began := b.timers.Now()
	n, err := b.body.Read(p)
	b.recordRead(n, b.timers.Now().Sub(began))
	if errors.Is(err, os.ErrDeadlineExceeded) && b.timeLeft() > 0 {
		b.stalled.record()
	}
	return n, err
}

// recordRead records that n bytes arrived after the wait.
func (b *bodySource) recordRead(n int, wait time.Duration) {
	b.hold.Progress(int64(n))
	b.mu.Lock()
	defer b.mu.Unlock()
	b.received += n
	b.waited += wait
	if b.received >= minStallProgress {
		b.received, b.waited = 0, 0
	}
}

// limitRead sets the read deadline for the next bytes.
func (b *bodySource) limitRead() {
	limit := b.timeLeft()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stallTimeout > 0 {
		limit = min(limit, b.stallTimeout-b.waited)
	}
	if !b.frozen {
		_ = b.control.SetReadDeadline(time.Now().Add(limit))
	}
}

// timeLeft returns the time within which the next bytes must arrive.
func (b *bodySource) timeLeft() time.Duration {
	b.mu.Lock()
	remaining := b.remaining
	b.mu.Unlock()
	return remaining()
}

// passOn replaces the time limit once the start of the body was read and the request is passed on.
func (b *bodySource) passOn(remaining func() time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remaining = remaining
}

// interrupt makes the current and all further calls of Read fail.
func (b *bodySource) interrupt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.frozen {
		b.frozen = true
		_ = b.control.SetReadDeadline(time.Unix(1, 0))
	}
}

// end removes the read deadline after the end of the body, unless Read was interrupted. An expired deadline would
// cancel the request, since the HTTP server reads from the connection to detect that the caller disconnects.
func (b *bodySource) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.frozen {
		b.frozen = true
		_ = b.control.SetReadDeadline(time.Time{})
	}
}

// limitBuffer limits what the system keeps of the body while Read isn't called.
func (b *bodySource) limitBuffer() {
	if conn, ok := b.conn.(interface{ SetReadBuffer(int) error }); ok {
		_ = conn.SetReadBuffer(streamedReceiveBuffer)
	}
}

// close releases the memory of the body at the end of the request. The source may be nil.
func (b *bodySource) close() {
	if b == nil {
		return
	}
	b.mu.Lock()
	b.frozen = true
	b.mu.Unlock()
	b.hold.Close()
}

// newBodySource returns the source of the body of a request. close must be called at the end of the request.
func (s *Server) newBodySource(w http.ResponseWriter, req *request) *bodySource {
	b := &bodySource{
		body: req.http.Body, control: http.NewResponseController(w), stallTimeout: s.opts.StallTimeout,
		stalled: s.events.bodyStalled, timers: s.opts.Timers,
		remaining: func() time.Duration { return s.remainingForBody(req) },
	}
	if conn, ok := req.http.Context().Value(connKey{}).(*recordingConn); ok {
		b.conn = conn.Conn
	}
	b.hold = s.opts.Quota.Open(quota.HoldOptions{
		Use: quota.UseBody, Source: callerAddress(req.http), Evict: b.interrupt,
	})
	return b
}

// callerAddress returns the IP address of the caller, or "" for callers on this host, which the address doesn't
// distinguish.
func callerAddress(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil || net.ParseIP(host).IsLoopback() {
		return ""
	}
	if local, ok := r.Context().Value(http.LocalAddrContextKey).(*net.TCPAddr); ok && local.IP.String() == host {
		return ""
	}
	return host
}
