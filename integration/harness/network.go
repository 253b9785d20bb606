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

// Network injects faults between the processes of a test. Every link is a toxiproxy proxy; an entrance in front of the
// links of one address chooses the link by the address that the connection comes from, since toxiproxy can't.
type Network struct {
	t      testing.TB
	server *toxiproxy.ApiServer
	mu     sync.Mutex
	zones  map[string]string
	links  map[linkName]*Link
}

// linkName names a link: connections from one availability zone to one address.
type linkName struct {
	zone string
	to   string
}

// Link carries the connections from one availability zone to one address.
type Link struct {
	t     testing.TB
	proxy *toxiproxy.Proxy
}

// NewNetwork returns a network without faults.
func NewNetwork(t testing.TB) *Network {
	return &Network{
		t:      t,
		server: toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop()),
		zones:  make(map[string]string),
		links:  make(map[linkName]*Link),
	}
}

// Place says that connections from the IP address come from the availability zone.
func (n *Network) Place(ip, zone string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.zones[ip] = zone
}

// Entrance listens on the address for the destination, behind one link for each of the zones.
func (n *Network) Entrance(address, destination string, zones []string) {
	n.t.Helper()
	links := make(map[string]*Link, len(zones))
	for _, zone := range zones {
		links[zone] = n.addLink(zone, destination)
	}
	listener, err := net.Listen("tcp", address)
	assert.NilError(n.t, err)
	e := &entrance{network: n, listener: listener, links: links}
	go e.run()
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
	n.links[linkName{zone: zone, to: destination}] = link
	return link
}

// Link returns the link from the zone to the destination of an entrance.
func (n *Network) Link(zone, destination string) *Link {
	n.t.Helper()
	n.mu.Lock()
	defer n.mu.Unlock()
	link, ok := n.links[linkName{zone: zone, to: destination}]
	assert.Assert(n.t, ok, "no link from %s to %s", zone, destination)
	return link
}

func (n *Network) zoneOf(remote net.Addr) string {
	ip, _, _ := net.SplitHostPort(remote.String())
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.zones[ip]
}

// Cut ends all connections of the link and refuses new ones.
func (l *Link) Cut() { l.proxy.Stop() }

// Heal lets connections through again and removes all toxics.
func (l *Link) Heal() {
	l.t.Helper()
	l.proxy.Toxics.ResetToxics(context.Background())
	if !l.proxy.Enabled {
		assert.NilError(l.t, l.proxy.Start())
	}
}

// Silence drops all data of present and new connections without closing them.
func (l *Link) Silence() {
	l.t.Helper()
	for _, stream := range []string{"upstream", "downstream"} {
		l.addToxic(fmt.Sprintf(`{"name":"silence-%s","type":"timeout","stream":%q,"attributes":{"timeout":0}}`,
			stream, stream))
	}
}

// Delay adds the latency in milliseconds to the data towards the destination.
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

// entrance hands each connection to the link of the zone that it comes from.
type entrance struct {
	network  *Network
	listener net.Listener
	links    map[string]*Link
}

func (e *entrance) run() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		link, ok := e.links[e.network.zoneOf(conn.RemoteAddr())]
		if !ok {
			_ = conn.Close()
			continue
		}
		go (&splice{from: conn, to: link.proxy.Listen}).run()
	}
}

// splice copies both directions between a connection and an address.
type splice struct {
	from net.Conn
	to   string
}

func (s *splice) run() {
	to, err := net.Dial("tcp", s.to)
	if err != nil {
		_ = s.from.Close()
		return
	}
	back := &copying{from: to, to: s.from}
	go back.run()
	(&copying{from: s.from, to: to}).run()
}

// copying copies one direction and ends both connections at its end.
type copying struct {
	from, to net.Conn
}

func (c *copying) run() {
	_, _ = io.Copy(c.to, c.from)
	_ = c.to.Close()
	_ = c.from.Close()
}
