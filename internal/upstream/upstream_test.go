package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadacross"
	"cicadacross/internal/failure"
	standin "cicadacross/internal/standin/upstream"
	"cicadacross/internal/timer"
	"cicadacross/internal/upstream"
)

// crashes counts the crashes that the quarantine is notified of.
type crashes struct {
	cicadacross.Quarantine
	count atomic.Int32
}

func (c *crashes) RecordCrash() { c.count.Add(1) }

func newPair(t *testing.T, b standin.Behavior, connections int) (*standin.Server, *upstream.Upstream, *crashes) {
	t.Helper()
	s := standin.New(standin.Options{Behavior: b, Timers: timer.System{}})
	assert.NilError(t, s.Start("127.0.0.1:0"))
	t.Cleanup(s.Close)
	q := &crashes{}
	u := upstream.New(upstream.Options{
		Address: s.Address(), Connections: connections, Timers: timer.System{}, Quarantine: q,
	})
	t.Cleanup(u.Close)
	return s, u, q
}

// call sends one request and reads the whole response.
func call(ctx context.Context, u *upstream.Upstream, c upstream.Call) error {
	conn, err := u.Connect(ctx, c.ID)
	if err != nil {
		return err
	}
	c.Host = "portal"
	reply, err := conn.Do(ctx, c)
	if err != nil {
		return err
	}
	defer func() { _ = reply.Body.Close() }()
	_, err = io.Copy(io.Discard, reply.Body)
	return err
}

func kindOf(err error) upstream.Kind {
	kind, _ := failure.KindOf[upstream.Kind](err)
	return kind
}

// Guards against a request that runs twice because a library sends it again when a kept-alive connection is closed at
// the moment of its reuse. The upstream here reads the request, counts it and closes the connection without a response,
// the case in which http.Transport repeats GET requests and those with an Idempotency-Key.
func TestRequestIsWrittenOnceWhenReusedConnectionCloses(t *testing.T) {
	var executions atomic.Int32
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveOnceThenClose(conn, &executions)
		}
	}()
	for _, c := range []upstream.Call{
		{Method: "GET", Path: "/"},
		{Method: "POST", Path: "/", Header: http.Header{"Idempotency-Key": {"k"}}},
		{Method: "PUT", Path: "/", Header: http.Header{"X-Idempotency-Key": {"k"}}, Body: strings.NewReader("x"),
			ContentLength: 1},
		{Method: "POST", Path: "/", Body: strings.NewReader("x"), ContentLength: -1},
	} {
		u := upstream.New(upstream.Options{Address: listener.Addr().String(), Timers: timer.System{}})
		executions.Store(0)
		err = call(t.Context(), u, upstream.Call{Method: "GET", Path: "/"})
		assert.NilError(t, err)
		err = call(t.Context(), u, c)
		assert.Equal(t, kindOf(err), upstream.KindBroken, "%v", err)
		assert.Assert(t, upstream.MayHaveRun(err))
		assert.Equal(t, executions.Load(), int32(2), "%s with %v", c.Method, c.Header)
		u.Close()
	}
}

func serveOnceThenClose(conn net.Conn, executions *atomic.Int32) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for n := range 2 {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if request.URL.Path != "/health" {
			executions.Add(1)
		}
		if n == 0 {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	}
}

// Guards against a request whose outcome is unknown because it was written to a connection that the upstream had closed
// while it was idle.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	s, u, _ := newPair(t, standin.Behavior{}, 4)
	address := s.Address()
	for range 20 {
		err := call(t.Context(), u, upstream.Call{Method: "GET", Path: "/"})
		assert.NilError(t, err)
		s.Close()
		s = standin.New(standin.Options{Timers: timer.System{}})
		assert.NilError(t, s.Start(address))
	}
	s.Close()
}

// Guards against reuse of connections that went silent: the first timeout closes the connection and those idle since
// before the call, and a new one is dialed.
func TestSilentConnectionIsDiscarded(t *testing.T) {
	s, u, q := newPair(t, standin.Behavior{ServiceTime: 20 * time.Millisecond}, 8)
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() { _ = call(t.Context(), u, upstream.Call{Method: "GET", Path: "/"}) })
	}
	group.Wait()
	s.SetBehavior(standin.Behavior{Unresponsive: true})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	err := call(ctx, u, upstream.Call{Method: "GET", Path: "/silent"})
	assert.Equal(t, kindOf(err), upstream.KindSilent, "%v", err)
	for range 8 {
		err := call(t.Context(), u, upstream.Call{Method: "GET", Path: "/after"})
		assert.NilError(t, err)
	}
	assert.Equal(t, q.count.Load(), int32(0))
	assert.Assert(t, !u.State().Down)
}

