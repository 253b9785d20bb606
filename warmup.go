package cicadacross

import "time"

// WarmupLimiter is an admission policy that limits how many requests start while the target warms up.
type WarmupLimiter interface {
	// SetWarmup sets the time until which the target warms up and the number of requests per second that it tolerates
	// until then; a rate of 0 means no limit.
	SetWarmup(end time.Time, rate float64)
}

// HealthInfo is what the health endpoint of an upstream reports about itself.
type HealthInfo struct {
	// WarmupRemaining is the time for which the upstream still warms up; 0 means that it is warm.
	WarmupRemaining time.Duration
	// WarmupKnown reports whether the response states WarmupRemaining.
	WarmupKnown bool
	// Load is the load that the upstream reports; the zero value means none.
	Load UpstreamLoad
	// LoadFault describes a report of the load that is ignored, or is empty.
	LoadFault string
}
