package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// drainCase lets a target leave right after the daemon that reads the store for its zone was killed. Requests that
// wait for a slot of the leaving target must not reach it later than drainS after the store has acknowledged its
// report.
func drainCase(rec *record, trouble bool) (bool, error) {
	const drainS = 2 * time.Second
	config := `{"version":7,"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutS":5,"idleTimeoutS":20},` +
		`"listeners":[{"host":"desk.example","rules":[{"name":"look","kind":"safe","aimS":3,"priority":1,` +
		`"match":{"prefix":"/a/"},"action":{"service":"desk","timeoutS":4,"maxAttempts":2}}]}],` +
		`"clusters":[{"name":"desk","healthPath":"/healthz","maxConnections":110}]}`
	spec := machineSpec{zone: "z1", service: "desk", slots: 4, queue: 24}
	f, err := newFleet(rec, bounds{graceS: 6, drainS: 2, memoryMB: 284, linkMbps: 1000}, "127.41.1",
		[]machineSpec{spec, spec, spec}, config)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	readers := f.store.readers()
	if len(readers) != 1 {
		return false, fmt.Errorf("want one reader of the store, got %v", readers)
	}
	reader := f.machines[slices.IndexFunc(f.machines, func(m *machine) bool { return m.ip == readers[0] })]
	others := slices.DeleteFunc(slices.Clone(f.machines), func(m *machine) bool { return m == reader })
	leaving := others[0]

	// A crowd: three targets with 4 slots run 60 requests of 200 ms a second.
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for k, m := range others {
		wg.Add(1)
		go func() {
			defer wg.Done()
			t := time.NewTicker(20 * time.Millisecond)
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
					f.send(m, "GET", "desk.example", "/a/200ms", fmt.Sprintf("r%d-%d", k, n), 4*time.Second, "")
				}()
			}
		}()
	}
	time.Sleep(4 * time.Second)
	f.store.put("op/config", strings.Replace(config, `"version":7`, `"version":9`, 1))
	rec.log("configuration", "version", 9)
	time.Sleep(100 * time.Millisecond)
	if trouble {
		f.signal(reader, syscall.SIGKILL)
	}
	time.Sleep(50 * time.Millisecond)
	acked := f.store.put("servers/"+leaving.up.id, leaving.up.entry("z1", "draining", 9, bornMS, 0))
	rec.log("draining", "target", leaving.up.id, "machine", leaving.ip)
	time.Sleep(5 * time.Second)
	close(stop)
	wg.Wait()

	late, last := 0, time.Duration(0)
	for _, r := range leaving.up.allRuns() {
		after := r.at.Sub(acked)
		last = max(last, after)
		if after > drainS {
			late++
			rec.log("LATE", "id", r.id, "after_ack", after)
		}
	}
	rec.log("result", "late", late, "last_after_ack", last, "runs", len(leaving.up.allRuns()))
	fmt.Printf("requests that reached the leaving target later than %v after its report: %d; the last one after %v\n",
		drainS, late, last.Round(time.Millisecond))
	return late == 0, nil
}
