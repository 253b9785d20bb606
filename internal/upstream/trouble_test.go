package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadacross"
	"cicadacross/internal/timer"
	"cicadacross/internal/upstream"
	"cicadacross/platform"
)

// rawUpstream passes each connection to serve, which returns when the connection must be closed.
type rawUpstream struct {
	listener net.Listener
	serve    func(conn net.Conn, requests *bufio.Reader)
}

func newRawUpstream(t *testing.T, serve func(conn net.Conn, requests *bufio.Reader)) *upstream.Upstream {
	t.Helper()
	return newRawUpstreamWithDialect(t, platform.Dialect{}, serve)
}

func newRawUpstreamWithDialect(
	t *testing.T, dialect cicadacross.Dialect, serve func(conn net.Conn, requests *bufio.Reader),
) *upstream.Upstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &rawUpstream{listener: listener, serve: serve}
	go s.run()
	u := upstream.New(upstream.Options{
		Address: listener.Addr().String(), Timers: timer.System{}, Dialect: dialect, Quarantine: &crashes{},
	})
	t.Cleanup(func() {
		u.Close()
		_ = listener.Close()
	})
	return u
}

func (s *rawUpstream) run() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.runConnection(conn)
	}
}

func (s *rawUpstream) runConnection(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	s.serve(conn, bufio.NewReader(conn))
}

func rejection(id string) string {
	return "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: " + id + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
}

func success(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: s\r\nContent-Length: %d\r\n\r\n%s", id,
		len(body), body)
}

// Guards against a late copy of a rejection that is mistaken for the response to the next send of the same request: a
// running request would be reported as not run.
func TestLateCopyOfARejectionIsNotTakenAsAnAnswer(t *testing.T) {
	var requests, connections atomic.Int32
	u := newRawUpstream(t, func(conn net.Conn, reader *bufio.Reader) {
		connections.Add(1)
		for n := 0; ; n++ {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			id := request.Header.Get("X-Attempt-Id")
			answer := success(id, "ran")
			if requests.Add(1) == 1 {
				answer = rejection(id)
			} else if n > 0 {
				answer = rejection("a") + answer
			}
			if _, err := io.WriteString(conn, answer); err != nil {
				return
			}
		}
	})
	for i, id := range []string{"a", "a", "b"} {
		status, body, err := send(t.Context(), u, id)
		assert.NilError(t, err)
		if i == 0 {
			assert.Equal(t, status, http.StatusServiceUnavailable)
			continue
		}
		assert.Equal(t, status, http.StatusOK, "send %d of request %s", i, id)
		assert.Equal(t, body, "ran")
	}
	assert.Equal(t, connections.Load(), int32(2))
}

// Guards against a late copy of a rejection that is mistaken for the response to the next send of the same request,
// although other requests were sent in between, or the copy arrives on another kept connection.
func TestRejectedRequestIsSentOnANewConnection(t *testing.T) {
	const others, idle = 20, 3
	var rejected atomic.Bool
	together := make(chan struct{}, idle)
	u := newRawUpstream(t, func(conn net.Conn, reader *bufio.Reader) {
		for n := 0; ; n++ {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			id := request.Header.Get("X-Attempt-Id")
			answer := success(id, "ran")
			switch {
			case id == "a" && !rejected.Swap(true):
				answer = rejection(id)
			case id == "a" && n > 0:
				answer = rejection(id) + answer
			case request.URL.Path == "/together":
				together <- struct{}{}
				for len(together) < idle {
					time.Sleep(time.Millisecond)
				}
			}
			if _, err := io.WriteString(conn, answer); err != nil {
				return
			}
		}
	})
	var group sync.WaitGroup
	for i := range idle { // leaves as many idle connections
		group.Go(func() {
			_, _, err := sendTo(t.Context(), u, "/together", fmt.Sprintf("together-%d", i))
			assert.Check(t, err)
		})
	}
	group.Wait()
	status, _, err := send(t.Context(), u, "a")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	for range 2 {
		for i := range others {
			_, _, err := send(t.Context(), u, fmt.Sprintf("other-%d", i))
			assert.NilError(t, err)
		}
		status, body, err := send(t.Context(), u, "a")
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, body, "ran")
	}
}

// Guards against a late copy of an answer that the next caller gets, in the own interface: an upstream that echoes the
// request ID identifies the call that the response belongs to.
func TestLateCopyIsSkippedWithoutDialect(t *testing.T) {
	u := newRawUpstreamWithDialect(t, nil, func(conn net.Conn, reader *bufio.Reader) {
		previous := ""
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Mesh-Request-Id: %s\r\nContent-Length: 1\r\n\r\n%[1]s",
				request.Header.Get("X-Attempt-Id"))
			if _, err := io.WriteString(conn, previous+answer); err != nil {
				return
			}
			previous = answer
		}
	})
	for _, id := range []string{"a", "b", "c"} {
		_, body, err := send(t.Context(), u, id)
		assert.NilError(t, err)
		assert.Equal(t, body, id)
	}
}

