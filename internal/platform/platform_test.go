package platform_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadacross/internal/failure"
	"cicadacross/internal/platform"
	standin "cicadacross/internal/standin/platform"
)

func startPlatform(t *testing.T) (*standin.Server, *platform.Source) {
	t.Helper()
	server := standin.New(standin.Options{WatchWait: 50 * time.Millisecond})
	assert.NilError(t, server.Start())
	t.Cleanup(server.Stop)
	source, err := platform.NewSource(server.Address())
	assert.NilError(t, err)
	return server, source
}

func assertKind(t *testing.T, err error, want platform.Kind) {
	t.Helper()
	kind, ok := failure.KindOf[platform.Kind](err)
	assert.Assert(t, ok, "%v", err)
	assert.Equal(t, kind, want)
}

// Guards against a truncated value that is returned as if it were complete.
func TestTruncatedValueIsAnError(t *testing.T) {
	server, source := startPlatform(t)
	server.Set("manifest", []byte("a manifest of some length"))
	server.SetFaults(standin.Faults{Truncate: true})
	_, err := source.Get(t.Context(), "manifest")
	assertKind(t, err, platform.KindTruncated)
}

// Guards against a watch that misses a change, and against one that fails when nothing changes.
func TestWatchReturnsChangedAndUnchangedValues(t *testing.T) {
	server, source := startPlatform(t)
	server.Set("parts/a", []byte("one"))
	first, err := source.Watch(t.Context(), "parts/a", 0)
	assert.NilError(t, err)
	unchanged, err := source.Watch(t.Context(), "parts/a", first.Revision())
	assert.NilError(t, err)
	assert.Equal(t, unchanged.Revision(), first.Revision())
	server.Set("parts/a", []byte("two"))
	second, err := source.Watch(t.Context(), "parts/a", first.Revision())
	assert.NilError(t, err)
	assert.Equal(t, string(second.Data()), "two")
}

// Guards against failures of different causes with the same error kind.
func TestFailuresHaveTheirKinds(t *testing.T) {
	server, source := startPlatform(t)
	_, err := source.Get(t.Context(), "absent")
	assertKind(t, err, platform.KindNotFound)
	server.SetFaults(standin.Faults{Down: true})
	_, err = source.Get(t.Context(), "absent")
	assertKind(t, err, platform.KindUnavailable)
	server.SetFaults(standin.Faults{SlowMilliseconds: 5000})
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err = source.Get(ctx, "absent")
	assertKind(t, err, platform.KindUnavailable)
	_, err = platform.NewSource("localhost")
	assertKind(t, err, platform.KindInvalid)
}

// Guards against an invalid host list that is accepted in part.
func TestHostListIsParsedWhole(t *testing.T) {
	list, err := platform.ParseHostList([]byte(`{"live":["a","b"],"leaving":["b"],"at":12}`))
	assert.NilError(t, err)
	assert.DeepEqual(t, list.Live(), []string{"a", "b"})
	assert.DeepEqual(t, list.Leaving(), []string{"b"})
	for _, bad := range []string{"", `{"live":["a"`, `{"live":[""]}`, `{"live":["a"]}{"live":[]}`} {
		_, err := platform.ParseHostList([]byte(bad))
		assert.Assert(t, err != nil, "%q", bad)
	}
}

// Guards against a control API that ignores faults or counts a waiting watch more than once.
func TestControlSetsFaultsAndReadsCounts(t *testing.T) {
	server, source := startPlatform(t)
	control := standin.NewControl(server.Address())
	assert.NilError(t, control.Publish(t.Context(), map[string][]byte{"manifest": []byte("old")}))
	assert.NilError(t, control.Freeze(t.Context()))
	server.Set("manifest", []byte("new"))
	assert.NilError(t, control.SetFaults(t.Context(), standin.Faults{Stale: true}))
	value, err := source.Watch(t.Context(), "manifest", 0)
	assert.NilError(t, err)
	assert.Equal(t, string(value.Data()), "old")
	counts, err := control.Counts(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, counts, standin.Counts{Calls: 1, Watches: 1})
}
