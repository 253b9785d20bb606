package roster_test

import (
	"net"
	"sync"
)

// silence is a switch that makes the connections of a listener deliver nothing any more, while they stay open, as those
// of a host that lost power or is behind a partition.
type silence struct {
	begun, released         chan struct{}
	beginOnce, releasedOnce sync.Once
}

func newSilence() *silence {
	return &silence{begun: make(chan struct{}), released: make(chan struct{})}
}

func (s *silence) begin() { s.beginOnce.Do(func() { close(s.begun) }) }

// release ends the calls that are blocked, with an error.
func (s *silence) release() { s.releasedOnce.Do(func() { close(s.released) }) }

// await returns at once before begin was called, and otherwise net.ErrClosed after release.
func (s *silence) await() error {
	select {
	case <-s.begun:
		<-s.released
		return net.ErrClosed
	default:
		return nil
	}
}

type silentListener struct {
	net.Listener
	silence *silence
}

func (l silentListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return silentConn{Conn: conn, silence: l.silence}, nil
}

type silentConn struct {
	net.Conn
	silence *silence
}

func (c silentConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if silent := c.silence.await(); silent != nil {
		return 0, silent
	}
	return n, err
}

func (c silentConn) Write(p []byte) (int, error) {
	if silent := c.silence.await(); silent != nil {
		return 0, silent
	}
	return c.Conn.Write(p)
}
