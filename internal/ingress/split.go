package ingress

import (
	"math/rand/v2"
	"slices"
	"sync"

	"cicadacross"
)

// maxSplitPhase is the maximum number of requests by which the round of a daemon is ahead of its beginning.
const maxSplitPhase = 1000

// weightedSplitter splits the requests of routes with several backends among their services, exactly by weight in each
// round. It is safe for concurrent use.
type weightedSplitter struct {
	mu     sync.Mutex
	splits map[string]*split
}

// split is the state of one route.
type split struct {
	backends []cicadacross.Backend
	// credits holds for each backend how many requests it is behind its share, times the sum of the weights.
	credits []int
	sum     int
}

// nextService returns the service of the route's next request: the one that is furthest behind its share.
func (s *weightedSplitter) nextService(route cicadacross.Route) string {
	backends := route.Backends()
	if len(backends) == 0 {
		return route.Service()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.splits == nil || len(s.splits) > maxTrackedRoutes {
		s.splits = make(map[string]*split)
	}
	state := s.splits[route.Name()]
	if state == nil || !slices.Equal(state.backends, backends) {
		state = newSplit(backends)
		s.splits[route.Name()] = state
	}
	return backends[state.next()].Service()
}

// newSplit returns a split that begins at a random point of its round. If all daemons began at the same point, the
// backend with the greatest weight would get too many requests while each daemon has only a few.
func newSplit(backends []cicadacross.Backend) *split {
	s := &split{backends: backends, credits: make([]int, len(backends)), sum: sumOfWeights(backends)}
	round := 1
	if s.sum > 0 {
		divisor := s.sum
		for _, b := range backends {
			divisor = greatestCommonDivisor(divisor, b.Weight())
		}
		round = s.sum / divisor
	}
	for range rand.IntN(min(round, maxSplitPhase)) { // #nosec G404 -- no secret
		s.next()
	}
	return s
}

func sumOfWeights(backends []cicadacross.Backend) int {
	sum := 0
	for _, b := range backends {
		sum += b.Weight()
	}
	return sum
}

// next returns the index of the backend of the next request.
func (s *split) next() int {
	best := 0
	for i, b := range s.backends {
		s.credits[i] += b.Weight()
		if s.credits[i] > s.credits[best] {
			best = i
		}
	}
	s.credits[best] -= s.sum
	return best
}

func greatestCommonDivisor(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}
