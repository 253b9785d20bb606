package harness

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

// Network injects network faults between the processes of a test. Every link is a toxiproxy proxy. A zoneProxy in
// front of the links of one address selects the link by the source address of the connection, since toxiproxy cannot.
// Network is safe for concurrent use.
type Network struct {
	t      testing.TB
	server *toxiproxy.ApiServer
	mu     sync.Mutex
	zones  map[string]string
	links  map[linkKey]*Link
}

// linkKey identifies a link by its source availability zone and its destination address.
type linkKey struct {
	zone        string
	destination string
}

// Link carries the connections from one availability zone to one address.
type Link struct {
	t     testing.TB
	proxy *toxiproxy.Proxy
}

// NewNetwork returns a network without links and faults. The links are closed at the end of the test.
func NewNetwork(t testing.TB) *Network {
	return &Network{
		t:      t,
		server: toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop()),
		zones:  make(map[string]string),
		links:  make(map[linkKey]*Link),
	}
}

// SetZone assigns the IP address to the availability zone. Connections from this address use the links of the zone.
func (n *Network) SetZone(ip, zone string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.zones[ip] = zone
}

// ListenBehindLinks listens on the address and forwards connections to the destination through a new link for the zone
// that they come from. Connections from other zones are closed.
func (n *Network) ListenBehindLinks(address, destination string, zones []string) {
	n.t.Helper()
	links := make(map[string]*Link, len(zones))
	for _, zone := range zones {
		links[zone] = n.addLink(zone, destination)
	}
	listener, err := net.Listen("tcp", address)
	assert.NilError(n.t, err)
	proxy := &zoneProxy{network: n, listener: listener, links: links}
	go proxy.run()
	n.t.Cleanup(func() { _ = listener.Close() })
}

func (n *Network) addLink(zone, destination string) *Link {
	n.t.Helper()
	proxy := toxiproxy.NewProxy(n.server, zone+" to "+destination, "127.0.0.1:0", destination)
	assert.NilError(n.t, proxy.Start())
	n.t.Cleanup(proxy.Stop)
	link := &Link{t: n.t, proxy: proxy}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links[linkKey{zone: zone, destination: destination}] = link
	return link
}

// Link returns the link from the zone to the destination address. It fails the test when there is none.
func (n *Network) Link(zone, destination string) *Link {
	n.t.Helper()
	n.mu.Lock()
	defer n.mu.Unlock()
	link, ok := n.links[linkKey{zone: zone, destination: destination}]
	assert.Assert(n.t, ok, "no link from %s to %s", zone, destination)
	return link
}

func (n *Network) zoneOf(remote net.Addr) string {
	ip, _, _ := net.SplitHostPort(remote.String())
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.zones[ip]
}

// Disconnect closes all connections of the link and refuses new ones until Heal is called.
func (l *Link) Disconnect() { l.proxy.Stop() }

// Heal removes all faults of the link and accepts connections again.
func (l *Link) Heal() {
	l.t.Helper()
	l.proxy.Toxics.ResetToxics(context.Background())
	if !l.proxy.Enabled {
		assert.NilError(l.t, l.proxy.Start())
	}
}

// Blackhole drops all data in both directions of present and new connections without closing them.
func (l *Link) Blackhole() {
	l.t.Helper()
	for _, stream := range []string{"upstream", "downstream"} {
		l.addToxic(fmt.Sprintf(`{"name":"silence-%s","type":"timeout","stream":%q,"attributes":{"timeout":0}}`,
			stream, stream))
	}
}

// Delay adds the latency in milliseconds to data sent towards the destination.
func (l *Link) Delay(milliseconds int) {
	l.t.Helper()
	l.addToxic(fmt.Sprintf(`{"name":"delay","type":"latency","stream":"upstream","attributes":{"latency":%d}}`,
		milliseconds))
}

func (l *Link) addToxic(definition string) {
	l.t.Helper()
	_, err := l.proxy.Toxics.AddToxicJson(strings.NewReader(definition))
	assert.NilError(l.t, err)
}

// zoneProxy forwards each accepted connection to the link of the availability zone that it comes from.
type zoneProxy struct {
	network  *Network
	listener net.Listener
	links    map[string]*Link
}

// run starts a forwarder for each connection from a zone with a link until accepting fails, as on a closed listener.
func (p *zoneProxy) run() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		link, ok := p.links[p.network.zoneOf(conn.RemoteAddr())]
		if !ok {
			_ = conn.Close()
			continue
		}
		go (&forwarder{from: conn, destination: link.proxy.Listen}).run()
	}
}

// forwarder connects to the destination address and copies data in both directions.
type forwarder struct {
	from        net.Conn
	destination string
}

func (f *forwarder) run() {
	to, err := net.Dial("tcp", f.destination)
	if err != nil {
		_ = f.from.Close()
		return
	}
	backward := &copier{from: to, to: f.from}
	go backward.run()
	(&copier{from: f.from, to: to}).run()
}

// copier copies data in one direction until it ends and then closes both connections.
type copier struct {
	from, to net.Conn
}

func (c *copier) run() {
	_, _ = io.Copy(c.to, c.from)
	_ = c.to.Close()
	_ = c.from.Close()
}
