package roster

import (
	"crypto/sha256"
	"encoding/hex"
	"net/netip"
	"slices"
	"time"

	"cicadacross"
)

// builder builds configurations from the records of the replica. Only the control goroutine uses it.
type builder struct {
	opts          *Options
	routing       cicadacross.RoutingOptions
	routingDigest string
	evacuations   evacuations
	// unknownRegions holds the availability zones without a region that have been logged.
	unknownRegions map[string]bool
}

func newBuilder(opts *Options) *builder {
	return &builder{opts: opts, evacuations: newEvacuations(opts), unknownRegions: make(map[string]bool)}
}

// updateRouting decodes the routing record if its content differs from the current one. On error, the current routing
// stays in use; the error has KindStale if the version number of the record is lower than the current one.
func (b *builder) updateRouting(record cicadacross.Record) error {
	if record.Removed {
		return nil
	}
	sum := sha256.Sum256(record.Value)
	digest := hex.EncodeToString(sum[:])
	if digest == b.routingDigest {
		return nil
	}
	routing, err := b.opts.Format.Routing(record.Value)
	if err != nil {
		return err
	}
	if routing.Number < b.routing.Number {
		return newError("apply", KindStale, "routing version %d is older than the current version %d", routing.Number,
			b.routing.Number)
	}
	b.routing, b.routingDigest = routing, digest
	b.logDeviations(routing)
	return nil
}

// maxLoggedDeviations is the maximum number of deviations of one version that are logged.
const maxLoggedDeviations = 20

// logDeviations logs the parts of a new routing that are not used as published.
func (b *builder) logDeviations(routing cicadacross.RoutingOptions) {
	for i, deviation := range routing.Deviations {
		if i == maxLoggedDeviations {
			b.opts.Logger.Info("further deviations from the routing record are not logged", "version", routing.Number,
				"deviations", len(routing.Deviations))
			return
		}
		b.opts.Logger.Info("routing record can't be used as published", "version", routing.Number,
			"route", deviation.Route, "reason", deviation.Text)
	}
}

// build returns the configuration that the records in r describe at the time now, or nil when no routing is known. It
// leaves out invalid instances and those of unknown services, and keeps only the newest instance at each address.
func (b *builder) build(now time.Time, r *replica) *cicadacross.Configuration {
	if b.routing.Number == 0 {
		return nil
	}
	newestByAddress := make(map[string]*instance)
	for _, entry := range r.records {
		inst := entry.effectiveInstance(now)
		if inst == nil {
			continue
		}
		if _, known := b.routing.Services[inst.decoded.Service]; !known {
			continue
		}
		if other, ok := newestByAddress[inst.decoded.Address]; !ok || inst.newer(other) {
			newestByAddress[inst.decoded.Address] = inst
		}
	}
	options := cicadacross.ConfigurationOptions{
		Version: cicadacross.NewVersion(b.routing.Number, b.routingDigest),
		Routes:  b.routing.Routes,
		Limits:  b.routing.Limits,

		EvacuatedZones: b.evacuations.zones(now, r),
	}
	for _, inst := range newestByAddress {
		target := b.target(inst)
		options.Targets = append(options.Targets, target)
		if inst.decoded.State != cicadacross.InstanceReady {
			options.Leaving = append(options.Leaving, target.Host())
		}
	}
	c := cicadacross.NewConfiguration(options)
	b.evacuations.logChanges(c)
	b.logUnknownRegions(c)
	return c
}

// logUnknownRegions logs availability zones whose region isn't known although routes are limited to regions. Their
// targets receive no requests of these routes.
func (b *builder) logUnknownRegions(c *cicadacross.Configuration) {
	isLimited := func(r cicadacross.Route) bool { return len(r.AllowedRegions()) > 0 }
	if !slices.ContainsFunc(b.routing.Routes, isLimited) {
		return
	}
	for _, t := range c.Targets() {
		if zone := t.AvailabilityZone(); t.Region() == "" && !b.unknownRegions[zone] {
			b.unknownRegions[zone] = true
			b.opts.Logger.Info("region of an availability zone is unknown; routes with allowed regions don't use it",
				"availability_zone", zone)
		}
	}
}

// target returns the target for an instance and the daemon on its host, which has the same IP address. All daemons use
// the same ports.
func (b *builder) target(i *instance) cicadacross.Target {
	ip := netip.MustParseAddrPort(i.decoded.Address).Addr()
	return cicadacross.NewTarget(cicadacross.TargetOptions{
		Name:             i.decoded.ID,
		Service:          i.decoded.Service,
		Host:             ip.String(),
		Region:           b.opts.ZoneRegions[i.decoded.AvailabilityZone],
		AvailabilityZone: i.decoded.AvailabilityZone,
		Upstream:         i.decoded.Address,
		Peer:             netip.AddrPortFrom(ip, b.opts.PeerPort).String(),
		Operator:         netip.AddrPortFrom(ip, b.opts.OperatorPort).String(),
		Slots:            i.decoded.Slots,
		Connections:      b.routing.Services[i.decoded.Service].Connections,
		WarmupEnd:        i.warmupEnd,
		WarmupTime:       b.routing.Services[i.decoded.Service].WarmupTime,
		WarmupRate:       b.routing.Services[i.decoded.Service].WarmupRate,
		HealthPath:       b.routing.Services[i.decoded.Service].HealthPath,
	})
}
