package upstream

import (
	"bufio"
	"context"
	"net"
	"sync/atomic"
	"syscall"
)

// wire counts the bytes of one TCP connection, so that it is known whether any part of a call was sent or answered.
type wire struct {
	net.Conn
	written atomic.Int64
	read    atomic.Int64
	onClose atomic.Pointer[func()]
	// headLeft is how many bytes may still be read while the head of an answer is awaited; only the reader uses it.
	headLeft int
	inHead   bool
}

func (w *wire) Read(p []byte) (int, error) {
	if w.inHead && w.headLeft <= 0 {
		return 0, newError("read", KindBadReply, "the header of the answer is too large")
	}
	n, err := w.Conn.Read(p)
	w.read.Add(int64(n))
	w.headLeft -= n
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

// quiet reports whether an idle connection is open and has no unread byte. It asks the kernel without waiting.
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

func (u *Upstream) dial(ctx context.Context) (*Connection, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", u.opts.Address)
	if err != nil {
		return nil, wrapError("connect", KindConnect, err, "no new connection to the upstream")
	}
	w := &wire{Conn: conn}
	return &Connection{
		upstream: u, wire: w, lastUsed: u.opts.Timers.Now(), idle: maxIdle,
		reader: bufio.NewReaderSize(w, bufferSize), writer: bufio.NewWriterSize(w, bufferSize),
	}, nil
}
