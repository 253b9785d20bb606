package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// target is a stand-in of an application target. A path holds how long a request takes, in milliseconds: /route/name/w200.
// A request whose path has a segment "poison" crashes each target that begins to run it; the target is back after
// backAfter, under a new id.
type target struct {
	fleet   *fleet
	service string
	address string
	zone    string
	slots   int
	queue   int
	speed   atomic.Int64 // work takes speed / 100 times as long

	mu       sync.Mutex
	id       string
	number   int
	born     int64
	seq      int
	state    string
	up       bool
	listener net.Listener
	conns    map[net.Conn]bool
	running  int
	waiting  []chan bool
	beats    chan struct{}
	written  string
}

// poisonMark begins the body of a request that crashes each target that runs it.
const poisonMark = "CRASH"

const (
	heartbeat = 1500 * time.Millisecond
	backAfter = 2 * time.Second
)

func newTarget(f *fleet, service, address, zone string, slots int) *target {
	t := &target{fleet: f, service: service, address: address, zone: zone, slots: slots, queue: 4 * slots}
	t.speed.Store(100)
	return t
}

// start begins a new incarnation, which registers itself.
func (t *target) start() error {
	listener, err := net.Listen("tcp", t.address)
	if err != nil {
		return err
	}
	t.mu.Lock()
	t.number++
	t.id = fmt.Sprintf("i-%s-%d", strings.NewReplacer(".", "-", ":", "-").Replace(t.address), t.number)
	t.born, t.seq, t.state, t.up = time.Now().UnixMilli(), 0, "ready", true
	t.listener, t.conns, t.running, t.waiting = listener, make(map[net.Conn]bool), 0, nil
	t.beats, t.written = make(chan struct{}), ""
	beats, incarnation := t.beats, t.number
	t.mu.Unlock()
	t.fleet.record.note("target %s of %s starts as %s", t.address, t.service, t.id)
	t.register()
	go t.beat(beats)
	go t.accept(listener, incarnation)
	return nil
}

// beat writes heartbeats. They change the entry only when more than seq changes.
func (t *target) beat(end chan struct{}) {
	tick := time.NewTicker(heartbeat)
	defer tick.Stop()
	for {
		select {
		case <-end:
			return
		case <-tick.C:
			t.register()
		}
	}
}

// register writes the entry if more than its seq has changed, and returns the time of the acknowledgement.
func (t *target) register() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seq++
	if t.written == t.state {
		return time.Now()
	}
	t.written = t.state
	return t.fleet.store.put("servers/"+t.id, map[string]any{
		"address": t.address, "born": t.born,
		"info":   map[string]any{"service": t.service, "version": "v1", "zone": t.zone, "slots": t.slots},
		"status": map[string]any{"state": t.state, "seq": t.seq, "coldRemainingS": 0},
	})
}

// drain reports that the target is draining and returns the time of the store's acknowledgement.
func (t *target) drain() time.Time {
	t.mu.Lock()
	t.state = "draining"
	t.mu.Unlock()
	return t.register()
}

// crash ends the incarnation: connections are reset and new ones refused. The entry stays until its heartbeats have been
// missing for three intervals.
func (t *target) crash(back bool) {
	t.mu.Lock()
	if !t.up {
		t.mu.Unlock()
		return
	}
	t.up = false
	id := t.id
	close(t.beats)
	_ = t.listener.Close()
	lost := t.running
	for c := range t.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	t.mu.Unlock()
	t.fleet.record.note("target %s crashes, with %d requests that it runs", id, lost)
	time.AfterFunc(3*heartbeat, func() { t.fleet.store.remove("servers/" + id) })
	if back {
		time.AfterFunc(backAfter, func() {
			if !t.fleet.ended.Load() {
				if err := t.start(); err != nil {
					t.fleet.record.note("target %s cannot start: %v", t.address, err)
				}
			}
		})
	}
}

// leave ends a target that has drained, and removes its entry.
func (t *target) leave() {
	t.mu.Lock()
	id := t.id
	t.mu.Unlock()
	t.fleet.record.note("target %s exits", id)
	t.crash(false)
	t.fleet.store.remove("servers/" + id)
}

func (t *target) accept(listener net.Listener, incarnation int) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		t.mu.Lock()
		if t.number != incarnation || !t.up {
			t.mu.Unlock()
			_ = conn.Close()
			continue
		}
		t.conns[conn] = true
		t.mu.Unlock()
		go t.serve(conn, incarnation)
	}
}

func (t *target) serve(conn net.Conn, incarnation int) {
	defer func() {
		t.mu.Lock()
		delete(t.conns, conn)
		t.mu.Unlock()
		_ = conn.Close()
	}()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if !t.handle(conn, reader, r, body, incarnation) {
			return
		}
	}
}

