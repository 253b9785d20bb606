package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"cicadacross"
)

// exchange is one call and its response on a connection. It is the body of the response.
type exchange struct {
	conn             *Connection
	ctx              context.Context
	started          time.Time
	id               string
	writtenBefore    int64 // bytes written to the connection before the call
	readBefore       int64 // bytes read from the connection before the call
	body             *requestBody
	response         *http.Response
	responseBody     io.ReadCloser // the body of response
	result           *Response
	stopContextWatch func() bool   // stops the function that closes the connection when ctx ends
	writeDone        chan struct{} // closed when a body that is not in memory is written; nil for others
	ended            bool
	err              error
}

// roundTrip writes the request and reads the head of the response. It reads the response while the request is written,
// unless bodyBuffered reports that the body is in memory or there is no body.
func (x *exchange) roundTrip(request *http.Request, bodyBuffered bool) error {
	if x.body != nil && !bodyBuffered {
		x.writeDone = make(chan struct{})
		go x.run(request)
	} else if err := x.conn.write(request); err != nil {
		if x.bytesSent() == 0 || (x.body != nil && x.body.failed.Load()) {
			return err
		}
		// The upstream may have responded early and closed the connection.
		x.conn.notReusable = true
	}
	if err := x.receiveResponse(request); err != nil {
		return err
	}
	x.responseBody = x.response.Body
	return nil
}

// receiveResponse reads the head of the response. It skips late responses to earlier calls.
func (x *exchange) receiveResponse(request *http.Request) error {
	for range maxMismatchedResponses {
		if err := x.conn.readResponse(request, &x.response); err != nil {
			return err
		}
		info := x.readInfo()
		if !info.Mismatched {
			if info.Invalid == "" {
				x.conn.upstream.observeLoad(info.Load, info.LoadFault)
			}
			if info.NotRun {
				x.conn.upstream.rejections.add(x.id)
			}
			// The real response to the call may follow an invalid one.
			x.conn.notReusable = x.conn.notReusable || info.Invalid != ""
			return nil
		}
		if err := x.discardMismatched(); err != nil {
			return err
		}
	}
	return newError("call", KindBadResponse, "received %d responses to other calls", maxMismatchedResponses)
}

// readInfo returns the metadata of the response. Without a dialect, upstreams need not echo the request ID, and only an
// ID that differs shows that the response belongs to another call.
func (x *exchange) readInfo() cicadacross.ResponseInfo {
	if dialect := x.conn.upstream.opts.Dialect; dialect != nil {
		return dialect.ReadResponse(x.id, x.response.StatusCode, x.response.Header)
	}
	echoed := x.response.Header.Get(cicadacross.HeaderRequestID)
	return cicadacross.ResponseInfo{Mismatched: echoed != "" && x.id != "" && echoed != x.id}
}

// discardMismatched reads the body of a response to another call, up to maxMismatchedSize.
func (x *exchange) discardMismatched() error {
	body := x.response.Body
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxMismatchedSize+1))
	if err == nil && n > maxMismatchedSize {
		return newError("call", KindBadResponse, "a response to another call has more than %d bytes", maxMismatchedSize)
	}
	if closeErr := body.Close(); err == nil {
		err = closeErr
	}
	return err
}

// run writes a request whose body arrives while the response is awaited, and ends when the request is written or the
// write fails.
func (x *exchange) run(request *http.Request) {
	defer close(x.writeDone)
	if x.conn.write(request) != nil && x.body.failed.Load() {
		// If the connection stayed open, the upstream would wait for the rest of the body.
		x.conn.close()
	}
}

// bytesSent returns how many bytes of the call were written to the connection.
func (x *exchange) bytesSent() int64 { return x.conn.conn.written.Load() - x.writtenBefore }

// write writes the request once.
func (c *Connection) write(request *http.Request) error {
	if err := request.Write(c.writer); err != nil {
		return err
	}
	return c.writer.Flush()
}

// minStatus and maxStatus are the first and the last status of HTTP.
const (
	minStatus = 100
	maxStatus = 599
)

