package main

import (
	"fmt"
	"sync"
	"time"
)

// playQueue drains a target while requests wait for one of its slots. The figures are those of the care home menus: 6
// slots, 640 ms, an aim of 4 s and a deadline of 6 s, drainS 2.5.
func playQueue(r *record) (bool, error) {
	const drain = 2500 * time.Millisecond
	f, err := newFleet(r)
	if err != nil {
		return false, err
	}
	defer f.end()
	for name, value := range map[string]any{
		"ackS": 5, "catchUpS": 6, "drainS": 2.5, "configApplyS": 2.5, "budgetExtraRetries": 180,
	} {
		f.bounds[name] = value
	}
	f.add("dietetics", 6, "pl-a", "pl-b", "pl-c")
	f.store.put("op/config", map[string]any{
		"version": 7,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutS": 10, "idleTimeoutS": 60},
		"listeners": []any{map[string]any{"host": "menus.example", "rules": []any{map[string]any{
			"name": "menu-archive", "kind": "safe", "aimS": 4, "priority": 2, "match": map[string]any{"prefix": "/archive/"},
			"action": map[string]any{"service": "dietetics", "timeoutS": 6, "maxAttempts": 2},
		}}}},
		"clusters": []any{map[string]any{"name": "dietetics", "healthPath": "/healthz", "maxConnections": 480}},
	})
	if err := f.start(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // stableWindowS, and more
	var all sync.WaitGroup
	number := 0
	var mu sync.Mutex
	answers := map[string]int{}
	sendFor := func(d time.Duration, perSecond float64) {
		gap := time.Duration(float64(time.Second) / perSecond)
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(gap) {
			number++
			q := request{machine: f.machines[number%3], id: fmt.Sprintf("q-%05d", number), method: "GET",
				host: "menus.example", path: "/archive/2026/w640", deadline: 6 * time.Second}
			all.Add(1)
			go func() {
				defer all.Done()
				res := f.send(q)
				mu.Lock()
				defer mu.Unlock()
				answers[q.id] = res.status
			}()
		}
	}
	// 28 requests a second fit. The sheet's load is 3 a second for each target, and a burst 2.5 times as much.
	sendFor(4*time.Second, 9)
	leaving := f.machines[0].target
	id := leaving.id
	done := make(chan time.Time, 1)
	go func() {
		time.Sleep(3 * time.Second)
		if trouble {
			leaving.speed.Store(600)
			r.note("target %s turns slow: its work takes 6 times as long", id)
		}
		time.Sleep(1200 * time.Millisecond)
		at := leaving.drain()
		r.note("target %s has reported draining; the store has acknowledged it", id)
		done <- at
		time.Sleep(drain + time.Second)
		leaving.leave()
	}()
	rate := 22.0
	if !trouble {
		rate = 9
	}
	sendFor(6400*time.Millisecond, rate)
	acknowledged := <-done
	all.Wait()
	late := 0
	for _, a := range f.arrivals {
		if after := a.at.Sub(acknowledged); a.target == id && after > drain {
			late++
			r.say("request %s reached the draining target %.3f s after the acknowledgement; the client got status %d", a.id,
				after.Seconds(), answers[a.id])
		}
	}
	r.say("%d requests, %d reached the draining target later than %v", number, late, drain)
	return late > 0, nil
}
