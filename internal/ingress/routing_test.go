package ingress_test

import (
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	standin "cicadacross/internal/standin/upstream"
)

// Guards against requests for an upstream that reported in a response that it is draining.
func TestDrainingUpstreamGetsNoNewWork(t *testing.T) {
	f := newFleet(t, fleetOptions{})
	f.nodes[0].standin.SetBehavior(standin.Behavior{Draining: true, AlwaysHealthy: true})
	for range 10 {
		assert.Equal(t, f.call(1, "GET", "/pages/a", nil).outcome(), "done")
	}
	assert.Equal(t, f.nodes[0].standin.Executions().Started, 1)
	assert.Equal(t, f.nodes[1].standin.Executions().Started, 9)
}

// Guards against calls down the chain that lose the depth, the timeout, the rank or the ID of the request.
func TestChainedCallCarriesTheMeshHeaders(t *testing.T) {
	f := newFleet(t, fleetOptions{})
	got := f.call(1, "GET", "/pages/first", nil, "X-Mesh-Request-Id: r1", "X-Mesh-Timeout: 3000",
		standin.HeaderCall+": http://"+f.nodes[0].callerAddress+"/pages/second", standin.HeaderService+": portal")
	assert.Equal(t, got.outcome(), "done", got.body)
	assert.Equal(t, got.header.Get("X-Seen-Depth"), "2")
	assert.Equal(t, got.header.Get("X-Seen-Rank"), "reads")
	assert.Equal(t, got.header.Get("X-Seen-Request-Id"), "r1")
	assert.Assert(t, got.header.Get("X-Seen-Timeout") < "3000" && got.header.Get("X-Seen-Timeout") > "1000")
	assert.Equal(t, f.nodes[0].standin.Executions().ByRequestID["r1"], 2)
}

// Guards against a request that runs at a daemon that can't be reached, or that is lost when another could serve it.
func TestUnreachableOwner(t *testing.T) {
	f := newFleet(t, fleetOptions{})
	f.nodes[0].grpcServer.Stop()
	got := f.call(1, "GET", "/pages/a", nil)
	assert.Equal(t, got.outcome(), "done", got.body)
	assert.Equal(t, f.nodes[1].standin.Executions().Started, 1)
	got = f.call(1, "POST", "/publish/a", strings.NewReader("x"), "Idempotency-Key: k")
	assert.Equal(t, got.status, 503)
	assert.Equal(t, got.outcome(), "not-run")
	assert.Equal(t, got.header.Get("X-Mesh-Earlier"), "unknown")
}

// Guards against responses without a body that get one, and against a wrong length of such responses.
func TestResponsesWithoutBody(t *testing.T) {
	f := newFleet(t, fleetOptions{behavior: standin.Behavior{ResponseSize: 100 << 10}})
	for host := range 2 {
		got := f.call(host, http.MethodHead, "/pages/a", nil)
		assert.NilError(t, got.err)
		assert.Equal(t, got.outcome(), "done")
		assert.Equal(t, got.header.Get("Content-Length"), "102400")
		assert.Equal(t, got.body, "")
	}
	f.nodes[0].standin.SetBehavior(standin.Behavior{Chunked: true})
	got := f.call(1, "POST", "/pages/a", strings.NewReader("abc"))
	assert.Equal(t, got.trailer.Get("X-Seen-Length"), "3")
}

// Guards against a connection between daemons that stays in use after it stopped delivering data.
func TestSilentPeerConnectionIsReplaced(t *testing.T) {
	f := newFleet(t, fleetOptions{})
	f.nodes[1].client.Start()
	defer f.nodes[1].client.Stop()
	assert.Equal(t, f.call(1, "GET", "/pages/a", nil).outcome(), "done")
	f.nodes[0].peerListener.blackhole()
	got := f.call(1, "GET", "/pages/b", nil)
	assert.Equal(t, got.outcome(), "done", "the retry: %s", got.body)
	assert.Equal(t, f.call(1, "POST", "/publish/a", nil, "Idempotency-Key: k").outcome(), "done")
	assert.Equal(t, f.nodes[0].standin.Executions().ByKey["k"], 1)
}

// blackholeListener is a listener whose connections can be blackholed: they accept bytes and deliver none.
type blackholeListener struct {
	net.Listener
	mu    sync.Mutex
	conns []*blackholeConn
}

type blackholeConn struct {
	net.Conn
	blackholed atomic.Bool
}

func (l *blackholeListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &blackholeConn{Conn: conn}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, c)
	return c, nil
}

func (l *blackholeListener) blackhole() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		c.blackholed.Store(true)
	}
}

func (c *blackholeConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.blackholed.Load() {
			return n, err
		}
	}
}

func (c *blackholeConn) Write(p []byte) (int, error) {
	if c.blackholed.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}
