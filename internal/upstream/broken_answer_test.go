package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadacross/internal/failure"
	"cicadacross/internal/upstream"
)

// slowBody is the body of an upload that arrives in parts until it is aborted.
type slowBody struct{ aborted atomic.Bool }

func (b *slowBody) Read(p []byte) (int, error) {
	time.Sleep(time.Millisecond)
	if b.aborted.Load() {
		return 0, net.ErrClosed
	}
	return len(p), nil
}

// upload sends an upload whose body arrives while the response is read. It returns the body of the response and the
// error of the read. The body is read late, so that parts of the upload are written after the connection was reset.
func upload(ctx context.Context, u *upstream.Upstream, delay time.Duration) (string, error) {
	conn, err := u.Connect(ctx, "a")
	if err != nil {
		return "", err
	}
	body := new(slowBody)
	response, err := conn.Do(ctx, upstream.Call{
		Method: http.MethodPost, Path: "/", Host: "h", ID: "a", Header: http.Header{"X-Attempt-Id": {"a"}},
		Body: body, ContentLength: 10 << 20, AbortBody: func() { body.aborted.Store(true) },
	})
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	time.Sleep(delay)
	data, err := io.ReadAll(response.Body)
	return string(data), err
}

// resetAfter makes the upstream send the answer without a length and then reset the connection.
func resetAfter(answer string, wait time.Duration) func(conn net.Conn, requests *bufio.Reader) {
	return func(conn net.Conn, requests *bufio.Reader) {
		if _, err := http.ReadRequest(requests); err != nil {
			return
		}
		_, _ = io.WriteString(conn, answer)
		time.Sleep(wait)
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

const headWithoutLength = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nX-Response-Seal: s\r\nConnection: close\r\n\r\n"

// Guards against a part of an answer without a length that is passed on as a whole one: the upstream answers an upload
// early and resets the connection, and the write of the upload takes the error, so that the read ends without one.
func TestResetDuringAnUploadEndsNoAnswer(t *testing.T) {
	t.Parallel()
	for _, wait := range []time.Duration{0, 5 * time.Millisecond, 20 * time.Millisecond} {
		for range 20 {
			u := newRawUpstream(t, resetAfter(headWithoutLength+"a part", wait))
			body, err := upload(t.Context(), u, 20*time.Millisecond)
			assert.Assert(t, err != nil, "after %v: %q was taken for a whole answer", wait, body)
			assert.Assert(t, upstream.MayHaveRun(err))
		}
	}
}

// Guards against the same when the request has been written completely.
func TestResetEndsNoAnswer(t *testing.T) {
	t.Parallel()
	u := newRawUpstream(t, resetAfter(headWithoutLength+"a part", 5*time.Millisecond))
	_, body, err := send(t.Context(), u, "a")
	assert.Assert(t, err != nil, "%q was taken for a whole answer", body)
}

// Guards against an early answer without a length that is refused although the upstream has ended it properly and still
// reads the upload.
func TestEarlyAnswerWithoutLengthIsComplete(t *testing.T) {
	t.Parallel()
	u := newRawUpstream(t, func(conn net.Conn, requests *bufio.Reader) {
		if _, err := http.ReadRequest(requests); err != nil {
			return
		}
		_, _ = io.WriteString(conn, headWithoutLength+"a whole answer")
		_ = conn.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, requests)
	})
	body, err := upload(t.Context(), u, 20*time.Millisecond)
	assert.NilError(t, err)
	assert.Equal(t, body, "a whole answer")
}

// Guards against an answer without a valid status that is passed on, or taken for an interim one, so that the request
// waits until its deadline.
func TestAnswerWithoutValidStatusIsRefused(t *testing.T) {
	t.Parallel()
	for _, status := range []string{
		"000", "001", "099", "+99", "-01", "101", "600", "999", "1000", "20", "2 0", "abc", "0x1", "", "200200",
	} {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			u := newRawUpstream(t, func(conn net.Conn, requests *bufio.Reader) {
				for {
					request, err := http.ReadRequest(requests)
					if err != nil {
						return
					}
					_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" Trouble\r\nX-Attempt-Id: "+
						request.Header.Get("X-Attempt-Id")+"\r\nX-Response-Seal: s\r\nContent-Length: 0\r\n\r\n")
				}
			})
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			got, _, err := send(ctx, u, "a")
			assert.Assert(t, err != nil, "status %d", got)
			assert.Assert(t, upstream.MayHaveRun(err))
			assert.NilError(t, ctx.Err(), "held until the deadline")
			kind, _ := failure.KindOf[upstream.Kind](err)
			assert.Assert(t, kind == upstream.KindBadResponse || kind == upstream.KindBroken, "%v", err)
		})
	}
}
