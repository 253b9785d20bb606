package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"
)

// The plays below try entries of part two that are no cases.

const playConfig = `{"version":7,"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15},` +
	`"listeners":[{"host":"desk.example","rules":[{"name":"look","kind":"safe","aimS":0.5,"priority":1,` +
	`"match":{"prefix":"/"},"action":{"service":"desk","timeoutS":1.5,"maxAttempts":2}}]}],` +
	`"clusters":[{"name":"desk","healthPath":"/healthz","maxConnections":110}]}`

func playFleet(rec *record, net24 string) (*fleet, error) {
	desk := machineSpec{zone: "z1", service: "desk", slots: 9, queue: 24}
	return newFleet(rec, bounds{graceS: 6, drainS: 2, memoryMB: 284, linkMbps: 1000}, net24,
		slices.Repeat([]machineSpec{desk}, 4), playConfig)
}

// pathPlay sends paths that begin with two slashes, and have characters that RFC 3986 doesn't allow or allows.
func pathPlay(rec *record, _ bool) (bool, error) {
	f, err := playFleet(rec, "127.41.10")
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return false, err
	}
	changed := 0
	for i, path := range []string{"//a|b/10ms", "/a|b/10ms", "//a%2Fb/10ms", "//a'(b)!*,;:@&=+$/10ms"} {
		conn, err := net.Dial("tcp", f.address(f.machines[0], f.ports.caller))
		if err != nil {
			return false, err
		}
		fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: a%d\r\nX-Deadline-Remaining: 1000\r\n\r\n", path, i)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			return false, err
		}
		_ = conn.Close()
		for _, m := range f.machines {
			for _, r := range m.up.allRuns() {
				if r.id == fmt.Sprintf("a%d", i) {
					fmt.Printf("sent %s, status %d, run as %s\n", path, response.StatusCode, r.uri)
					if r.uri != path {
						changed++
					}
				}
			}
		}
	}
	return changed == 0, nil
}

// bornPlay starts a target again under its ID with a lower start time, and lets it report draining 4 s later.
func bornPlay(rec *record, trouble bool) (bool, error) {
	f, err := playFleet(rec, "127.41.11")
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	m := f.machines[3]
	again := bornMS + 3000
	if trouble {
		again = bornMS - 2000
	}
	f.store.put("servers/"+m.up.id, m.up.entry("z1", "ready", 1, again, 0))
	time.Sleep(4 * time.Second)
	acked := f.store.put("servers/"+m.up.id, m.up.entry("z1", "draining", 3, again, 0))
	for n := range 150 {
		go f.send(m, "GET", "desk.example", "/a/50ms", fmt.Sprintf("r%d", n), time.Second, "")
		time.Sleep(30 * time.Millisecond)
	}
	late := 0
	for _, r := range m.up.allRuns() {
		if r.at.Sub(acked) > 2*time.Second {
			late++
		}
	}
	fmt.Printf("requests that reached the draining target later than 2s: %d\n", late)
	return late == 0, nil
}

// herdPlay sends a request that crashes targets once a second, and kills all daemons at once twice.
func herdPlay(rec *record, trouble bool) (bool, error) {
	f, err := playFleet(rec, "127.41.12")
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	w := &crashes{fleet: f, poisoned: make(chan *upstream, 100)}
	for _, m := range f.machines {
		m.up.poisoned = w.poisoned
	}
	go w.run()
	for n := range 50 {
		if trouble && (n == 15 || n == 32) {
			for _, m := range f.machines {
				f.signal(m, syscall.SIGKILL)
				<-m.exited
			}
			for _, m := range f.machines {
				if err := f.startDaemon(m); err != nil {
					return false, err
				}
			}
			time.Sleep(4 * time.Second)
		}
		f.send(f.machines[n%4], "POST", "desk.example", "/a/10ms", fmt.Sprintf("p%d", n), time.Second, poisonMark+strings.Repeat("x", 100))
		time.Sleep(time.Second)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	late := w.lateRetries()
	fmt.Printf("crashes: %d; retries later than %v after the third crash: %d\n", len(w.times), stableWindow, late)
	return late <= maxRetries, nil
}
