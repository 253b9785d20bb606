package relay

import (
	"context"
	"sync"
	"time"

	"cicadacross"
	"cicadacross/internal/peerpb"
)

const (
	// defaultSilenceLimit is how long nothing may arrive from a daemon while it holds requests before the connection
	// is probed. The grpc keepalive finds a silent connection only after 13 s.
	defaultSilenceLimit = 500 * time.Millisecond
	// A probe waits for twice the silence limit, though an owner answers it without a look at its queue, and a
	// connection is given up after two probes: the close breaks all requests on it, which a busy host doesn't deserve.
	probeSilences = 2
	probes        = 2
)

// watch finds connections to other daemons that went silent. It probes a connection that holds requests and delivers
// nothing, and closes it when the probe gets no answer, so that the next request makes a new one.
type watch struct {
	client *Client
	mu     sync.Mutex
	peers  map[string]*heard
	stop   context.CancelFunc
}

// heard is what arrived from one daemon.
type heard struct {
	address string
	timers  cicadacross.Timers
	mu      sync.Mutex
	open    int
	last    time.Time
	probing bool
}

func (w *watch) init(c *Client) {
	w.client = c
	w.peers = make(map[string]*heard)
}

// Start begins to look for silent connections until Stop.
func (c *Client) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	c.watch.stop = cancel
	go c.watch.run(ctx)
}

// Stop ends the look for silent connections.
func (c *Client) Stop() {
	if c.watch.stop != nil {
		c.watch.stop()
	}
}

func (w *watch) begin(address string) *heard {
	w.mu.Lock()
	h, ok := w.peers[address]
	if !ok {
		h = &heard{address: address, timers: w.client.opts.Timers}
		w.peers[address] = h
	}
	w.mu.Unlock()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.open == 0 {
		h.last = h.timers.Now()
	}
	h.open++
	return h
}

func (h *heard) mark() {
	now := h.timers.Now()
	h.mu.Lock()
	h.last = now
	h.mu.Unlock()
}

// since reports whether anything arrived after the time.
func (h *heard) since(t time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.last.After(t)
}

func (h *heard) end() {
	h.mu.Lock()
	h.open--
	h.mu.Unlock()
}

// suspect claims the probe of a connection that holds requests and delivered nothing for a while.
func (h *heard) suspect(limit time.Duration) bool {
	now := h.timers.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.open == 0 || h.probing || now.Sub(h.last) < limit {
		return false
	}
	h.probing = true
	return true
}

func (w *watch) run(ctx context.Context) {
	timer := w.client.opts.Timers.Every(w.client.opts.SilenceLimit / 2)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C():
		}
		w.mu.Lock()
		for address, h := range w.peers {
			if h.suspect(w.client.opts.SilenceLimit) {
				p := &probe{client: w.client, heard: h, address: address}
				go p.run(ctx)
			}
		}
		w.mu.Unlock()
	}
}

// probe is one look whether a connection delivers.
type probe struct {
	client  *Client
	heard   *heard
	address string
}

// run sends a head for no host, which every owner refuses at once, and closes the connection when nothing arrives.
func (p *probe) run(ctx context.Context) {
	started := p.heard.timers.Now()
	answered := false
	for range probes {
		answered = answered || p.ask(ctx) || p.heard.since(started)
	}
	if !answered && ctx.Err() == nil {
		p.client.opts.Pool.Reset(p.address)
	}
	p.heard.mark()
	p.heard.mu.Lock()
	p.heard.probing = false
	p.heard.mu.Unlock()
}

func (p *probe) ask(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, probeSilences*p.client.opts.SilenceLimit)
	defer cancel()
	l, err := p.client.dial(ctx, p.address)
	if err != nil {
		return false
	}
	head := &peerpb.ForwardRequest_Head{Head: &peerpb.ForwardHead{}}
	if err := l.Send(&peerpb.ForwardRequest{Message: head}); err != nil {
		return false
	}
	_, err = l.Recv()
	return err == nil
}
