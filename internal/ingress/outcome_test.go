package ingress_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	standin "cicadacross/internal/standin/upstream"
	"cicadacross/internal/timer"
)

// Guards against status 400, after which callers don't retry, for a request whose deadline passed while its body was
// read.
func TestTimeThatEndsDuringTheBodyIsNotRun(t *testing.T) {
	f := newFleet(t, fleetOptions{hosts: 1})
	for _, headers := range [][]string{nil, {"Idempotency-Key: k"}} {
		got := f.call(0, "POST", "/pages/slow-body", &stalledBody{start: "abc"}, append(headers, "X-Mesh-Timeout: 150")...)
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, http.StatusServiceUnavailable, got.body)
		assert.Equal(t, got.outcome(), "not-run")
		assert.Assert(t, strings.Contains(got.body, "time"), got.body)
	}
	assert.Equal(t, f.nodes[0].standin.Executions().ByPath["/pages/slow-body"], 0)
}

// stalledBody is a body whose end doesn't arrive for a second.
type stalledBody struct{ start string }

func (b *stalledBody) Read(p []byte) (int, error) {
	if b.start != "" {
		n := copy(p, b.start)
		b.start = b.start[n:]
		return n, nil
	}
	time.Sleep(time.Second)
	return 0, io.ErrUnexpectedEOF
}

// Guards against a truncated response that ends as a success, for responses with and without a length.
func TestTruncatedAnswerIsAborted(t *testing.T) {
	for _, size := range []int{1 << 10, 200 << 10} {
		f := newFleet(t, fleetOptions{hosts: 2, behavior: standin.Behavior{
			ResponseSize: size, TruncatedPath: "/pages/cut", WrongLengthPath: "/pages/wrong", CloseDelimitedPath: "/pages/open",
		}})
		for host := range 2 {
			for _, path := range []string{"/pages/cut", "/pages/wrong", "/pages/open"} {
				got := f.call(host, "GET", path, nil)
				whole := got.err == nil && got.outcome() == "done"
				assert.Assert(t, !whole, "%s of %d bytes came as a whole answer", path, size)
				if got.status >= 500 {
					assert.Equal(t, got.outcome(), "unknown")
				}
			}
		}
	}
}

// Guards against a request that starts after its deadline: it waits for the only slot until the deadline has passed.
func TestRequestIsNotStartedAfterItsDeadline(t *testing.T) {
	f := newFleet(t, fleetOptions{hosts: 1, slots: 1, behavior: standin.Behavior{
		ServiceTimes: map[string]time.Duration{"/pages/slow": 300 * time.Millisecond},
	}})
	first := make(chan callResult)
	go func() { first <- f.call(0, "GET", "/pages/slow", nil) }()
	waitFor(t, "the slow request", func() bool { return f.nodes[0].standin.InProgress() == 1 })
	got := f.call(0, "GET", "/pages/late", nil, "X-Mesh-Timeout: 60")
	assert.Equal(t, got.status, 503, got.body)
	assert.Equal(t, got.outcome(), "not-run")
	assert.Equal(t, (<-first).outcome(), "done")
	assert.Equal(t, f.nodes[0].standin.Executions().ByPath["/pages/late"], 0)
}

// Guards against a request that continues to run, or keeps its slot, after its caller has disconnected.
func TestCallerThatLeavesCancelsTheCall(t *testing.T) {
	for host := range 2 {
		f := newFleet(t, fleetOptions{slots: 1, behavior: standin.Behavior{
			ServiceTimes: map[string]time.Duration{"/pages/slow": time.Minute},
		}})
		ctx, cancel := context.WithCancel(t.Context())
		request, err := http.NewRequestWithContext(ctx, "GET", "http://"+f.nodes[host].callerAddress+"/pages/slow", nil)
		assert.NilError(t, err)
		request.Host = "portal"
		done := make(chan error, 1)
		go func() {
			response, err := http.DefaultTransport.RoundTrip(request)
			if err == nil {
				_ = response.Body.Close()
			}
			done <- err
		}()
		upstream := f.nodes[0].standin
		waitFor(t, "the request", func() bool { return upstream.InProgress() == 1 })
		cancel()
		assert.Assert(t, <-done != nil)
		waitFor(t, "the cancellation", func() bool { return upstream.Executions().Canceled == 1 })
		assert.Equal(t, f.call(host, "GET", "/pages/next", nil).outcome(), "done")
	}
}

