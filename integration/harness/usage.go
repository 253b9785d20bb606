package harness

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"gotest.tools/v3/assert"
)

// PeakMemory returns the largest resident memory that the process has had, in bytes.
func (p *Process) PeakMemory() int64 {
	p.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	assert.NilError(p.t, err, "%s has ended", p.name)
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 10, 64)
			assert.NilError(p.t, err)
			return kilobytes << 10
		}
	}
	p.t.Fatalf("%s has no resident memory", p.name)
	return 0
}

// OpenDescriptors returns the number of open descriptors of the process.
func (p *Process) OpenDescriptors() int {
	p.t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.PID()))
	assert.NilError(p.t, err, "%s has ended", p.name)
	return len(entries)
}
