package integration_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadacross"
	"cicadacross/integration/harness"
	"cicadacross/internal/standin/platform"
)

// The time limits follow the stated goals: an accepted change must be applied within 5 s, and recovery from a network
// partition or a pause must finish within the 14 s that users allow.
const (
	convergenceLimit = 5 * time.Second
	recoveryLimit    = 14 * time.Second
	// observationPeriod is how long a test waits to verify that an event does not occur.
	observationPeriod = 3 * time.Second
)

func fleetAtVersion(f *harness.Fleet, version uint64) func() bool {
	return func() bool { return f.AllApplied(version) }
}

// Guards against a daemon that reverts to an older configuration when the source returns stale data.
func TestStaleSourceDoesNotRevert(t *testing.T) {
	t.Parallel()
	f := harness.NewFleet(t, harness.Options{})
	assert.NilError(t, f.PlatformControl().Freeze(context.Background()))
	f.Publish(2, "")
	harness.Eventually(t, convergenceLimit, "version 2 everywhere", fleetAtVersion(f, 2))
	assert.NilError(t, f.PlatformControl().SetFaults(context.Background(), platform.Faults{Stale: true}))
	f.Publish(3, "")
	time.Sleep(observationPeriod)
	for _, h := range f.Hosts("") {
		assert.Equal(t, h.LastApplied().Number(), uint64(2), h.Name())
	}
	assert.NilError(t, f.PlatformControl().SetFaults(context.Background(), platform.Faults{}))
	harness.Eventually(t, recoveryLimit, "version 3 everywhere", fleetAtVersion(f, 3))
	assertVersionsRise(t, f)
}

// Guards against source responses that arrive out of order and make a daemon apply an older version after a newer one.
func TestReorderedResponsesDoNotRevert(t *testing.T) {
	t.Parallel()
	f := harness.NewFleet(t, harness.Options{})
	assert.NilError(t, f.PlatformControl().SetFaults(context.Background(), platform.Faults{Reorder: true}))
	const last = 12
	for version := uint64(2); version <= last; version++ {
		f.Publish(version, "")
		time.Sleep(50 * time.Millisecond)
	}
	harness.Eventually(t, recoveryLimit, "the last version everywhere", fleetAtVersion(f, last))
	assertVersionsRise(t, f)
}

// assertVersionsRise checks in the logs that each version a daemon applied is newer than the one before it.
func assertVersionsRise(t *testing.T, f *harness.Fleet) {
	t.Helper()
	for _, h := range f.Hosts("") {
		var applied cicadacross.Version
		for _, version := range h.AppliedVersions() {
			assert.Assert(t, version.Compare(applied) > 0, "%s applied %v after %v", h.Name(), version, applied)
			applied = version
		}
	}
}

// Guards against divergence when two operators publish the same version number with different content: the fleet must
// converge on one of the two and log the conflict.
func TestSameNumberWithDifferentContentConverges(t *testing.T) {
	t.Parallel()
	f := harness.NewFleet(t, harness.Options{Zones: 2})
	f.PartitionZone("zone-b", true)
	a := f.Publish(2, leavingHostRule("zone-a-1"))
	harness.Eventually(t, convergenceLimit, "zone-a at its version 2", func() bool {
		return allHostsApplied(f.Hosts("zone-a"), a)
	})
	assert.NilError(t, f.PlatformControl().Publish(context.Background(), nil))
	f.DisconnectPlatform("zone-a")
	f.PlatformLink("zone-b").Heal()
	b := f.Publish(2, leavingHostRule("zone-b-1"))
	harness.Eventually(t, convergenceLimit, "zone-b at its version 2", func() bool {
		return allHostsApplied(f.Hosts("zone-b"), b)
	})
	f.HealZone("zone-b")
	winner := a
	if b.Compare(a) > 0 {
		winner = b
	}
	harness.Eventually(t, recoveryLimit, "one version everywhere", func() bool {
		return allHostsApplied(f.Hosts(""), winner)
	})
	assertVersionsRise(t, f)
	assert.Assert(t, f.Logged("two versions have one number"))
}

