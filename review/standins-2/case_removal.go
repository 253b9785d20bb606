package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// playRemoval stops the daemon that reads the store for its zone, and starts it again, while a target leaves that never
// reports draining.
func playRemoval(r *record) (bool, error) {
	const drain = 2 * time.Second
	f, err := newFleet(r)
	if err != nil {
		return false, err
	}
	defer f.end()
	f.add("banco", 9, "bronte", "bronte", "bronte", "bronte", "catania", "adrano")
	f.publish(3, "shop.example", []string{"banco"}, rule("lot-price", "safe", "/lots/", "banco", 0.5, 1.2, 2),
		rule("pay-confirm", "unsafe", "/pay/", "banco", 0.6, 1.5, 2))
	if err := f.start(); err != nil {
		return false, err
	}
	time.Sleep(2*stable + time.Second)
	reader := f.zoneReader()
	stop := make(chan struct{})
	var all sync.WaitGroup
	var mu sync.Mutex
	type sending struct {
		machine *machine
		status  int
	}
	answers := map[string]sending{}
	all.Add(1)
	go func() {
		defer all.Done()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(12 * time.Millisecond):
			}
			m := f.machines[n%5]
			mu.Lock()
			skip := m == reader
			mu.Unlock()
			if skip {
				continue
			}
			q := request{machine: m, id: fmt.Sprintf("lot-%05d", n), method: "GET", host: "shop.example",
				path: fmt.Sprintf("/lots/%d/w160", n), deadline: 1200 * time.Millisecond}
			if n%3 == 0 {
				q.method, q.path, q.body = "POST", fmt.Sprintf("/pay/%d/w210", n), []byte("amount=10")
				q.id, q.deadline = fmt.Sprintf("pay-%05d", n), 1500*time.Millisecond
			}
			all.Add(1)
			go func() {
				defer all.Done()
				res := f.send(q)
				mu.Lock()
				defer mu.Unlock()
				answers[q.id] = sending{machine: q.machine, status: res.status}
			}()
		}
	}()
	time.Sleep(2 * time.Second)
	gone := map[string]time.Time{}
	for round := range rounds {
		next := f.zoneReader()
		if next == nil {
			return false, fmt.Errorf("no daemon of the zone reads the store alone")
		}
		mu.Lock()
		reader = next
		mu.Unlock()
		leaving := f.machines[round%4].target
		if reader == f.machines[round%4] {
			leaving = f.machines[(round+1)%4].target
		}
		id := leaving.id
		if trouble {
			reader.signal(syscall.SIGTERM)
			reader.awaitEnd(6 * time.Second)
			time.Sleep(20 * time.Millisecond)
		}
		mu.Lock()
		gone[id] = f.store.remove("servers/" + id)
		mu.Unlock()
		r.say("the entry of target %s is removed; the store has acknowledged it", id)
		leaving.mu.Lock()
		close(leaving.beats)
		leaving.beats = make(chan struct{})
		leaving.mu.Unlock()
		if trouble {
			time.Sleep(30 * time.Millisecond)
			if err := reader.startDaemon(); err != nil {
				return false, err
			}
		}
		// The target serves on for drainS and some seconds more, and then exits. Another one takes its place.
		time.Sleep(time.Until(gone[id].Add(drain + 2*time.Second)))
		leaving.leave()
		time.Sleep(500 * time.Millisecond)
		if err := leaving.start(); err != nil {
			return false, err
		}
		time.Sleep(stable + 500*time.Millisecond)
	}
	close(stop)
	all.Wait()
	late, lost := 0, 0
	var last time.Duration
	for _, a := range f.arrivals {
		at, left := gone[a.target]
		after := a.at.Sub(at)
		if !left || after <= drain {
			continue
		}
		late++
		last = max(last, after)
		if answers[a.id].status != 200 {
			lost++
		}
		if late <= 10 {
			r.say("request %s, sent to %s, reached target %s %.3f s after its entry was removed", a.id,
				answers[a.id].machine.name, a.target, after.Seconds())
		}
	}
	r.say("%d requests reached a target later than %v after the store acknowledged that it is gone, the last one after %.1f s; "+
		"%d of them got no answer of it", late, drain, last.Seconds(), lost)
	return late > 0, nil
}

// rounds is the number of restarts.
const rounds = 6

// zoneReader returns the only machine of the first zone whose daemon reads the store, or nil after 10 s without one.
func (f *fleet) zoneReader() *machine {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		var reader *machine
		count := 0
		for _, m := range f.machines[:4] {
			if f.store.isWatching(m.ip) {
				reader = m
				count++
			}
		}
		if count == 1 {
			return reader
		}
	}
	return nil
}
