// Package daemon assembles the components of a daemon from its settings, starts them and shuts them down.
package daemon

import (
	"encoding/json"
	"errors"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"cicadacross/internal/peer"
)

// The values of Settings.Readers, which determine the daemons that watch the source.
const (
	// ReadersZone means that a few daemons of each availability zone watch the source.
	ReadersZone = "zone"
	// ReadersAll means that every daemon watches the source; measurements use it as their baseline.
	ReadersAll = "all"
)

// Settings holds the settings of a daemon, which are set by flags and environment variables. See Flags for their
// meaning.
type Settings struct {
	Host             string
	AvailabilityZone string
	ListenCaller     string
	ListenPeer       string
	ListenOperator   string
	AdvertisePeer    string
	Platform         string
	// Registry is the address of the registry in which upstreams register themselves; "" means that operators publish
	// the upstreams in a register.
	Registry       string
	RegistryFormat string
	ZoneRegions    string // JSON table from availability zones to their regions; "" means that none is known
	Service        string
	ListenReady    string
	MemoryLimit    float64 // in MiB; 0 means no limit
	LinkMbps       float64 // in Mbit/s; 0 means unknown
	Grace          time.Duration
	UpstreamDrain  time.Duration // 0 means unknown
	RetryRatio     float64
	RetryExtra     float64
	RetryWindow    time.Duration
	// WarmupOvershoot and WarmupSlack define the most requests that an upstream accepts in any second while it warms up:
	// its rate times WarmupOvershoot plus WarmupSlack.
	WarmupOvershoot float64
	WarmupSlack     float64
	Upstream        string
	HealthPath      string
	Seeds           []string
	FleetKey        string
	Admission       string
	Balancer        string
	Readers         string
	LogLevel        string
	MaxQueue        int
	DecisionLines   int
	RepeatWindow    time.Duration
	DrainLimit      time.Duration
	// ZoneTransferDelay is the delay accepted to keep a megabyte within its availability zone.
	ZoneTransferDelay time.Duration
	// CallerMemory is the memory for requests and responses of callers in MiB; 0 means a quarter of MemoryLimit.
	CallerMemory float64
	// MaxConnections limits the connections of callers; 0 means that it follows from the limits of the process.
	MaxConnections int
	StallTimeout   time.Duration
	// BodySlotShare is the share of the slots for requests whose body is still arriving.
	BodySlotShare float64
}

// The bounds and defaults of the settings. maxMemoryLimit is in MiB, maxNameLength in bytes.
const (
	maxQueueLimit         = 100_000
	maxDecisionLines      = 100_000
	minRepeatWindow       = time.Second
	maxRepeatWindow       = 24 * time.Hour
	defaultMaxQueue       = 1_000
	defaultDecisionLines  = 100
	defaultRepeatWindow   = 10 * time.Minute
	environmentPrefix     = "CICADACROSS_"
	defaultRegistryFormat = "platform"
	defaultZoneDelay      = 12 * time.Second
	defaultGrace          = 6 * time.Second
	minGrace              = time.Second
	defaultRetryRatio     = 0.2
	maxRetryRatio         = 10.0
	defaultRetryExtra     = 50
	maxRetryExtra         = 100_000
	defaultRetryWindow    = 10 * time.Second
	minRetryWindow        = time.Second
	maxMemoryLimit        = 1 << 20
	maxLinkMbps           = 1e6
	maxNameLength         = 253
	maxWarmupOvershoot    = 100.0
	maxWarmupSlack        = 1e6
	maxConnectionsLimit   = 1_000_000
	defaultStallTimeout   = 15 * time.Second
	minStallTimeout       = 100 * time.Millisecond
	defaultBodySlotShare  = 0.5
)

// DefaultSettings returns settings in which each setting that has a default is set.
func DefaultSettings() Settings {
	return Settings{
		Admission: "share", Balancer: "least", Readers: ReadersZone, LogLevel: "info",
		RegistryFormat: defaultRegistryFormat, Grace: defaultGrace, RetryRatio: defaultRetryRatio,
		RetryExtra: defaultRetryExtra, RetryWindow: defaultRetryWindow,
		MaxQueue: defaultMaxQueue, DecisionLines: defaultDecisionLines, RepeatWindow: defaultRepeatWindow,
		ZoneTransferDelay: defaultZoneDelay,
		StallTimeout:      defaultStallTimeout, BodySlotShare: defaultBodySlotShare,
	}
}

