package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// poisonPathCase plays a busy service: four targets with 80 lookups and 20 sound uploads a second.
func poisonPathCase(rec *record, trouble bool) (bool, error) {
	p := poisonAmong{net24: "127.41.5", length: 50 * time.Second, interval: 200 * time.Millisecond, lookups: 4, everyUpload: 1}
	result, err := p.play(rec, trouble)
	return result.lateRetries <= maxRetries, err
}

// starvedCase plays a service with few sound uploads: 16 lookups and 2 uploads a second.
func starvedCase(rec *record, trouble bool) (bool, error) {
	p := poisonAmong{net24: "127.41.7", length: 60 * time.Second, interval: 500 * time.Millisecond, lookups: 2, everyUpload: 4}
	result, err := p.play(rec, trouble)
	return result.uploads >= result.all/4, err
}

// poisonAmong is a load with one client that sends an upload which crashes each target that begins to run it, and sends
// it again every second, while others send sound uploads with other bodies to the same path.
type poisonAmong struct {
	net24  string
	length time.Duration
	// interval is the time between two rounds, in each of which clients on each machine send lookups; in every
	// everyUpload-th round, they send an upload too.
	interval    time.Duration
	lookups     int
	everyUpload int
}

// poisonResult is the result of poisonAmong. all and uploads are the shares of all requests and of the sound uploads
// that were served.
type poisonResult struct {
	lateRetries  int
	all, uploads float64
}

func (p poisonAmong) play(rec *record, trouble bool) (poisonResult, error) {
	config := `{"version":7,"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15},` +
		`"listeners":[{"host":"desk.example","rules":[` +
		`{"name":"look","kind":"safe","aimS":0.5,"priority":1,"match":{"prefix":"/a/"},"action":{"service":"desk","timeoutS":1.5,"maxAttempts":2}},` +
		`{"name":"load","kind":"upload","aimS":1,"priority":2,"match":{"prefix":"/u/"},"action":{"service":"desk","timeoutS":2,"maxAttempts":2}}` +
		`]}],"clusters":[{"name":"desk","healthPath":"/healthz","maxConnections":110}]}`
	desk := machineSpec{zone: "z1", service: "desk", slots: 9, queue: 24}
	f, err := newFleet(rec, bounds{graceS: 6, drainS: 2, memoryMB: 284, linkMbps: 1000}, p.net24,
		[]machineSpec{desk, desk, desk, desk}, config)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return poisonResult{}, err
	}
	time.Sleep(4 * time.Second)
	w := &crashes{fleet: f, poisoned: make(chan *upstream, 100)}
	for _, m := range f.machines {
		m.up.poisoned = w.poisoned
	}
	go w.run()

	sent, served := map[string]int{}, map[string]int{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	client := func(m *machine, kind string, n int) {
		defer wg.Done()
		method, path, body := "GET", fmt.Sprintf("/a/%d/50ms", n), ""
		if kind == "load" {
			method, path, body = "POST", "/u/50ms", fmt.Sprintf("bundle %d ", n)+strings.Repeat("x", 60_000)
		}
		a := f.send(m, method, "desk.example", path, fmt.Sprintf("%s-%s-%d", kind, m.ip, n), 1500*time.Millisecond, body)
		mu.Lock()
		defer mu.Unlock()
		sent[kind]++
		if a.status == 200 && a.seal != "" {
			served[kind]++
		}
	}
	tick := time.NewTicker(p.interval)
	defer tick.Stop()
	for n := range int(p.length / p.interval) {
		<-tick.C
		for _, m := range f.machines {
			for range p.lookups {
				wg.Add(1)
				go client(m, "look", n)
			}
			if n%p.everyUpload == 0 {
				wg.Add(1)
				go client(m, "load", n)
			}
		}
		perSecond := int(time.Second / p.interval)
		if trouble && n >= 5*perSecond && n%perSecond == 0 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				m := f.machines[n/perSecond%len(f.machines)]
				f.send(m, "POST", "desk.example", "/u/50ms", fmt.Sprintf("p-%d", n), 1500*time.Millisecond,
					poisonMark+strings.Repeat("x", 60_000))
			}()
		}
	}
	wg.Wait()
	share := func(kinds ...string) float64 {
		s, total := 0, 0
		for _, k := range kinds {
			s, total = s+served[k], total+sent[k]
		}
		return float64(s) / float64(total)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	result := poisonResult{lateRetries: w.lateRetries(), all: share("look", "load"), uploads: share("load")}
	fmt.Printf("crashes: %d; retries that reached a target later than %v after the third crash: %d; served: %d of %d lookups, "+
		"%d of %d sound uploads\n", len(w.times), stableWindow, result.lateRetries, served["look"], sent["look"],
		served["load"], sent["load"])
	rec.log("result", "crashes", len(w.times), "late_retries", result.lateRetries, "served_all", result.all,
		"served_uploads", result.uploads)
	return result, nil
}
