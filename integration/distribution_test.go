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

// The bounds of the tests come from the stated goals: an accepted change is in force within 5 s, and recovery from a
// cut or a pause ends within the 14 s that the users allow.
const (
	convergence = 5 * time.Second
	recovery    = 14 * time.Second
	// observation is how long a test watches that something doesn't happen.
	observation = 3 * time.Second
)

func atVersion(f *harness.Fleet, version uint64) func() bool {
	return func() bool { return f.AllAt(version) }
}

// Guards against a daemon that goes back to an older configuration when the source shows one.
func TestStaleSourceDoesNotRevert(t *testing.T) {
	t.Parallel()
	f := harness.NewFleet(t, harness.Options{})
	assert.NilError(t, f.PlatformControl().Freeze(context.Background()))
	f.Publish(2, "")
	harness.Eventually(t, convergence, "version 2 everywhere", atVersion(f, 2))
	assert.NilError(t, f.PlatformControl().SetFaults(context.Background(), platform.Faults{Stale: true}))
	f.Publish(3, "")
	time.Sleep(observation)
	for _, h := range f.Hosts("") {
		assert.Equal(t, h.Applied().Number(), uint64(2), h.Name())
	}
	assert.NilError(t, f.PlatformControl().SetFaults(context.Background(), platform.Faults{}))
	harness.Eventually(t, recovery, "version 3 everywhere", atVersion(f, 3))
	assertVersionsRise(t, f)
}

// Guards against answers that overtake each other and make a daemon apply an older version after a newer one.
func TestReorderedAnswersDoNotRevert(t *testing.T) {
	t.Parallel()
	f := harness.NewFleet(t, harness.Options{})
	assert.NilError(t, f.PlatformControl().SetFaults(context.Background(), platform.Faults{Reorder: true}))
	const last = 12
	for version := uint64(2); version <= last; version++ {
		f.Publish(version, "")
		time.Sleep(50 * time.Millisecond)
	}
	harness.Eventually(t, recovery, "the last version everywhere", atVersion(f, last))
	assertVersionsRise(t, f)
}

// assertVersionsRise reads from the logs that no daemon applied a version that is not newer than the one before.
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

// Guards against two operators who publish one number with different content: the fleet must settle on one of them and
// say that there is a conflict.
func TestOneNumberWithTwoContentsConverges(t *testing.T) {
	t.Parallel()
	f := harness.NewFleet(t, harness.Options{Zones: 2})
	f.CutZone("zone-b", true)
	a := f.Publish(2, leaving("zone-a-1"))
	harness.Eventually(t, convergence, "zone-a at its version 2", func() bool {
		return allAt(f.Hosts("zone-a"), a)
	})
	assert.NilError(t, f.PlatformControl().Publish(context.Background(), nil))
	f.CutPlatform("zone-a")
	f.PlatformLink("zone-b").Heal()
	b := f.Publish(2, leaving("zone-b-1"))
	harness.Eventually(t, convergence, "zone-b at its version 2", func() bool {
		return allAt(f.Hosts("zone-b"), b)
	})
	f.HealZone("zone-b")
	winner := a
	if b.Compare(a) > 0 {
		winner = b
	}
	harness.Eventually(t, recovery, "one version everywhere", func() bool { return allAt(f.Hosts(""), winner) })
	assertVersionsRise(t, f)
	assert.Assert(t, f.Logged("two versions have one number"))
}

func leaving(host string) string { return fmt.Sprintf("\n[[leaving]]\nhost = %q\n", host) }

func allAt(hosts []*harness.Host, version cicadacross.Version) bool {
	for _, h := range hosts {
		if h.Applied().String() != version.String() {
			return false
		}
	}
	return true
}

