package daemon

import (
	"sync"
	"sync/atomic"
	"time"

	"cicadacross"
	"cicadacross/internal/fleet"
	"cicadacross/internal/idempotency"
)

// memberCacheInterval is the time between two refreshes. A peer becomes a suspect only after seconds, so that another
// quarter of a second makes no difference.
const memberCacheInterval = 250 * time.Millisecond

// memberCache is a copy of the member table that the goroutines of requests read without waiting for the control
// goroutine. It is safe for concurrent use.
type memberCache struct {
	fleet   *fleet.Fleet
	timers  cicadacross.Timers
	byHost  atomic.Pointer[map[string]fleet.Member]
	stop    chan struct{}
	running sync.WaitGroup
}

func newMemberCache(f *fleet.Fleet, timers cicadacross.Timers) *memberCache {
	c := &memberCache{fleet: f, timers: timers, stop: make(chan struct{})}
	c.byHost.Store(&map[string]fleet.Member{})
	return c
}

// Start starts the periodic refresh.
func (c *memberCache) Start() {
	c.running.Add(1)
	go c.loop()
}

// Stop stops the refresh and waits until its goroutine has returned. It must be called once, after Start.
func (c *memberCache) Stop() {
	close(c.stop)
	c.running.Wait()
}

func (c *memberCache) loop() {
	defer c.running.Done()
	ticker := c.timers.Every(memberCacheInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C():
			c.refresh()
		case <-c.stop:
			return
		}
	}
}

func (c *memberCache) refresh() {
	members := c.fleet.Members()
	byHost := make(map[string]fleet.Member, len(members))
	for _, m := range members {
		byHost[m.Host] = m
	}
	c.byHost.Store(&byHost)
}

// LastVersion returns the last known version of the host, or false when no daemon has ever heard from it.
func (c *memberCache) LastVersion(host string) (cicadacross.Version, bool) {
	m, ok := (*c.byHost.Load())[host]
	return m.Version, ok && m.Heard
}

// PeerAddresses returns the known hosts that have an address for other daemons, with that address.
func (c *memberCache) PeerAddresses() []idempotency.Member {
	byHost := *c.byHost.Load()
	list := make([]idempotency.Member, 0, len(byHost))
	for _, m := range byHost {
		if m.Peer != "" {
			list = append(list, idempotency.Member{Host: m.Host, Peer: m.Peer})
		}
	}
	return list
}

// IsSuspect reports whether the daemon on the host recently failed to respond.
func (c *memberCache) IsSuspect(host string) bool { return (*c.byHost.Load())[host].Suspect }
