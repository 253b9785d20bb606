package integration_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadacross"
	"cicadacross/integration/harness"
)

// Guards against requests to an upstream that the applied register no longer lists.
func TestRemovedUpstreamGetsNoRequests(t *testing.T) {
	t.Parallel()
	f := harness.NewFleet(t, harness.Options{})
	requestThroughAll(t, f)
	f.PublishWithout(2, "zone-a-2")
	harness.Eventually(t, convergenceLimit, "version 2 everywhere", fleetAtVersion(f, 2))
	removed := f.Host("zone-a-2")
	before := removed.Executions().Started
	for range 20 {
		requestThroughAll(t, f)
	}
	assert.Equal(t, removed.Executions().Started, before)
}

// Guards against a response that is truncated, or whose length differs from its Content-Length, and is passed to the
// caller as a success.
func TestTruncatedResponseIsNoSuccess(t *testing.T) {
	t.Parallel()
	f := harness.NewFleet(t, harness.Options{Zones: 1, HostsPerZone: 2})
	for _, behavior := range []string{"cut_path", "wrong_length_path", "close_delimited_path"} {
		for _, h := range f.Hosts("") {
			h.SetBehavior(map[string]any{behavior: "/broken"})
		}
		for _, h := range f.Hosts("") {
			response, err := h.Request(context.Background(), "POST", "/broken", "whole answer", nil)
			if err != nil {
				continue // the connection was closed, which the caller sees as an error
			}
			assert.Assert(t, response.Status >= http.StatusInternalServerError, "%s: %v", behavior, response)
			assert.Equal(t, outcomeOf(response), "unknown", behavior)
		}
	}
}

// requestInterval is the pause of a caller between two requests. It spreads the requests over the schedule of faults.
const requestInterval = 20 * time.Millisecond

// sentRequest is one request of the fault test with the responses to all its attempts. An attempt without a response
// has the zero Response.
type sentRequest struct {
	id, key, body string
	responses     []harness.Response
}

// Guards against wrong outcomes while processes are killed or paused, links are cut and the configuration changes:
// "not-run" must mean that no upstream ran the request, "done" that the caller got the complete response to its own
// request, and an idempotency key must run at most once.
func TestOutcomesAreCorrectUnderFaults(t *testing.T) {
	t.Parallel()
	f := harness.NewFleet(t, harness.Options{Zones: 3, HostsPerZone: 2, UpstreamFlags: []string{"--service-time=100ms"}})
	awaitKeyAcceptance()
	const callers, requests = 12, 60
	sentByCaller := make([][]*sentRequest, callers)
	var group sync.WaitGroup
	for c := range callers {
		group.Go(func() { sentByCaller[c] = sendRequests(t, f, c, requests) })
	}
	injectFaults(f)
	group.Wait()
	byID := make(map[string]int)
	byKey := make(map[string]int)
	for _, h := range f.Hosts("") {
		executions := h.Executions()
		for id, n := range executions.ByRequestID {
			byID[id] += n
		}
		for key, n := range executions.ByKey {
			byKey[key] += n
		}
	}
	done := 0
	outcomes := make(map[string]int)
	for _, sentRequests := range sentByCaller {
		for _, sent := range sentRequests {
			done += checkOutcomes(t, sent, byID, byKey)
			for _, response := range sent.responses {
				outcomes[outcomeOf(response)+" "+response.Header.Get(cicadacross.HeaderReason)]++
			}
		}
	}
	t.Log(outcomes)
	assert.Assert(t, done > callers*requests/4, "only %d requests were done", done)
}

// sendRequests sends requests through random daemons. Every second request has an idempotency key and is sent up to
// three times, until its outcome is "done".
func sendRequests(t *testing.T, f *harness.Fleet, caller, requests int) []*sentRequest {
	random := rand.New(rand.NewPCG(1, uint64(caller)))
	hosts := f.Hosts("")
	var sentRequests []*sentRequest
	for n := range requests {
		sent := &sentRequest{id: fmt.Sprintf("caller-%d-%d", caller, n), body: fmt.Sprintf("body %d %d", caller, n)}
		header := map[string]string{cicadacross.HeaderRequestID: sent.id, cicadacross.HeaderTimeout: "1500"}
		path, maxSends := "/page", 1
		if n%2 == 0 {
			sent.key = newKey(t)
			header[cicadacross.HeaderIdempotencyKey] = sent.key
			path, maxSends = "/confirm", 3
		}
		for range maxSends {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			response, err := hosts[random.IntN(len(hosts))].Request(ctx, "POST", path, sent.body, header)
			cancel()
			if err == nil {
				sent.responses = append(sent.responses, response)
			} else {
				sent.responses = append(sent.responses, harness.Response{})
			}
			if err == nil && outcomeOf(response) == "done" {
				break
			}
		}
		sentRequests = append(sentRequests, sent)
		time.Sleep(requestInterval)
	}
	return sentRequests
}

