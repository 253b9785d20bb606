// Package platform is a client of the platform's service over HTTP.
//
// The protocol has two calls. GET /v1/values/<key> responds with the value and its revision in the header X-Revision.
// GET /v1/watch/<key>?after=<revision> waits until the revision is greater, at most 30 s, and responds with the current
// value. Both respond with 404 when the key has no value.
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

// HeaderRevision is the response header with the revision of the value.
const HeaderRevision = "X-Revision"

// MaxWatchWait is the maximum time after which the platform responds to a watch.
const MaxWatchWait = 30 * time.Second

const (
	// serviceName is the name by which the HTTP client's circuit breaker is disabled.
	serviceName = "platform"

	dialTimeout = time.Second
	// getTimeout is sufficient for a value of the maximum size on a slow link.
	getTimeout = 5 * time.Second
	// watchResponseTimeout is the time limit of a response after the wait has ended.
	watchResponseTimeout = 5 * time.Second

	// forceQuitDelay delays the second signal that the library of the HTTP client sends to its own process. By default, it
	// is sent 5.5 s after SIGTERM and would abort requests that a graceful shutdown still waits for.
	forceQuitDelay = 100 * 365 * 24 * time.Hour

	maxIdleConnections = 4
	idleTimeout        = time.Minute
)

func init() {
	kernel.Sources.Register("http", func(address string) (cicadacross.Source, error) { return NewSource(address) })
	// The users of Source limit the rate of their calls. A circuit breaker would also reject calls without sending them.
	breaker.NoBreakerFor(serviceName)
	// Disables the HTTP client's log of every call; the daemon logs what is relevant itself.
	logx.Disable()
	proc.SetTimeToForceQuit(forceQuitDelay)
}

// Source is a client of the platform's service at one address. It is safe for concurrent use.
type Source struct {
	baseURL string
	client  httpc.Service
}

var _ cicadacross.Source = (*Source)(nil)

// NewSource returns a source for the service at the address, as IP:port. It doesn't connect. It returns an error when
// the address is invalid.
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
	return &Source{baseURL: "http://" + address, client: httpc.NewServiceWithClient(serviceName, client)}, nil
}

// Get returns the current value of the key. The error has the kind KindNotFound when the key has no value.
func (s *Source) Get(ctx context.Context, key string) (cicadacross.Value, error) {
	ctx, cancel := context.WithTimeout(ctx, getTimeout)
	defer cancel()
	return s.fetch(ctx, "get", key, s.baseURL+"/v1/values/"+(&url.URL{Path: key}).EscapedPath())
}

// Watch waits until the revision of the key is greater than after or the platform ends the wait, and returns the
// current value, which may be unchanged.
func (s *Source) Watch(ctx context.Context, key string, after cicadacross.Revision) (cicadacross.Value, error) {
	ctx, cancel := context.WithTimeout(ctx, MaxWatchWait+watchResponseTimeout)
	defer cancel()
	query := "?after=" + strconv.FormatUint(uint64(after), 10)
	return s.fetch(ctx, "watch", key, s.baseURL+"/v1/watch/"+(&url.URL{Path: key}).EscapedPath()+query)
}

func (s *Source) fetch(ctx context.Context, op, key, requestURL string) (cicadacross.Value, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, requestURL, nil)
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
		return cicadacross.Value{}, newError(op, KindNotFound, "the platform has no value for key %q", key)
	default:
		return cicadacross.Value{}, newError(op, KindUnavailable, "key %q: status %d", key, response.StatusCode)
	}
}

func readValue(op, key string, response *http.Response) (cicadacross.Value, error) {
	var zero cicadacross.Value
	revision, err := strconv.ParseUint(response.Header.Get(HeaderRevision), 10, 64)
	if err != nil {
		return zero, wrapError(op, KindInvalid, err, "key %q: invalid header %s", key, HeaderRevision)
	}
	if response.ContentLength > cicadacross.MaxValueSize {
		return zero, newError(op, KindTooLarge, "key %q: value has %d bytes; at most %d are allowed", key,
			response.ContentLength, cicadacross.MaxValueSize)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, cicadacross.MaxValueSize+1))
	switch {
	case errors.Is(err, io.ErrUnexpectedEOF):
		return zero, wrapError(op, KindTruncated, err, "key %q: response truncated after %d bytes", key, len(data))
	case err != nil:
		return zero, wrapError(op, KindUnavailable, err, "key %q: reading the response", key)
	case len(data) > cicadacross.MaxValueSize:
		return zero, newError(op, KindTooLarge, "key %q: value exceeds %d bytes", key, cicadacross.MaxValueSize)
	}
	return cicadacross.NewValue(data, cicadacross.Revision(revision)), nil
}
