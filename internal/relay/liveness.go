package relay

import (
	"context"
	"sync"
	"time"

	"cicadacross"
	"cicadacross/internal/peerpb"
)

const (
	// defaultSilenceTimeout is how long a connection with open streams may deliver nothing before it is probed. The
	// grpc keepalive detects a silent connection only after 13 s.
	defaultSilenceTimeout = 500 * time.Millisecond
	// A probe times out after twice the silence limit, although an owner answers it without queuing it, and a
	// connection is closed only after two failed probes: closing it breaks all requests on it, which must not happen to
	// a host that is only busy.
	probeTimeoutFactor = 2
	maxProbes          = 2
)

// livenessMonitor detects silent connections to other daemons. It probes a connection that has open streams and
// delivers nothing, and closes it when the probe gets no answer, so that the next request makes a new one.
type livenessMonitor struct {
	client *Client
	mu     sync.Mutex
	peers  map[string]*peerActivity
	stop   context.CancelFunc
}

// peerActivity tracks the open streams to one daemon and the time of the last message from it.
type peerActivity struct {
	address      string
	timers       cicadacross.Timers
	mu           sync.Mutex
	openStreams  int
	lastReceived time.Time
	// lastMessage is the time of the last message. Unlike lastReceived, it doesn't begin with the first open stream.
	lastMessage time.Time
	probing     bool
}

func (m *livenessMonitor) init(c *Client) {
	m.client = c
	m.peers = make(map[string]*peerActivity)
}

// Start begins to probe silent connections to other daemons, until Stop. It must be called at most once.
func (c *Client) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	c.monitor.stop = cancel
	go c.monitor.run(ctx)
}

// Stop ends the probes that Start began. It doesn't wait for probes in progress and closes no connection. Without Start
// it does nothing.
func (c *Client) Stop() {
	if c.monitor.stop != nil {
		c.monitor.stop()
	}
}

func (m *livenessMonitor) streamOpened(address string) *peerActivity {
	m.mu.Lock()
	a, ok := m.peers[address]
	if !ok {
		a = &peerActivity{address: address, timers: m.client.opts.Timers}
		m.peers[address] = a
	}
	m.mu.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.openStreams == 0 {
		a.lastReceived = a.timers.Now()
	}
	a.openStreams++
	return a
}

func (a *peerActivity) recordReceived() {
	now := a.timers.Now()
	a.mu.Lock()
	a.lastReceived, a.lastMessage = now, now
	a.mu.Unlock()
}

// hasHeardSince reports whether a message from the daemon arrived after t.
func (m *livenessMonitor) hasHeardSince(address string, t time.Time) bool {
	m.mu.Lock()
	a, ok := m.peers[address]
	m.mu.Unlock()
	if !ok {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastMessage.After(t)
}

// receivedAfter reports whether a message arrived after t.
func (a *peerActivity) receivedAfter(t time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastReceived.After(t)
}

func (a *peerActivity) streamClosed() {
	a.mu.Lock()
	a.openStreams--
	a.mu.Unlock()
}

// claimProbe reports whether the connection must be probed: it has open streams, has delivered no message for the
// limit, and no probe of it is in progress. If so, claimProbe marks it as being probed.
func (a *peerActivity) claimProbe(limit time.Duration) bool {
	now := a.timers.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.openStreams == 0 || a.probing || now.Sub(a.lastReceived) < limit {
		return false
	}
	a.probing = true
	return true
}

func (m *livenessMonitor) run(ctx context.Context) {
	timer := m.client.opts.Timers.Every(m.client.opts.SilenceTimeout / 2)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C():
		}
		m.mu.Lock()
		for address, a := range m.peers {
			if a.claimProbe(m.client.opts.SilenceTimeout) {
				p := &probe{client: m.client, activity: a, address: address}
				go p.run(ctx)
			}
		}
		m.mu.Unlock()
	}
}

// probe checks whether one connection delivers messages.
type probe struct {
	client   *Client
	activity *peerActivity
	address  string
}

// run sends a head without a host, which every owner refuses immediately, and closes the connection when nothing
// arrives.
func (p *probe) run(ctx context.Context) {
	started := p.activity.timers.Now()
	answered := false
	for range maxProbes {
		answered = answered || p.roundTrip(ctx) || p.activity.receivedAfter(started)
	}
	if !answered && ctx.Err() == nil {
		p.client.opts.Pool.Reset(p.address)
	}
	p.activity.recordReceived()
	p.activity.mu.Lock()
	p.activity.probing = false
	p.activity.mu.Unlock()
}

func (p *probe) roundTrip(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeoutFactor*p.client.opts.SilenceTimeout)
	defer cancel()
	stream, err := p.client.dial(ctx, p.address)
	if err != nil {
		return false
	}
	head := &peerpb.ForwardRequest_Head{Head: &peerpb.ForwardHead{}}
	if err := stream.Send(&peerpb.ForwardRequest{Message: head}); err != nil {
		return false
	}
	_, err = stream.Recv()
	return err == nil
}
