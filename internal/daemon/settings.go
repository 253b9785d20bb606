// Package daemon assembles the parts of one daemon from its settings, starts them and shuts them down.
package daemon

import (
	"errors"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"cicadacross/internal/peer"
)

// The ways in which daemons read the source.
const (
	// ReadersZone lets a few daemons of each availability zone watch the source.
	ReadersZone = "zone"
	// ReadersAll lets every daemon watch the source; it is the baseline of the measurements.
	ReadersAll = "all"
)

// Settings are the settings of one daemon, given by flags and environment variables.
type Settings struct {
	Host             string
	AvailabilityZone string
	ListenCaller     string
	ListenPeer       string
	ListenOperator   string
	AdvertisePeer    string
	Platform         string
	// Registry is the address of the registry in which upstreams register themselves; "" means that the register that
	// operators publish names them.
	Registry       string
	RegistryFormat string
	Service        string
	ListenReady    string
	MemoryLimit    float64 // MB; 0 means no limit
	LinkMbps       float64
	Grace          time.Duration
	RetryRatio     float64
	RetryExtra     float64
	RetryWindow    time.Duration
	Upstream       string
	HealthPath     string
	Seeds          []string
	FleetKey       string
	Admission      string
	Balancer       string
	Readers        string
	LogLevel       string
	MaxQueue       int
	DecisionLines  int
	RepeatWindow   time.Duration
	DrainLimit     time.Duration
}

// The bounds of the numeric settings.
const (
	maxQueueLimit      = 100_000
	maxDecisionLines   = 100_000
	minRepeatWindow    = time.Second
	maxRepeatWindow    = 24 * time.Hour
	defaultMaxQueue    = 1_000
	defaultDecisions   = 100
	defaultWindow      = 10 * time.Minute
	environmentPrefix  = "CICADACROSS_"
	defaultFormat      = "platform"
	defaultGrace       = 6 * time.Second
	minGrace           = time.Second
	defaultRetryRatio  = 0.2
	maxRetryRatio      = 10.0
	defaultRetryExtra  = 50
	maxRetryExtra      = 100_000
	defaultRetryWindow = 10 * time.Second
	minRetryWindow     = time.Second
	maxMemoryLimit     = 1 << 20
	maxLinkMbps        = 1e6
	longestHostSetting = 253
)

// DefaultSettings returns the settings with every value that has a default.
func DefaultSettings() Settings {
	return Settings{
		Admission: "share", Balancer: "least", Readers: ReadersZone, LogLevel: "info",
		RegistryFormat: defaultFormat, Grace: defaultGrace, RetryRatio: defaultRetryRatio,
		RetryExtra: defaultRetryExtra, RetryWindow: defaultRetryWindow,
		MaxQueue: defaultMaxQueue, DecisionLines: defaultDecisions, RepeatWindow: defaultWindow,
	}
}