// Guards against a request that must not repeat and runs twice or is lost because its caller disconnected and sent it
// again: the second attempt gets the response of the first run.
func TestKeyedRequestIsFinishedWhenItsCallerLeaves(t *testing.T) {
	for host := range 2 {
		f := newFleet(t, fleetOptions{behavior: standin.Behavior{ServiceTime: 150 * time.Millisecond}})
		ctx, cancel := context.WithCancel(t.Context())
		url := "http://" + f.nodes[host].callerAddress + "/publish/1"
		request, err := http.NewRequestWithContext(ctx, "POST", url, strings.NewReader("release"))
		assert.NilError(t, err)
		request.Host = "portal"
		request.Header.Set("Idempotency-Key", "k1")
		done := make(chan struct{})
		go func() {
			defer close(done)
			if response, err := http.DefaultTransport.RoundTrip(request); err == nil {
				_ = response.Body.Close()
			}
		}()
		upstream := f.nodes[0].standin
		waitFor(t, "the request", func() bool { return upstream.InProgress() == 1 })
		cancel()
		<-done
		got := f.call(host, "POST", "/publish/1", strings.NewReader("release"), "Idempotency-Key: k1")
		assert.Equal(t, got.outcome(), "done", got.body)
		assert.Equal(t, got.body, "release")
		assert.Equal(t, upstream.Executions().ByKey["k1"], 1)
	}
}

// Guards against a second run of a keyed request whose first run was aborted: its outcome stays unknown.
func TestKeyedRequestRunsAtMostOnce(t *testing.T) {
	f := newFleet(t, fleetOptions{})
	assert.Equal(t, f.call(1, "GET", "/pages", nil).outcome(), "done") // leaves a kept-alive connection
	f.nodes[0].standin.SetBehavior(standin.Behavior{CloseAfterRequest: true})
	for range 3 {
		got := f.call(1, "POST", "/publish/1", strings.NewReader("x"), "Idempotency-Key: k1")
		assert.Equal(t, got.status, 502)
		assert.Equal(t, got.outcome(), "unknown")
	}
	assert.Equal(t, f.nodes[0].standin.Executions().ByKey["k1"], 1)
	assert.Equal(t, f.nodes[1].standin.Executions().ByKey["k1"], 0)
}

// Guards against a retry of a request that may have run and must not repeat, and against a missing retry of one that
// may.
func TestRetryOnlyWhenSafe(t *testing.T) {
	f := newFleet(t, fleetOptions{})
	f.nodes[0].standin.SetBehavior(standin.Behavior{CloseAfterRequest: true})
	got := f.call(0, "POST", "/pages/a", strings.NewReader("short"))
	assert.Equal(t, got.outcome(), "done")
	assert.Equal(t, f.nodes[1].standin.Executions().Started, 1)
	// A body that was read beyond the kept part can't be sent again.
	got = f.call(0, "POST", "/pages/b", io.MultiReader(strings.NewReader(strings.Repeat("x", 300<<10))))
	assert.Equal(t, got.outcome(), "unknown")
	assert.Equal(t, f.nodes[1].standin.Executions().ByPath["/pages/b"], 0)
	// An upstream that refuses connections has not run the request.
	f.nodes[0].standin.Close()
	got = f.call(0, "POST", "/pages/c", io.MultiReader(strings.NewReader(strings.Repeat("x", 300<<10))))
	assert.Equal(t, got.outcome(), "done")
	assert.Equal(t, len(got.body), 300<<10)
	// A keyed request has one owner and no other target.
	got = f.call(0, "POST", "/publish/d", strings.NewReader("x"), "Idempotency-Key: k2")
	assert.Equal(t, got.status, 503)
	assert.Equal(t, got.outcome(), "not-run")
	assert.Equal(t, f.nodes[1].standin.Executions().ByKey["k2"], 0)
}

