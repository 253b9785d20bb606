package harness

import (
	"errors"
	"os/exec"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// CommandResult is what a run of the operator's command left.
type CommandResult struct {
	Code     int
	Out, Err string
}

// RunCommand runs the operator's command to its end.
func RunCommand(t testing.TB, arguments ...string) CommandResult {
	t.Helper()
	var out, errs strings.Builder
	command := exec.Command(Binary(t, Command), arguments...)
	command.Stdout, command.Stderr = &out, &errs
	err := command.Run()
	var exit *exec.ExitError
	if !errors.As(err, &exit) {
		assert.NilError(t, err)
	}
	return CommandResult{Code: command.ProcessState.ExitCode(), Out: out.String(), Err: errs.String()}
}

// OperatorAddress returns the address at which the daemon serves operators.
func (h *Host) OperatorAddress() string { return h.address(operatorPort) }
