// Package platform reads the platform's service over HTTP.
//
// The protocol has two calls. GET /v1/values/<key> answers with the value and its revision in the header X-Revision.
// GET /v1/watch/<key>?after=<revision> waits until the revision is greater, at most 30 s, and answers with the present
// value. Both answer 404 when the key has no value.
package platform

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/proc"
	"github.com/zeromicro/go-zero/rest/httpc"

	"cicadacross"
	"cicadacross/internal/kernel"
)

// HeaderRevision carries the revision of the value in an answer.
const HeaderRevision = "X-Revision"

// WatchWait is the longest time for which the platform holds a watch.
const WatchWait = 30 * time.Second

const (
	// serviceName is the name under which the HTTP client's circuit breaker is switched off.
	serviceName = "platform"

	dialTimeout = time.Second
	// getTimeout covers a value of the largest size on a slow link.
	getTimeout = 5 * time.Second
	// watchSlack is the time that an answer may take after the wait has ended.
	watchSlack = 5 * time.Second

	// forceQuitAfter puts off a second signal that the HTTP client's library sends to its own process. It comes 5.5 s
	// after a SIGTERM by default and would end requests that a graceful shutdown still waits for.
	forceQuitAfter = 100 * 365 * 24 * time.Hour

	maxIdleConnections = 4
	idleTimeout        = time.Minute
)

func init() {
	kernel.Sources.Register("http", func(address string) (cicadacross.Source, error) { return NewSource(address) })
	// The callers limit and space out their own calls. A breaker in between would refuse calls without trying.
	breaker.NoBreakerFor(serviceName)
	// The HTTP client logs every call; the daemon's log has its own lines.
	logx.Disable()
	proc.SetTimeToForceQuit(forceQuitAfter)
}

// Source reads the platform's service at one address. It is safe for concurrent use.
type Source struct {
	base   string
	client httpc.Service
}

var _ cicadacross.Source = (*Source)(nil)

// NewSource returns a source for the service at the address, as IP:port. It doesn't connect.
func NewSource(address string) (*Source, error) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, wrapError("new source", KindInvalid, err, "address %q is not IP:port", address)
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	client := &http.Client{Transport: transport}
	return &Source{base: "http://" + address, client: httpc.NewServiceWithClient(serviceName, client)}, nil
}

// Get returns the present value of the key.
func (s *Source) Get(ctx context.Context, key string) (cicadacross.Value, error) {
	ctx, cancel := context.WithTimeout(ctx, getTimeout)
	defer cancel()
	return s.call(ctx, "get", key, s.base+"/v1/values/"+(&url.URL{Path: key}).EscapedPath())
}

// Watch waits until the revision of the key is greater than after, or until the platform ends the wait, and returns the
// present value, which may be unchanged.
func (s *Source) Watch(ctx context.Context, key string, after cicadacross.Revision) (cicadacross.Value, error) {
	ctx, cancel := context.WithTimeout(ctx, WatchWait+watchSlack)
	defer cancel()
	query := "?after=" + strconv.FormatUint(uint64(after), 10)
	return s.call(ctx, "watch", key, s.base+"/v1/watch/"+(&url.URL{Path: key}).EscapedPath()+query)
}

func (s *Source) call(ctx context.Context, op, key, address string) (cicadacross.Value, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return cicadacross.Value{}, wrapError(op, KindInvalid, err, "key %q", key)
	}
	response, err := s.client.DoRequest(request)
	if err != nil {
		return cicadacross.Value{}, wrapError(op, KindUnavailable, err, "key %q", key)
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK:
		return readValue(op, key, response)
	case http.StatusNotFound:
		return cicadacross.Value{}, newError(op, KindNotFound, "the platform has no value under %q", key)
	default:
		return cicadacross.Value{}, newError(op, KindUnavailable, "key %q: status %d", key, response.StatusCode)
	}
}

func readValue(op, key string, response *http.Response) (cicadacross.Value, error) {
	var none cicadacross.Value
	revision, err := strconv.ParseUint(response.Header.Get(HeaderRevision), 10, 64)
	if err != nil {
		return none, wrapError(op, KindInvalid, err, "key %q: header %s", key, HeaderRevision)
	}
	if response.ContentLength > cicadacross.MaxValueSize {
		return none, newError(op, KindTooLarge, "key %q: %d bytes", key, response.ContentLength)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, cicadacross.MaxValueSize+1))
	switch {
	case errors.Is(err, io.ErrUnexpectedEOF):
		return none, wrapError(op, KindTruncated, err, "key %q: the answer ended after %d bytes", key, len(data))
	case err != nil:
		return none, wrapError(op, KindUnavailable, err, "key %q: reading the answer", key)
	case len(data) > cicadacross.MaxValueSize:
		return none, newError(op, KindTooLarge, "key %q: over %d bytes", key, cicadacross.MaxValueSize)
	}
	return cicadacross.NewValue(data, cicadacross.Revision(revision)), nil
}
