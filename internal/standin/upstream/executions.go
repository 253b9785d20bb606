package upstream

import (
	"encoding/json"
	"net/http"
	"sync"

	"cicadacross"
)

// Executions holds the numbers of requests that the server ran.
type Executions struct {
	// Started is the number of requests received, Completed that of requests whose complete response was written.
	Started   int `json:"started"`
	Completed int `json:"completed"`
	// Canceled is the number of requests whose client canceled them.
	Canceled int `json:"canceled"`
	// MaxConcurrent is the maximum number of concurrent requests, including those that wait for a slot.
	MaxConcurrent int `json:"max_at_once"`
	// ByRequestID, ByKey and ByPath hold the number of requests received by request ID, idempotency key and path.
	ByRequestID map[string]int `json:"by_request_id"`
	ByKey       map[string]int `json:"by_key"`
	ByPath      map[string]int `json:"by_path"`
}

// executionCounter counts executions. It is safe for concurrent use.
type executionCounter struct {
	mu      sync.Mutex
	counts  Executions
	running int
}

func (c *executionCounter) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts = Executions{
		ByRequestID: make(map[string]int), ByKey: make(map[string]int), ByPath: make(map[string]int),
	}
}

// begin counts a request as in progress and returns its number, starting at 1.
func (c *executionCounter) begin(r *http.Request) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Started++
	c.running++
	c.counts.MaxConcurrent = max(c.counts.MaxConcurrent, c.running)
	if id := r.Header.Get(cicadacross.HeaderRequestID); id != "" {
		c.counts.ByRequestID[id]++
	}
	if key := r.Header.Get(cicadacross.HeaderIdempotencyKey); key != "" {
		c.counts.ByKey[key]++
	}
	c.counts.ByPath[r.URL.Path]++
	return c.counts.Started
}

// end counts a request as no longer in progress.
func (c *executionCounter) end(completed, canceled bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running--
	if completed {
		c.counts.Completed++
	}
	if canceled {
		c.counts.Canceled++
	}
}

func (c *executionCounter) inProgress() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.running
}

// snapshot returns a deep copy of the counts. It copies by encoding them as JSON, the format of the control API.
func (c *executionCounter) snapshot() Executions {
	var counts Executions
	_ = json.Unmarshal(c.encode(), &counts)
	return counts
}

func (c *executionCounter) encode() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	data, err := json.Marshal(c.counts)
	if err != nil {
		return []byte("{}")
	}
	return data
}
