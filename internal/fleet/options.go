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

// ReaderPolicy says which daemons watch the source.
type ReaderPolicy string

// The reader policies.
const (
	// ReadersElected lets two hosts of each availability zone watch the source. It is the default.
	ReadersElected ReaderPolicy = "elected"
	// ReadersAll lets every daemon watch the source. It is the baseline of the measurements.
	ReadersAll ReaderPolicy = "all"
)

const (
	tickPeriod = 200 * time.Millisecond
	// pauseGap is five ticks, more than a busy machine delays one.
	pauseGap = time.Second

	exchangePeriod  = 2 * time.Second
	exchangeTimeout = time.Second
	announceTimeout = time.Second
	// announceFanout is the number of peers that a daemon tells of a version or of news.
	announceFanout = 4

	// jitterShare spreads periods over 75% to 125% of their length.
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
	// Seeds are the addresses that a daemon without a configuration asks first, as IP:port.
	Seeds []string
	// FleetKey is the key that daemons prove to each other, at least peer.MinKeyLength bytes.
	FleetKey string
	// Source reads the platform's service; nil means that this daemon never does.
	Source cicadacross.Source
	// Readers says which daemons watch the source; empty means ReadersElected.
	Readers ReaderPolicy
	// Timers is the timer service; nil means the clock of the machine.
	Timers cicadacross.Timers
	// Log takes the log lines; the zero value discards them.
	Log logr.Logger
	// Metrics takes the counters; nil means a registry of its own.
	Metrics metrics.Registry
	// Quarantine exchanges its suspects with those of other daemons; it may be nil.
	Quarantine cicadacross.Quarantine
	// OnApply is called before a configuration comes into force, in the order of the versions and by one goroutine. The
	// previous configuration is nil before the first. It must return within milliseconds and must not call the Fleet.
	OnApply func(previous, next *cicadacross.Configuration)
	// DialOptions are added to the connections to other daemons.
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
	if o.Host == "" || len(o.Host) > maxName {
		return newError(op, KindOption, "host %q must have 1 to %d bytes", o.Host, maxName)
	}
	if o.AvailabilityZone == "" || len(o.AvailabilityZone) > maxName {
		return newError(op, KindOption, "availability zone %q must have 1 to %d bytes", o.AvailabilityZone, maxName)
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
