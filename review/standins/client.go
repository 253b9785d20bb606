package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// answer is what a client saw of one request.
type answer struct {
	id      string
	machine string
	method  string
	path    string
	sentAt  time.Time
	endedAt time.Time
	status  int // 0 when there was no answer
	seal    string
	body    string
	err     string
}

// client sends requests to the daemon of one machine on kept connections.
type client struct {
	fleet   *fleet
	machine *machine
	http    *http.Client
}

// answerLog collects the answers of all clients.
type answerLog struct {
	mu      sync.Mutex
	answers []answer
}

func (l *answerLog) add(a answer) {
	l.mu.Lock()
	l.answers = append(l.answers, a)
	l.mu.Unlock()
}

func (l *answerLog) all() []answer {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]answer(nil), l.answers...)
}

func newClient(f *fleet, m *machine) *client {
	dialer := &net.Dialer{Timeout: time.Second}
	return &client{fleet: f, machine: m, http: &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 64, DisableCompression: true, IdleConnTimeout: 10 * time.Second,
	}}}
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends one request and waits for its answer, at most for the deadline.
func (c *client) send(method, host, path, body string, deadline time.Duration) answer {
	a := answer{id: newID(), machine: c.machine.name, method: method, path: path, sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	url := fmt.Sprintf("http://%s:%d%s", c.machine.ip, c.fleet.ports.caller, path)
	r, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		a.err = err.Error()
		return a
	}
	if body == "" {
		r.Body, r.ContentLength = nil, 0
	}
	r.GetBody = nil
	r.Host = host
	r.Header["X-Attempt-Id"] = []string{a.id}
	r.Header["X-Deadline-Remaining"] = []string{fmt.Sprint(deadline.Milliseconds())}
	response, err := c.http.Do(r)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		a.status, a.seal, a.body = response.StatusCode, response.Header.Get("X-Response-Seal"), string(data)
	}
	if err != nil {
		a.err, a.status = err.Error(), 0
	}
	a.endedAt = time.Now()
	return a
}
