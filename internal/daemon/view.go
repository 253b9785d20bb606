package daemon

import (
	"sync"
	"sync/atomic"
	"time"

	"cicadacross"
	"cicadacross/internal/fleet"
	"cicadacross/internal/idempotency"
)

// viewInterval is how often the view is renewed. A peer becomes suspect after seconds, so that a quarter of one more
// changes nothing.
const viewInterval = 250 * time.Millisecond

// memberView is a copy of the member table that traffic goroutines read without asking the control goroutine. It is
// safe for concurrent use.
type memberView struct {
	fleet  *fleet.Fleet
	timers cicadacross.Timers
	byHost atomic.Pointer[map[string]fleet.Member]
	stop   chan struct{}
	done   sync.WaitGroup
}

func newMemberView(f *fleet.Fleet, timers cicadacross.Timers) *memberView {
	v := &memberView{fleet: f, timers: timers, stop: make(chan struct{})}
	v.byHost.Store(&map[string]fleet.Member{})
	return v
}

// Start begins to renew the view.
func (v *memberView) Start() {
	v.done.Add(1)
	go v.loop()
}

// Stop ends the renewal and waits for its end.
func (v *memberView) Stop() {
	close(v.stop)
	v.done.Wait()
}

func (v *memberView) loop() {
	defer v.done.Done()
	ticker := v.timers.Every(viewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C():
			v.renew()
		case <-v.stop:
			return
		}
	}
}

func (v *memberView) renew() {
	members := v.fleet.Members()
	byHost := make(map[string]fleet.Member, len(members))
	for _, m := range members {
		byHost[m.Host] = m
	}
	v.byHost.Store(&byHost)
}

// Seen returns the version that the host was last seen with, or false when it was never heard.
func (v *memberView) Seen(host string) (cicadacross.Version, bool) {
	m, ok := (*v.byHost.Load())[host]
	return m.Version, ok && m.Heard
}

// Addresses returns all known hosts with the addresses at which they serve other daemons.
func (v *memberView) Addresses() []idempotency.Member {
	byHost := *v.byHost.Load()
	list := make([]idempotency.Member, 0, len(byHost))
	for _, m := range byHost {
		if m.Peer != "" {
			list = append(list, idempotency.Member{Host: m.Host, Peer: m.Peer})
		}
	}
	return list
}

// Suspect reports whether the daemon of the host failed to answer lately.
func (v *memberView) Suspect(host string) bool { return (*v.byHost.Load())[host].Suspect }