func leavingHostRule(host string) string { return fmt.Sprintf("\n[[leaving]]\nhost = %q\n", host) }

func allHostsApplied(hosts []*harness.Host, version cicadacross.Version) bool {
	for _, h := range hosts {
		if h.LastApplied().String() != version.String() {
			return false
		}
	}
	return true
}

// Guards against a daemon that applies a version, fully or in part, whose manifest is unreadable or one of whose parts
// is missing, truncated or has other content than its digest says.
func TestBadVersionIsNotApplied(t *testing.T) {
	t.Parallel()
	f := harness.NewFleet(t, harness.Options{})
	damages := []struct {
		name   string
		damage func(values map[string][]byte)
	}{
		{"part missing", func(values map[string][]byte) { delete(values, rulesPartKey(values)) }},
		{"part cut short", func(values map[string][]byte) {
			key := rulesPartKey(values)
			values[key] = values[key][:len(values[key])/2]
		}},
		{"part with other content", func(values map[string][]byte) { values[rulesPartKey(values)] = []byte("{}") }},
		{"manifest unreadable", func(values map[string][]byte) { values[cicadacross.KeyManifest] = []byte("{") }},
	}
	version := uint64(1)
	for _, d := range damages {
		// Each case uses its own number and content, so that its parts cannot complete the version of an earlier case.
		version++
		values := harness.PublicationValues(f.Publication(version, fmt.Sprintf(extraRoute, version)))
		d.damage(values)
		assert.NilError(t, f.PlatformControl().Publish(context.Background(), values), d.name)
		time.Sleep(time.Second)
		for _, h := range f.Hosts("") {
			assert.Equal(t, h.LastApplied().Number(), uint64(1), "%s: %s", d.name, h.Name())
		}
	}
	version++
	f.Publish(version, "")
	harness.Eventually(t, convergenceLimit, "the next good version everywhere", fleetAtVersion(f, version))
}

const extraRoute = `
[[route]]
name = "extra-%[1]d"
service = "store"
path_prefix = "/extra-%[1]d"
rank = "normal"
repeatable = true
timeout = "2s"
`

// rulesPartKey returns the key of the part that holds the rules, which a changed rule changes, or "" when there is
// none.
func rulesPartKey(values map[string][]byte) string {
	for key, data := range values {
		if strings.HasPrefix(key, cicadacross.KeyPartPrefix) && strings.Contains(string(data), `"confirm"`) {
			return key
		}
	}
	return ""
}

// Guards against losing an accepted version when all daemons of an availability zone restart while the source is down.
func TestZoneRestartKeepsVersion(t *testing.T) {
	t.Parallel()
	f := harness.NewFleet(t, harness.Options{Zones: 2, HostsPerZone: 3})
	f.Publish(2, "")
	harness.Eventually(t, convergenceLimit, "version 2 everywhere", fleetAtVersion(f, 2))
	assert.NilError(t, f.PlatformControl().SetFaults(context.Background(), platform.Faults{Down: true}))
	for _, h := range f.Hosts("zone-a") {
		h.Daemon.Kill()
	}
	for _, h := range f.Hosts("zone-a") {
		h.StartDaemon()
	}
	harness.Eventually(t, recoveryLimit, "version 2 everywhere after the restart", fleetAtVersion(f, 2))
	response, err := f.Host("zone-a-1").Request(context.Background(), "GET", "/", "", nil)
	assert.NilError(t, err)
	assert.Equal(t, response.Header.Get(cicadacross.HeaderOutcome), "done", "%v", response)
}

