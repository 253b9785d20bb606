package cicadacross

import (
	"net/http"
	"time"
)

// CallerRequest is what a caller says about its request.
type CallerRequest struct {
	// ID identifies the request in logs and at the upstream.
	ID string
	// Timeout is how long the caller waits; 0 means the limit of the route.
	Timeout time.Duration
}

// CallOptions is what a daemon tells an upstream about a call.
type CallOptions struct {
	ID string
	// Target is the name of the target that must run the call.
	Target string
	// Remaining is how long the caller still waits.
	Remaining time.Duration
}

// ReplySigns is what the head of an upstream's answer says beside the answer itself.
type ReplySigns struct {
	// NotRun means that the upstream didn't run the call and never will.
	NotRun bool
	// Misdirected means that another target has the address.
	Misdirected bool
	// Stray means that the answer belongs to another call.
	Stray bool
	// Invalid says why the answer can't be passed on, or is empty.
	Invalid string
	// Leaving means that the upstream says that it takes no new work.
	Leaving bool
}

// RefusalAnswer is an answer that a daemon gives in place of an upstream.
type RefusalAnswer struct {
	RequestID string
	Status    int
	Outcome   Outcome
	// Reason is a short name for logs and callers, Text an explanation.
	Reason string
	Text   string
	// RetryAfter is when the caller should come back; 0 means that nothing is known.
	RetryAfter time.Duration
}

// Dialect is the convention by which callers, daemons and upstreams mark requests and answers. Implementations are safe
// for concurrent use.
type Dialect interface {
	// ReadRequest reads the marks of a caller's request. The text says what is wrong, or is empty.
	ReadRequest(r *http.Request) (request CallerRequest, fault string)
	// MarkForwarded sets the marks that a daemon adds for the upstream before a request leaves for its target. The
	// service is that of the host on which the request began.
	MarkForwarded(header http.Header, service string)
	// MarkCall sets the marks of one call.
	MarkCall(header http.Header, opts CallOptions)
	// ReadReply reads the marks of an upstream's answer to the call.
	ReadReply(id string, status int, header http.Header) ReplySigns
	// CleanAnswer removes the marks that aren't for callers.
	CleanAnswer(header http.Header)
	// WriteRefusal answers the caller.
	WriteRefusal(w http.ResponseWriter, answer RefusalAnswer)
	// ReadinessPath is the path at which the platform asks whether the daemon takes callers.
	ReadinessPath() string
}
