package cicadacross

import (
	"strings"
	"time"
)

// RouteOptions lists the fields of a route as the rules give them. An empty Method matches every method.
type RouteOptions struct {
	Name       string
	Service    string
	Method     string
	PathPrefix string
	Rank       Rank
	Repeatable bool
	Timeout    time.Duration
}

// Route says how requests for one service, method and path prefix are treated. Each route is one kind of work.
type Route struct {
	opts RouteOptions
}

// NewRoute returns a route.
func NewRoute(opts RouteOptions) Route { return Route{opts: opts} }

// Name returns the name of the route, unique within the rules; it names the kind of work.
func (r Route) Name() string { return r.opts.Name }

// Service returns the name of the service.
func (r Route) Service() string { return r.opts.Service }

// Method returns the HTTP method, or "" for every method.
func (r Route) Method() string { return r.opts.Method }

// PathPrefix returns the path prefix; it starts with "/".
func (r Route) PathPrefix() string { return r.opts.PathPrefix }

// Rank returns the rank of the requests.
func (r Route) Rank() Rank { return r.opts.Rank }

// Repeatable reports whether a request may run more than once.
func (r Route) Repeatable() bool { return r.opts.Repeatable }

// Timeout returns the time limit of a request whose caller gives none, above 0.
func (r Route) Timeout() time.Duration { return r.opts.Timeout }

// Matches reports whether the route takes a request with the method and path. A prefix matches whole path segments:
// "/lots" matches "/lots" and "/lots/7" and not "/lotsize".
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
