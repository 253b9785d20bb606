package upstream

import (
	"strings"
	"time"
)

// Behavior defines how the server responds to requests. The zero value responds immediately with 200. In JSON,
// durations are in nanoseconds.
type Behavior struct {
	// ServiceTime is the time that a request takes to run.
	ServiceTime time.Duration `json:"service_time"`
	// ServiceTimes maps path prefixes to service times. The longest matching prefix overrides ServiceTime.
	ServiceTimes map[string]time.Duration `json:"service_times"`
	// Slots is the maximum number of requests that run concurrently; the others wait. 0 means no limit.
	Slots int `json:"slots"`
	// MaxWaiting is the maximum number of requests that wait for a slot; the server rejects others with 503. 0 means no
	// limit.
	MaxWaiting int `json:"max_waiting"`
	// ColdStart is added to the service time of the first ColdRequests requests.
	ColdStart    time.Duration `json:"cold_start"`
	ColdRequests int           `json:"cold_requests"`
	// Draining adds X-Mesh-Draining to responses and makes the health endpoint respond with 503 and Retry-After.
	Draining bool `json:"draining"`
	// AlwaysHealthy makes the health endpoint respond with 200 even with Draining.
	AlwaysHealthy bool `json:"health_lies"`
	// CrashPath is the path whose requests crash the server. See Options.Crash.
	CrashPath string `json:"crash_path"`
	// Unresponsive makes the connections that are open when the behavior is set accept requests without responding; new
	// connections work.
	Unresponsive bool `json:"silent"`
	// TruncatedPath is the path whose responses end after half of the body.
	TruncatedPath string `json:"cut_path"`
	// WrongLengthPath is the path whose responses have one byte less than their Content-Length.
	WrongLengthPath string `json:"wrong_length_path"`
	// CloseDelimitedPath is the path whose responses have no length and end with the connection.
	CloseDelimitedPath string `json:"close_delimited_path"`
	// ResponseSize is the size of the response body in bytes; 0 means that the request body is returned.
	ResponseSize int `json:"answer_size"`
	// Chunked makes responses use the chunked encoding, with the trailer X-Seen-Length.
	Chunked bool `json:"chunked"`
	// CloseAfterRequest closes the connection without a response after the complete request has been read.
	CloseAfterRequest bool `json:"close_after_request"`
}

// serviceTime returns the service time of requests with the path.
func (b *Behavior) serviceTime(path string) time.Duration {
	serviceTime, matchedPrefix := b.ServiceTime, ""
	for prefix, d := range b.ServiceTimes {
		if strings.HasPrefix(path, prefix) && len(prefix) > len(matchedPrefix) {
			serviceTime, matchedPrefix = d, prefix
		}
	}
	return serviceTime
}
