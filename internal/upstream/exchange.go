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
	id       string
	written  int64
	read     int64
	body     *requestBody
	response *http.Response
	answer   io.ReadCloser // the body of response
	reply    *Response
	stop     func() bool   // ends the watch over ctx
	writing  chan struct{} // closed when a body that was not ready is written; nil for others
	ended    bool
	err      error
}

// roundTrip writes the request and reads the head of the answer.
func (x *exchange) roundTrip(request *http.Request, ready bool) error {
	if x.body != nil && !ready {
		x.writing = make(chan struct{})
		go x.run(request)
	} else if err := x.conn.write(request); err != nil {
		if x.sent() == 0 || (x.body != nil && x.body.failed.Load()) {
			return err
		}
		// The upstream may have answered early and closed the connection.
		x.conn.broken = true
	}
	if err := x.receive(request); err != nil {
		return err
	}
	x.answer = x.response.Body
	return nil
}

// receive reads the head of the answer. It skips late answers of earlier calls, which the dialect tells from that of
// this call.
func (x *exchange) receive(request *http.Request) error {
	dialect := x.conn.upstream.opts.Dialect
	for range maxStray {
		if err := x.conn.receive(request, &x.response); err != nil {
			return err
		}
		if dialect == nil || !dialect.ReadResponse(x.id, x.response.StatusCode, x.response.Header).Mismatched {
			return nil
		}
		_, err := io.Copy(io.Discard, x.response.Body)
		_ = x.response.Body.Close()
		if err != nil {
			return err
		}
	}
	return newError("call", KindBadReply, "%d answers of other calls came", maxStray)
}

// run writes a request whose body arrives while the answer is awaited.
func (x *exchange) run(request *http.Request) {
	defer close(x.writing)
	if x.conn.write(request) != nil && x.body.failed.Load() {
		// Without the close the upstream would wait for the rest of the body.
		x.conn.shut()
	}
}

// sent returns how many bytes of the call were written.
func (x *exchange) sent() int64 { return x.conn.wire.written.Load() - x.written }

// write writes the request once.
func (c *Connection) write(request *http.Request) error {
	if err := request.Write(c.writer); err != nil {
		return err
	}
	return c.writer.Flush()
}

// receive reads the head of the answer and skips interim ones.
func (c *Connection) receive(request *http.Request, into **http.Response) error {
	c.wire.inHead, c.wire.headLeft = true, maxReplyHeader
	defer func() { c.wire.inHead = false }()
	for {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return err
		}
		interim := response.StatusCode < http.StatusOK && response.StatusCode != http.StatusSwitchingProtocols
		if interim {
			_ = response.Body.Close()
			continue
		}
		c.broken = c.broken || response.Close || request.Close
		*into = response
		return nil
	}
}

// Read reads from the body of the answer. It must not be called concurrently with itself or Close.
func (x *exchange) Read(p []byte) (int, error) {
	if x.ended {
		return 0, x.err
	}
	n, err := x.answer.Read(p)
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
	if x.answer == http.NoBody {
		x.ended, x.err = true, io.EOF
		x.keep()
		return nil
	}
	x.err = newError("read", KindCanceled, "the answer was closed before its end")
	x.drop()
	return nil
}

// keep gives the connection back to the pool when it is fit for another call.
func (x *exchange) keep() {
	c := x.conn
	defer c.upstream.pool.leave()
	if !x.stop() || !x.writeEnded() || c.broken || c.reader.Buffered() > 0 {
		c.shut()
		return
	}
	c.wire.onClose.Store(nil)
	c.lastUsed = c.upstream.opts.Timers.Now()
	c.upstream.pool.put(c)
}

// writeEnded reports whether the whole request is written.
func (x *exchange) writeEnded() bool {
	if x.writing == nil {
		return true
	}
	select {
	case <-x.writing:
		return true
	default:
		return false
	}
}

// drop closes the connection.
func (x *exchange) drop() {
	x.ended = true
	x.stop()
	x.conn.shut()
	if x.answer != nil {
		_ = x.answer.Close()
	}
	x.conn.upstream.pool.leave()
}

// fail closes the connection and classifies the error.
func (x *exchange) fail(op string, cause error) error {
	x.drop()
	if x.writing != nil {
		<-x.writing
	}
	u := x.conn.upstream
	answered := x.conn.wire.read.Load() > x.read
	sent := x.sent() > 0
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
