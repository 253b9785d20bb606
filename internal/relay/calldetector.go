package relay

import "sync"

const (
	// minOriginSamples is the number of requests of a route after which a route used only by the hosts of one service
	// is taken for one that the upstreams of that service call. When 4 of 5 hosts belong to one service, 1 in 7,500
	// routes of callers is misclassified by chance.
	minOriginSamples = 40
	// maxOriginRoutes limits the number of routes that are remembered.
	maxOriginRoutes = 10_000
)

// UpstreamCallDetector distinguishes routes that upstreams call from routes that callers use: callers send from all
// hosts, and the upstreams of a service only from its own hosts. An upstream makes a call for a request that has
// already run for a while, and a refusal of the call wastes that work. It is safe for concurrent use; the zero value
// has seen no request.
type UpstreamCallDetector struct {
	mu     sync.Mutex
	routes map[string]*routeOrigin
	// multipleServices reports that some route has requests from the hosts of more than one service.
	multipleServices bool
}

// routeOrigin is the origin of the requests of one route.
type routeOrigin struct {
	service string
	count   int
	// multipleServices reports that hosts of more than one service sent requests.
	multipleServices bool
}

// Observe records a request of the route from a host of the service, and reports whether upstreams call the route.
func (d *UpstreamCallDetector) Observe(route, service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.routes == nil || len(d.routes) > maxOriginRoutes {
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
	return d.multipleServices && !r.multipleServices && r.count >= minOriginSamples
}