// Guards against memory use that grows with a response whose caller doesn't read it.
func TestSlowReaderDoesNotGrowMemory(t *testing.T) {
	const size = 32 << 20
	f := newFleet(t, fleetOptions{hosts: 2, behavior: standin.Behavior{ResponseSize: size}})
	before := int64(heapBytes())
	for range 4 {
		conn, err := net.Dial("tcp", f.nodes[1].callerAddress)
		assert.NilError(t, err)
		defer func() { _ = conn.Close() }()
		_, err = io.WriteString(conn, "GET /pages HTTP/1.1\r\nHost: portal\r\n\r\n")
		assert.NilError(t, err)
		_, err = bufio.NewReaderSize(conn, 16).ReadByte()
		assert.NilError(t, err)
	}
	// The stand-in holds its four responses in this process; anything above is held by the daemons.
	waitFor(t, "the answers to begin", func() bool { return f.nodes[0].standin.InProgress() == 4 })
	// Wait until the buffers are full; the heap also includes what is allocated in the meantime.
	<-(timer.System{}).After(500 * time.Millisecond).C()
	// Daemons that buffer whole responses would have read them from the stand-in by now.
	assert.Equal(t, f.nodes[0].standin.InProgress(), 4)
	waitFor(t, "the daemons to hold less than 8 MB for four slow readers", func() bool {
		return int64(heapBytes())-before-4*size < 8<<20
	})
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Guards against a shutdown that aborts an upload in progress, and against new requests that are accepted during it.
func TestShutdownFinishesUploads(t *testing.T) {
	f := newFleet(t, fleetOptions{})
	n := f.nodes[1]
	reader, writer := io.Pipe()
	first := make(chan callResult)
	go func() { first <- f.call(1, "POST", "/pages/upload", reader) }()
	part := bytes.Repeat([]byte("u"), 100<<10)
	_, err := writer.Write(part)
	assert.NilError(t, err)
	waitFor(t, "the upload", func() bool { return f.nodes[0].standin.InProgress() == 1 })
	idle, err := net.Dial("tcp", n.callerAddress)
	assert.NilError(t, err)
	defer func() { _ = idle.Close() }()
	n.ingress.Drain()
	_, err = io.WriteString(idle, "GET /pages HTTP/1.1\r\nHost: portal\r\n\r\n")
	assert.NilError(t, err)
	refused, err := http.ReadResponse(bufio.NewReader(idle), nil)
	assert.NilError(t, err)
	defer func() { _ = refused.Body.Close() }()
	assert.Equal(t, refused.StatusCode, 503)
	assert.Equal(t, refused.Header.Get("X-Mesh-Outcome"), "not-run")
	stopped := make(chan error, 1)
	go func() { stopped <- n.ingress.Shutdown(t.Context()) }()
	drained := make(chan error, 1)
	go func() { drained <- f.nodes[0].owner.Drain(t.Context()) }()
	_, err = writer.Write(part)
	assert.NilError(t, err)
	assert.NilError(t, writer.Close())
	got := <-first
	assert.Equal(t, got.outcome(), "done")
	assert.Equal(t, len(got.body), 2*len(part))
	assert.NilError(t, <-stopped)
	assert.NilError(t, <-drained)
}

// Guards against pipelined requests whose responses are exchanged, and against a header with both Content-Length and
// Transfer-Encoding, by which two servers can see different ends of one request.
func TestRawConnections(t *testing.T) {
	f := newFleet(t, fleetOptions{})
	conn, err := net.Dial("tcp", f.nodes[1].callerAddress)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	var text strings.Builder
	for i := range 10 {
		body := fmt.Sprintf("request %d", i)
		fmt.Fprintf(&text, "POST /pages HTTP/1.1\r\nHost: portal\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	_, err = io.WriteString(conn, text.String())
	assert.NilError(t, err)
	reader := bufio.NewReader(conn)
	for i := range 10 {
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		data, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, string(data), fmt.Sprintf("request %d", i))
	}
	_, err = io.WriteString(conn, "POST /pages HTTP/1.1\r\nHost: portal\r\nContent-Length: 5\r\n"+
		"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
	assert.NilError(t, err)
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	assert.Equal(t, response.StatusCode, 400)
}

// Guards against requests that run before the daemon has a configuration.
func TestNoConfigurationIsNotRun(t *testing.T) {
	f := newFleet(t, fleetOptions{hosts: 1})
	f.configuration = nil
	got := f.call(0, "GET", "/pages", nil)
	assert.Equal(t, got.status, 503)
	assert.Equal(t, got.outcome(), "not-run")
}

// Guards against retries that multiply the load when every upstream fails: the budget is a tenth of the requests plus 3
// per second.
func TestRetryBudget(t *testing.T) {
	const requests = 60
	f := newFleet(t, fleetOptions{behavior: standin.Behavior{CloseAfterRequest: true}})
	clock := timer.System{}
	start := clock.Now()
	for range requests {
		assert.Equal(t, f.call(0, "GET", "/pages/a", nil).outcome(), "unknown")
	}
	seconds := int(clock.Now().Sub(start)/time.Second) + 1
	started := f.nodes[0].standin.Executions().Started + f.nodes[1].standin.Executions().Started
	assert.Assert(t, started > requests, "no retry was made")
	assert.Assert(t, started <= requests+requests/10+3*(seconds+1), "%d executions", started)
}
