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

// Guards against work for an upstream that the applied register no longer names.
func TestRemovedUpstreamGetsNoWork(t *testing.T) {
	t.Parallel()
	f := harness.NewFleet(t, harness.Options{})
	requestAll(t, f)
	f.PublishWithout(2, "zone-a-2")
	harness.Eventually(t, convergence, "version 2 everywhere", atVersion(f, 2))
	removed := f.Host("zone-a-2")
	before := removed.Executions().Started
	for range 20 {
		requestAll(t, f)
	}
	assert.Equal(t, removed.Executions().Started, before)
}

// Guards against an answer that is cut short or has another length than announced and reaches the caller as a success.
func TestCutAnswerIsNoSuccess(t *testing.T) {
	t.Parallel()
	f := harness.NewFleet(t, harness.Options{Zones: 1, HostsPerZone: 2})
	for _, behavior := range []string{"cut_path", "wrong_length_path", "close_delimited_path"} {
		for _, h := range f.Hosts("") {
			h.SetBehavior(map[string]any{behavior: "/broken"})
		}
		for _, h := range f.Hosts("") {
			answer, err := h.Request(context.Background(), "POST", "/broken", "whole answer", nil)
			if err != nil {
				continue // the connection broke, which a caller sees as an error
			}
			assert.Assert(t, answer.Status >= http.StatusInternalServerError, "%s: %v", behavior, answer)
			assert.Equal(t, outcome(answer), "unknown", behavior)
		}
	}
}

// pace spreads the requests of a caller over the time of the faults.
const pace = 20 * time.Millisecond

// trial is one request of the fault test with what the caller was told.
type trial struct {
	id, key, body string
	answers       []harness.Answer
}

// Guards against a wrong outcome under kills, pauses, cuts and changes of the configuration: "not-run" must mean that
// no upstream ran the request, "done" that the caller got its own whole answer, and a key must run at most once.
func TestOutcomesAreTrueUnderFaults(t *testing.T) {
	t.Parallel()
	f := harness.NewFleet(t, harness.Options{Zones: 3, HostsPerZone: 2, UpstreamFlags: []string{"--service-time=100ms"}})
	settle()
	const callers, requests = 12, 60
	trials := make([][]*trial, callers)
	var group sync.WaitGroup
	for c := range callers {
		group.Go(func() { trials[c] = sendTrials(t, f, c, requests) })
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
	for _, list := range trials {
		for _, one := range list {
			done += checkTrial(t, one, byID, byKey)
			for _, answer := range one.answers {
				outcomes[outcome(answer)+" "+answer.Header.Get(cicadacross.HeaderReason)]++
			}
		}
	}
	t.Log(outcomes)
	assert.Assert(t, done > callers*requests/4, "only %d requests were done", done)
}

// sendTrials sends requests of which every second one is keyed and sent again through another daemon when its outcome
// isn't done.
func sendTrials(t *testing.T, f *harness.Fleet, caller, requests int) []*trial {
	random := rand.New(rand.NewPCG(1, uint64(caller)))
	hosts := f.Hosts("")
	var trials []*trial
	for n := range requests {
		one := &trial{id: fmt.Sprintf("caller-%d-%d", caller, n), body: fmt.Sprintf("body %d %d", caller, n)}
		header := map[string]string{cicadacross.HeaderRequestID: one.id, cicadacross.HeaderTimeout: "1500"}
		path, sends := "/page", 1
		if n%2 == 0 {
			one.key = newKey(t)
			header[cicadacross.HeaderIdempotencyKey] = one.key
			path, sends = "/confirm", 3
		}
		for range sends {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			answer, err := hosts[random.IntN(len(hosts))].Request(ctx, "POST", path, one.body, header)
			cancel()
			if err == nil {
				one.answers = append(one.answers, answer)
			} else {
				one.answers = append(one.answers, harness.Answer{})
			}
			if err == nil && outcome(answer) == "done" {
				break
			}
		}
		trials = append(trials, one)
		time.Sleep(pace)
	}
	return trials
}

// injectFaults runs a fixed schedule of faults, two of them at once for a while.
func injectFaults(f *harness.Fleet) {
	const step = 700 * time.Millisecond
	time.Sleep(step)
	f.Host("zone-a-1").Daemon.Kill()
	time.Sleep(step)
	f.CutZone("zone-b", true)
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

// checkTrial compares what the caller was told with what the upstreams ran. It returns 1 when the request was done.
func checkTrial(t *testing.T, one *trial, byID, byKey map[string]int) int {
	t.Helper()
	done, allNotRun := 0, true
	for _, answer := range one.answers {
		switch outcome(answer) {
		case "done":
			done = 1
			assert.Check(t, answer.Body == one.body, "%s got another answer: %q", one.id, answer.Body)
		case "not-run":
			earlier := answer.Header.Get(cicadacross.HeaderEarlier)
			if earlier == "unknown" {
				allNotRun = false // it speaks of this send only
			}
		}
		if outcome(answer) != "not-run" {
			allNotRun = false
		}
	}
	if allNotRun {
		assert.Check(t, byID[one.id] == 0, "%s was refused as not run and ran", one.id)
	}
	if one.key != "" {
		assert.Check(t, byKey[one.key] <= 1, "%s ran %d times", one.id, byKey[one.key])
	}
	return done
}

// Guards against a request in progress that is cut or sent elsewhere because the configuration changes under it: here
// its host leaves the register and its route gets another time limit.
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
	harness.Eventually(t, startOfRun, "the uploads run", func() bool { return f.Runs() == uploads })
	removed := f.Hosts("")[0]
	if removed.Executions().Started == 0 {
		removed = f.Hosts("")[1]
	}
	f.PublishWithout(2, removed.Name())
	harness.Eventually(t, convergence, "version 2 everywhere", atVersion(f, 2))
	group.Wait()
	assert.Equal(t, f.Runs(), uploads)
}
