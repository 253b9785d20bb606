package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// crowdCase lets a crowd of clients send small chunked bodies that stop just short of their end, while eight ordinary
// clients try new connections. The daemon says that it is ready, and must take connections within stableWindowS.
func crowdCase(rec *record, trouble bool) (bool, error) {
	const (
		crowd    = 1700
		ordinary = 8
		window   = 3 * time.Second
	)
	config := `{"version":7,"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15},` +
		`"listeners":[{"host":"desk.example","rules":[` +
		`{"name":"look","kind":"safe","aimS":4,"priority":1,"match":{"prefix":"/a/"},"action":{"service":"desk","timeoutS":6,"maxAttempts":2}},` +
		`{"name":"order","kind":"unsafe","aimS":0.8,"priority":1,"match":{"prefix":"/p/"},"action":{"service":"desk","timeoutS":2,"maxAttempts":2}}` +
		`]}],"clusters":[{"name":"desk","healthPath":"/healthz","maxConnections":480}]}`
	desk := machineSpec{zone: "z1", service: "desk", slots: 6, queue: 24}
	f, err := newFleet(rec, bounds{graceS: 6, drainS: 2, memoryMB: 184, linkMbps: 200}, "127.41.9",
		[]machineSpec{desk, desk, desk}, config)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	m := f.machines[0]
	address := f.address(m, f.ports.caller)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	if trouble {
		for i := range crowd {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					default:
					}
					unfinished(address, fmt.Sprintf("c%d-%d", i, n), stop)
				}
			}()
		}
		rec.log("crowd", "machine", m.ip, "connections", crowd)
		time.Sleep(time.Second)
	}
	var mu sync.Mutex
	var answered []time.Time
	var tries, notReady atomic.Int64
	began := time.Now()
	for i := range ordinary {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; time.Since(began) < 15*time.Second; n++ {
				tries.Add(1)
				a := f.send(m, "GET", "desk.example", "/a/50ms", fmt.Sprintf("o%d-%d", i, n), 2*time.Second, "")
				if a.status != 0 {
					mu.Lock()
					answered = append(answered, time.Now())
					mu.Unlock()
				}
				time.Sleep(200 * time.Millisecond)
			}
		}()
	}
	wg.Add(1)
	go func() {
		defer wg.Done()
		for time.Since(began) < 15*time.Second {
			r, err := f.client.Get("http://" + f.address(m, f.ports.ready) + "/api/readiness")
			if err != nil || r.StatusCode != http.StatusOK {
				notReady.Add(1)
			}
			if err == nil {
				_ = r.Body.Close()
			}
			time.Sleep(time.Second)
		}
	}()
	time.Sleep(15 * time.Second)
	close(stop)
	wg.Wait()
	longest, previous := time.Duration(0), began
	for _, at := range append(answered, began.Add(15*time.Second)) {
		longest = max(longest, at.Sub(previous))
		previous = at
	}
	rec.log("result", "tries", tries.Load(), "answered", len(answered), "longest_without_answer", longest, "not_ready", notReady.Load())
	fmt.Printf("ordinary clients: %d tries on new connections, %d answered, the longest time without an answer %v; answers of the readiness probe other than 200: %d\n",
		tries.Load(), len(answered), longest.Round(time.Millisecond), notReady.Load())
	return longest < window, nil
}

// unfinished sends a request whose chunked body stops short of its end, and waits until the daemon ends the connection.
func unfinished(address, id string, stop chan struct{}) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		time.Sleep(20 * time.Millisecond)
		return
	}
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST /a/50ms HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Remaining: 6000\r\n"+
		"Transfer-Encoding: chunked\r\n\r\n10\r\n0123456789abcdef\r\n", id)
	if err != nil {
		return
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = conn.Read(make([]byte, 4096))
	}()
	select {
	case <-ended:
	case <-stop:
	}
}
