package integration_test

import (
	"bytes"
	"context"
	"debug/elf"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"cicadacross"
	"cicadacross/cmd/cicadacross/command"
	"cicadacross/integration/harness"
	"cicadacross/internal/operator"
	"cicadacross/internal/register"
)

// silenceLimit is the time without an exchange after which the status command reports a host as dead or cut off.
const silenceLimit = 10 * time.Second

func runStatus(t *testing.T, f *harness.Fleet, flags ...string) harness.CommandResult {
	t.Helper()
	var addresses []string
	for _, h := range f.Hosts("") {
		addresses = append(addresses, h.OperatorAddress())
	}
	return harness.RunCommand(t, append([]string{"status", "--operator=" + strings.Join(addresses, ",")}, flags...)...)
}

// invalidValues returns the keys and values of a version whose parts match their digests but whose rules refer to a
// rank that does not exist.
func invalidValues(t *testing.T, f *harness.Fleet, version uint64) map[string][]byte {
	t.Helper()
	values := harness.PublicationValues(f.Publication(version, ""))
	key := rulesPartKey(values)
	bad := bytes.Replace(values[key], []byte(`"rank":"normal"`), []byte(`"rank":"nirmal"`), 1)
	assert.Assert(t, !bytes.Equal(bad, values[key]), "the replacement did not change the rules")
	digest := register.Digest(bad)
	old := []byte(strings.TrimPrefix(key, cicadacross.KeyPartPrefix))
	values[cicadacross.KeyManifest] = bytes.Replace(values[cicadacross.KeyManifest], old, []byte(digest), 1)
	values[cicadacross.KeyPartPrefix+digest] = bad
	return values
}

// Guards against a status command that reports that all hosts follow when they do not, or that names the wrong host or
// the wrong condition.
func TestStatusReportsConditionOfEachHost(t *testing.T) {
	t.Parallel()
	f := harness.NewFleet(t, harness.Options{Zones: 3})
	good := runStatus(t, f, "--expect=1", "--wait=14s")
	assert.Equal(t, good.ExitCode, command.ExitOK, "%v", good)
	assert.Assert(t, is.Contains(good.Stdout, "6 of 6 hosts follow"))

	f.PartitionZone("zone-b", true)
	f.PartitionZone("zone-c", true)
	f.Host("zone-c-2").Daemon.Kill()
	f.Publish(2, "")
	harness.Eventually(t, convergenceLimit, "version 2 in zone-a", func() bool {
		return f.Host("zone-a-1").HasApplied(2) && f.Host("zone-a-2").HasApplied(2)
	})
	assert.NilError(t, f.PlatformControl().Publish(context.Background(), invalidValues(t, f, 3)))
	var last harness.CommandResult
	expected := []string{
		"zone-a-1 refusing for ", "zone-a-2 refusing for ", "nirmal", "zone-b-1 lagging for ", "zone-b-2 lagging for ",
		"zone-c-1 cut off for ", "zone-c-2 dead for ", "zone-b: 0 of 2 hosts follow", "0 of 6 hosts follow",
	}
	defer func() {
		if t.Failed() {
			t.Logf("last output: %s%s", last.Stdout, last.Stderr)
		}
	}()
	harness.Eventually(t, silenceLimit+recoveryLimit, "status reports the condition of each host", func() bool {
		last = runStatus(t, f)
		return containsEach(last.Stdout, expected)
	})
	assert.Equal(t, last.ExitCode, command.ExitNegativeResult)
	assertConditions(t, runStatus(t, f, "--json"))

	f.HealZone("zone-b")
	f.HealZone("zone-c")
	f.Host("zone-c-2").StartDaemon()
	f.Publish(4, "")
	last = runStatus(t, f, "--expect=4", "--wait=14s")
	assert.Equal(t, last.ExitCode, command.ExitOK)
	assert.Assert(t, is.Contains(last.Stdout, "6 of 6 hosts follow"))
}

func containsEach(text string, parts []string) bool {
	for _, part := range parts {
		if !strings.Contains(text, part) {
			return false
		}
	}
	return true
}

