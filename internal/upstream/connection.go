package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// dialTimeout limits the wait for a new connection to a process on the same host.
	dialTimeout = time.Second
	// unresponsiveTime is the time without a result after which an attempt to connect shows that the upstream is down.
	unresponsiveTime = 200 * time.Millisecond
	// defaultIdleTimeout is below the keep-alive timeouts that HTTP servers usually have (5 s and more), so that the
	// upstream rarely closes an idle connection at the moment of its reuse.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is subtracted from the keep-alive timeout that the upstream announces, to allow for the time in
	// transit.
	idleTimeoutMargin = time.Second
	// maxMismatchedResponses is the maximum number of responses that are read on one connection to find the response to
	// a call.
	maxMismatchedResponses = 4
	// maxMismatchedSize is the maximum size of the body of such a response, in bytes.
	maxMismatchedSize = 4 << 20
)

// Connection is one connection to the upstream, reserved for one call. Exactly one of Do and Release must be called.
type Connection struct {
	upstream    *Upstream
	conn        *countingConn
	reader      *bufio.Reader
	writer      *bufio.Writer
	lastUsed    time.Time
	notReusable bool // a write failed, or the upstream accepts no further call
	// idleTimeout is how long the connection may be kept without a call.
	idleTimeout time.Duration
	// recentIDs holds the IDs of the latest calls.
	recentIDs [recentIDCount]string
	callCount int
}

// recentIDCount is the number of calls on a connection of which late copies of the response are expected.
const recentIDCount = 8

// carried reports whether one of the latest calls on the connection had the ID. A late copy of its response could not
// be distinguished from the response to another call with the ID.
func (c *Connection) carried(id string) bool { return id != "" && slices.Contains(c.recentIDs[:], id) }

func (c *Connection) recordID(id string) {
	c.recentIDs[c.callCount%recentIDCount] = id
	c.callCount++
}

// Call is one request to the upstream.
type Call struct {
	Method string
	// Path is the path and query as the caller sent them.
	Path string
	// ID identifies the call to the dialect, which matches responses to calls by it.
	ID     string
	Host   string
	Header http.Header
	// Body is nil when the request has none.
	Body io.Reader
	// ContentLength is -1 when the length of Body is unknown.
	ContentLength int64
	// BodyBuffered reports that Body is in memory, so that it is written completely before the response is read.
	BodyBuffered bool
	// AbortBody must be set unless BodyBuffered is set. It unblocks a Read of Body and is called when the connection
	// closes.
	AbortBody func()
}

// Response is the response of the upstream. Body must be closed. A Read of Body returns io.EOF only at the proven end
// of the response.
type Response struct {
	Status        int
	Header        http.Header
	ContentLength int64
	Body          io.ReadCloser
	// Trailer is set when Body has returned io.EOF.
	Trailer http.Header
}

// Connect reserves a connection for one call with the ID, which may be empty. It prefers an idle one, which it checks
// first, but not one that has carried a call with the same ID, and none for a call that the upstream has rejected
// before. It waits while all connections are in use.
func (u *Upstream) Connect(ctx context.Context, id string) (*Connection, error) {
	if err := u.pool.acquire(ctx); err != nil {
		return nil, err
	}
	if !u.rejections.contains(id) {
		if c := u.takeUsable(id); c != nil {
			return c, nil
		}
	}
	u.pool.makeRoom()
	c, err := u.dialNew(ctx)
	if err != nil {
		u.pool.release()
		return nil, err
	}
	return c, nil
}

// takeUsable returns a usable idle connection for a call with the ID, or nil.
func (u *Upstream) takeUsable(id string) *Connection {
	for {
		c := u.pool.takeNewest(id)
		if c == nil {
			return nil
		}
		if u.opts.Timers.Now().Sub(c.lastUsed) < c.idleTimeout && c.usable() {
			return c
		}
		c.close()
	}
}

