package main

import (
	"fmt"
	"sync"
	"time"
)

// stable is the stableWindowS of the settings.
const stable = 3 * time.Second

// rule returns one route of the operator's configuration.
func rule(name, kind, prefix, service string, aim, timeout float64, attempts int) map[string]any {
	return map[string]any{
		"name": name, "kind": kind, "aimS": aim, "priority": 1, "match": map[string]any{"prefix": prefix},
		"action": map[string]any{"service": service, "timeoutS": timeout, "maxAttempts": attempts},
	}
}

// publish writes the operator's configuration.
func (f *fleet) publish(version int, host string, services []string, rules ...any) time.Time {
	clusters := []any{}
	for _, s := range services {
		clusters = append(clusters, map[string]any{"name": s, "healthPath": "/healthz", "maxConnections": 110})
	}
	return f.store.put("op/config", map[string]any{
		"version":   version,
		"limits":    map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutS": 10, "idleTimeoutS": 60},
		"listeners": []any{map[string]any{"host": host, "rules": rules}}, "clusters": clusters,
	})
}

// playPoison sends a request that crashes each target that runs it, again and again, while the daemons are stopped and
// started in turn. Payments run beside it.
func playPoison(r *record) (bool, error) {
	f, err := newFleet(r)
	if err != nil {
		return false, err
	}
	defer f.end()
	f.add("banco", 9, "bronte", "catania", "adrano", "paterno")
	f.publish(3, "shop.example", []string{"banco"}, rule("lot-price", "safe", "/lots/", "banco", 0.5, 1.2, 2),
		rule("pay-confirm", "unsafe", "/pay/", "banco", 0.6, 1.5, 2))
	if err := f.start(); err != nil {
		return false, err
	}
	time.Sleep(stable + time.Second)

	stopPayments := make(chan struct{})
	var payments sync.WaitGroup
	payments.Add(1)
	lost, paid := 0, 0
	var mu sync.Mutex
	go func() {
		defer payments.Done()
		var open sync.WaitGroup
		for n := 0; ; n++ {
			select {
			case <-stopPayments:
				open.Wait()
				return
			case <-time.After(60 * time.Millisecond):
			}
			m := f.machines[n%len(f.machines)]
			if !m.isReady() {
				continue
			}
			q := request{machine: m, id: fmt.Sprintf("pay-%05d", n), method: "POST", host: "shop.example",
				path: fmt.Sprintf("/pay/%d/w210", n), body: []byte("amount=10"), deadline: 1500 * time.Millisecond}
			open.Add(1)
			go func() {
				defer open.Done()
				res := f.send(q)
				f.mu.Lock()
				ran := len(f.runs[q.id]) > 0
				f.mu.Unlock()
				mu.Lock()
				defer mu.Unlock()
				if res.status == 200 {
					paid++
				} else if ran {
					lost++
				}
			}()
		}
	}()

	type retry struct {
		sent time.Time
		runs int
	}
	var retries []retry
	number := 0
	// poison sends the request at a machine that has been undisturbed for stableWindowS, and waits until all targets are
	// back.
	poison := func(m *machine) {
		number++
		q := request{machine: m, id: fmt.Sprintf("poison-%02d", number), method: "GET", host: "shop.example",
			path: "/lots/poison/7", deadline: 1200 * time.Millisecond}
		sent := time.Now()
		res := f.send(q)
		time.Sleep(100 * time.Millisecond)
		f.mu.Lock()
		runs := len(f.runs[q.id])
		f.mu.Unlock()
		r.say("%s at %s: status %d, ran at %d targets", q.id, m.name, res.status, runs)
		retries = append(retries, retry{sent: sent, runs: runs})
		time.Sleep(backAfter + 1200*time.Millisecond)
	}
	poison(f.machines[0])
	poison(f.machines[1])
	poison(f.machines[2])
	for _, m := range f.machines {
		if trouble {
			if err := m.restart(); err != nil {
				return false, err
			}
			if err := m.awaitReady(); err != nil {
				return false, err
			}
		}
		time.Sleep(stable + 500*time.Millisecond)
		poison(m)
		poison(m)
	}
	close(stopPayments)
	payments.Wait()

	crashes := 0
	var third time.Time
	late := 0
	for _, x := range retries {
		if !third.IsZero() && x.runs > 0 && x.sent.Sub(third) > stable {
			late++
		}
		before := crashes
		crashes += x.runs
		if before < 3 && crashes >= 3 {
			third = x.sent
		}
	}
	r.say("the request crashed %d targets; %d retries reached targets more than 3 s after the third crash", crashes, late)
	r.say("payments: %d answered with success; %d had begun to run and got no answer of their target", paid, lost)
	return late > 3, nil
}