// assertConditions checks the JSON output of the status command, which scripts read.
func assertConditions(t *testing.T, result harness.CommandResult) {
	t.Helper()
	assert.Equal(t, result.ExitCode, command.ExitNegativeResult)
	var report operator.Report
	assert.NilError(t, json.Unmarshal([]byte(result.Stdout), &report), result.Stdout)
	assert.Assert(t, !report.Followed)
	assert.Equal(t, report.Newest.Number(), uint64(2))
	conditions := make(map[string]operator.Condition)
	for _, zone := range report.Zones {
		for _, finding := range zone.Findings {
			conditions[finding.Host] = finding.Condition
		}
	}
	assert.DeepEqual(t, conditions, map[string]operator.Condition{
		"zone-a-1": operator.ConditionRefusing, "zone-a-2": operator.ConditionRefusing,
		"zone-b-1": operator.ConditionLagging, "zone-b-2": operator.ConditionLagging,
		"zone-c-1": operator.ConditionCutOff, "zone-c-2": operator.ConditionDead,
	})
}

// Guards against a status command that does not report a version whose manifest was published before its parts, and
// against a daemon that does not apply the version once the parts are there.
func TestStatusReportsVersionWithoutParts(t *testing.T) {
	t.Parallel()
	f := harness.NewFleet(t, harness.Options{Zones: 1, HostsPerZone: 2})
	values := harness.PublicationValues(f.Publication(2, leavingHostRule("zone-a-1")))
	parts := make(map[string][]byte)
	for key, data := range values {
		if strings.HasPrefix(key, cicadacross.KeyPartPrefix) {
			parts[key] = data
		}
	}
	manifest := map[string][]byte{cicadacross.KeyManifest: values[cicadacross.KeyManifest]}
	assert.NilError(t, f.PlatformControl().Publish(context.Background(), manifest))
	var last harness.CommandResult
	harness.Eventually(t, recoveryLimit, "status reports the version whose parts are missing", func() bool {
		last = runStatus(t, f)
		return containsEach(last.Stdout, []string{"waiting for ", "can't fetch version 2-"})
	})
	assert.Equal(t, last.ExitCode, command.ExitNegativeResult, "%v", last)
	assert.NilError(t, f.PlatformControl().Publish(context.Background(), parts))
	last = runStatus(t, f, "--expect=2", "--wait=14s")
	assert.Equal(t, last.ExitCode, command.ExitOK, "%v", last)
}

// Guards against an explain command that does not find decisions made by a daemon other than the one it queries, and
// against metrics that do not change.
func TestExplainAndMetricsOfARequest(t *testing.T) {
	t.Parallel()
	f := harness.NewFleet(t, harness.Options{HostsPerZone: 1})
	entry, other := f.Host("zone-a-1"), f.Host("zone-b-1")
	header := map[string]string{cicadacross.HeaderRequestID: "order-7"}
	for path, expected := range map[string]string{"/": "done", "/confirm": "not-run"} {
		response, err := entry.Request(context.Background(), "POST", path, "", header)
		assert.NilError(t, err)
		assert.Equal(t, outcomeOf(response), expected, "%v", response)
	}
	result := harness.RunCommand(t, "explain", "--operator="+other.OperatorAddress(), "order-7")
	assert.Equal(t, result.ExitCode, command.ExitOK, "%v", result)
	for _, part := range []string{
		"zone-a-1 (zone-a): pick (side=ingress, target=zone-", "answer (status=200", "answer (side=ingress",
		"zone-a-1 (zone-a): refuse, because missing_key", "status=428",
	} {
		assert.Assert(t, is.Contains(result.Stdout, part))
	}
	result = harness.RunCommand(t, "explain", "--operator="+other.OperatorAddress(), "order-8")
	assert.Equal(t, result.ExitCode, command.ExitNegativeResult, "%v", result)

	metrics := fetchMetrics(t, entry)
	assert.Equal(t, metrics["requests.done"].Count, 1)
	assert.Equal(t, metrics["requests.not_run"].Count, 1)
	assert.Equal(t, metrics["admission.slots"].Value, 4)
	for _, name := range []string{"fleet.control.sent_bytes", "fleet.control.received_bytes", "fleet.source.calls"} {
		assert.Assert(t, metrics[name].Count > 0, name)
	}
	for _, name := range []string{"admission.in_progress", "admission.queued", "requests.in_progress"} {
		assert.Assert(t, is.Contains(metrics, name))
	}
}

