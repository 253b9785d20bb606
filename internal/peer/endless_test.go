package peer_test

import (
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"gotest.tools/v3/assert"

	"cicadacross/internal/peer"
	"cicadacross/internal/peerpb"
)

const fleetKey = "a key for tests only"

// endlessPeer accepts connections and sends on each of them, as soon as a call arrives, bytes without end.
type endlessPeer struct {
	listener net.Listener
	send     func(conn net.Conn, framer *http2.Framer) error
	sent     atomic.Int64
}

func (p *endlessPeer) run() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		c := &endlessConn{Conn: conn, peer: p}
		go c.run()
	}
}

// endlessConn is a connection to an endlessPeer. It counts the bytes that it sends.
type endlessConn struct {
	net.Conn
	peer *endlessPeer
}

func (c *endlessConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.peer.sent.Add(int64(n))
	return n, err
}

func (c *endlessConn) run() {
	defer func() { _ = c.Close() }()
	framer := http2.NewFramer(c, c)
	if framer.WriteSettings() != nil {
		return
	}
	if _, err := io.ReadFull(c, make([]byte, len(http2.ClientPreface))); err != nil {
		return
	}
	for {
		frame, err := framer.ReadFrame()
		if err != nil {
			return
		}
		if frame.Header().Type == http2.FrameHeaders {
			break
		}
	}
	for c.peer.send(c, framer) == nil {
	}
}

// Guards against bytes without end from another daemon, or from another program at its address, that fill the memory of
// a daemon or keep its calls waiting although they can be distinguished from a reply.
func TestBytesWithoutEndAreNoReply(t *testing.T) {
	// literalField is a header field of HPACK that isn't indexed: a name of one byte and a value of 100 bytes.
	literalField := "\x00\x01x\x64" + strings.Repeat("y", 100)
	fragment := []byte(strings.Repeat(literalField, 100))
	began := false
	for name, send := range map[string]func(conn net.Conn, framer *http2.Framer) error{
		"no frames": func(conn net.Conn, _ *http2.Framer) error {
			_, err := conn.Write([]byte(strings.Repeat("\x16\x03\x01garbage", 1000)))
			return err
		},
		"header": func(_ net.Conn, framer *http2.Framer) error {
			if !began {
				began = true
				return framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: fragment})
			}
			return framer.WriteContinuation(1, false, fragment)
		},
		"data before the header": func(_ net.Conn, framer *http2.Framer) error {
			return framer.WriteData(1, false, make([]byte, 16<<10))
		},
		"settings": func(_ net.Conn, framer *http2.Framer) error { return framer.WriteSettings() },
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			p := &endlessPeer{listener: listener, send: send}
			go p.run()
			pool := peer.NewPool(fleetKey)
			defer func() { _ = listener.Close() }()
			defer pool.Close()
			conn, err := pool.Conn(listener.Addr().String())
			assert.NilError(t, err)
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			_, err = peerpb.NewReplicationClient(conn).Warn(ctx, &peerpb.WarnRequest{})
			assert.Assert(t, err != nil)
			if name != "settings" {
				assert.NilError(t, ctx.Err())
			}
			const maxSent = 32 << 20
			assert.Assert(t, p.sent.Load() < maxSent || name == "settings", "%d bytes", p.sent.Load())
		})
	}
}
