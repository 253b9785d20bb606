package cicadacross

import (
	"net/http"
	"time"
)

// CallerRequest is the metadata that a caller sends with a request.
type CallerRequest struct {
	// ID identifies the request in logs and at the upstream.
	ID string
	// Timeout is how long the caller waits for the response; 0 means the timeout of the route.
	Timeout time.Duration
}

// CallOptions is the metadata that a daemon sends with a call to an upstream.
type CallOptions struct {
	// ID is the ID of the request.
	ID string
	// Target is the name of the target that must run the call.
	Target string
	// Remaining is the time left until the deadline of the caller.
	Remaining time.Duration
}

// ResponseInfo is the metadata in the status and header of an upstream's response.
type ResponseInfo struct {
	// NotRun reports that the upstream didn't run the call and never will.
	NotRun bool
	// Misdirected reports that the address now belongs to a target other than the one called.
	Misdirected bool
	// Mismatched reports that the response belongs to another call.
	Mismatched bool
	// Invalid is the reason why the response can't be forwarded, or empty if it can.
	Invalid string
	// Draining reports that the upstream accepts no new requests.
	Draining bool
	// Load is the load that the upstream reports; the zero value means none.
	Load UpstreamLoad
	// LoadFault describes a report of the load that is ignored, or is empty.
	LoadFault string
}

// RefusalResponse is a response that a daemon generates instead of forwarding one from an upstream.
type RefusalResponse struct {
	RequestID string
	// Status is the HTTP status code.
	Status  int
	Outcome Outcome
	// Reason is a short identifier for logs and callers; Text is an explanation for people.
	Reason string
	Text   string
	// RetryAfter is the time after which the caller should retry; 0 means unknown.
	RetryAfter time.Duration
}

// Dialect implements the HTTP header conventions among callers, daemons and upstreams. Implementations are safe for
// concurrent use.
type Dialect interface {
	// ReadRequest parses the metadata of a caller's request. The fault describes what is invalid, or is empty.
	ReadRequest(r *http.Request) (request CallerRequest, fault string)
	// SetForwardHeaders sets the headers that the ingress daemon adds before it forwards a request to its target. The
	// service is that of the host on which the request entered the mesh.
	SetForwardHeaders(header http.Header, service string)
	// SetCallHeaders sets the headers of one call to an upstream.
	SetCallHeaders(header http.Header, opts CallOptions)
	// ReadResponse parses the metadata of an upstream's response to the call with the ID.
	ReadResponse(id string, status int, header http.Header) ResponseInfo
	// ReadHealth parses the metadata of a response of the health endpoint.
	ReadHealth(header http.Header) HealthInfo
	// EndToEndHeaders returns the canonical names of the response headers that callers need even when the upstream lists
	// them in its Connection header. The slice must not be changed.
	EndToEndHeaders() []string
	// RemoveInternalHeaders removes the response headers that are not meant for callers.
	RemoveInternalHeaders(header http.Header)
	// WriteRefusal writes the response to the caller.
	WriteRefusal(w http.ResponseWriter, response RefusalResponse)
	// ReadinessPath returns the path of the platform's readiness probe.
	ReadinessPath() string
}