// metric is the value of one metric: Count for a counter, Value for a gauge.
type metric struct {
	Count int `json:"count"`
	Value int `json:"value"`
}

func fetchMetrics(t *testing.T, h *harness.Host) map[string]metric {
	t.Helper()
	response, err := http.Get("http://" + h.OperatorAddress() + "/v1/metrics")
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	var metrics map[string]metric
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&metrics))
	return metrics
}

// Guards against a daemon that needs too much memory for small hosts. The stated limit is 64 MB of peak resident
// memory, both without a configuration and with a minimal one.
func TestDaemonMemoryWithEmptyConfiguration(t *testing.T) {
	t.Parallel()
	f := harness.NewFleet(t, harness.Options{Zones: 1, HostsPerZone: 1, Unpublished: true})
	const bound = 64 << 10 // in KB
	h := f.Hosts("")[0]
	time.Sleep(observationPeriod)
	empty := peakMemory(t, h.Daemon)
	f.Publish(1, "")
	harness.Eventually(t, recoveryLimit, "version 1", func() bool { return f.AllApplied(1) })
	time.Sleep(observationPeriod)
	smallest := peakMemory(t, h.Daemon)
	t.Logf("peak resident memory: %d KB with no configuration, %d KB with one target", empty, smallest)
	assert.Assert(t, empty < bound && smallest < bound, "%d KB, %d KB", empty, smallest)
}

// peakMemory returns the peak resident memory of the process in KB.
func peakMemory(t *testing.T, p *harness.Process) int {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	assert.NilError(t, err)
	_, rest, found := strings.Cut(string(data), "VmHWM:")
	assert.Assert(t, found)
	var size int
	_, err = fmt.Sscanf(rest, "%d kB", &size)
	assert.NilError(t, err)
	return size
}

// Guards against binaries that were built without cgo. With cgo enabled, the resolver of package net already links
// them to the C library, so no other package needs to be imported for that.
func TestBinariesAreLinkedToTheCLibrary(t *testing.T) {
	t.Parallel()
	for _, program := range []string{harness.Daemon, harness.Command} {
		file, err := elf.Open(harness.Binary(t, program))
		assert.NilError(t, err)
		libraries, err := file.ImportedLibraries()
		assert.NilError(t, err)
		assert.NilError(t, file.Close())
		assert.Assert(t, strings.Contains(strings.Join(libraries, " "), "libc."), "%s: %v", program, libraries)
	}
}

// Guards against a daemon that starts with an invalid setting, or whose error message does not name the setting. The
// unit tests cover all settings.
func TestBadSettingsStopTheDaemon(t *testing.T) {
	t.Parallel()
	good := []string{
		"--host=h1", "--availability-zone=z1", "--listen-caller=127.0.0.1:1024", "--listen-peer=127.0.0.1:1025",
		"--listen-operator=127.0.0.1:1026", "--platform=127.0.0.1:1027", "--upstream=127.0.0.1:1028",
	}
	key := "CICADACROSS_FLEET_KEY=" + harness.FleetKey
	tests := []struct {
		environment []string
		arguments   []string
		names       []string
	}{
		{nil, nil, []string{"--host", "--availability-zone", "--listen-caller", "--platform", "--fleet-key"}},
		{nil, good, []string{"--fleet-key (CICADACROSS_FLEET_KEY): has 0 bytes"}},
		{[]string{key, "CICADACROSS_SEEDS=nowhere"}, good, []string{`(CICADACROSS_SEEDS): "nowhere" is not IP:port`}},
		{[]string{key}, append(good, "--max-queue=many"), []string{"max-queue"}},
		{[]string{key}, append(good, "--quota=5"), []string{"quota"}},
		{[]string{key}, append(good, "--listen-peer=192.0.2.1:1025"), []string{`192.0.2.1:1025`}},
	}
	for _, test := range tests {
		p := harness.Start(t, "daemon", harness.Daemon, test.environment, test.arguments...)
		ended, err := p.Wait(recoveryLimit)
		assert.Assert(t, ended, "the daemon did not exit with %v", test.arguments)
		var exit *exec.ExitError
		assert.Assert(t, errors.As(err, &exit), "exit status 0 with %v", test.arguments)
		output := strings.Join(p.Tail(100), "\n")
		for _, name := range test.names {
			assert.Assert(t, is.Contains(output, name))
		}
	}
}

