package relay

import "sync"

const (
	// minRouteRequests is the number of requests that a route must have before it is classified as one that upstreams
	// call. If they all came from hosts of one service, it is. When 4 of 5 hosts belong to one service, 1 in 7,500
	// routes of callers is misclassified by chance.
	minRouteRequests = 40
	// maxRoutes limits the number of routes that are remembered. When it is exceeded, all of them are dropped.
	maxRoutes = 10_000
)

// UpstreamCallDetector distinguishes routes that upstreams call from routes that callers use: callers send from all
// hosts, and the upstreams of a service only from its own hosts. An upstream makes a call for a request that has
// already run for a while, and a refusal of the call wastes that work. UpstreamCallDetector is safe for concurrent use;
// its zero value has observed no request.
type UpstreamCallDetector struct {
	mu     sync.Mutex
	routes map[string]*routeOrigin
	// multipleServices reports that some route has received requests from hosts of more than one service. Without such
	// a route, the hosts may all belong to one service, and no route can be classified.
	multipleServices bool
}

// routeOrigin describes which services' hosts sent the requests of one route.
type routeOrigin struct {
	service string // the service of the host that sent the first request
	count   int    // the number of requests
	// multipleServices reports that hosts of more than one service sent requests of the route.
	multipleServices bool
}

// Observe records a request of the route from a host of the service, and reports whether upstreams call the route. It
// returns false while too few requests have been observed to tell.
func (d *UpstreamCallDetector) Observe(route, service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.routes == nil || len(d.routes) > maxRoutes {
		d.routes = make(map[string]*routeOrigin)
	}
	r, ok := d.routes[route]
	if !ok {
		r = &routeOrigin{service: service}
		d.routes[route] = r
	}
	r.count++
	r.multipleServices = r.multipleServices || service != r.service
	d.multipleServices = d.multipleServices || r.multipleServices
	return d.isUpstreamCall(r)
}

// IsUpstreamCall reports whether upstreams call the route, by the requests observed so far.
func (d *UpstreamCallDetector) IsUpstreamCall(route string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, ok := d.routes[route]
	return ok && d.isUpstreamCall(r)
}

// isUpstreamCall is IsUpstreamCall for the state of a route. The caller must hold d.mu.
func (d *UpstreamCallDetector) isUpstreamCall(r *routeOrigin) bool {
	return d.multipleServices && !r.multipleServices && r.count >= minRouteRequests
}