// injectFaults runs a fixed schedule of faults, some of which overlap.
func injectFaults(f *harness.Fleet) {
	const step = 700 * time.Millisecond
	time.Sleep(step)
	f.Host("zone-a-1").Daemon.Kill()
	time.Sleep(step)
	f.PartitionZone("zone-b", true)
	f.PublishWithout(2, "zone-c-2")
	time.Sleep(step)
	f.Host("zone-a-1").StartDaemon()
	f.Host("zone-c-1").Daemon.Pause()
	time.Sleep(3 * step)
	f.Host("zone-c-1").Daemon.Resume()
	f.HealZone("zone-b")
	f.Publish(3, "")
	time.Sleep(step)
	f.Host("zone-b-2").Daemon.Kill()
	f.Host("zone-b-2").StartDaemon()
	time.Sleep(step)
}

// checkOutcomes compares the outcomes that the caller got with the number of executions at the upstreams by request ID
// and by idempotency key. It returns 1 when the request was done, otherwise 0.
func checkOutcomes(t *testing.T, sent *sentRequest, byID, byKey map[string]int) int {
	t.Helper()
	done, allNotRun := 0, true
	for _, response := range sent.responses {
		switch outcomeOf(response) {
		case "done":
			done = 1
			assert.Check(t, response.Body == sent.body, "%s got the response of another request: %q", sent.id, response.Body)
		case "not-run":
			earlier := response.Header.Get(cicadacross.HeaderEarlier)
			if earlier == "unknown" {
				allNotRun = false // the outcome covers this attempt only
			}
		}
		if outcomeOf(response) != "not-run" {
			allNotRun = false
		}
	}
	if allNotRun {
		assert.Check(t, byID[sent.id] == 0, "%s has the outcome not-run but ran", sent.id)
	}
	if sent.key != "" {
		assert.Check(t, byKey[sent.key] <= 1, "%s ran %d times", sent.id, byKey[sent.key])
	}
	return done
}

// Guards against a configuration change that aborts a request in progress or sends it to another upstream. The change
// removes the host that runs the request from the register.
func TestRequestKeepsItsConfiguration(t *testing.T) {
	t.Parallel()
	f := harness.NewFleet(t, harness.Options{Zones: 1, HostsPerZone: 2, Slots: uploadSlots})
	const uploads, pieces = 6, 30
	var group sync.WaitGroup
	for n := range uploads {
		group.Go(func() {
			body := &slowBody{pieces: pieces, pause: 100 * time.Millisecond}
			request, err := http.NewRequest("PUT", f.Hosts("")[n%2].URL("/upload"), body)
			assert.Check(t, err)
			request.Host = harness.Service
			response, err := http.DefaultClient.Do(request)
			if !assert.Check(t, err) {
				return
			}
			defer func() { _ = response.Body.Close() }()
			data, err := io.ReadAll(response.Body)
			assert.Check(t, err)
			assert.Check(t, response.Header.Get(cicadacross.HeaderOutcome) == "done", "%d %s", response.StatusCode, data)
			assert.Check(t, len(data) == pieces*pieceSize, "%d bytes", len(data))
		})
	}
	harness.Eventually(t, executionStartLimit, "the uploads run", func() bool { return f.ExecutionCount() == uploads })
	removed := f.Hosts("")[0]
	if removed.Executions().Started == 0 {
		removed = f.Hosts("")[1]
	}
	f.PublishWithout(2, removed.Name())
	harness.Eventually(t, convergenceLimit, "version 2 everywhere", fleetAtVersion(f, 2))
	group.Wait()
	assert.Equal(t, f.ExecutionCount(), uploads)
}
