package main

import (
	"fmt"
	"sync"
	"time"
)

// playStale lets targets leave without a report some seconds after another change, while reads that may be stale are
// seconds old.
func playStale(r *record) (bool, error) {
	const drain = 2 * time.Second
	f, err := newFleet(r)
	if err != nil {
		return false, err
	}
	defer f.end()
	if trouble {
		f.store.staleBy = 5500 * time.Millisecond
	}
	f.add("portal", 6, "sofia-a", "sofia-b", "sofia-c", "sofia-d")
	f.add("portal", 6, "sofia-a", "sofia-b")
	publish := func(version int, timeout float64) time.Time {
		return f.publish(version, "city.example", []string{"portal"}, rule("page-read", "safe", "/pages/", "portal", 0.4, timeout, 2),
			rule("site-publish", "unsafe", "/publish/", "portal", 0.5, 2, 2))
	}
	publish(3, 1.5)
	if err := f.start(); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)
	stop := make(chan struct{})
	var all sync.WaitGroup
	var mu sync.Mutex
	answers := map[string]int{}
	all.Add(1)
	go func() {
		defer all.Done()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(15 * time.Millisecond):
			}
			q := request{machine: f.machines[n%len(f.machines)], id: fmt.Sprintf("page-%05d", n), method: "GET",
				host: "city.example", path: fmt.Sprintf("/pages/%d/w120", n), deadline: 1500 * time.Millisecond}
			if n%4 == 0 {
				q.method, q.path, q.body = "POST", fmt.Sprintf("/publish/%d/w160", n), []byte("release")
			}
			all.Add(1)
			go func() {
				defer all.Done()
				res := f.send(q)
				mu.Lock()
				defer mu.Unlock()
				answers[q.id] = res.status
			}()
		}
	}()
	time.Sleep(2 * time.Second)
	gone := map[string]time.Time{}
	for k := range 3 {
		publish(4+k, 1.4)
		time.Sleep(4 * time.Second)
		t := f.machines[k].target
		gone[t.id] = f.store.remove("servers/" + t.id)
		r.note("the entry of target %s is removed; the store has acknowledged it", t.id)
		t.mu.Lock()
		close(t.beats)
		t.beats = make(chan struct{})
		t.mu.Unlock()
		time.AfterFunc(drain+1500*time.Millisecond, t.leave)
		time.Sleep(7 * time.Second)
	}
	close(stop)
	all.Wait()
	late := 0
	for _, a := range f.arrivals {
		at, ok := gone[a.target]
		if after := a.at.Sub(at); ok && after > drain {
			late++
			if late < 12 {
				r.say("request %s reached the target %.3f s after its entry was removed; the client got status %d", a.id,
					after.Seconds(), answers[a.id])
			}
		}
	}
	r.say("%d requests reached a target later than %v after the store acknowledged that it is gone", late, drain)
	return late > 0, nil
}