// readResponse reads the head of the next response, skips interim (1xx) responses and stores the final one in *result.
// Status 101 counts as final, since no further response follows it.
func (c *Connection) readResponse(request *http.Request, result **http.Response) error {
	c.conn.readingHead, c.conn.headBytesLeft = true, maxResponseHeaderSize
	defer func() { c.conn.readingHead = false }()
	for {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return err
		}
		if response.StatusCode < minStatus || response.StatusCode > maxStatus {
			return newError("call", KindBadResponse, "got status %q, wanted one from %d to %d", response.Status, minStatus,
				maxStatus)
		}
		interim := response.StatusCode < http.StatusOK && response.StatusCode != http.StatusSwitchingProtocols
		if interim {
			_ = response.Body.Close()
			continue
		}
		c.notReusable = c.notReusable || response.Close || request.Close
		*result = response
		return nil
	}
}

// Read reads from the body of the response. It must not be called concurrently with itself or Close.
func (x *exchange) Read(p []byte) (int, error) {
	if x.ended {
		return 0, x.err
	}
	n, err := x.responseBody.Read(p)
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) && isUnbounded(x.response) && x.conn.conn.wasReset() {
		err = newError("read", KindBroken, "the connection was reset during a response without a length")
	}
	if errors.Is(err, io.EOF) {
		x.result.Trailer = x.response.Trailer
		x.ended, x.err = true, io.EOF
		x.returnConnection()
		return n, io.EOF
	}
	x.err = x.fail("read", err)
	return n, x.err
}

// Close ends the exchange. Called before the end of the response, it closes the connection, which cancels the call.
func (x *exchange) Close() error {
	if x.ended {
		return nil
	}
	if x.responseBody == http.NoBody {
		x.ended, x.err = true, io.EOF
		x.returnConnection()
		return nil
	}
	x.err = newError("read", KindCanceled, "the response body was closed before its end")
	x.closeConnection()
	return nil
}

// returnConnection returns the connection to the pool if it can be reused for another call, and closes it otherwise.
func (x *exchange) returnConnection() {
	c := x.conn
	defer c.upstream.pool.release()
	if !x.stopContextWatch() || !x.writeEnded() || c.notReusable || c.reader.Buffered() > 0 {
		c.close()
		return
	}
	c.conn.onClose.Store(nil)
	c.lastUsed = c.upstream.opts.Timers.Now()
	c.upstream.pool.put(c)
}

// writeEnded reports whether the whole request is written.
func (x *exchange) writeEnded() bool {
	if x.writeDone == nil {
		return true
	}
	select {
	case <-x.writeDone:
		return true
	default:
		return false
	}
}

// closeConnection closes the connection.
func (x *exchange) closeConnection() {
	x.ended = true
	x.stopContextWatch()
	x.conn.close()
	if x.responseBody != nil {
		_ = x.responseBody.Close()
	}
	x.conn.upstream.pool.release()
}

// answered reports whether the upstream has sent the head of a response.
func (x *exchange) answered() bool { return x.response != nil && x.responseBody != nil }

// fail closes the connection and classifies the error.
func (x *exchange) fail(op string, cause error) error {
	x.closeConnection()
	if x.writeDone != nil {
		<-x.writeDone
	}
	u := x.conn.upstream
	responseStarted := x.conn.conn.read.Load() > x.readBefore
	sent := x.bytesSent() > 0
	if sent && x.ctx.Err() != nil && !x.answered() {
		u.observeUnanswered()
	}
	expired := errors.Is(context.Cause(x.ctx), context.DeadlineExceeded)
	switch {
	case expired && sent && !responseStarted:
		u.pool.closeIdle(x.started)
		return wrapError(op, KindSilent, cause, "no byte of the response arrived before the deadline")
	case !sent:
		return wrapError(op, KindNotSent, cause, "no byte of the call was sent")
	case expired:
		return wrapError(op, KindTimeout, cause, "the deadline passed during the response")
	case x.ctx.Err() != nil:
		return wrapError(op, KindCanceled, cause, "the call was canceled")
	case x.body != nil && x.body.failed.Load():
		return wrapError(op, KindCanceled, cause, "reading the request body failed")
	}
	u.crash.checkForCrash(x.ctx)
	return wrapError(op, KindBroken, cause, "the connection broke")
}
