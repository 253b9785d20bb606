package main

import (
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

// run is one execution of a request at a target.
type run struct {
	at     time.Time
	id     string
	target string
	path   string
	uri    string
	sender string
	caller []string // the values of X-Caller-Service
}

// runLog collects the runs of all targets.
type runLog struct {
	mu   sync.Mutex
	runs []run
}

func (l *runLog) add(r run) {
	l.mu.Lock()
	l.runs = append(l.runs, r)
	l.mu.Unlock()
}

func (l *runLog) all() []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]run(nil), l.runs...)
}

// target is a stand-in of an application target, as the pages describe it.
type target struct {
	id, service, zone, address string
	slots                      int
	log                        *runLog
	server                     *http.Server
	running                    atomic.Int64
	mu                         sync.Mutex
	seq                        int
	state                      string
	born                       int64
}

func newTarget(id, service, zone, address string, slots int, log *runLog) (*target, error) {
	t := &target{id: id, service: service, zone: zone, address: address, slots: slots, log: log, state: "ready",
		born: time.Now().UnixMilli()}
	return t, t.start()
}

func (t *target) start() error {
	listener, err := net.Listen("tcp", t.address)
	if err != nil {
		return err
	}
	t.server = &http.Server{Handler: t, IdleTimeout: 10 * time.Second}
	go func() { _ = t.server.Serve(listener) }()
	return nil
}

func (t *target) close() { _ = t.server.Close() }

// entry returns the value of the target's entry in the store, with the next sequence number.
func (t *target) entry() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seq++
	return fmt.Sprintf(`{"address":"%s","born":%d,"info":{"service":"%s","version":"v1","zone":"%s","slots":%d},`+
		`"status":{"state":"%s","seq":%d,"coldRemainingS":0}}`, t.address, t.born, t.service, t.zone, t.slots, t.state, t.seq)
}

func (t *target) setState(state string) {
	t.mu.Lock()
	t.state = state
	t.mu.Unlock()
}

func (t *target) key() string { return "servers/" + t.id }

// ServeHTTP runs a request. The last part of the path says how long it works, in milliseconds.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	header := w.Header()
	header["X-Attempt-Id"] = []string{id}
	header["X-Instance-Id"] = []string{t.id}
	header["X-Server-Load"] = []string{fmt.Sprintf("%d,0,%d", t.running.Load(), t.slots)}
	header["Keep-Alive"] = []string{"timeout=10"}
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != t.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == earlyPath {
		// The target is full and says so before it has read the body.
		header["X-Not-Executed"] = []string{"full"}
		header["Content-Length"] = []string{"0"}
		_ = http.NewResponseController(w).EnableFullDuplex()
		w.WriteHeader(http.StatusServiceUnavailable)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(5 * time.Millisecond)
		_, _ = io.Copy(io.Discard, r.Body)
		return
	}
	if t.running.Add(1) > int64(t.slots) {
		t.running.Add(-1)
		header["X-Not-Executed"] = []string{"full"}
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer t.running.Add(-1)
	t.log.add(run{at: time.Now(), id: id, target: t.id, path: r.URL.Path, uri: r.RequestURI, sender: r.RemoteAddr,
		caller: r.Header.Values("X-Caller-Service")})
	_, _ = io.Copy(io.Discard, r.Body)
	work := r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:]
	if ms, err := strconv.Atoi(work); err == nil {
		select {
		case <-time.After(time.Duration(ms) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	body := "answer of " + t.id + " to " + id
	header["X-Response-Seal"] = []string{"seal-" + id}
	header["Content-Length"] = []string{strconv.Itoa(len(body))}
	_, _ = io.WriteString(w, body)
}