// Guards against a silent connection that stays undetected until a request uses it.
func TestProbeFindsSilentConnection(t *testing.T) {
	s, _, _ := newPair(t, standin.Behavior{}, 4)
	u := upstream.New(upstream.Options{
		Address: s.Address(), Timers: timer.System{}, HealthInterval: 50 * time.Millisecond,
	})
	defer u.Close()
	err := call(t.Context(), u, upstream.Call{Method: "GET", Path: "/"})
	assert.NilError(t, err)
	s.SetBehavior(standin.Behavior{Unresponsive: true})
	u.Probe(t.Context())
	assert.Assert(t, !u.State().Unhealthy, "a new connection answers")
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	err = call(ctx, u, upstream.Call{Method: "GET", Path: "/"})
	assert.NilError(t, err)
}

// Guards against a crash that is missed or reported once for each broken request, and against the loss of a connection
// that is reported as a crash.
func TestCrashIsReportedOnce(t *testing.T) {
	s, u, q := newPair(t, standin.Behavior{ServiceTime: time.Minute}, 8)
	var group sync.WaitGroup
	for range 5 {
		group.Go(func() {
			err := call(t.Context(), u, upstream.Call{Method: "GET", Path: "/"})
			assert.Check(t, kindOf(err) == upstream.KindBroken, "%v", err)
		})
	}
	for s.InProgress() < 5 {
		<-timer.System{}.After(time.Millisecond).C()
	}
	address := s.Address()
	s.Close()
	group.Wait()
	assert.Equal(t, q.count.Load(), int32(1))
	assert.Assert(t, u.State().Down)
	err := call(t.Context(), u, upstream.Call{Method: "GET", Path: "/"})
	assert.Equal(t, kindOf(err), upstream.KindConnect)
	assert.Assert(t, !upstream.MayHaveRun(err))

	next := standin.New(standin.Options{Timers: timer.System{}, Behavior: standin.Behavior{CloseAfterRequest: true}})
	assert.NilError(t, next.Start(address))
	defer next.Close()
	err = call(t.Context(), u, upstream.Call{Method: "GET", Path: "/"})
	assert.Equal(t, kindOf(err), upstream.KindBroken, "%v", err)
	assert.Equal(t, q.count.Load(), int32(1), "new connections work, so that this is no crash")
	assert.Assert(t, !u.State().Down)
}

// Guards against more connections than the register allows.
func TestConnectionLimit(t *testing.T) {
	s, u, _ := newPair(t, standin.Behavior{ServiceTime: 5 * time.Millisecond}, 3)
	var group sync.WaitGroup
	for range 12 {
		group.Go(func() {
			err := call(t.Context(), u, upstream.Call{Method: "GET", Path: "/"})
			assert.Check(t, err)
		})
	}
	group.Wait()
	assert.Assert(t, s.Executions().MaxConcurrent <= 3)
	assert.Assert(t, s.Connections() <= 3)
}

// Guards against a response that counts as complete without proof of its end.
func TestIncompleteAnswersFail(t *testing.T) {
	_, u, _ := newPair(t, standin.Behavior{
		ResponseSize: 100 << 10, TruncatedPath: "/cut", WrongLengthPath: "/wrong", CloseDelimitedPath: "/delimited",
	}, 4)
	for path, kind := range map[string]upstream.Kind{
		"/cut": upstream.KindBroken, "/wrong": upstream.KindBroken, "/delimited": upstream.KindBadResponse,
	} {
		err := call(t.Context(), u, upstream.Call{Method: "GET", Path: path})
		assert.Equal(t, kindOf(err), kind, "%s: %v", path, err)
	}
}

// Guards against sending requests to an upstream that reports by either signal that it is draining, and against a
// lagging health endpoint that overrides what the upstream itself reported.
func TestDrainingSignals(t *testing.T) {
	_, u, _ := newPair(t, standin.Behavior{Draining: true, AlwaysHealthy: true}, 4)
	u.Probe(t.Context())
	assert.Assert(t, !u.State().Draining)
	err := call(t.Context(), u, upstream.Call{Method: "GET", Path: "/"})
	assert.NilError(t, err)
	assert.Assert(t, u.State().Draining)
	u.Probe(t.Context())
	assert.Assert(t, u.State().Draining)

	s, draining, _ := newPair(t, standin.Behavior{Draining: true}, 4)
	draining.Probe(t.Context())
	assert.Assert(t, draining.State().Draining)
	s.SetBehavior(standin.Behavior{})
	draining.Probe(t.Context())
	assert.Assert(t, !draining.State().Draining)
}
