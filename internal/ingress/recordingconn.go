package ingress

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/rcrowley/go-metrics"
)

type connKey struct{}

var headerEnd = []byte("\r\n\r\n")

// recordingListener accepts connections that record the raw bytes of the current request header.
type recordingListener struct {
	net.Listener
	accepted metrics.Counter // may be nil
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
	return &recordingConn{Conn: conn}, nil
}

// recordingConn records the header that was read since the last call of resetHeader. net/http drops the Content-Length
// of a request that also has a Transfer-Encoding, so only the raw bytes show that both were sent.
type recordingConn struct {
	net.Conn
	mu       sync.Mutex
	header   []byte
	complete bool // the header is complete or too large to record
}

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
	c.header = append(c.header, p[:n]...)
	c.complete = len(c.header) > maxHeaderReadSize || bytes.Contains(c.header[searchFrom:], headerEnd)
	return n, err
}

// resetHeader discards the recorded bytes at the end of a request.
func (c *recordingConn) resetHeader() {
	c.mu.Lock()
	c.header, c.complete = c.header[:0], false
	c.mu.Unlock()
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
