package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
)

// countingConn counts the bytes of one TCP connection, to determine whether any part of a call was sent or answered.
type countingConn struct {
	net.Conn
	written atomic.Int64
	read    atomic.Int64
	onClose atomic.Pointer[func()] // called by Close; nil when there is nothing to call
	// headBytesLeft is how many bytes may still be read while readingHead is set; only the reader uses it.
	headBytesLeft int
	readingHead   bool // the head of a response is awaited
}

func (w *countingConn) Read(p []byte) (int, error) {
	if w.readingHead && w.headBytesLeft <= 0 {
		return 0, newError("read", KindBadResponse, "the response header is too large")
	}
	n, err := w.Conn.Read(p)
	w.read.Add(int64(n))
	w.headBytesLeft -= n
	return n, err
}

func (w *countingConn) Write(p []byte) (int, error) {
	n, err := w.Conn.Write(p)
	w.written.Add(int64(n))
	return n, err
}

// Close calls the onClose function of the call in progress, if any, and closes the connection.
func (w *countingConn) Close() error {
	if f := w.onClose.Load(); f != nil {
		(*f)()
	}
	return w.Conn.Close()
}

// openWithoutData reports whether an idle connection is open and has no unread data. It asks the kernel without
// waiting.
func (w *countingConn) openWithoutData() bool {
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

// wasReset reports whether the connection was reset. A write that takes the error of a reset leaves none for the read,
// which then ends as if the other side had closed the connection. The empty write asks the kernel without waiting.
func (w *countingConn) wasReset() bool {
	conn, ok := w.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	var sendErr error
	err = raw.Control(func(fd uintptr) {
		_, sendErr = syscall.SendmsgN(int(fd), nil, nil, nil, syscall.MSG_DONTWAIT|syscall.MSG_NOSIGNAL)
	})
	return err != nil || errors.Is(sendErr, syscall.EPIPE) || errors.Is(sendErr, syscall.ECONNRESET)
}

func (u *Upstream) dial(ctx context.Context) (*Connection, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", u.opts.Address)
	if err != nil {
		return nil, wrapError("connect", KindConnect, err, "no new connection to the upstream")
	}
	w := &countingConn{Conn: conn}
	return &Connection{
		upstream: u, conn: w, lastUsed: u.opts.Timers.Now(), idleTimeout: defaultIdleTimeout,
		reader: bufio.NewReaderSize(w, bufferSize), writer: bufio.NewWriterSize(w, bufferSize),
	}, nil
}