// Guards against reverting an accepted version when all daemons but one restart while the source returns stale data.
func TestRestartOfAllButOneKeepsVersion(t *testing.T) {
	t.Parallel()
	f := harness.NewFleet(t, harness.Options{Zones: 2, HostsPerZone: 3, Seeds: 3})
	assert.NilError(t, f.PlatformControl().Freeze(context.Background()))
	f.Publish(2, "")
	harness.Eventually(t, convergenceLimit, "version 2 everywhere", fleetAtVersion(f, 2))
	assert.NilError(t, f.PlatformControl().SetFaults(context.Background(), platform.Faults{Stale: true}))
	restarted := f.Hosts("")[1:]
	for _, h := range restarted {
		h.Daemon.Kill()
	}
	for _, h := range restarted {
		h.StartDaemon()
	}
	harness.Eventually(t, recoveryLimit, "version 2 everywhere after the restart", fleetAtVersion(f, 2))
	for _, h := range restarted {
		assert.Assert(t, !h.Daemon.Logged(`msg="configuration applied"`, "version=1-"),
			"%s applied the stale version first", h.Name())
	}
}

// Guards against an availability zone that stops serving while it is partitioned from the others and the platform, or
// that does not apply the newest version afterwards.
func TestCutZoneServesAndCatchesUp(t *testing.T) {
	t.Parallel()
	f := harness.NewFleet(t, harness.Options{})
	f.PartitionZone("zone-b", true)
	const last = 20
	for version := uint64(2); version <= last; version++ {
		f.Publish(version, "")
	}
	harness.Eventually(t, convergenceLimit, "the last version in zone-a", func() bool {
		return f.Host("zone-a-1").HasApplied(last) && f.Host("zone-a-2").HasApplied(last)
	})
	for _, h := range f.Hosts("zone-b") {
		response, err := h.Request(context.Background(), "GET", "/", "", nil)
		assert.NilError(t, err)
		assert.Equal(t, response.Header.Get(cicadacross.HeaderOutcome), "done", "%v", response)
		assert.Equal(t, h.LastApplied().Number(), uint64(1))
	}
	f.HealZone("zone-b")
	harness.Eventually(t, recoveryLimit, "the last version in zone-b", fleetAtVersion(f, last))
}

// Guards against an availability zone that misses a version its peers have when only its link to the platform is down.
func TestZoneWithoutPlatformFollowsPeers(t *testing.T) {
	t.Parallel()
	f := harness.NewFleet(t, harness.Options{})
	f.DisconnectPlatform("zone-b")
	f.Publish(2, "")
	harness.Eventually(t, convergenceLimit, "version 2 everywhere", fleetAtVersion(f, 2))
}

// Guards against a paused daemon that keeps or distributes its old configuration after it resumes.
func TestPausedDaemonCatchesUp(t *testing.T) {
	t.Parallel()
	f := harness.NewFleet(t, harness.Options{})
	paused := f.Host("zone-b-2")
	paused.Daemon.Pause()
	f.Publish(2, "")
	f.Publish(3, leavingHostRule("zone-a-1"))
	time.Sleep(observationPeriod)
	paused.Daemon.Resume()
	harness.Eventually(t, recoveryLimit, "version 3 everywhere", fleetAtVersion(f, 3))
	assert.Assert(t, paused.Daemon.Logged("resumed after a pause"))
	assertVersionsRise(t, f)
}

// Guards against overloading the platform when almost the whole fleet restarts at once: its calls must stay bounded by
// the number of availability zones and the call budget of each daemon. The test checks the budget.
func TestFleetRestartBoundsSourceCalls(t *testing.T) {
	t.Parallel()
	f := harness.NewFleet(t, harness.Options{Zones: 2, HostsPerZone: 5})
	for _, h := range f.Hosts("")[1:] {
		h.Daemon.Kill()
	}
	before, err := f.PlatformControl().Counts(context.Background())
	assert.NilError(t, err)
	start := time.Now()
	for _, h := range f.Hosts("")[1:] {
		h.StartDaemon()
	}
	harness.Eventually(t, recoveryLimit, "version 1 everywhere", fleetAtVersion(f, 1))
	after, err := f.PlatformControl().Counts(context.Background())
	assert.NilError(t, err)
	const callsPerDaemon, burst = 2, 4
	allowed := float64(len(f.Hosts(""))) * (callsPerDaemon*time.Since(start).Seconds() + burst)
	assert.Assert(t, float64(after.Calls-before.Calls) <= allowed, "%d calls, %.0f allowed",
		after.Calls-before.Calls, allowed)
}
