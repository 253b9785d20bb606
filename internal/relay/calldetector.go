package relay

import "sync"

const (
	// originSample is the number of requests of a route after which one that only hosts of one service sent is taken for
	// a call of that service's upstreams. When 4 of 5 hosts are of one service, 1 in 7,500 routes of callers looks so by
	// chance.
	originSample = 40
	// maxOrigins bounds the routes that are remembered.
	maxOrigins = 10_000
)

// Origins tells routes that upstreams call from those of callers: callers send from all hosts, and upstreams of a
// service only from its own. A call is sent by a request that has run for a while, and its refusal wastes that work. It
// is safe for concurrent use; the zero value has seen no request.
type Origins struct {
	mu     sync.Mutex
	routes map[string]*origin
	// several says that some route comes from hosts of more than one service.
	several bool
}

// origin is what is known of one route.
type origin struct {
	service string
	count   int
	// several says that hosts of more than one service sent requests.
	several bool
}

// Note takes a request of the route that came from a host of the service, and reports whether the route is one that
// upstreams call.
func (o *Origins) Note(route, service string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.routes == nil || len(o.routes) > maxOrigins {
		o.routes = make(map[string]*origin)
	}
	r, ok := o.routes[route]
	if !ok {
		r = &origin{service: service}
		o.routes[route] = r
	}
	r.count++
	r.several = r.several || service != r.service
	o.several = o.several || r.several
	return o.several && !r.several && r.count >= originSample
}
