package command_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"cicadacross/cmd/cicadacross/command"
)

const examples = "../../../examples/"

// run runs the command and returns its exit code, standard output and standard error.
func run(t *testing.T, args ...string) (code int, out, errs string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	code = command.Run(t.Context(), append([]string{"cicadacross"}, args...), command.Options{Out: &stdout, Err: &stderr})
	return code, stdout.String(), stderr.String()
}

// editExample writes a copy of an example file with old replaced by new once, and returns its path.
func editExample(t *testing.T, file, old, new string) string {
	t.Helper()
	data, err := os.ReadFile(examples + file)
	assert.NilError(t, err)
	changed := strings.Replace(string(data), old, new, 1)
	assert.Assert(t, changed != string(data), "the file doesn't contain the text to replace")
	path := filepath.Join(t.TempDir(), filepath.Base(file))
	assert.NilError(t, os.WriteFile(path, []byte(changed), 0o600))
	return path
}

// Guards against a check that accepts faulty rules or whose exit code doesn't report them to scripts.
func TestCheckExitsWithOneOnFaults(t *testing.T) {
	t.Setenv("CICADACROSS_REGISTER", examples+"sofia/register.csv")
	t.Setenv("CICADACROSS_RULES", examples+"sofia/rules.toml")
	code, out, errs := run(t, "check")
	assert.Equal(t, code, command.ExitOK, errs)
	assert.Assert(t, is.Contains(out, "13 targets on 4 availability zones, 2 services, 4 ranks"))

	bad := editExample(t, "sofia/rules.toml", `rank = "page"`, `rank = "pgae"`)
	code, out, errs = run(t, "check", "--rules", bad)
	assert.Equal(t, code, command.ExitNegativeResult)
	assert.Equal(t, out, bad+":33: rank: there is no rank \"pgae\"; did you mean \"page\"?\n")
	assert.Assert(t, is.Contains(errs, "1 fault(s)"))
}

// Guards against a misspelled setting that is ignored, and against an error that doesn't name the setting or file.
func TestBadSettingsAreNamed(t *testing.T) {
	for want, args := range map[string][]string{
		"-regster":                  {"check", "--regster", "x"},
		`unexpected argument "now"`: {"check", "now"},
		`unknown command "chek"`:    {"chek"},
		"missing.csv":               {"check", "--register", "missing.csv"},
		`"output" not set`:          {"render"},
		"--old-rendered":            {"diff"},
	} {
		code, _, errs := run(t, args...)
		assert.Equal(t, code, command.ExitFailed, errs)
		assert.Assert(t, is.Contains(errs, want))
	}
}

// Guards against a rendered version that can't be read back, and against rendering a version that daemons would ignore.
func TestRenderThenDiff(t *testing.T) {
	csv, rules, output := examples+"mandorlea/register.csv", examples+"mandorlea/rules.toml", t.TempDir()
	code, _, errs := run(t, "render", "--register", csv, "--rules", rules, "--output", output)
	assert.Equal(t, code, command.ExitOK, errs)
	parts, err := os.ReadDir(filepath.Join(output, "parts"))
	assert.NilError(t, err)
	assert.Equal(t, len(parts), 3)

	code, out, errs := run(t, "diff", "--old-rendered", output, "--register", csv, "--rules", rules)
	assert.Equal(t, code, command.ExitOK, errs)
	assert.Assert(t, is.Contains(out, "no changes"))

	changed := editExample(t, "mandorlea/register.csv", ",10,110", ",12,110")
	code, out, errs = run(t, "diff", "--old-rendered", output, "--register", changed, "--rules", rules)
	assert.Equal(t, code, command.ExitNegativeResult)
	assert.Assert(t, is.Contains(out, "target banco-acquisti/banco-acquisti-1 altered (slots: 10 -> 12)"))
	assert.Assert(t, is.Contains(errs, "version 1 is not above version 1"))

	code, _, errs = run(t, "render", "--register", changed, "--rules", rules, "--output", output)
	assert.Equal(t, code, command.ExitNegativeResult)
	assert.Assert(t, is.Contains(errs, "write version = 2 in the rules"))

	raised := editExample(t, "mandorlea/rules.toml", "version = 1", "version = 2")
	code, _, errs = run(t, "render", "--register", changed, "--rules", raised, "--output", output)
	assert.Equal(t, code, command.ExitOK, errs)
	code, _, errs = run(t, "diff", "--old-register", csv, "--old-rules", rules, "--register", changed, "--rules", raised)
	assert.Equal(t, code, command.ExitOK, errs)
}
