package relay_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"cicadacross/internal/relay"
)

// Guards against one fingerprint for two requests that differ only in the boundary between their parts, and against two
// for requests whose bodies differ only after the part that identifies them.
func TestFingerprintSeparatesParts(t *testing.T) {
	assert.Assert(t, relay.Fingerprint("s", "GET", "/a", nil) != relay.Fingerprint("s", "GE", "T/a", nil))
	const identifying = 4096
	long := make([]byte, 2*identifying)
	long[identifying] = 1
	whole := relay.Fingerprint("s", "GET", "/a", long)
	assert.Equal(t, whole, relay.Fingerprint("s", "GET", "/a", long[:identifying]))
}
