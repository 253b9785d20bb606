package cicadacross_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"cicadacross"
)

func ExampleVersion_Compare() {
	applied := cicadacross.NewVersion(7, "1f0c9a2bd3")
	stale := cicadacross.NewVersion(6, "ffffffffff")
	fmt.Println(applied, applied.Compare(stale))
	// Output: 7-1f0c9a2b 1
}

// Guards against daemons that converge on different configurations which were published under one number.
func TestVersionsWithOneNumberAreOrderedByDigest(t *testing.T) {
	a, b := cicadacross.NewVersion(7, "aa"), cicadacross.NewVersion(7, "bb")
	assert.Equal(t, a.Compare(b), -1)
	assert.Equal(t, b.Compare(a), 1)
	assert.Assert(t, a.Conflicts(b))
	assert.Assert(t, !a.Conflicts(a))
}