// Flags returns the command-line flags that fill the settings. Each flag can be given as an environment variable, for
// example --listen-peer as CICADACROSS_LISTEN_PEER.
func (s *Settings) Flags() []cli.Flag {
	defaults := DefaultSettings()
	return []cli.Flag{
		text("host", "name of this host in the register", "", &s.Host),
		text("availability-zone", "availability zone of this host", "", &s.AvailabilityZone),
		text("listen-caller", "IP:port on which callers are served", "", &s.ListenCaller),
		text("listen-peer", "IP:port on which other daemons are served", "", &s.ListenPeer),
		text("listen-operator", "IP:port on which operators are served", "", &s.ListenOperator),
		text("advertise-peer", "IP:port at which other daemons reach this one (default: listen-peer)", "", &s.AdvertisePeer),
		text("platform", "IP:port of the platform's service", "", &s.Platform),
		text("registry", "IP:port of the registry in which upstreams register themselves; replaces platform", "",
			&s.Registry),
		text("registry-format", "format of the registry's records and of callers' headers", defaults.RegistryFormat,
			&s.RegistryFormat),
		text("service", "service of the upstream on this host; needed with registry", "", &s.Service),
		text("listen-ready", "IP:port on which readiness is told; needed with registry", "", &s.ListenReady),
		fraction("memory-limit", "memory in MB that the process may use; 0 means no limit", 0, &s.MemoryLimit),
		fraction("link-mbps", "speed of this host's link in Mbit/s; daemons with fast links read the registry", 0,
			&s.LinkMbps),
		duration("grace", "time from SIGTERM to the end of the process, with registry", defaults.Grace, &s.Grace),
		fraction("retry-ratio", "retries that the fleet may send for each request of a service", defaults.RetryRatio,
			&s.RetryRatio),
		fraction("retry-extra", "retries that the fleet may send besides in each window", defaults.RetryExtra,
			&s.RetryExtra),
		duration("retry-window", "time over which retries are counted", defaults.RetryWindow, &s.RetryWindow),
		text("upstream", "IP:port of the upstream on this host", "", &s.Upstream),
		text("health-path", "path of the upstream's health endpoint (default: no probes)", "", &s.HealthPath),
		&cli.StringSliceFlag{
			Name: "seeds", Usage: "IP:port of daemons to ask first when starting",
			Sources: cli.EnvVars(environmentName("seeds")), Destination: &s.Seeds,
		},
		text("fleet-key", "secret that all daemons share; give it as environment variable", "", &s.FleetKey),
		text("admission", "admission policy: share, aim, fifo or priority", defaults.Admission, &s.Admission),
		text("balancer", "choice of target: least, swift or roundrobin", defaults.Balancer, &s.Balancer),
		text("readers", "daemons that watch the source: zone (a few in each zone) or all", defaults.Readers,
			&s.Readers),
		text("log-level", "lowest level that is logged: debug, info, warn or error", defaults.LogLevel,
			&s.LogLevel),
		number("max-queue", "requests that may wait for a slot", defaults.MaxQueue, &s.MaxQueue),
		number("decision-lines", "routing decisions logged a second, the rest is counted", defaults.DecisionLines,
			&s.DecisionLines),
		duration("repeat-window", "time within which a caller may repeat an idempotency key", defaults.RepeatWindow,
			&s.RepeatWindow),
		duration("drain-limit", "longest wait for requests in progress on shutdown; 0 means no limit", 0, &s.DrainLimit),
	}
}

