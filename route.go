package cicadacross

import (
	"slices"
	"strings"
	"time"
)

// RouteOptions holds the fields of a route as defined in the rules. An empty Method matches every method.
type RouteOptions struct {
	Name       string
	Service    string
	Method     string
	PathPrefix string
	Rank       Rank
	Repeatable bool
	Timeout    time.Duration
	// Authority is the name by which callers address the route in the Host header; "" means the name of the service.
	Authority string
	// Backends splits the requests among several services by weight; empty means that all go to Service.
	Backends []Backend
	// Attempts is the maximum number of targets to which one request may be sent; 0 means 3.
	Attempts int
	// LargeBody reports whether the requests have large bodies.
	LargeBody bool
	// LargeResponse reports whether the responses have large bodies.
	LargeResponse bool
	// RefusalReason says why the requests of the route must be refused; "" means that they are served.
	RefusalReason string
	// AllowedRegions lists the regions whose targets may receive the requests; empty means all.
	AllowedRegions []string
}

// defaultAttempts allows the first attempt and at most 2 retries.
const defaultAttempts = 3

// Backend is a service that receives a weighted share of the requests of a route.
type Backend struct {
	service string
	weight  int
}

// NewBackend returns a backend; weight is relative to the sum of the route's weights and must not be negative.
func NewBackend(service string, weight int) Backend { return Backend{service: service, weight: weight} }

// Service returns the name of the service.
func (b Backend) Service() string { return b.service }

// Weight returns the share of the requests, relative to the sum of the route's weights.
func (b Backend) Weight() int { return b.weight }

// Route defines the handling of requests for one service, method and path prefix. Estimates of service times are kept
// per route.
type Route struct {
	opts RouteOptions
}

// NewRoute returns a route.
func NewRoute(opts RouteOptions) Route { return Route{opts: opts} }

// Name returns the name of the route, unique within the rules.
func (r Route) Name() string { return r.opts.Name }

// Service returns the name of the service that receives the requests, unless Backends splits them among several.
func (r Route) Service() string { return r.opts.Service }

// Method returns the HTTP method, or "" for every method.
func (r Route) Method() string { return r.opts.Method }

// PathPrefix returns the path prefix; it starts with "/".
func (r Route) PathPrefix() string { return r.opts.PathPrefix }

// Rank returns the rank of the requests.
func (r Route) Rank() Rank { return r.opts.Rank }

// Repeatable reports whether a request may run more than once.
func (r Route) Repeatable() bool { return r.opts.Repeatable }

// Timeout returns the time limit of requests whose caller sets none, above 0.
func (r Route) Timeout() time.Duration { return r.opts.Timeout }

// Authority returns the name by which callers address the route, or "" for the name of the service.
func (r Route) Authority() string { return r.opts.Authority }

// Backends returns the services among which the requests are split, or an empty slice when all go to Service. The
// caller must not change the slice.
func (r Route) Backends() []Backend { return r.opts.Backends }

// Attempts returns the maximum number of targets to which one request may be sent, at least 1.
func (r Route) Attempts() int {
	if r.opts.Attempts <= 0 {
		return defaultAttempts
	}
	return r.opts.Attempts
}

// LargeBody reports whether the requests have large bodies.
func (r Route) LargeBody() bool { return r.opts.LargeBody }

// LargeResponse reports whether the responses have large bodies.
func (r Route) LargeResponse() bool { return r.opts.LargeResponse }

// RefusalReason returns why the requests of the route must be refused, or "" when they are served.
func (r Route) RefusalReason() string { return r.opts.RefusalReason }

// AllowedRegions returns the regions whose targets may receive the requests; empty means all. The caller must not
// change the slice.
func (r Route) AllowedRegions() []string { return r.opts.AllowedRegions }

// AllowsRegion reports whether targets in the region may receive the requests. An unknown region, "", is allowed only
// when all are.
func (r Route) AllowsRegion(region string) bool {
	return len(r.opts.AllowedRegions) == 0 || (region != "" && slices.Contains(r.opts.AllowedRegions, region))
}

// Matches reports whether the route applies to the method and path. A prefix matches whole path segments:
// "/lots" matches "/lots" and "/lots/7" and not "/lotsize"; "/lots/" matches "/lots/7" and not "/lots".
func (r Route) Matches(method, path string) bool {
	if r.opts.Method != "" && r.opts.Method != method {
		return false
	}
	rest, found := strings.CutPrefix(path, r.opts.PathPrefix)
	if !found {
		return false
	}
	return rest == "" || strings.HasPrefix(rest, "/") || strings.HasSuffix(r.opts.PathPrefix, "/")
}
