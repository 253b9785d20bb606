package ingress

import "sync"

const (
	// largeTransferSize is the mean size of a request with its response above which they should stay within the
	// availability zone, in bytes.
	largeTransferSize = 32 << 10
	// transferSampleWeight is the weight of one request in the moving average of a route.
	transferSampleWeight = 0.1
)

// transferSizes holds, for each route, the moving average of the size of a request with its response. The operator's
// configuration states no sizes, and the kind of a route only for some routes. It is safe for concurrent use.
type transferSizes struct {
	mu   sync.Mutex
	mean map[string]float64
}

// record adds one request of the route; the size is that of both bodies, in bytes.
func (t *transferSizes) record(route string, size int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.mean == nil || len(t.mean) > maxTrackedRoutes {
		t.mean = make(map[string]float64)
	}
	mean, ok := t.mean[route]
	if !ok {
		mean = float64(size)
	}
	t.mean[route] = mean + transferSampleWeight*(float64(size)-mean)
}

// of returns the mean size of the route's transfers in bytes, or 0 for an unknown route.
func (t *transferSizes) of(route string) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return int64(t.mean[route])
}

// isLarge reports whether the transfers of the route are large on average. It is false for an unknown route.
func (t *transferSizes) isLarge(route string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mean[route] >= largeTransferSize
}

// hasLargeTransfer reports whether the request should stay within the availability zone: its route says so, or the
// transfers of the route are large on average.
func (s *Server) hasLargeTransfer(req *request) bool {
	return req.route.LargeBody() || req.route.LargeResponse() || s.transferSizes.isLarge(req.route.Name())
}

// transferSize returns the mean size of a request with its response on the route of the request, in bytes. A route that
// is known to have large bodies counts with at least the size from which transfers are large.
func (s *Server) transferSize(req *request) int64 {
	size := s.transferSizes.of(req.route.Name())
	if req.route.LargeBody() || req.route.LargeResponse() {
		return max(size, largeTransferSize)
	}
	return size
}
