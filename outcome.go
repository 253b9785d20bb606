package cicadacross

// Outcome is what is known about the execution of a request. The zero value is OutcomeUnknown, the only one that is
// safe to assume.
type Outcome int

// The outcomes of a request.
const (
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = iota
	// OutcomeDone means that the request ran and its complete response was received.
	OutcomeDone
	// OutcomeNotRun means that the request did not run: no upstream was called, or each one that was called reported that
	// it did not run the request.
	OutcomeNotRun
)

// String returns the value of the X-Mesh-Outcome header.
func (o Outcome) String() string {
	switch o {
	case OutcomeDone:
		return "done"
	case OutcomeNotRun:
		return "not-run"
	case OutcomeUnknown:
		return "unknown"
	}
	return "unknown"
}

// The HTTP headers between callers, daemons and upstreams. HeaderTimeout is in milliseconds. HeaderDepth is the number
// of calls before this one in its call chain. HeaderEarlier is "unknown" when an earlier attempt with the same
// idempotency key may have run. Requests of callers must not have a header that begins with HeaderInternalPrefix.
const (
	HeaderOutcome        = "X-Mesh-Outcome"
	HeaderEarlier        = "X-Mesh-Earlier"
	HeaderReason         = "X-Mesh-Reason"
	HeaderTimeout        = "X-Mesh-Timeout"
	HeaderRank           = "X-Mesh-Rank"
	HeaderRequestID      = "X-Mesh-Request-Id"
	HeaderDepth          = "X-Mesh-Depth"
	HeaderDraining       = "X-Mesh-Draining"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderInternalPrefix = "X-Mesh-Internal-"
)
