package ingress

import (
	"sync"

	"golang.org/x/time/rate"

	"cicadacross"
)

const (
	// retryShare is the number of retries that each request adds to the budget.
	retryShare = 0.1
	// maxRetries bounds the budget that quiet times can save up.
	maxRetries = 100
	// minRetries is the number of retries a second that are always allowed.
	minRetries = 3
)

// RetryBudget bounds the sends after the first of each request. Implementations are safe for concurrent use.
type RetryBudget interface {
	// Request counts one request for the service.
	Request(service string)
	// Retry reports whether one more send to the service is allowed, and counts it then.
	Retry(service string) bool
}

// retryBudget bounds the retries to a share of the requests, so that they don't multiply the load of a storm.
type retryBudget struct {
	timers  cicadacross.Timers
	minimum *rate.Limiter
	mu      *sync.Mutex
	saved   *float64
}

func newRetryBudget(timers cicadacross.Timers) retryBudget {
	return retryBudget{
		timers: timers, minimum: rate.NewLimiter(minRetries, minRetries), mu: new(sync.Mutex), saved: new(float64),
	}
}

// Request counts one request.
func (b retryBudget) Request(string) {
	b.mu.Lock()
	*b.saved = min(*b.saved+retryShare, maxRetries)
	b.mu.Unlock()
}

// Retry reports whether one more attempt is allowed.
func (b retryBudget) Retry(string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if *b.saved >= 1 {
		*b.saved--
		return true
	}
	return b.minimum.AllowN(b.timers.Now(), 1)
}
