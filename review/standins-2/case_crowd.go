package main

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// crowdSize is the number of connections of the callers that don't finish their bodies.
const crowdSize = 2600

// playCrowd lets many callers begin a small chunked body, stop just short of its end and stay, while ordinary callers
// send requests to the same machine.
func playCrowd(r *record) (bool, error) {
	f, err := newFleet(r)
	if err != nil {
		return false, err
	}
	defer f.end()
	f.add("customs", 12, "piarco-a", "chaguanas-b", "arima-c")
	f.publish(3, "shop.example", []string{"customs"}, rule("declaration-upload", "upload", "/declare/", "customs", 1.2, 6, 2),
		rule("document-check", "safe", "/check/", "customs", 0.2, 0.6, 2))
	if err := f.start(); err != nil {
		return false, err
	}
	time.Sleep(stable + time.Second)
	m := f.machines[0]
	var ended atomic.Bool
	var crowd sync.WaitGroup
	var open atomic.Int64
	if trouble {
		for n := range crowdSize {
			crowd.Add(1)
			go func() {
				defer crowd.Done()
				for k := 0; !ended.Load(); k++ {
					crowdCaller(m, fmt.Sprintf("crowd-%d-%d", n, k), &ended, &open)
					time.Sleep(50 * time.Millisecond)
				}
			}()
		}
		time.Sleep(3 * time.Second)
		r.say("the crowd holds %d connections", open.Load())
	}
	// Ten ordinary callers.
	begin := time.Now()
	var mu sync.Mutex
	served, tried := 0, 0
	lastServed, longest := begin, time.Duration(0)
	var ordinary sync.WaitGroup
	for n := range 10 {
		ordinary.Add(1)
		go func() {
			defer ordinary.Done()
			for k := 0; time.Since(begin) < 20*time.Second; k++ {
				res := f.send(request{machine: m, id: fmt.Sprintf("check-%d-%d", n, k), method: "GET", host: "shop.example",
					path: "/check/w54", deadline: 600 * time.Millisecond})
				mu.Lock()
				tried++
				if res.status > 0 {
					served++
					longest = max(longest, time.Since(lastServed))
					lastServed = time.Now()
				}
				mu.Unlock()
				time.Sleep(200 * time.Millisecond)
			}
		}()
	}
	ordinary.Wait()
	longest = max(longest, time.Since(lastServed))
	ready := m.isReady()
	ended.Store(true)
	crowd.Wait()
	r.say("ordinary callers: %d of %d requests got an answer; the longest time without any was %.1f s; ready: %v", served,
		tried, longest.Seconds(), ready)
	return longest > stable && ready, nil
}

// crowdCaller sends one request whose body stops short of its end, and stays until the daemon closes the connection.
func crowdCaller(m *machine, id string, ended *atomic.Bool, open *atomic.Int64) {
	conn, err := net.DialTimeout("tcp", m.address(m.ports.outbound), time.Second)
	if err != nil {
		return
	}
	open.Add(1)
	defer open.Add(-1)
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, "POST /declare/1 HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: "+id+
		"\r\nX-Deadline-Remaining: 6000\r\nTransfer-Encoding: chunked\r\n\r\n40\r\n0123456789")
	buffer := make([]byte, 512)
	for !ended.Load() {
		_ = conn.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
		if _, err := conn.Read(buffer); err != nil {
			if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
				continue
			}
			return
		}
	}
}
