package ingress

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/rcrowley/go-metrics"
)

type wireKey struct{}

var headerEnd = []byte("\r\n\r\n")

// wireListener accepts connections that remember the raw bytes of the latest request header.
type wireListener struct {
	net.Listener
	accepted metrics.Counter // may be nil
}

// Accept returns the next connection.
func (l wireListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if l.accepted != nil {
		l.accepted.Inc(1)
	}
	return &wire{Conn: conn}, nil
}

// wire remembers the header that was read since the last forget. net/http drops the Content-Length of a request that
// also has a Transfer-Encoding, so only the raw bytes show that both were sent.
type wire struct {
	net.Conn
	mu    sync.Mutex
	head  []byte
	whole bool // head holds the end of the header
}

func withWire(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, wireKey{}, conn)
}

// Read reads from the connection.
func (w *wire) Read(p []byte) (int, error) {
	n, err := w.Conn.Read(p)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.whole || n == 0 {
		return n, err
	}
	// The end of the header may lie across two reads.
	from := max(0, len(w.head)-len(headerEnd)+1)
	w.head = append(w.head, p[:n]...)
	w.whole = len(w.head) > hardMaxHeader || bytes.Contains(w.head[from:], headerEnd)
	return n, err
}

// forget drops the remembered bytes at the end of a request.
func (w *wire) forget() {
	w.mu.Lock()
	w.head, w.whole = w.head[:0], false
	w.mu.Unlock()
}

// hasLength reports whether the remembered header has a Content-Length. It may miss that of a pipelined request, whose
// header can be read together with the one before; net/http then uses the chunks alone, and so does the upstream.
func (w *wire) hasLength() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	head := w.head
	if i := bytes.Index(head, headerEnd); i >= 0 {
		head = head[:i]
	}
	return bytes.Contains(bytes.ToLower(head), []byte("\ncontent-length:"))
}

// conflictingLengths reports whether the request carries both kinds of length.
func conflictingLengths(r *http.Request) bool {
	if len(r.TransferEncoding) == 0 {
		return false
	}
	w, ok := r.Context().Value(wireKey{}).(*wire)
	return ok && w.hasLength()
}
