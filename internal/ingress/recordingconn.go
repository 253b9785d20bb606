package ingress

import (
	"bytes"
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/rcrowley/go-metrics"

	"cicadacross/internal/quota"
	"cicadacross/internal/relay"
)

type connKey struct{}

var headerEnd = []byte("\r\n\r\n")

// recordingListener accepts connections that record the raw bytes of the current request header.
type recordingListener struct {
	net.Listener
	accepted metrics.Counter // may be nil
	quota    *quota.Account  // may be nil
}

// Accept returns the next connection, as a *recordingConn.
func (l recordingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if l.accepted != nil {
		l.accepted.Inc(1)
	}
	return &recordingConn{Conn: conn, quota: l.quota}, nil
}

// recordingConn records the header that was read since the last call of resetHeader. net/http drops the Content-Length
// of a request that also has a Transfer-Encoding, so only the raw bytes show that both were sent.
type recordingConn struct {
	net.Conn
	quota *quota.Account

	// table, listed and idle belong to the connectionTable, whose lock guards the last two.
	table  *connectionTable
	listed bool
	idle   *list.Element

	mu       sync.Mutex
	header   []byte
	complete bool // the header is complete or too large to record
	// cost is the memory of the header, in bytes; counted is the part of it that hold has.
	cost, counted int64
	// hold counts the memory of a large header; nil for others.
	hold *quota.Hold
}

const (
	// maxUncountedHeader is the memory up to which a header isn't counted, in bytes, since the limit of connections bounds
	// the memory of such headers.
	maxUncountedHeader = 8 << 10
	// headerCopies is the number of copies of a header in memory while it arrives.
	headerCopies = 2
	// maxKeptBuffer is the capacity up to which the buffer of a header is kept for the next request, in bytes.
	maxKeptBuffer = 8 << 10
)

func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// Read reads from the connection and records the header.
func (c *recordingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.complete || n == 0 {
		return n, err
	}
	// The end of the header may be split across two reads.
	searchFrom := max(0, len(c.header)-len(headerEnd)+1)
	part := p[:n]
	c.header = append(c.header, part...)
	c.complete = len(c.header) > maxHeaderReadSize
	if i := bytes.Index(c.header[searchFrom:], headerEnd); i >= 0 {
		c.complete = true
		// What follows in the same read belongs to the body.
		part = part[:n-(len(c.header)-searchFrom-i-len(headerEnd))]
	}
	if err := c.countHeader(part); err != nil {
		return 0, err
	}
	if c.complete {
		c.hold.Pause()
	}
	return n, err
}

// countHeader counts the memory of further bytes of the header and of the fields in them. It returns an error when no
// memory is left.
func (c *recordingConn) countHeader(part []byte) error {
	c.cost += int64(headerCopies*len(part) + relay.FieldMemory*bytes.Count(part, []byte("\n")))
	if c.cost <= maxUncountedHeader {
		return nil
	}
	if c.hold == nil {
		c.hold = c.quota.Open(quota.HoldOptions{Use: quota.UseHead, Evict: func() { _ = c.Conn.Close() }})
	}
	c.hold.Progress(int64(len(part)))
	uncounted := c.cost - c.counted
	c.counted = c.cost
	return c.hold.Grow(uncounted)
}

// begin records the begin of a request. It returns false when the connection has been closed because of the limit.
func (c *recordingConn) begin() bool { return c.table == nil || c.table.begin(c) }

// finish discards the recorded bytes at the end of a request.
func (c *recordingConn) finish() {
	c.resetHeader()
	if c.table != nil {
		c.table.finish(c)
	}
}

// Close closes the connection.
func (c *recordingConn) Close() error {
	if c.table != nil {
		c.table.remove(c)
	}
	c.resetHeader()
	return c.Conn.Close()
}

// resetHeader discards the recorded bytes.
func (c *recordingConn) resetHeader() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.header, c.complete = c.header[:0], false
	c.cost, c.counted = 0, 0
	if cap(c.header) > maxKeptBuffer {
		c.header = nil
	}
	c.hold.Close()
	c.hold = nil
}

// hasContentLength reports whether the recorded header has a Content-Length. It may miss that of a pipelined request,
// whose header can be read together with the previous request; net/http then uses the chunked encoding alone, and so
// does the upstream.
func (c *recordingConn) hasContentLength() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	header := c.header
	if i := bytes.Index(header, headerEnd); i >= 0 {
		header = header[:i]
	}
	return bytes.Contains(bytes.ToLower(header), []byte("\ncontent-length:"))
}

// hasConflictingLengths reports whether the request has both a Content-Length and a Transfer-Encoding.
func hasConflictingLengths(r *http.Request) bool {
	if len(r.TransferEncoding) == 0 {
		return false
	}
	c, ok := r.Context().Value(connKey{}).(*recordingConn)
	return ok && c.hasContentLength()
}
