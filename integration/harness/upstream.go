package harness

import (
	"bytes"
	"encoding/json"
	"net/http"

	"gotest.tools/v3/assert"

	"cicadacross/internal/standin/upstream"
)

// SetBehavior changes the given fields of the behavior of the host's upstream, for example {"draining": true}.
func (h *Host) SetBehavior(fields map[string]any) {
	h.fleet.t.Helper()
	data, err := json.Marshal(fields)
	assert.NilError(h.fleet.t, err)
	response, err := http.Post("http://"+h.address(upstreamPort)+"/control/behavior", "application/json",
		bytes.NewReader(data))
	assert.NilError(h.fleet.t, err)
	_ = response.Body.Close()
	assert.Equal(h.fleet.t, response.StatusCode, http.StatusOK)
}

// Executions returns the counts of the requests that the host's upstream has run.
func (h *Host) Executions() upstream.Executions {
	h.fleet.t.Helper()
	response, err := http.Get("http://" + h.address(upstreamPort) + "/executions")
	assert.NilError(h.fleet.t, err)
	defer func() { _ = response.Body.Close() }()
	var executions upstream.Executions
	assert.NilError(h.fleet.t, json.NewDecoder(response.Body).Decode(&executions))
	return executions
}

// ExecutionsOfKey returns how many executions of requests with the idempotency key all upstreams have started.
func (f *Fleet) ExecutionsOfKey(key string) int {
	executions := 0
	for _, h := range f.hosts {
		executions += h.Executions().ByKey[key]
	}
	return executions
}

// ExecutionCount returns how many requests all upstreams have started to run.
func (f *Fleet) ExecutionCount() int {
	runs := 0
	for _, h := range f.hosts {
		runs += h.Executions().Started
	}
	return runs
}