func environmentName(flag string) string {
	return environmentPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

func text(name, usage, value string, destination *string) cli.Flag {
	return &cli.StringFlag{
		Name: name, Usage: usage, Value: value,
		Sources: cli.EnvVars(environmentName(name)), Destination: destination,
	}
}

func number(name, usage string, value int, destination *int) cli.Flag {
	return &cli.IntFlag{
		Name: name, Usage: usage, Value: value,
		Sources: cli.EnvVars(environmentName(name)), Destination: destination,
	}
}

func fraction(name, usage string, value float64, destination *float64) cli.Flag {
	return &cli.FloatFlag{
		Name: name, Usage: usage, Value: value,
		Sources: cli.EnvVars(environmentName(name)), Destination: destination,
	}
}

func duration(name, usage string, value time.Duration, destination *time.Duration) cli.Flag {
	return &cli.DurationFlag{
		Name: name, Usage: usage, Value: value,
		Sources: cli.EnvVars(environmentName(name)), Destination: destination,
	}
}

// Validate checks all settings and returns one error that names each bad or missing one, or nil. It fills
// AdvertisePeer from ListenPeer when it is empty.
func (s *Settings) Validate() error {
	var check settingsCheck
	check.name("host", s.Host)
	check.name("availability-zone", s.AvailabilityZone)
	check.address("listen-caller", s.ListenCaller)
	check.address("listen-peer", s.ListenPeer)
	check.address("listen-operator", s.ListenOperator)
	if s.AdvertisePeer == "" {
		s.AdvertisePeer = s.ListenPeer
	}
	check.address("advertise-peer", s.AdvertisePeer)
	s.validateRegistered(&check)
	if !s.Registered() {
		check.address("platform", s.Platform)
	}
	check.address("upstream", s.Upstream)
	if s.HealthPath != "" && !strings.HasPrefix(s.HealthPath, "/") {
		check.fault("health-path", "%q does not start with \"/\"", s.HealthPath)
	}
	for _, seed := range s.Seeds {
		check.address("seeds", seed)
	}
	if len(s.FleetKey) < peer.MinKeyLength {
		check.fault("fleet-key", "has %d bytes; give at least %d", len(s.FleetKey), peer.MinKeyLength)
	}
	check.oneOf("admission", s.Admission, "share", "fifo", "priority", "aim")
	check.oneOf("balancer", s.Balancer, "least", "roundrobin", "swift")
	check.oneOf("readers", s.Readers, ReadersZone, ReadersAll)
	check.oneOf("log-level", s.LogLevel, "debug", "info", "warn", "error")
	check.inRange("max-queue", s.MaxQueue, 1, maxQueueLimit)
	check.inRange("decision-lines", s.DecisionLines, 0, maxDecisionLines)
	if s.RepeatWindow < minRepeatWindow || s.RepeatWindow > maxRepeatWindow {
		check.fault("repeat-window", "%s is not between %s and %s", s.RepeatWindow, minRepeatWindow, maxRepeatWindow)
	}
	if s.DrainLimit < 0 {
		check.fault("drain-limit", "%s is below 0", s.DrainLimit)
	}
	return errors.Join(check.faults...)
}

// Registered reports whether upstreams register themselves.
func (s *Settings) Registered() bool { return s.Registry != "" }

func (s *Settings) validateRegistered(check *settingsCheck) {
	if s.Registered() {
		check.address("registry", s.Registry)
		check.address("listen-ready", s.ListenReady)
		check.name("service", s.Service)
		if _, err := netip.ParseAddr(s.Host); err != nil {
			check.fault("host", "%q is not an IP address, by which a registry names hosts", s.Host)
		}
		if s.Platform != "" {
			check.fault("platform", "excludes --registry")
		}
	}
	if s.Service != "" {
		check.name("service", s.Service)
	}
	if s.ListenReady != "" {
		check.address("listen-ready", s.ListenReady)
	}
	check.name("registry-format", s.RegistryFormat)
	check.between("memory-limit", s.MemoryLimit, maxMemoryLimit)
	check.between("link-mbps", s.LinkMbps, maxLinkMbps)
	check.between("retry-extra", s.RetryExtra, maxRetryExtra)
	if s.Grace < minGrace {
		check.fault("grace", "%s is below %s", s.Grace, minGrace)
	}
	check.between("retry-ratio", s.RetryRatio, maxRetryRatio)
	if s.RetryWindow < minRetryWindow {
		check.fault("retry-window", "%s is below %s", s.RetryWindow, minRetryWindow)
	}
}

// settingsCheck collects the faults of all settings, so that an operator mends them in one go.
type settingsCheck struct {
	faults []error
}

func (c *settingsCheck) fault(setting, format string, args ...any) {
	format = "--" + setting + " (" + environmentName(setting) + "): " + format
	c.faults = append(c.faults, newError("settings", KindSetting, format, args...))
}

func (c *settingsCheck) name(setting, value string) {
	switch {
	case value == "":
		c.fault(setting, "is missing")
	case len(value) > longestHostSetting:
		c.fault(setting, "has %d bytes; at most %d are allowed", len(value), longestHostSetting)
	case strings.TrimSpace(value) != value:
		c.fault(setting, "%q begins or ends with white space", value)
	}
}

func (c *settingsCheck) address(setting, value string) {
	if value == "" {
		c.fault(setting, "is missing; give IP:port")
		return
	}
	address, err := netip.ParseAddrPort(value)
	if err != nil {
		c.fault(setting, "%q is not IP:port", value)
		return
	}
	if address.Port() == 0 {
		c.fault(setting, "%q has port 0", value)
	}
}

func (c *settingsCheck) oneOf(setting, value string, known ...string) {
	if !slices.Contains(known, value) {
		c.fault(setting, "%q is unknown; give one of %s", value, strings.Join(known, ", "))
	}
}

// between checks a fraction from 0 to high; NaN is neither.
func (c *settingsCheck) between(setting string, value, high float64) {
	if !(value >= 0 && value <= high) {
		c.fault(setting, "%v is not between 0 and %v", value, high)
	}
}

func (c *settingsCheck) inRange(setting string, value, low, high int) {
	if value < low || value > high {
		c.fault(setting, "%d is not between %d and %d", value, low, high)
	}
}
