package ingress

import (
	"sync"

	"golang.org/x/time/rate"

	"cicadacross"
)

const (
	// retriesPerRequest is the number of retries that each request adds to the budget.
	retriesPerRequest = 0.1
	// maxSavedRetries limits the retries that accumulate while few are needed.
	maxSavedRetries = 100
	// minRetriesPerSecond is the number of retries per second that are always allowed.
	minRetriesPerSecond = 3
)

// RetryBudget limits the attempts after the first one of each request. Implementations are safe for concurrent use.
type RetryBudget interface {
	// RecordRequest counts one request for the service.
	RecordRequest(service string)
	// AllowRetry reports whether one more attempt for the service is allowed and, if so, counts it.
	AllowRetry(service string) bool
}

// localRetryBudget limits the retries to a share of the requests, so that they don't multiply the load of an overload.
type localRetryBudget struct {
	timers      cicadacross.Timers
	minimumRate *rate.Limiter
	mu          *sync.Mutex
	saved       *float64 // retries that earlier requests added and that are not used yet
}

func newLocalRetryBudget(timers cicadacross.Timers) localRetryBudget {
	return localRetryBudget{
		timers: timers, minimumRate: rate.NewLimiter(minRetriesPerSecond, minRetriesPerSecond),
		mu: new(sync.Mutex), saved: new(float64),
	}
}

// RecordRequest counts one request.
func (b localRetryBudget) RecordRequest(string) {
	b.mu.Lock()
	*b.saved = min(*b.saved+retriesPerRequest, maxSavedRetries)
	b.mu.Unlock()
}

// AllowRetry reports whether one more attempt is allowed and, if so, counts it.
func (b localRetryBudget) AllowRetry(string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if *b.saved >= 1 {
		*b.saved--
		return true
	}
	return b.minimumRate.AllowN(b.timers.Now(), 1)
}
