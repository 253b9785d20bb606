package harness

import (
	"bytes"
	"encoding/json"
	"net/http"

	"gotest.tools/v3/assert"

	"cicadacross/internal/standin/upstream"
)

// SetBehavior changes the named fields of the upstream's behavior, for example {"draining": true}.
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

// Executions returns what the upstream has run.
func (h *Host) Executions() upstream.Executions {
	h.fleet.t.Helper()
	response, err := http.Get("http://" + h.address(upstreamPort) + "/executions")
	assert.NilError(h.fleet.t, err)
	defer func() { _ = response.Body.Close() }()
	var executions upstream.Executions
	assert.NilError(h.fleet.t, json.NewDecoder(response.Body).Decode(&executions))
	return executions
}

// RunsOfKey returns how often requests with the idempotency key began to run, on all upstreams together.
func (f *Fleet) RunsOfKey(key string) int {
	runs := 0
	for _, h := range f.hosts {
		runs += h.Executions().ByKey[key]
	}
	return runs
}

// Runs returns how many requests began to run on all upstreams together.
func (f *Fleet) Runs() int {
	runs := 0
	for _, h := range f.hosts {
		runs += h.Executions().Started
	}
	return runs
}