// Guards against go-zero ending a draining process after its own time limit of 5.5 s, or logging in its own format.
func TestShutdownOutlastsLibraryTimeout(t *testing.T) {
	t.Parallel()
	f := harness.NewFleet(t, harness.Options{
		Zones: 1, HostsPerZone: 1, UpstreamFlags: []string{"--service-time=8s"},
		DaemonFlags: []string{"--log-level=debug"},
	})
	h := f.Hosts("")[0]
	var group sync.WaitGroup
	group.Go(func() {
		response, err := h.Request(context.Background(), "PUT", "/upload", "photo", nil)
		assert.Check(t, err)
		assert.Check(t, is.Equal(outcomeOf(response), "done"), "%v", response)
	})
	harness.Eventually(t, executionStartLimit, "the upload runs", func() bool { return f.ExecutionCount() == 1 })
	terminated := time.Now()
	h.Daemon.Terminate()
	group.Wait()
	const libraryTimeout = 5500 * time.Millisecond
	assert.Assert(t, time.Since(terminated) > libraryTimeout, "the upload ended before the time limit of the library")
	ended, err := h.Daemon.Wait(recoveryLimit)
	assert.Assert(t, ended)
	assert.NilError(t, err)
	assert.Assert(t, h.Daemon.Logged("level=DEBUG", "logger=go-zero"), "the log lines of the library are missing")
	for _, line := range h.Daemon.Tail(1000) {
		assert.Assert(t, strings.HasPrefix(line, "time="), "%q is not in the log format of the daemon", line)
	}
}

// Guards against a demo command that fails, takes more than a minute, or reports success although a step failed.
func TestDemo(t *testing.T) {
	t.Parallel()
	const limit = time.Minute
	start := time.Now()
	result := harness.RunCommand(t, "demo")
	assert.Equal(t, result.ExitCode, command.ExitOK, "%v", result)
	assert.Assert(t, time.Since(start) < limit, time.Since(start).String())
	for _, part := range []string{
		"It was in force on all 4 daemons ", `outcome "done"`, "The upstreams counted 1 run.",
		"none went to the upstream on north-2", "The daemon on south-2 is gone", "All steps succeeded.",
	} {
		assert.Assert(t, is.Contains(result.Stdout, part))
	}
	result = harness.RunCommand(t, "demo", "--limit=1ms")
	assert.Equal(t, result.ExitCode, command.ExitNegativeResult, "%v", result)
	assert.Assert(t, is.Contains(result.Stderr, "step 1 failed"))
}

// Guards against a daemon that writes files or exits on SIGUSR1 and SIGUSR2. By default, go-zero writes dumps and
// profiles to the temporary directory on these signals.
func TestDaemonWritesNoFileOnSignals(t *testing.T) {
	t.Parallel()
	f := harness.NewFleet(t, harness.Options{Zones: 1, HostsPerZone: 1})
	h := f.Host("zone-a-1")
	for _, s := range []syscall.Signal{syscall.SIGUSR1, syscall.SIGUSR2} {
		assert.NilError(t, syscall.Kill(h.Daemon.PID(), s))
	}
	time.Sleep(time.Second)
	written, err := filepath.Glob(filepath.Join(os.TempDir(), fmt.Sprintf("cicadacrossd-%d-*", h.Daemon.PID())))
	assert.NilError(t, err)
	assert.Equal(t, len(written), 0, "%v", written)
	requestThroughAll(t, f)
}
