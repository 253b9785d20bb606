package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// crowdPerMachine is the number of callers that don't finish their bodies, on each machine that has them.
	crowdPerMachine = 1200
	// headLimit is the maxHeaderBytes of the configuration.
	headLimit = 16384
)

// playHeads lets callers send chunked bodies that stop just short of their end. Their heads are inside the limit of the
// configuration and have many short fields. The platform ends a process that exceeds the memory of its machine, and
// starts it again.
func playHeads(r *record) (bool, error) {
	f, err := newFleet(r)
	if err != nil {
		return false, err
	}
	defer f.end()
	f.add("magazzino", 9, "bronte", "catania", "adrano", "paterno")
	f.publish(3, "shop.example", []string{"magazzino"}, rule("test-upload", "upload", "/photos/", "magazzino", 1, 1.5, 2),
		rule("pay-confirm", "unsafe", "/pay/", "magazzino", 0.6, 1.5, 2))
	if err := f.start(); err != nil {
		return false, err
	}
	time.Sleep(stable + time.Second)

	var ended atomic.Bool
	var all sync.WaitGroup
	ends := make([]atomic.Int64, len(f.machines))
	peaks := make([]float64, len(f.machines))
	for i, m := range f.machines {
		all.Add(1)
		go func() {
			defer all.Done()
			peaks[i] = f.enforceMemory(m, &ended, &ends[i])
		}()
	}
	if trouble {
		for _, m := range f.machines[:2] {
			for n := range crowdPerMachine {
				all.Add(1)
				go func() {
					defer all.Done()
					for k := 0; !ended.Load(); k++ {
						holdOpen(m, unfinished(fmt.Sprintf("crowd-%s-%d-%d", m.name, n, k)), &ended)
						time.Sleep(50 * time.Millisecond)
					}
				}()
			}
		}
	}
	lost := f.pay(30*time.Second, r)
	ended.Store(true)
	all.Wait()
	machines := 0
	for i, m := range f.machines {
		n := ends[i].Load()
		r.say("daemon of %s: peak memory %.0f MB of %.0f MB, ended %d times", m.name, peaks[i], f.memoryMb, n)
		if n >= 3 {
			machines++
		}
	}
	r.say("payments that had begun to run and whose caller got no answer of the target: %d", lost)
	return machines >= 2, nil
}

// pay sends payments at all machines for the time, and returns how many ran without an answer of the target.
func (f *fleet) pay(d time.Duration, r *record) int {
	var open sync.WaitGroup
	var lost, paid, sent atomic.Int64
	for begin, n := time.Now(), 0; time.Since(begin) < d; n++ {
		q := request{machine: f.machines[n%len(f.machines)], id: fmt.Sprintf("pay-%05d", n), method: "POST",
			host: "shop.example", path: fmt.Sprintf("/pay/%d/w210", n), body: []byte("amount=10"),
			deadline: 1500 * time.Millisecond}
		open.Add(1)
		go func() {
			defer open.Done()
			res := f.send(q)
			f.mu.Lock()
			ran := len(f.runs[q.id]) > 0
			f.mu.Unlock()
			sent.Add(1)
			switch {
			case res.status == 200 && res.sealed:
				paid.Add(1)
			case ran:
				lost.Add(1)
			}
		}()
		time.Sleep(40 * time.Millisecond)
	}
	open.Wait()
	r.say("payments: %d sent, %d answered with success", sent.Load(), paid.Load())
	return int(lost.Load())
}

// enforceMemory kills the daemon of the machine when it exceeds the memory, as the platform does, starts it again after
// a short delay, and returns the peak of its memory in MB.
func (f *fleet) enforceMemory(m *machine, ended *atomic.Bool, ends *atomic.Int64) float64 {
	peak := 0.0
	for !ended.Load() {
		used := m.memory()
		peak = max(peak, used)
		if used > f.memoryMb {
			f.record.note("the daemon of %s uses %.0f MB of %.0f MB", m.name, used, f.memoryMb)
			ends.Add(1)
			m.signal(syscall.SIGKILL)
			m.awaitEnd(time.Second)
			time.Sleep(500 * time.Millisecond)
			if err := m.startDaemon(); err != nil {
				f.record.note("cannot start the daemon of %s: %v", m.name, err)
				return peak
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return peak
}

// unfinished returns a request with a chunked body that stops just short of its end.
func unfinished(id string) string {
	head := "POST /photos/1 HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + id +
		"\r\nX-Deadline-Remaining: 1500\r\nTransfer-Encoding: chunked\r\n"
	return head + manyFields(headLimit-200-len(head)) + "\r\n40\r\n" + strings.Repeat("x", 60)
}

// manyFields returns header lines with distinct names of three characters and no value.
func manyFields(size int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		b.WriteByte(letters[i%36])
		b.WriteByte(letters[i/36%36])
		b.WriteByte(letters[i/36/36%36])
		b.WriteString(":\r\n")
	}
	return b.String()
}

// holdOpen sends the text and stays until the daemon closes the connection.
func holdOpen(m *machine, text string, ended *atomic.Bool) {
	conn, err := net.DialTimeout("tcp", m.address(m.ports.outbound), time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, text); err != nil {
		return
	}
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

// memory returns the resident memory of the daemon in MB, or 0 when it has ended.
func (m *machine) memory() float64 {
	m.mu.Lock()
	pid := m.command.Process.Pid
	m.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(value)[0], 64)
			return kb / 1024
		}
	}
	return 0
}
