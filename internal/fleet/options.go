package fleet

import (
	"net/netip"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/grpc"

	"cicadacross"
	"cicadacross/internal/peer"
	"cicadacross/internal/timer"
)

// ReaderPolicy selects the daemons that watch the source.
type ReaderPolicy string

// The reader policies.
const (
	// ReadersElected means that two hosts of each availability zone watch the source. It is the default.
	ReadersElected ReaderPolicy = "elected"
	// ReadersAll means that every daemon watches the source. It is the baseline of the measurements.
	ReadersAll ReaderPolicy = "all"
)

const (
	// tickPeriod is the period of the control goroutine's time-driven work.
	tickPeriod = 200 * time.Millisecond
	// pauseThreshold is the time without a tick from which the process counts as paused. It is five ticks, more than a
	// busy machine delays one.
	pauseThreshold = time.Second

	exchangePeriod  = 2 * time.Second
	exchangeTimeout = time.Second
	announceTimeout = time.Second
	// announceFanout is the number of peers to which a daemon announces a version or a change of leaving hosts.
	announceFanout = 4

	// jitterShare is the jitter of periods: they last 75% to 125% of their nominal length.
	jitterShare = 0.25
)

// Options configures a Fleet.
type Options struct {
	// Host is the name of this host in the register.
	Host string
	// AvailabilityZone is the availability zone of this host.
	AvailabilityZone string
	// Peer is the address at which other daemons reach this one, as IP:port.
	Peer string
	// Operator is the address at which operators reach this daemon, as IP:port; it may be empty.
	Operator string
	// Seeds are the peer addresses that a daemon without a configuration asks first, as IP:port.
	Seeds []string
	// FleetKey is the shared secret by which daemons authenticate each other, at least peer.MinKeyLength bytes.
	FleetKey string
	// Source reads the configuration service of the platform; nil means that this daemon never reads it.
	Source cicadacross.Source
	// Readers selects the daemons that watch the source; empty means ReadersElected.
	Readers ReaderPolicy
	// Timers is the timer service; nil means the system clock.
	Timers cicadacross.Timers
	// Logger receives the log lines; the zero value discards them.
	Logger logr.Logger
	// Metrics is the registry of the counters; nil means a private registry.
	Metrics metrics.Registry
	// Quarantine provides the suspects that are sent to other daemons and receives theirs; it may be nil.
	Quarantine cicadacross.Quarantine
	// OnApply is called before a configuration becomes the current one, in the order of the versions and from one
	// goroutine. previous is nil for the first configuration. OnApply must return within milliseconds and must not call
	// the Fleet. It may be nil.
	OnApply func(previous, next *cicadacross.Configuration)
	// DialOptions are added to the dial options of connections to other daemons.
	DialOptions []grpc.DialOption
}

func (o Options) withDefaults() Options {
	if o.Readers == "" {
		o.Readers = ReadersElected
	}
	if o.Timers == nil {
		o.Timers = timer.System{}
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	return o
}

func (o Options) check() error {
	const op = "new fleet"
	if o.Host == "" || len(o.Host) > maxNameLength {
		return newError(op, KindOption, "host %q must have 1 to %d bytes", o.Host, maxNameLength)
	}
	if o.AvailabilityZone == "" || len(o.AvailabilityZone) > maxNameLength {
		return newError(op, KindOption, "availability zone %q must have 1 to %d bytes", o.AvailabilityZone, maxNameLength)
	}
	if len(o.FleetKey) < peer.MinKeyLength {
		return newError(op, KindOption, "the fleet key must have at least %d bytes", peer.MinKeyLength)
	}
	for _, address := range append([]string{o.Peer}, o.Seeds...) {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return wrapError(op, KindOption, err, "peer address %q is not IP:port", address)
		}
	}
	if o.Readers != ReadersElected && o.Readers != ReadersAll {
		return newError(op, KindOption, "unknown reader policy %q", o.Readers)
	}
	return nil
}