// send sends one call with the ID and returns the status and the body of its response.
func send(ctx context.Context, u *upstream.Upstream, id string) (int, string, error) {
	return sendTo(ctx, u, "/", id)
}

// sendTo sends one call for the path with the ID and returns the status and the body of its response.
func sendTo(ctx context.Context, u *upstream.Upstream, path, id string) (int, string, error) {
	conn, err := u.Connect(ctx, id)
	if err != nil {
		return 0, "", err
	}
	response, err := conn.Do(ctx, upstream.Call{
		Method: http.MethodGet, Path: path, Host: "h", ID: id, Header: http.Header{"X-Attempt-Id": {id}},
	})
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response.Status, string(body), err
}

// writeEndlessly writes the start and then repeats the text for as long as the other side reads. It counts the bytes.
func writeEndlessly(conn net.Conn, start, text string, sent *atomic.Int64) {
	if _, err := io.WriteString(conn, start); err != nil {
		return
	}
	chunk := []byte(strings.Repeat(text, max(1, 32<<10/len(text))))
	for {
		n, err := conn.Write(chunk)
		sent.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// Guards against bytes without end that are no answer and fill the memory of the daemon, keep the request until its
// deadline although they can be told at once, or are taken for an answer.
func TestBytesWithoutEndAreNoAnswer(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nX-Response-Seal: s\r\n"
	for name, c := range map[string]struct {
		start, text string
		// known reports that the bytes can be told from an answer before the deadline.
		known bool
	}{
		"no head":              {"", "\x16\x03\x01garbage", true},
		"status line":          {"HTTP/1.1 200 ", "x", true},
		"header line":          {"HTTP/1.1 200 OK\r\nX-Long: ", "x", true},
		"header lines":         {"HTTP/1.1 200 OK\r\n", "X-More: y\r\n", true},
		"interim responses":    {"", "HTTP/1.1 100 Continue\r\n\r\n", true},
		"interim header lines": {"HTTP/1.1 103 Early Hints\r\n", "Link: y\r\n", true},
		"chunk extension":      {head + "Transfer-Encoding: chunked\r\n\r\n5;", "x", true},
		"chunk extensions": {
			head + "Transfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("x", 2000) + "\r\na\r\n", true,
		},
		"trailer":              {head + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX-Long: ", "x", true},
		"trailers":             {head + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n", "X-More: y\r\n", true},
		"other answers":        {"", success("b", "other"), true},
		"body of other answer": {"HTTP/1.1 200 OK\r\nX-Attempt-Id: b\r\n\r\n", "x", true},
		"body without length":  {head + "\r\n", "x", false},
		"chunked body":         {head + "Transfer-Encoding: chunked\r\n\r\n", "5\r\nabcde\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			u := newRawUpstream(t, func(conn net.Conn, reader *bufio.Reader) {
				if _, err := http.ReadRequest(reader); err == nil {
					writeEndlessly(conn, c.start, c.text, &sent)
				}
			})
			before := liveMemory()
			const deadline = 500 * time.Millisecond
			ctx, cancel := context.WithTimeout(t.Context(), deadline)
			defer cancel()
			began := time.Now()
			err := discardAnswer(ctx, u)
			took := time.Since(began)
			after := liveMemory()
			assert.Assert(t, err != nil)
			assert.Assert(t, upstream.MayHaveRun(err))
			assert.Assert(t, took < deadline+300*time.Millisecond, "%v", took)
			if c.known {
				assert.Assert(t, ctx.Err() == nil, "held until the deadline: %v", err)
			}
			const maxGrowth = 16 << 20
			assert.Assert(t, after < before+maxGrowth, "%d, then %d bytes in use", before, after)
		})
	}
}

// liveMemory returns the size of the objects in use, in bytes.
func liveMemory() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// discardAnswer sends a call and reads its response without keeping it.
func discardAnswer(ctx context.Context, u *upstream.Upstream) error {
	conn, err := u.Connect(ctx, "a")
	if err != nil {
		return err
	}
	response, err := conn.Do(ctx, upstream.Call{Method: http.MethodGet, Path: "/", Host: "h", ID: "a"})
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// Guards against bytes after a complete answer that become a part of the next one.
func TestBytesAfterAnAnswerAreNoAnswer(t *testing.T) {
	var sent atomic.Int64
	u := newRawUpstream(t, func(conn net.Conn, reader *bufio.Reader) {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		writeEndlessly(conn, success(request.Header.Get("X-Attempt-Id"), "ran"), "x", &sent)
	})
	for _, id := range []string{"a", "b", "c"} {
		status, body, err := send(t.Context(), u, id)
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, body, "ran")
		// A call that reuses the connection before the first of these bytes arrives fails, which is allowed.
		time.Sleep(50 * time.Millisecond)
	}
	assert.Assert(t, sent.Load() < 64<<20, "%d bytes were read", sent.Load())
}