// handle answers one request and reports whether the connection stays open.
func (t *target) handle(conn net.Conn, reader *bufio.Reader, r *http.Request, body []byte, incarnation int) bool {
	id := r.Header.Get("X-Attempt-Id")
	t.mu.Lock()
	own := t.id
	t.mu.Unlock()
	send := func(status, header, text string) bool {
		t.mu.Lock()
		load := fmt.Sprintf("%d,%d,%d", t.running, len(t.waiting), t.slots)
		t.mu.Unlock()
		_, err := fmt.Fprintf(conn, "HTTP/1.1 %s\r\nX-Attempt-Id: %s\r\nX-Server-Load: %s\r\nKeep-Alive: timeout=10\r\n%s"+
			"Content-Length: %d\r\n\r\n%s", status, id, load, header, len(text), text)
		return err == nil
	}
	if r.URL.Path == "/healthz" {
		return send("200 OK", "X-Instance-Id: "+own+"\r\n", "")
	}
	if want := r.Header.Get("X-Expected-Instance"); want != "" && want != own {
		t.fleet.record.note("target %s answers 421 to %s", own, id)
		return send("421 Misdirected Request", "", "")
	}
	if id == "" {
		return send("400 Bad Request", "X-Not-Executed: 1\r\n", "")
	}
	arrived := time.Now()
	t.fleet.arrival(arrival{id: id, target: own, path: r.URL.Path, at: arrived, caller: r.Header.Get("X-Caller-Service")})
	limit := 10 * time.Second
	if ms, err := strconv.ParseFloat(r.Header.Get("X-Deadline-Remaining"), 64); err == nil {
		limit = time.Duration(ms * float64(time.Millisecond))
	}
	deadline := arrived.Add(limit)
	if !t.takeSlot(deadline) {
		t.fleet.record.note("target %s rejects %s", own, id)
		return send("503 Service Unavailable", "X-Not-Executed: 1\r\n", "")
	}
	t.fleet.run(id, own, r.URL.Path, r.RequestURI)
	if strings.Contains(r.URL.Path, "/poison") || bytes.HasPrefix(body, []byte(poisonMark)) {
		t.crash(true)
		return false
	}
	work := workOf(r.URL.Path) * time.Duration(t.speed.Load()) / 100
	// A target drops a request when its connection closes.
	next := make(chan error, 1)
	go func() {
		_, err := reader.Peek(1)
		next <- err
	}()
	var closed error
	peeked := false
	end := time.After(min(work, time.Until(deadline)))
	for waiting := true; waiting; {
		select {
		case closed = <-next:
			peeked = true
			waiting = closed == nil
			if waiting {
				<-end
				waiting = false
			}
		case <-end:
			waiting = false
		}
	}
	t.freeSlot(incarnation)
	if closed != nil {
		t.fleet.record.note("target %s drops %s, whose connection closed", own, id)
		return false
	}
	ok := false
	if time.Now().After(deadline.Add(-time.Millisecond)) && work > limit {
		ok = send("504 Gateway Timeout", "X-Response-Seal: "+sealOf(id)+"\r\n", "")
	} else {
		text := fmt.Sprintf("%s ran %s of %d bytes", own, r.URL.Path, len(body))
		field := ""
		if strings.HasSuffix(r.URL.Path, "/latin") {
			field = "Content-Disposition: attachment; filename=\"caf\xe9.pdf\"\r\n"
		}
		ok = send("200 OK", field+"X-Response-Seal: "+sealOf(id)+"\r\n", text)
	}
	if ok && !peeked {
		// The next request is read only once the reader is free again.
		return <-next == nil
	}
	return ok
}

func sealOf(id string) string { return "seal." + id }

// workOf returns the time that the path asks for.
func workOf(path string) time.Duration {
	for _, part := range strings.Split(path, "/") {
		if ms, err := strconv.Atoi(strings.TrimPrefix(part, "w")); err == nil && strings.HasPrefix(part, "w") {
			return time.Duration(ms) * time.Millisecond
		}
	}
	return 20 * time.Millisecond
}

func (t *target) takeSlot(deadline time.Time) bool {
	t.mu.Lock()
	if t.running < t.slots {
		t.running++
		t.mu.Unlock()
		return true
	}
	if len(t.waiting) >= t.queue {
		t.mu.Unlock()
		return false
	}
	turn := make(chan bool, 1)
	t.waiting = append(t.waiting, turn)
	t.mu.Unlock()
	select {
	case <-turn:
		return true
	case <-time.After(time.Until(deadline)):
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, w := range t.waiting {
		if w == turn {
			t.waiting = append(t.waiting[:i], t.waiting[i+1:]...)
			return false
		}
	}
	return true
}

func (t *target) freeSlot(incarnation int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.number != incarnation {
		return
	}
	if len(t.waiting) > 0 {
		t.waiting[0] <- true
		t.waiting = t.waiting[1:]
		return
	}
	t.running--
}
