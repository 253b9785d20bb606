package harness

import (
	"errors"
	"os/exec"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// CommandResult is the exit code and the output of one run of the operator command.
type CommandResult struct {
	ExitCode       int
	Stdout, Stderr string
}

// RunCommand runs the operator command with the arguments until it exits. An exit code other than 0 is no test
// failure.
func RunCommand(t testing.TB, arguments ...string) CommandResult {
	t.Helper()
	var stdout, stderr strings.Builder
	command := exec.Command(Binary(t, Command), arguments...)
	command.Stdout, command.Stderr = &stdout, &stderr
	err := command.Run()
	var exit *exec.ExitError
	if !errors.As(err, &exit) {
		assert.NilError(t, err)
	}
	return CommandResult{ExitCode: command.ProcessState.ExitCode(), Stdout: stdout.String(), Stderr: stderr.String()}
}

// OperatorAddress returns the address of the daemon's operator API as IP:port.
func (h *Host) OperatorAddress() string { return h.address(operatorPort) }