func (u *Upstream) dialNew(ctx context.Context) (*Connection, error) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	started := u.opts.Timers.Now()
	c, err := u.dial(dialCtx)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) || u.opts.Timers.Now().Sub(started) >= unresponsiveTime {
			u.observeRestart()
		}
		if ctx.Err() == nil {
			u.crash.recordRefused(err)
		}
		return nil, err
	}
	u.crash.recordAccepted()
	return c, nil
}

// usable reports whether an idle connection is open and has no unexpected data.
func (c *Connection) usable() bool { return c.reader.Buffered() == 0 && c.conn.openWithoutData() }

// Release returns the connection to the pool without a call.
func (c *Connection) Release() {
	c.upstream.pool.put(c)
	c.upstream.pool.release()
}

func (c *Connection) close() { _ = c.conn.Close() }

// Do sends the call once and returns the response when its head has arrived. After an error, MayHaveRun reports whether
// the upstream may have begun the call. When ctx ends before the body of the response is read, the connection is
// closed.
func (c *Connection) Do(ctx context.Context, call Call) (*Response, error) {
	request, body, err := newRequest(ctx, call, c.upstream.opts.Address)
	if err != nil {
		c.Release()
		return nil, err
	}
	c.recordID(call.ID)
	c.upstream.observeCall()
	x := &exchange{conn: c, ctx: ctx, started: c.upstream.opts.Timers.Now(), body: body, id: call.ID}
	x.writtenBefore, x.readBefore = c.conn.written.Load(), c.conn.read.Load()
	if call.AbortBody != nil {
		c.conn.onClose.Store(&call.AbortBody)
	}
	x.stopContextWatch = context.AfterFunc(ctx, c.close)
	if err := x.roundTrip(request, call.BodyBuffered); err != nil {
		return nil, x.fail("call", err)
	}
	c.upstream.observeDrainHeader(x.response.Header)
	c.observeKeepAlive(x.response.Header)
	if err := c.upstream.checkResponse(call.Method, x.response); err != nil {
		x.closeConnection()
		return nil, err
	}
	x.result = &Response{
		Status:        x.response.StatusCode,
		Header:        x.response.Header,
		ContentLength: x.response.ContentLength,
		Body:          x,
	}
	return x.result, nil
}

func newRequest(ctx context.Context, call Call, address string) (*http.Request, *requestBody, error) {
	target, err := url.ParseRequestURI(call.Path)
	if err != nil {
		return nil, nil, wrapError("call", KindBadCall, err, "invalid path")
	}
	target.Scheme, target.Host = "http", address
	if !strings.HasPrefix(call.Path, "//") {
		// net/http writes an opaque URL as it is. It would encode a path anew that has a character which must be encoded.
		target.Opaque, target.RawQuery, target.ForceQuery = call.Path, "", false
	}
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

// observeKeepAlive sets the idle timeout to the one that the upstream announces in its Keep-Alive header, in seconds,
// minus idleTimeoutMargin, but at least half of that margin. Without a valid announcement, the idle timeout stays.
func (c *Connection) observeKeepAlive(header http.Header) {
	_, after, found := strings.Cut(header.Get("Keep-Alive"), "timeout=")
	if !found {
		return
	}
	digits, _, _ := strings.Cut(after, ",")
	announced, err := strconv.Atoi(strings.TrimSpace(digits))
	if err != nil || announced <= 0 {
		return
	}
	c.idleTimeout = max(time.Duration(announced)*time.Second-idleTimeoutMargin, idleTimeoutMargin/2)
}

// checkResponse rejects responses whose end can't be distinguished from a truncation: those that end when the
// connection closes. An upstream with a dialect may send them: its connections are reset, and not closed, when a
// response breaks off.
func (u *Upstream) checkResponse(method string, response *http.Response) error {
	if response.StatusCode < http.StatusOK {
		return newError("call", KindBadResponse, "unexpected status %d", response.StatusCode)
	}
	if isUnbounded(response) && method != http.MethodHead && u.opts.Dialect == nil {
		return newError("call", KindBadResponse, "the response has neither a Content-Length nor chunked encoding")
	}
	return nil
}

// isUnbounded reports whether the response ends when the connection closes.
func isUnbounded(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// requestBody records whether reading the body of a request failed.
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
