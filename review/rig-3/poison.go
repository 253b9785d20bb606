package main

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"time"
)

// poison describes a request that crashes each target that begins to run it, and comes again every second.
type poison struct {
	// targets is the number of targets of the service.
	targets int
	method  string
	// path crashes the target, harmless doesn't.
	path, harmless string
	// pieces is the number of pieces of pieceSize bytes of the body, which the client sends pieceInterval apart.
	pieces int
}

const (
	pieceSize     = 50_000
	pieceInterval = 50 * time.Millisecond
	// downTime is the time after which a target that crashed is back.
	downTime = 3 * time.Second
	// stableWindow and maxRetries are the figures of the rule BUDGET on requests that crash targets.
	stableWindow = 3 * time.Second
	maxRetries   = 3
	sends        = 45
)

// poisonReadCase plays a lookup on a service with a single target.
func poisonReadCase(rec *record, trouble bool) (bool, error) {
	return poison{targets: 1, method: "GET", path: "/a/poison", harmless: "/a/10ms"}.play(rec, trouble, "127.41.3")
}

// poisonUploadCase plays an upload of 1 MB in one second on a service with four targets.
func poisonUploadCase(rec *record, trouble bool) (bool, error) {
	return poison{targets: 4, method: "POST", path: "/u/poison", harmless: "/u/10ms", pieces: 20}.play(rec, trouble,
		"127.41.4")
}

// play sends the request and reports whether it reached targets in at most maxRetries retries later than stableWindow
// after the third crash.
func (p poison) play(rec *record, trouble bool, net24 string) (bool, error) {
	config := `{"version":7,"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15},` +
		`"listeners":[{"host":"desk.example","rules":[` +
		`{"name":"look","kind":"safe","aimS":0.5,"priority":1,"match":{"prefix":"/a/"},"action":{"service":"desk","timeoutS":2.5,"maxAttempts":2}},` +
		`{"name":"load","kind":"upload","aimS":1.2,"priority":2,"match":{"prefix":"/u/"},"action":{"service":"desk","timeoutS":2.5,"maxAttempts":2}},` +
		`{"name":"other","kind":"safe","aimS":0.5,"priority":1,"match":{"prefix":"/b/"},"action":{"service":"vault","timeoutS":1.5,"maxAttempts":2}}` +
		`]}],"clusters":[{"name":"desk","healthPath":"/healthz","maxConnections":110},{"name":"vault","healthPath":"/healthz","maxConnections":110}]}`
	desk := machineSpec{zone: "z1", service: "desk", slots: 9, queue: 24}
	vault := machineSpec{zone: "z1", service: "vault", slots: 9, queue: 24}
	f, err := newFleet(rec, bounds{graceS: 6, drainS: 2, memoryMB: 284, linkMbps: 1000}, net24,
		append(slices.Repeat([]machineSpec{desk}, p.targets), vault, vault), config)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)

	w := &crashes{fleet: f, poisoned: make(chan *upstream, sends)}
	for _, m := range f.machines[:p.targets] {
		m.up.poisoned = w.poisoned
	}
	go w.run()
	path := p.harmless
	if trouble {
		path = p.path
	}
	for n := range sends {
		m := f.machines[n%len(f.machines)]
		f.sendBody(m, p.method, "desk.example", path, fmt.Sprintf("p-%d", n), 2400*time.Millisecond, p.body(), int64(p.pieces*pieceSize))
		time.Sleep(time.Second)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	late := w.lateRetries()
	fmt.Printf("crashes: %d; retries that reached a target later than %v after the third crash: %d\n", len(w.times),
		stableWindow, late)
	rec.log("result", "crashes", len(w.times), "late_retries", late)
	return late <= maxRetries, nil
}

// body returns the body of one send, or nil.
func (p poison) body() io.Reader {
	if p.pieces == 0 {
		return nil
	}
	return &slowBody{left: p.pieces}
}

// slowBody is a body that arrives in pieces.
type slowBody struct {
	left   int
	unread int
}

func (b *slowBody) Read(data []byte) (int, error) {
	if b.unread == 0 {
		if b.left == 0 {
			return 0, io.EOF
		}
		time.Sleep(pieceInterval)
		b.left--
		b.unread = pieceSize
	}
	n := min(len(data), b.unread)
	for i := range n {
		data[i] = 'x'
	}
	b.unread -= n
	return n, nil
}

// crashes ends each target that begins to run the request, and starts it again after downTime under another ID.
type crashes struct {
	fleet    *fleet
	poisoned chan *upstream

	mu    sync.Mutex
	times []time.Time
}

// lateRetries counts the retries that reached a target later than stableWindow after the third crash. The caller must
// hold mu.
func (w *crashes) lateRetries() int {
	late := 0
	for _, at := range w.times {
		if len(w.times) >= 3 && at.Sub(w.times[2]) > stableWindow {
			late++
		}
	}
	return late
}

func (w *crashes) run() {
	for u := range w.poisoned {
		w.mu.Lock()
		w.times = append(w.times, time.Now())
		n := len(w.times)
		w.mu.Unlock()
		w.fleet.record.log("crash", "target", u.id, "number", n)
		_ = u.server.Close()
		go w.restart(u, fmt.Sprintf("%s.%d", u.id, n))
	}
}

func (w *crashes) restart(u *upstream, id string) {
	time.Sleep(downTime)
	next, err := newUpstream(w.fleet.record, id, u.service, u.address, u.slots, u.queue)
	if err != nil {
		w.fleet.record.log("cannot restart", "target", id, "error", err)
		return
	}
	next.poisoned = w.poisoned
	w.fleet.store.remove("servers/" + u.id)
	w.fleet.store.put("servers/"+id, next.entry("z1", "ready", 1, time.Now().UnixMilli(), 0))
	w.fleet.record.log("restarted", "target", id)
}