// Flags returns the command-line flags that set the settings. Each flag can also be set by an environment variable, for
// example --listen-peer by CICADACROSS_LISTEN_PEER.
func (s *Settings) Flags() []cli.Flag {
	defaults := DefaultSettings()
	return []cli.Flag{
		stringFlag("host", "name of this host in the register", "", &s.Host),
		stringFlag("availability-zone", "availability zone of this host", "", &s.AvailabilityZone),
		stringFlag("listen-caller", "IP:port on which callers are served", "", &s.ListenCaller),
		stringFlag("listen-peer", "IP:port on which other daemons are served", "", &s.ListenPeer),
		stringFlag("listen-operator", "IP:port on which operators are served", "", &s.ListenOperator),
		stringFlag("advertise-peer", "IP:port at which other daemons reach this one (default: listen-peer)", "",
			&s.AdvertisePeer),
		stringFlag("platform", "IP:port of the platform's service", "", &s.Platform),
		stringFlag("registry", "IP:port of the registry in which upstreams register themselves; replaces platform", "",
			&s.Registry),
		stringFlag("registry-format", "format of the registry's records and of callers' headers", defaults.RegistryFormat,
			&s.RegistryFormat),
		stringFlag("zone-regions", "JSON table of the region of each availability zone; only with registry", "",
			&s.ZoneRegions),
		stringFlag("service", "service of the upstream on this host; required with registry", "", &s.Service),
		stringFlag("listen-ready", "IP:port of the readiness endpoint; required with registry", "", &s.ListenReady),
		floatFlag("memory-limit", "memory in MiB that the process may use; 0 means no limit", 0, &s.MemoryLimit),
		floatFlag("link-mbps", "link speed of this host in Mbit/s; daemons with faster links watch the registry", 0,
			&s.LinkMbps),
		durationFlag("upstream-drain", "how long the upstream serves after it has registered as draining or has left the "+
			"registry; 0 means unknown; only with registry", defaults.UpstreamDrain, &s.UpstreamDrain),
		durationFlag("grace", "time from SIGTERM until the process must exit; only with registry", defaults.Grace, &s.Grace),
		floatFlag("retry-ratio", "retries that the fleet may send per request of a service", defaults.RetryRatio,
			&s.RetryRatio),
		floatFlag("retry-extra", "additional retries that the fleet may send per window", defaults.RetryExtra,
			&s.RetryExtra),
		durationFlag("retry-window", "length of the window over which retries are counted", defaults.RetryWindow,
			&s.RetryWindow),
		floatFlag("warmup-overshoot", "factor on the rate that an upstream tolerates while it warms up; 0 means no margin", 0,
			&s.WarmupOvershoot),
		floatFlag("warmup-slack", "requests per second that it accepts in addition", 0, &s.WarmupSlack),
		stringFlag("upstream", "IP:port of the upstream on this host", "", &s.Upstream),
		stringFlag("health-path", "path of the upstream's health endpoint (default: no probes)", "", &s.HealthPath),
		&cli.StringSliceFlag{
			Name: "seeds", Usage: "IP:port of daemons to contact first on startup",
			Sources: cli.EnvVars(environmentVariable("seeds")), Destination: &s.Seeds,
		},
		stringFlag("fleet-key", "secret that all daemons share; set it by the environment variable", "", &s.FleetKey),
		stringFlag("admission", "admission policy: share, aim, fifo or priority", defaults.Admission, &s.Admission),
		stringFlag("balancer", "policy that selects the target: least, swift or roundrobin", defaults.Balancer, &s.Balancer),
		durationFlag("zone-transfer-delay",
			"delay accepted to keep a megabyte within its availability zone; only with swift and registry",
			defaults.ZoneTransferDelay, &s.ZoneTransferDelay),
		stringFlag("readers", "daemons that watch the source: zone (a few in each zone) or all", defaults.Readers,
			&s.Readers),
		stringFlag("log-level", "minimum level of log lines: debug, info, warn or error", defaults.LogLevel,
			&s.LogLevel),
		intFlag("max-queue", "requests that may wait for a slot", defaults.MaxQueue, &s.MaxQueue),
		intFlag("decision-lines", "routing decisions logged per second; the others are only counted", defaults.DecisionLines,
			&s.DecisionLines),
		durationFlag("repeat-window", "time within which a caller may repeat an idempotency key", defaults.RepeatWindow,
			&s.RepeatWindow),
		durationFlag("drain-limit", "time limit for requests in progress on shutdown; 0 means no limit", 0, &s.DrainLimit),
		floatFlag("caller-memory", "memory in MiB for requests and responses of callers (default: a quarter of memory-limit)",
			0, &s.CallerMemory),
		intFlag("max-connections", "connections of callers (default: by the limits on descriptors and memory)", 0,
			&s.MaxConnections),
		durationFlag("stall-timeout", "time within which a caller must send or read further bytes", defaults.StallTimeout,
			&s.StallTimeout),
		floatFlag("body-slot-share", "share of the slots for requests whose body is still arriving, at least one slot",
			defaults.BodySlotShare, &s.BodySlotShare),
	}
}

