package upstream

import (
	"strings"
	"time"
)

// Behavior says how the stand-in serves requests. The zero value answers at once with 200.
type Behavior struct {
	// ServiceTime is how long one request takes.
	ServiceTime time.Duration `json:"service_time"`
	// ServiceTimes replaces ServiceTime for the paths with the longest matching prefix.
	ServiceTimes map[string]time.Duration `json:"service_times"`
	// Slots bounds the requests served at once; the others wait. 0 means no bound.
	Slots int `json:"slots"`
	// MaxWaiting is how many requests wait for a slot before the stand-in sheds with 503; 0 means no bound.
	MaxWaiting int `json:"max_waiting"`
	// ColdStart is added to the service time of the first ColdRequests requests.
	ColdStart    time.Duration `json:"cold_start"`
	ColdRequests int           `json:"cold_requests"`
	// Draining puts X-Mesh-Draining into answers, and 503 with Retry-After into those of the health endpoint.
	Draining bool `json:"draining"`
	// HealthLies makes the health endpoint say 200 whatever the state.
	HealthLies bool `json:"health_lies"`
	// CrashPath makes the process end when a request has this path.
	CrashPath string `json:"crash_path"`
	// Silent makes the open connections accept requests without any answer; new connections work.
	Silent bool `json:"silent"`
	// CutPath makes answers to this path stop in the middle.
	CutPath string `json:"cut_path"`
	// WrongLengthPath makes answers to this path announce more bytes than they have.
	WrongLengthPath string `json:"wrong_length_path"`
	// CloseDelimitedPath makes answers to this path end by closing the connection.
	CloseDelimitedPath string `json:"close_delimited_path"`
	// AnswerSize is the length of the answer in bytes; 0 means that the request's body is sent back.
	AnswerSize int `json:"answer_size"`
	// Chunked sends answers without a length.
	Chunked bool `json:"chunked"`
	// CloseAfterRequest closes the connection without an answer when the whole request is read.
	CloseAfterRequest bool `json:"close_after_request"`
}

// serviceTime returns the time for the path.
func (b *Behavior) serviceTime(path string) time.Duration {
	best, found := b.ServiceTime, ""
	for prefix, d := range b.ServiceTimes {
		if strings.HasPrefix(path, prefix) && len(prefix) > len(found) {
			best, found = d, prefix
		}
	}
	return best
}
