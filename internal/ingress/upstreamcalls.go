package ingress

import "sync"

// callReportWeight is the weight of one report in the moving share of reports that name a route as called by upstreams.
const callReportWeight = 0.1

// upstreamCalls classifies routes as called by upstreams or by callers, based on the reports of owners, since only an
// owner receives the requests of a route from all hosts. An owner that has just started can't classify a route yet, so
// that the majority of the recent reports decides. It is safe for concurrent use.
type upstreamCalls struct {
	mu sync.Mutex
	// shares holds, for each route, the moving share of reports that name it as called.
	shares map[string]float64
}

// record adds the report of one owner on whether upstreams call the route.
func (c *upstreamCalls) record(route string, called bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	share, known := c.shares[route]
	if !known && !called {
		return
	}
	if c.shares == nil || len(c.shares) > maxTrackedRoutes {
		c.shares = make(map[string]float64)
	}
	report := 0.0
	if called {
		report = 1
	}
	c.shares[route] = share + callReportWeight*(report-share)
}

// contains reports whether upstreams call the route; it is false for an unknown route.
func (c *upstreamCalls) contains(route string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.shares[route] > 0.5
}
