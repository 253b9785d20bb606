package daemon_test

import (
	"context"
	"slices"
	"strings"
	"testing"

	"github.com/urfave/cli/v3"
	"gotest.tools/v3/assert"

	"cicadacross/internal/daemon"
)

// parse returns the settings that the arguments set and the error of parsing or validating them.
func parse(t *testing.T, arguments ...string) (daemon.Settings, error) {
	t.Helper()
	var settings daemon.Settings
	command := &cli.Command{
		Name:  "cicadacrossd",
		Flags: settings.Flags(),
		Action: func(context.Context, *cli.Command) error {
			return settings.Validate()
		},
	}
	err := command.Run(context.Background(), append([]string{"cicadacrossd"}, arguments...))
	return settings, err
}

func validArguments() []string {
	return []string{
		"--host=h1", "--availability-zone=z1", "--listen-caller=127.0.0.1:8080", "--listen-peer=127.0.0.1:8081",
		"--listen-operator=127.0.0.1:8082", "--platform=127.0.0.1:9000", "--upstream=127.0.0.1:9001",
		"--fleet-key=0123456789abcdef",
	}
}

func TestGoodSettings(t *testing.T) {
	settings, err := parse(t, validArguments()...)
	assert.NilError(t, err)
	assert.Equal(t, settings.AdvertisePeer, "127.0.0.1:8081")
	assert.Equal(t, settings.Admission, "share")
}

// Guards against a daemon that starts with an invalid value of a setting or reports it without naming the setting.
func TestBadSettingIsNamed(t *testing.T) {
	invalidValues := map[string]string{
		"host": "", "availability-zone": " z1", "listen-caller": "localhost:80", "listen-peer": "127.0.0.1",
		"listen-operator": "127.0.0.1:0", "advertise-peer": "h1:1", "platform": "", "upstream": "127.0.0.1:99999",
		"health-path": "health", "seeds": "nowhere", "fleet-key": "short", "admission": "lifo", "balancer": "random",
		"readers": "none", "log-level": "loud", "max-queue": "0", "decision-lines": "-1", "repeat-window": "1ms",
		"drain-limit": "-1s", "registry": "nowhere", "registry-format": " kv", "service": " s", "listen-ready": "h1:1",
		"memory-limit": "-1", "grace": "1ms", "retry-ratio": "-1", "retry-extra": "-1", "retry-window": "1ms",
		"upstream-drain": "-1s",
		"zone-regions":   `{"a":1}`, "warmup-overshoot": "-1", "warmup-slack": "-1",
		"zone-transfer-delay": "-1s",
		"link-mbps":           "-1", "caller-memory": "-1", "max-connections": "-1", "stall-timeout": "1ms",
		"body-slot-share": "2",
	}
	for _, flag := range new(daemon.Settings).Flags() {
		name := flag.Names()[0]
		value, listed := invalidValues[name]
		assert.Assert(t, listed, "no invalid value for --%s", name)
		arguments := slices.DeleteFunc(validArguments(), func(a string) bool { return strings.HasPrefix(a, "--"+name+"=") })
		_, err := parse(t, append(arguments, "--"+name+"="+value)...)
		assert.ErrorContains(t, err, "--"+name)
	}
}

// Guards against a daemon with a registry that starts without a setting that only such a daemon requires, or with both
// a registry and a platform as its source.
func TestRegistrySettings(t *testing.T) {
	arguments := append(validArguments(), "--registry=127.0.0.1:9100")
	_, err := parse(t, arguments...)
	for _, flag := range []string{"--listen-ready", "--service", "--host", "--platform"} {
		assert.ErrorContains(t, err, flag)
	}
	_, err = parse(t,
		"--host=127.0.0.1", "--availability-zone=z1", "--listen-caller=127.0.0.1:8080", "--listen-peer=127.0.0.1:8081",
		"--listen-operator=127.0.0.1:8082", "--registry=127.0.0.1:9000", "--upstream=127.0.0.1:9001",
		"--fleet-key=0123456789abcdef", "--listen-ready=127.0.0.1:8083", "--service=store",
	)
	assert.NilError(t, err)
}

// Guards against a daemon that doesn't start because the platform sets a limit to a fraction, as in sofia-static-grown
// with 20 hosts, which has a retry budget of 37.2.
func TestLimitsMayBeFractions(t *testing.T) {
	arguments := append(validArguments(), "--retry-extra=37.25", "--memory-limit=183.5", "--link-mbps=7.5")
	settings, err := parse(t, arguments...)
	assert.NilError(t, err)
	assert.Equal(t, settings.RetryExtra, 37.25)
	assert.Equal(t, settings.MemoryLimit, 183.5)
	assert.Equal(t, settings.LinkMbps, 7.5)
}

// Guards against settings that can be set only on the command line.
func TestSettingsFromEnvironment(t *testing.T) {
	t.Setenv("CICADACROSS_FLEET_KEY", "abcdefghijklmnop")
	arguments := slices.DeleteFunc(validArguments(), func(a string) bool { return strings.HasPrefix(a, "--fleet-key") })
	settings, err := parse(t, arguments...)
	assert.NilError(t, err)
	assert.Equal(t, settings.FleetKey, "abcdefghijklmnop")
}

// Guards against a daemon that doesn't start where the platform has no value for a setting.
func TestEmptyVariableMeansNotSet(t *testing.T) {
	t.Setenv("CICADACROSS_WARMUP_OVERSHOOT", "")
	t.Setenv("CICADACROSS_WARMUP_SLACK", "")
	settings, err := parse(t, validArguments()...)
	assert.NilError(t, err)
	assert.Equal(t, settings.WarmupOvershoot, 0.0)
}