// Guards against a version of which a part is missing, cut or foreign being applied in part or at all.
func TestBadVersionIsNotApplied(t *testing.T) {
	t.Parallel()
	f := harness.NewFleet(t, harness.Options{})
	damages := []struct {
		name   string
		damage func(values map[string][]byte)
	}{
		{"part missing", func(values map[string][]byte) { delete(values, partKey(values)) }},
		{"part cut short", func(values map[string][]byte) {
			key := partKey(values)
			values[key] = values[key][:len(values[key])/2]
		}},
		{"part with other content", func(values map[string][]byte) { values[partKey(values)] = []byte("{}") }},
		{"manifest unreadable", func(values map[string][]byte) { values[cicadacross.KeyManifest] = []byte("{") }},
	}
	version := uint64(1)
	for _, d := range damages {
		// Each case has a number and content of its own: a later case must not complete an earlier one.
		version++
		values := harness.Values(f.Publication(version, fmt.Sprintf(extraRoute, version)))
		d.damage(values)
		assert.NilError(t, f.PlatformControl().Publish(context.Background(), values), d.name)
		time.Sleep(time.Second)
		for _, h := range f.Hosts("") {
			assert.Equal(t, h.Applied().Number(), uint64(1), "%s: %s", d.name, h.Name())
		}
	}
	version++
	f.Publish(version, "")
	harness.Eventually(t, convergence, "the next good version everywhere", atVersion(f, version))
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

// partKey returns the key of the rules' part, the one that a changed rule changes.
func partKey(values map[string][]byte) string {
	for key, data := range values {
		if strings.HasPrefix(key, cicadacross.KeyPartPrefix) && strings.Contains(string(data), `"confirm"`) {
			return key
		}
	}
	return ""
}

// Guards against an accepted version that is lost when all processes of an availability zone restart while the source
// is down.
func TestZoneRestartKeepsVersion(t *testing.T) {
	t.Parallel()
	f := harness.NewFleet(t, harness.Options{Zones: 2, HostsPerZone: 3})
	f.Publish(2, "")
	harness.Eventually(t, convergence, "version 2 everywhere", atVersion(f, 2))
	assert.NilError(t, f.PlatformControl().SetFaults(context.Background(), platform.Faults{Down: true}))
	for _, h := range f.Hosts("zone-a") {
		h.Daemon.Kill()
	}
	for _, h := range f.Hosts("zone-a") {
		h.StartDaemon()
	}
	harness.Eventually(t, recovery, "version 2 everywhere after the restart", atVersion(f, 2))
	answer, err := f.Host("zone-a-1").Request(context.Background(), "GET", "/", "", nil)
	assert.NilError(t, err)
	assert.Equal(t, answer.Header.Get(cicadacross.HeaderOutcome), "done", "%v", answer)
}

// Guards against an accepted version that reverts when all daemons but one restart while the source is stale.
func TestRestartOfAllButOneKeepsVersion(t *testing.T) {
	t.Parallel()
	f := harness.NewFleet(t, harness.Options{Zones: 2, HostsPerZone: 3, Seeds: 3})
	assert.NilError(t, f.PlatformControl().Freeze(context.Background()))
	f.Publish(2, "")
	harness.Eventually(t, convergence, "version 2 everywhere", atVersion(f, 2))
	assert.NilError(t, f.PlatformControl().SetFaults(context.Background(), platform.Faults{Stale: true}))
	restarted := f.Hosts("")[1:]
	for _, h := range restarted {
		h.Daemon.Kill()
	}
	for _, h := range restarted {
		h.StartDaemon()
	}
	harness.Eventually(t, recovery, "version 2 everywhere after the restart", atVersion(f, 2))
	for _, h := range restarted {
		assert.Assert(t, !h.Daemon.Logged(`msg="configuration applied"`, "version=1-"),
			"%s applied the stale version first", h.Name())
	}
}

// Guards against an availability zone that stops serving while it is cut off, or that does not catch up afterwards.
func TestCutZoneServesAndCatchesUp(t *testing.T) {
	t.Parallel()
	f := harness.NewFleet(t, harness.Options{})
	f.CutZone("zone-b", true)
	const last = 20
	for version := uint64(2); version <= last; version++ {
		f.Publish(version, "")
	}
	harness.Eventually(t, convergence, "the last version in zone-a", func() bool {
		return f.Host("zone-a-1").AppliedVersion(last) && f.Host("zone-a-2").AppliedVersion(last)
	})
	for _, h := range f.Hosts("zone-b") {
		answer, err := h.Request(context.Background(), "GET", "/", "", nil)
		assert.NilError(t, err)
		assert.Equal(t, answer.Header.Get(cicadacross.HeaderOutcome), "done", "%v", answer)
		assert.Equal(t, h.Applied().Number(), uint64(1))
	}
	f.HealZone("zone-b")
	harness.Eventually(t, recovery, "the last version in zone-b", atVersion(f, last))
}

// Guards against an availability zone that is cut off from the platform only and misses what its peers know.
func TestZoneWithoutPlatformFollowsPeers(t *testing.T) {
	t.Parallel()
	f := harness.NewFleet(t, harness.Options{})
	f.CutPlatform("zone-b")
	f.Publish(2, "")
	harness.Eventually(t, convergence, "version 2 everywhere", atVersion(f, 2))
}

// Guards against a paused daemon that serves on its old configuration or spreads it after it resumes.
func TestPausedDaemonCatchesUp(t *testing.T) {
	t.Parallel()
	f := harness.NewFleet(t, harness.Options{})
	paused := f.Host("zone-b-2")
	paused.Daemon.Pause()
	f.Publish(2, "")
	f.Publish(3, leaving("zone-a-1"))
	time.Sleep(observation)
	paused.Daemon.Resume()
	harness.Eventually(t, recovery, "version 3 everywhere", atVersion(f, 3))
	assert.Assert(t, paused.Daemon.Logged("resumed after a pause"))
	assertVersionsRise(t, f)
}

// Guards against a restart of the whole fleet that overruns the platform: its calls must stay bounded by the number of
// availability zones and the budget of each daemon.
func TestReturnStormSparesTheSource(t *testing.T) {
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
	harness.Eventually(t, recovery, "version 1 everywhere", atVersion(f, 1))
	after, err := f.PlatformControl().Counts(context.Background())
	assert.NilError(t, err)
	const callsPerDaemon, burst = 2, 4
	allowed := float64(len(f.Hosts(""))) * (callsPerDaemon*time.Since(start).Seconds() + burst)
	assert.Assert(t, float64(after.Calls-before.Calls) <= allowed, "%d calls, %.0f allowed",
		after.Calls-before.Calls, allowed)
}
