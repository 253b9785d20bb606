package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// ghostCase lets a heartbeat of a target be done late by the store, after the target has left and its entry was removed.
// The target must get no requests later than drainS after the removal.
func ghostCase(rec *record, trouble bool) (bool, error) {
	const (
		drainS = 2 * time.Second
		// lateBy is the time by which the store does the heartbeat late, stable the time from the end of the trouble of the
		// store, which is right after the heartbeat, to the removal.
		lateBy = 5500 * time.Millisecond
		stable = 3100 * time.Millisecond
		// lease is three heartbeat intervals, after which the entry of the late heartbeat is removed again.
		lease = 4500 * time.Millisecond
		// servesOn is the time for which the target serves after the late heartbeat was done, 4.4 s after its removal.
		servesOn = 2 * time.Second
	)
	config := `{"version":7,"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15},` +
		`"listeners":[{"host":"desk.example","rules":[{"name":"pay","kind":"unsafe","aimS":0.6,"priority":1,` +
		`"match":{"prefix":"/p/"},"action":{"service":"desk","timeoutS":1.5,"maxAttempts":2}}]}],` +
		`"clusters":[{"name":"desk","healthPath":"/healthz","maxConnections":110}]}`
	desk := machineSpec{zone: "z1", service: "desk", slots: 9, queue: 24}
	f, err := newFleet(rec, bounds{graceS: 6, drainS: 2, memoryMB: 284, linkMbps: 1000}, "127.41.8",
		slices.Repeat([]machineSpec{desk}, 4), config)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	failed, lost := 0, 0
	leaving := f.machines[3]
	for k, m := range f.machines {
		wg.Add(1)
		go func() {
			defer wg.Done()
			t := time.NewTicker(40 * time.Millisecond)
			defer t.Stop()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-t.C:
				}
				wg.Add(1)
				go func() {
					defer wg.Done()
					a := f.send(m, "POST", "desk.example", "/p/210ms", fmt.Sprintf("p%d-%d", k, n), 1500*time.Millisecond, "pay")
					if a.status != 200 {
						mu.Lock()
						failed++
						if a.status != 429 && a.status != 503 {
							lost++
						}
						mu.Unlock()
					}
				}()
			}
		}()
	}
	time.Sleep(2 * time.Second)
	// An entry changes when more than seq changes, so that the heartbeat changes nothing when it is done at once.
	key, heartbeat := "servers/"+leaving.up.id, leaving.up.entry("z1", "ready", 40, bornMS, 0)
	sent := time.Now()
	rec.log("heartbeat", "target", leaving.up.id, "late", trouble)
	time.Sleep(stable)
	removed := f.store.remove(key)
	rec.log("removed", "target", leaving.up.id)
	time.Sleep(time.Until(sent.Add(lateBy)))
	if trouble {
		f.store.put(key, heartbeat)
		rec.log("heartbeat done", "target", leaving.up.id)
	}
	// It serves on for many seconds after its entry was removed, and then exits.
	time.Sleep(servesOn)
	rec.log("exits", "target", leaving.up.id)
	_ = leaving.up.server.Close()
	time.Sleep(lease - servesOn)
	if trouble {
		f.store.remove(key)
		rec.log("lease expired", "target", leaving.up.id)
	}
	time.Sleep(time.Second)
	close(stop)
	wg.Wait()
	late, last := 0, time.Duration(0)
	for _, r := range leaving.up.allRuns() {
		after := r.at.Sub(removed)
		last = max(last, after)
		if after > drainS {
			late++
			rec.log("LATE", "id", r.id, "after_removal", after)
		}
	}
	rec.log("result", "late", late, "last_after_removal", last, "without_success", failed, "of_them_without_promise", lost)
	fmt.Printf("payments that reached the target later than %v after its removal: %d; the last one after %v; payments without success: %d, %d of them without the promise that they did not run\n",
		drainS, late, last.Round(time.Millisecond), failed, lost)
	return late == 0, nil
}
