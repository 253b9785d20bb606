package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// dialLimit bounds the wait for a new connection to a process on the same host.
	dialLimit = time.Second
	// maxIdle is below the keep-alive limits that HTTP servers usually have (5 s and more), so that an idle connection
	// is rarely closed by the upstream at the moment of its reuse.
	maxIdle = 4 * time.Second
	// idleMargin is taken from the idle time that the upstream announces, for the time on the way.
	idleMargin = time.Second
	// maxStray bounds the answers of other calls that are skipped on one connection.
	maxStray = 4
)

// Connection is one connection to the upstream, reserved for one call. Exactly one of Do and Release must be called.
type Connection struct {
	upstream *Upstream
	wire     *wire
	reader   *bufio.Reader
	writer   *bufio.Writer
	lastUsed time.Time
	broken   bool // a write failed, or the upstream wants no further call
	// idle is how long the connection may be kept without a call.
	idle time.Duration
}

// Call is one request to the upstream.
type Call struct {
	Method string
	// Path is the path and query as the caller sent them.
	Path string
	// ID identifies the call in the upstream's answer, as the dialect reads it.
	ID     string
	Host   string
	Header http.Header
	// Body is nil when the request has none.
	Body io.Reader
	// ContentLength is -1 when the length of Body is unknown.
	ContentLength int64
	// Ready says that Body is in memory, so that it is written before the answer is awaited.
	Ready bool
	// AbortBody must be set unless Body is ready. It unblocks a Read of Body and is called when the connection closes.
	AbortBody func()
}

// Response is the answer of the upstream. Body must be closed. A Read of Body returns io.EOF only at the proven end.
type Response struct {
	Status        int
	Header        http.Header
	ContentLength int64
	Body          io.ReadCloser
	// Trailer is filled when Body has returned io.EOF.
	Trailer http.Header
}

// Connect reserves a connection for one call. It prefers an idle one, which it checks first.
func (u *Upstream) Connect(ctx context.Context) (*Connection, error) {
	if err := u.pool.enter(ctx); err != nil {
		return nil, err
	}
	if c := u.reuse(); c != nil {
		return c, nil
	}
	c, err := u.fresh(ctx)
	if err != nil {
		u.pool.leave()
		return nil, err
	}
	return c, nil
}

// reuse returns a usable idle connection, or nil.
func (u *Upstream) reuse() *Connection {
	for {
		c := u.pool.take()
		if c == nil {
			return nil
		}
		if u.opts.Timers.Now().Sub(c.lastUsed) < c.idle && c.usable() {
			return c
		}
		c.shut()
	}
}

func (u *Upstream) fresh(ctx context.Context) (*Connection, error) {
	dialCtx, cancel := context.WithTimeout(ctx, dialLimit)
	defer cancel()
	c, err := u.dial(dialCtx)
	if err != nil {
		if ctx.Err() == nil {
			u.crash.refused(err)
		}
		return nil, err
	}
	u.crash.accepted()
	return c, nil
}

// usable reports whether an idle connection is open and has no unexpected bytes.
func (c *Connection) usable() bool { return c.reader.Buffered() == 0 && c.wire.quiet() }

// Release gives the connection back without a call.
func (c *Connection) Release() {
	c.upstream.pool.put(c)
	c.upstream.pool.leave()
}

func (c *Connection) shut() { _ = c.wire.Close() }

// Do sends the call once and returns the head of the answer. Use Begun to learn from the error whether the upstream
// may have begun the call. The ctx holds until the body of the answer is read.
func (c *Connection) Do(ctx context.Context, call Call) (*Response, error) {
	request, body, err := newRequest(ctx, call, c.upstream.opts.Address)
	if err != nil {
		c.Release()
		return nil, err
	}
	x := &exchange{conn: c, ctx: ctx, started: c.upstream.opts.Timers.Now(), body: body, id: call.ID}
	x.written, x.read = c.wire.written.Load(), c.wire.read.Load()
	if call.AbortBody != nil {
		c.wire.onClose.Store(&call.AbortBody)
	}
	x.stop = context.AfterFunc(ctx, c.shut)
	if err := x.roundTrip(request, call.Ready); err != nil {
		return nil, x.fail("call", err)
	}
	c.upstream.observeReply(x.response.Header)
	c.observeIdle(x.response.Header)
	if err := c.upstream.checkReply(call.Method, x.response); err != nil {
		x.drop()
		return nil, err
	}
	x.reply = &Response{
		Status:        x.response.StatusCode,
		Header:        x.response.Header,
		ContentLength: x.response.ContentLength,
		Body:          x,
	}
	return x.reply, nil
}

func newRequest(ctx context.Context, call Call, address string) (*http.Request, *requestBody, error) {
	target, err := url.ParseRequestURI(call.Path)
	if err != nil {
		return nil, nil, wrapError("call", KindBadCall, err, "path")
	}
	target.Scheme, target.Host = "http", address
	header := call.Header
	if header == nil {
		header = make(http.Header)
	}
	if _, ok := header["User-Agent"]; !ok {
		// An empty value keeps net/http from adding its own.
		header["User-Agent"] = []string{""}
	}
	request := &http.Request{
		Method: call.Method, URL: target, Host: call.Host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	var body *requestBody
	if call.Body != nil {
		body = &requestBody{source: call.Body}
		request.Body = body
		request.ContentLength = call.ContentLength
	}
	return request.WithContext(ctx), body, nil
}

// observeIdle takes the idle time that the upstream announces.
func (c *Connection) observeIdle(header http.Header) {
	_, after, found := strings.Cut(header.Get("Keep-Alive"), "timeout=")
	if !found {
		return
	}
	digits, _, _ := strings.Cut(after, ",")
	announced, err := strconv.Atoi(strings.TrimSpace(digits))
	if err != nil || announced <= 0 {
		return
	}
	c.idle = max(time.Duration(announced)*time.Second-idleMargin, idleMargin/2)
}

// checkReply refuses answers whose end can't be told from a cut: those that end when the connection closes. An upstream
// with a dialect may send them: its connections are reset, and not closed, when an answer breaks off.
func (u *Upstream) checkReply(method string, response *http.Response) error {
	if response.StatusCode < http.StatusOK {
		return newError("call", KindBadReply, "unexpected status %d", response.StatusCode)
	}
	unbounded := response.ContentLength < 0 && len(response.TransferEncoding) == 0
	if unbounded && method != http.MethodHead && u.opts.Dialect == nil {
		return newError("call", KindBadReply, "the answer has neither a length nor chunks")
	}
	return nil
}

// requestBody keeps the error with which the body of a request failed.
type requestBody struct {
	source io.Reader
	failed atomic.Bool
}

func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.failed.Store(true)
	}
	return n, err
}

func (b *requestBody) Close() error { return nil }
