package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

// exchange is one call and its answer on a connection. It is the body of the answer.
type exchange struct {
	conn     *Connection
	ctx      context.Context
	started  time.Time
	written  int64
	read     int64
	body     *requestBody
	source   io.ReadCloser
	response *http.Response
	reply    *Reply
	ended    bool
	err      error
}

// Read reads from the body of the answer. It must not be called concurrently with itself or Close.
func (x *exchange) Read(p []byte) (int, error) {
	if x.ended {
		return 0, x.err
	}
	n, err := x.source.Read(p)
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) {
		x.reply.Trailer = x.response.Trailer
		x.ended, x.err = true, io.EOF
		x.keep()
		return n, io.EOF
	}
	x.err = x.fail("read", err)
	return n, x.err
}

// Close ends the exchange. Before the end of the answer it closes the connection, which cancels the call.
func (x *exchange) Close() error {
	if x.ended {
		return nil
	}
	if x.source == http.NoBody {
		x.ended, x.err = true, io.EOF
		x.keep()
		return nil
	}
	_ = x.source.Close()
	x.err = newError("read", KindCanceled, "the answer was closed before its end")
	x.drop()
	return nil
}

// keep gives the connection back to the pool when net/http finds it fit for another call.
func (x *exchange) keep() {
	c := x.conn
	c.wire.onClose.Store(nil)
	defer c.upstream.pool.leave()
	if c.client.Available() == 0 {
		c.shut()
		return
	}
	c.lastUsed = c.upstream.opts.Timers.Now()
	c.upstream.pool.put(c)
}

// drop closes the connection.
func (x *exchange) drop() {
	x.ended = true
	x.conn.shut()
	x.conn.upstream.pool.leave()
}

// fail closes the connection and classifies the error.
func (x *exchange) fail(op string, cause error) error {
	x.drop()
	u := x.conn.upstream
	answered := x.conn.wire.read.Load() > x.read
	sent := x.conn.wire.written.Load() > x.written
	expired := errors.Is(context.Cause(x.ctx), context.DeadlineExceeded)
	switch {
	case expired && sent && !answered:
		u.pool.closeIdle(x.started)
		return wrapError(op, KindSilent, cause, "no byte arrived within the time limit")
	case !sent:
		return wrapError(op, KindNotSent, cause, "nothing of the call was sent")
	case expired:
		return wrapError(op, KindTimeout, cause, "the time ended")
	case x.ctx.Err() != nil:
		return wrapError(op, KindCanceled, cause, "the call was canceled")
	case x.body != nil && x.body.failed.Load():
		return wrapError(op, KindCanceled, cause, "the body of the call ended early")
	}
	u.crash.broken(x.ctx)
	return wrapError(op, KindBroken, cause, "the connection broke")
}