func environmentVariable(flag string) string {
	return environmentPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

func stringFlag(name, usage, value string, destination *string) cli.Flag {
	return &cli.StringFlag{
		Name: name, Usage: usage, Value: value,
		Sources: cli.EnvVars(environmentVariable(name)), Destination: destination,
	}
}

func intFlag(name, usage string, value int, destination *int) cli.Flag {
	return &cli.IntFlag{
		Name: name, Usage: usage, Value: value,
		Sources: cli.EnvVars(environmentVariable(name)), Destination: destination,
	}
}

func floatFlag(name, usage string, value float64, destination *float64) cli.Flag {
	return &cli.FloatFlag{
		Name: name, Usage: usage, Value: value,
		Sources: cli.EnvVars(environmentVariable(name)), Destination: destination,
	}
}

func durationFlag(name, usage string, value time.Duration, destination *time.Duration) cli.Flag {
	return &cli.DurationFlag{
		Name: name, Usage: usage, Value: value,
		Sources: cli.EnvVars(environmentVariable(name)), Destination: destination,
	}
}

// Validate checks all settings and returns an error that names each invalid or missing one, or nil. It sets
// AdvertisePeer to ListenPeer when it is empty.
func (s *Settings) Validate() error {
	var v settingsValidator
	v.checkName("host", s.Host)
	v.checkName("availability-zone", s.AvailabilityZone)
	v.checkAddress("listen-caller", s.ListenCaller)
	v.checkAddress("listen-peer", s.ListenPeer)
	v.checkAddress("listen-operator", s.ListenOperator)
	if s.AdvertisePeer == "" {
		s.AdvertisePeer = s.ListenPeer
	}
	v.checkAddress("advertise-peer", s.AdvertisePeer)
	s.validateRegistry(&v)
	if !s.UsesRegistry() {
		v.checkAddress("platform", s.Platform)
	}
	v.checkAddress("upstream", s.Upstream)
	if s.HealthPath != "" && !strings.HasPrefix(s.HealthPath, "/") {
		v.addError("health-path", "%q does not start with \"/\"", s.HealthPath)
	}
	for _, seed := range s.Seeds {
		v.checkAddress("seeds", seed)
	}
	if len(s.FleetKey) < peer.MinKeyLength {
		v.addError("fleet-key", "has %d bytes; give at least %d", len(s.FleetKey), peer.MinKeyLength)
	}
	v.checkOneOf("admission", s.Admission, "share", "fifo", "priority", "aim")
	v.checkOneOf("balancer", s.Balancer, "least", "roundrobin", "swift")
	v.checkOneOf("readers", s.Readers, ReadersZone, ReadersAll)
	v.checkOneOf("log-level", s.LogLevel, "debug", "info", "warn", "error")
	v.checkIntRange("max-queue", s.MaxQueue, 1, maxQueueLimit)
	v.checkIntRange("decision-lines", s.DecisionLines, 0, maxDecisionLines)
	if s.RepeatWindow < minRepeatWindow || s.RepeatWindow > maxRepeatWindow {
		v.addError("repeat-window", "%s is not between %s and %s", s.RepeatWindow, minRepeatWindow, maxRepeatWindow)
	}
	if s.ZoneTransferDelay < 0 {
		v.addError("zone-transfer-delay", "%s is below 0", s.ZoneTransferDelay)
	}
	v.checkFloatRange("caller-memory", s.CallerMemory, maxMemoryLimit)
	v.checkIntRange("max-connections", s.MaxConnections, 0, maxConnectionsLimit)
	v.checkFloatRange("body-slot-share", s.BodySlotShare, 1)
	if s.StallTimeout < minStallTimeout {
		v.addError("stall-timeout", "%s is below %s", s.StallTimeout, minStallTimeout)
	}
	if s.DrainLimit < 0 {
		v.addError("drain-limit", "%s is below 0", s.DrainLimit)
	}
	return errors.Join(v.errs...)
}

// UsesRegistry reports whether upstreams register themselves in a registry.
func (s *Settings) UsesRegistry() bool { return s.Registry != "" }

// validateRegistry checks the settings that only a daemon with a registry uses. Without a registry, Service and
// ListenReady may be empty, but a value that is set must be valid.
func (s *Settings) validateRegistry(v *settingsValidator) {
	if s.UsesRegistry() {
		v.checkAddress("registry", s.Registry)
		v.checkAddress("listen-ready", s.ListenReady)
		v.checkName("service", s.Service)
		if _, err := netip.ParseAddr(s.Host); err != nil {
			v.addError("host", "%q is not an IP address, by which a registry names hosts", s.Host)
		}
		if s.Platform != "" {
			v.addError("platform", "can't be combined with --registry")
		}
	}
	if s.Service != "" {
		v.checkName("service", s.Service)
	}
	if s.ListenReady != "" {
		v.checkAddress("listen-ready", s.ListenReady)
	}
	if _, err := parseZoneRegions(s.ZoneRegions); err != nil {
		v.addError("zone-regions", "is not a JSON table of names: %v", err)
	}
	v.checkName("registry-format", s.RegistryFormat)
	v.checkFloatRange("memory-limit", s.MemoryLimit, maxMemoryLimit)
	v.checkFloatRange("link-mbps", s.LinkMbps, maxLinkMbps)
	v.checkFloatRange("retry-extra", s.RetryExtra, maxRetryExtra)
	if s.UpstreamDrain < 0 {
		v.addError("upstream-drain", "%s is below 0", s.UpstreamDrain)
	}
	if s.Grace < minGrace {
		v.addError("grace", "%s is below %s", s.Grace, minGrace)
	}
	v.checkFloatRange("warmup-overshoot", s.WarmupOvershoot, maxWarmupOvershoot)
	v.checkFloatRange("warmup-slack", s.WarmupSlack, maxWarmupSlack)
	v.checkFloatRange("retry-ratio", s.RetryRatio, maxRetryRatio)
	if s.RetryWindow < minRetryWindow {
		v.addError("retry-window", "%s is below %s", s.RetryWindow, minRetryWindow)
	}
}

// zoneRegions returns the region of each availability zone, or nil when ZoneRegions is empty or invalid.
func (s *Settings) zoneRegions() map[string]string {
	regions, err := parseZoneRegions(s.ZoneRegions)
	if err != nil {
		return nil
	}
	return regions
}

func parseZoneRegions(text string) (map[string]string, error) {
	if text == "" {
		return nil, nil
	}
	var regions map[string]string
	err := json.Unmarshal([]byte(text), &regions)
	return regions, err
}

// settingsValidator collects the errors of all settings, so that an operator can correct them together.
type settingsValidator struct {
	errs []error
}

func (v *settingsValidator) addError(setting, format string, args ...any) {
	format = "--" + setting + " (" + environmentVariable(setting) + "): " + format
	v.errs = append(v.errs, newError("settings", KindSetting, format, args...))
}

func (v *settingsValidator) checkName(setting, value string) {
	switch {
	case value == "":
		v.addError(setting, "is missing")
	case len(value) > maxNameLength:
		v.addError(setting, "has %d bytes; at most %d are allowed", len(value), maxNameLength)
	case strings.TrimSpace(value) != value:
		v.addError(setting, "%q begins or ends with white space", value)
	}
}

func (v *settingsValidator) checkAddress(setting, value string) {
	if value == "" {
		v.addError(setting, "is missing; give IP:port")
		return
	}
	address, err := netip.ParseAddrPort(value)
	if err != nil {
		v.addError(setting, "%q is not IP:port", value)
		return
	}
	if address.Port() == 0 {
		v.addError(setting, "%q has port 0", value)
	}
}

func (v *settingsValidator) checkOneOf(setting, value string, known ...string) {
	if !slices.Contains(known, value) {
		v.addError(setting, "%q is unknown; give one of %s", value, strings.Join(known, ", "))
	}
}

// checkFloatRange checks that the value is between 0 and the maximum. NaN is out of range.
func (v *settingsValidator) checkFloatRange(setting string, value, maximum float64) {
	if !(value >= 0 && value <= maximum) {
		v.addError(setting, "%v is not between 0 and %v", value, maximum)
	}
}

func (v *settingsValidator) checkIntRange(setting string, value, minimum, maximum int) {
	if value < minimum || value > maximum {
		v.addError(setting, "%d is not between %d and %d", value, minimum, maximum)
	}
}
