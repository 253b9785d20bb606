package upstream

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
)

// wire counts the bytes of one TCP connection, so that it is known whether any part of a call was sent or answered.
type wire struct {
	net.Conn
	written atomic.Int64
	read    atomic.Int64
	onClose atomic.Pointer[func()]
}

func (w *wire) Read(p []byte) (int, error) {
	n, err := w.Conn.Read(p)
	w.read.Add(int64(n))
	return n, err
}

func (w *wire) Write(p []byte) (int, error) {
	n, err := w.Conn.Write(p)
	w.written.Add(int64(n))
	return n, err
}

// Close closes the connection and runs the function set by the call in progress.
func (w *wire) Close() error {
	if f := w.onClose.Load(); f != nil {
		(*f)()
	}
	return w.Conn.Close()
}

// quiet reports whether an idle connection is open and has no unread byte. It asks the kernel without taking the read
// lock, which the read loop of net/http holds.
func (w *wire) quiet() bool {
	conn, ok := w.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	var peekErr error
	var buf [1]byte
	err = raw.Control(func(fd uintptr) {
		_, _, peekErr = syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && peekErr == syscall.EAGAIN
}

type wireKey struct{}

// newTransport returns a transport that only serves to wrap connections that this package dialed.
func newTransport() *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return ctx.Value(wireKey{}).(*wire), nil
		},
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxReplyHeader,
		ReadBufferSize:         bufferSize,
		WriteBufferSize:        bufferSize,
	}
}

func (u *Upstream) dial(ctx context.Context) (*Connection, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", u.opts.Address)
	if err != nil {
		return nil, wrapError("connect", KindConnect, err, "no new connection to the upstream")
	}
	w := &wire{Conn: conn}
	client, err := u.transport.NewClientConn(context.WithValue(ctx, wireKey{}, w), "http", u.opts.Address)
	if err != nil {
		_ = w.Close()
		return nil, wrapError("connect", KindConnect, err, "no new connection to the upstream")
	}
	return &Connection{upstream: u, client: client, wire: w, lastUsed: u.opts.Timers.Now()}, nil
}
