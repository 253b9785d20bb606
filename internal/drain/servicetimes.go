package drain

import (
	"slices"
	"sync"
	"time"
)

const (
	// recentSampleCount is the number of samples of a route that ServiceTimes keeps.
	recentSampleCount = 32
	// minSampleCount is the number of samples below which a route is unknown.
	minSampleCount = 4
	// unknownServiceTime is the minimum that is assumed for an unknown route.
	unknownServiceTime = time.Second
	// maxTrackedRoutes limits the number of routes for which samples are kept.
	maxTrackedRoutes = 10_000
)

// Work is what a request is expected to need once it has been passed on.
type Work struct {
	serviceTime  time.Duration
	responseSize int64
}

// NewWork returns the work of a request with the service time and the size of its response in bytes.
func NewWork(serviceTime time.Duration, responseSize int64) Work {
	return Work{serviceTime: serviceTime, responseSize: responseSize}
}

// ServiceTime returns the time until the end of the response.
func (w Work) ServiceTime() time.Duration { return w.serviceTime }

// AtLeast returns the work with a service time that isn't below d.
func (w Work) AtLeast(d time.Duration) Work {
	w.serviceTime = max(w.serviceTime, d)
	return w
}

// ServiceTimes estimates the work of requests by the latest ones of their route. The zero value is empty. It is safe
// for concurrent use.
type ServiceTimes struct {
	mu     sync.Mutex
	routes map[string]*routeSamples
}

type routeSamples struct {
	samples [recentSampleCount]Work
	count   int
	next    int
}

// Record records the time that a request of the route took and the size of its response in bytes.
func (s *ServiceTimes) Record(route string, serviceTime time.Duration, responseSize int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.routes == nil || len(s.routes) > maxTrackedRoutes {
		s.routes = make(map[string]*routeSamples)
	}
	r := s.routes[route]
	if r == nil {
		r = &routeSamples{}
		s.routes[route] = r
	}
	r.samples[r.next] = NewWork(serviceTime, responseSize)
	r.next = (r.next + 1) % recentSampleCount
	r.count = min(r.count+1, recentSampleCount)
}

// Cautious returns a work that few requests of the route exceed: the longest and the largest of the latest ones, with a
// margin that is larger when these are few. An unknown route is assumed to be as slow as the slowest one, and to take
// at least unknownServiceTime.
func (s *ServiceTimes) Cautious(route string) Work {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.routes[route]; r != nil && r.count >= minSampleCount {
		return r.cautious()
	}
	slowest := NewWork(unknownServiceTime, 0)
	for _, r := range s.routes {
		slowest = slowest.AtLeast(r.cautious().serviceTime)
	}
	return slowest
}

func (r *routeSamples) cautious() Work {
	known := r.samples[:r.count]
	longest := slices.MaxFunc(known, func(a, b Work) int { return int(a.serviceTime - b.serviceTime) }).serviceTime
	largest := slices.MaxFunc(known, func(a, b Work) int { return int(a.responseSize - b.responseSize) }).responseSize
	return NewWork(longest+longest/16+longest/time.Duration(2*r.count), largest)
}

// Shortest returns the work of the fastest one of the latest requests of the route; it is zero without samples.
func (s *ServiceTimes) Shortest(route string) Work {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.routes[route]
	if r == nil {
		return Work{}
	}
	return slices.MinFunc(r.samples[:r.count], func(a, b Work) int { return int(a.serviceTime - b.serviceTime) })
}
