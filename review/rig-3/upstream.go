package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// upstream is a stand-in of one target. The last segment of a path is the time that the request takes, such as
// /a/200ms.
type upstream struct {
	id, address, service string
	slots, queue         int
	server               *http.Server
	record               *record
	// poisoned receives the target when it begins to run a request that crashes it.
	poisoned chan *upstream

	mu sync.Mutex
	// coldUntil is the time until which the target is cold and takes twice as long.
	coldUntil time.Time
	running   int
	waiting   int
	free      chan struct{}
	runs      []run
}

// run is one run of a request.
type run struct {
	id   string
	at   time.Time
	path string
	uri  string
}

func newUpstream(rec *record, id, service, address string, slots, queue int) (*upstream, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	u := &upstream{id: id, service: service, address: address, slots: slots, queue: queue, record: rec}
	u.free = make(chan struct{}, slots)
	for range slots {
		u.free <- struct{}{}
	}
	u.server = &http.Server{Handler: u, IdleTimeout: 10 * time.Second}
	go func() { _ = u.server.Serve(listener) }()
	return u, nil
}

// entry returns the value of the target in the store.
func (u *upstream) entry(zone, state string, seq int, born int64, coldS float64) string {
	return fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"slots":%d},`+
		`"status":{"state":%q,"seq":%d,"coldRemainingS":%g}}`, u.address, born, u.service, zone, u.slots, state, seq, coldS)
}

func (u *upstream) allRuns() []run {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]run(nil), u.runs...)
}

func (u *upstream) load() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", u.running, u.waiting, u.slots)
}

func (u *upstream) coldRemaining() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return time.Until(u.coldUntil)
}

func (u *upstream) reject(w http.ResponseWriter, r *http.Request, status int) {
	w.Header()["X-Not-Executed"] = []string{"1"}
	u.answer(w, r, status, "not run")
}

func (u *upstream) answer(w http.ResponseWriter, r *http.Request, status int, body string) {
	h := w.Header()
	if id := r.Header.Get("X-Attempt-Id"); id != "" {
		h["X-Attempt-Id"] = []string{id}
	}
	h["X-Server-Load"] = []string{u.load()}
	h["Keep-Alive"] = []string{"timeout=10"}
	h["Content-Length"] = []string{strconv.Itoa(len(body))}
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body)
}

func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		w.Header()["X-Instance-Id"] = []string{u.id}
		if cold := u.coldRemaining(); cold > 0 {
			w.Header()["X-Cold-Remaining-Ms"] = []string{strconv.FormatInt(cold.Milliseconds(), 10)}
		}
		u.answer(w, r, http.StatusOK, "")
		return
	}
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != u.id {
		u.answer(w, r, http.StatusMisdirectedRequest, "not this instance")
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	if id == "" {
		u.reject(w, r, http.StatusBadRequest)
		return
	}
	ctx := r.Context()
	if ms, err := strconv.ParseFloat(r.Header.Get("X-Deadline-Remaining"), 64); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms*float64(time.Millisecond)))
		defer cancel()
	}
	if !u.take(ctx) {
		u.reject(w, r, http.StatusServiceUnavailable)
		return
	}
	defer u.giveBack()
	work, _ := time.ParseDuration(r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:])
	u.mu.Lock()
	u.runs = append(u.runs, run{id: id, at: time.Now(), path: r.URL.Path, uri: r.RequestURI})
	u.mu.Unlock()
	u.record.log("run", "id", id, "target", u.id, "caller_service", r.Header.Get("X-Caller-Service"))
	if strings.HasSuffix(r.URL.Path, "/poison") {
		// The target works while the body arrives, and crashes a little after it has begun.
		go func() { _, _ = io.Copy(io.Discard, r.Body) }()
		time.Sleep(poisonTime)
		u.poisoned <- u
		<-r.Context().Done()
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if strings.HasPrefix(string(body), poisonMark) {
		u.poisoned <- u
		<-r.Context().Done()
		return
	}
	if u.coldRemaining() > 0 {
		work *= 2
	}
	t := time.NewTimer(work)
	defer t.Stop()
	select {
	case <-t.C:
		w.Header()["X-Response-Seal"] = []string{"seal-" + id}
		u.answer(w, r, http.StatusOK, "answer to "+id)
	case <-ctx.Done():
		w.Header()["X-Response-Seal"] = []string{"seal-" + id}
		u.answer(w, r, http.StatusGatewayTimeout, "deadline")
	}
}

// poisonMark is the beginning of a body that crashes a target.
const poisonMark = "POISON"

// poisonTime is the time for which a target runs a request that crashes it.
const poisonTime = 125 * time.Millisecond

// take takes a slot, or returns false when the queue is full or the deadline passes.
func (u *upstream) take(ctx context.Context) bool {
	u.mu.Lock()
	if u.waiting >= u.queue && len(u.free) == 0 {
		u.mu.Unlock()
		return false
	}
	u.waiting++
	u.mu.Unlock()
	ok := false
	select {
	case <-u.free:
		ok = true
	case <-ctx.Done():
	}
	u.mu.Lock()
	u.waiting--
	if ok {
		u.running++
	}
	u.mu.Unlock()
	return ok
}

func (u *upstream) giveBack() {
	u.mu.Lock()
	u.running--
	u.mu.Unlock()
	u.free <- struct{}{}
}
