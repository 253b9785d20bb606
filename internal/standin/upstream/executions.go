package upstream

import (
	"encoding/json"
	"net/http"
	"sync"

	"cicadacross"
)

// Executions counts what the stand-in ran.
type Executions struct {
	// Started counts requests that began to run, Completed those whose whole answer was written.
	Started   int `json:"started"`
	Completed int `json:"completed"`
	// Canceled counts requests whose caller went away.
	Canceled int `json:"canceled"`
	// MaxAtOnce is the largest number of requests in progress.
	MaxAtOnce int `json:"max_at_once"`
	// ByRequestID, ByKey and ByPath count the requests that began to run.
	ByRequestID map[string]int `json:"by_request_id"`
	ByKey       map[string]int `json:"by_key"`
	ByPath      map[string]int `json:"by_path"`
}

// counter is the state behind Executions.
type counter struct {
	mu     sync.Mutex
	counts Executions
	now    int
}

func (c *counter) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts = Executions{
		ByRequestID: make(map[string]int), ByKey: make(map[string]int), ByPath: make(map[string]int),
	}
}

// begin counts one request and returns its place, starting at 1.
func (c *counter) begin(r *http.Request) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Started++
	c.now++
	c.counts.MaxAtOnce = max(c.counts.MaxAtOnce, c.now)
	if id := r.Header.Get(cicadacross.HeaderRequestID); id != "" {
		c.counts.ByRequestID[id]++
	}
	if key := r.Header.Get(cicadacross.HeaderIdempotencyKey); key != "" {
		c.counts.ByKey[key]++
	}
	c.counts.ByPath[r.URL.Path]++
	return c.counts.Started
}

func (c *counter) end(completed, canceled bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now--
	if completed {
		c.counts.Completed++
	}
	if canceled {
		c.counts.Canceled++
	}
}

func (c *counter) inProgress() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// snapshot returns a copy by way of JSON, which is also the form of the control interface.
func (c *counter) snapshot() Executions {
	var counts Executions
	_ = json.Unmarshal(c.encode(), &counts)
	return counts
}

func (c *counter) encode() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	data, err := json.Marshal(c.counts)
	if err != nil {
		return []byte("{}")
	}
	return data
}
