package roster

import (
	"crypto/sha256"
	"encoding/hex"
	"net/netip"
	"strings"
	"time"

	"cicadacross"
)

// builder builds configurations from the records of the replica. It caches decoded records and decodes a record again
// only when its revision has changed. Only the control goroutine uses it.
type builder struct {
	opts            *Options
	routing         cicadacross.RoutingOptions
	routingDigest   string
	routingRevision cicadacross.Revision
	instances       map[string]*instance
}

// instance is the decoded record of an upstream. If err is not nil, the record is invalid and decoded must not be used.
type instance struct {
	revision cicadacross.Revision
	decoded  cicadacross.Instance
	// warmupEnd is the time at which the upstream is expected to be warm; the zero time means that it needs no warm-up.
	warmupEnd time.Time
	err       error
}

func newBuilder(opts *Options) *builder {
	return &builder{opts: opts, instances: make(map[string]*instance)}
}

// updateRouting decodes the routing record if its revision is newer than that of the last one. On error, the current
// routing stays in use; the error has KindStale if the version number of the record is lower than the current one.
func (b *builder) updateRouting(record cicadacross.Record) error {
	if record.Removed || record.Revision <= b.routingRevision {
		return nil
	}
	routing, err := b.opts.Format.Routing(record.Value)
	if err != nil {
		return err
	}
	b.routingRevision = record.Revision
	if routing.Number < b.routing.Number {
		return newError("apply", KindStale, "routing version %d is older than the current version %d", routing.Number,
			b.routing.Number)
	}
	sum := sha256.Sum256(record.Value)
	b.routing, b.routingDigest = routing, hex.EncodeToString(sum[:])
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

// decodeInstance decodes the record of an upstream, or returns the cached result for an unchanged revision. The
// remaining warm-up time counts from learnedAt.
func (b *builder) decodeInstance(record cicadacross.Record, learnedAt time.Time) *instance {
	inst, ok := b.instances[record.Key]
	if ok && inst.revision == record.Revision {
		return inst
	}
	inst = &instance{revision: record.Revision}
	inst.decoded, inst.err = b.opts.Format.Instance(record)
	if inst.err == nil && inst.decoded.WarmupRemaining > 0 {
		inst.warmupEnd = learnedAt.Add(inst.decoded.WarmupRemaining)
	}
	b.instances[record.Key] = inst
	if inst.err != nil {
		b.opts.Logger.Info("ignoring an invalid instance record", "key", record.Key, "revision", uint64(record.Revision),
			"reason", inst.err.Error())
	}
	return inst
}

// build returns the configuration that the records in r describe at the time now, or nil when no routing is known. It
// leaves out invalid instances and those of unknown services, and keeps only the newest instance at each address.
func (b *builder) build(now time.Time, r *replica) *cicadacross.Configuration {
	if b.routing.Number == 0 {
		return nil
	}
	newestByAddress := make(map[string]*instance)
	prefix := b.opts.Format.InstancePrefix()
	for key, entry := range r.records {
		if !strings.HasPrefix(key, prefix) {
			continue
		}
		record, ok := entry.effective(now)
		if !ok {
			delete(b.instances, key)
			continue
		}
		inst := b.decodeInstance(record, entry.learnedAt)
		if inst.err != nil {
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
	}
	for _, inst := range newestByAddress {
		target := b.target(inst)
		options.Targets = append(options.Targets, target)
		if inst.decoded.State != cicadacross.InstanceReady {
			options.Leaving = append(options.Leaving, target.Host())
		}
	}
	return cicadacross.NewConfiguration(options)
}

// newer reports whether i is the later of two instances with the same address.
func (i *instance) newer(other *instance) bool {
	if i.decoded.Generation != other.decoded.Generation {
		return i.decoded.Generation > other.decoded.Generation
	}
	return i.revision > other.revision
}

// target returns the target for an instance and the daemon on its host, which has the same IP address. All daemons use
// the same ports.
func (b *builder) target(i *instance) cicadacross.Target {
	ip := netip.MustParseAddrPort(i.decoded.Address).Addr()
	return cicadacross.NewTarget(cicadacross.TargetOptions{
		Name:             i.decoded.ID,
		Service:          i.decoded.Service,
		Host:             ip.String(),
		AvailabilityZone: i.decoded.AvailabilityZone,
		Upstream:         i.decoded.Address,
		Peer:             netip.AddrPortFrom(ip, b.opts.PeerPort).String(),
		Operator:         netip.AddrPortFrom(ip, b.opts.OperatorPort).String(),
		Slots:            i.decoded.Slots,
		Connections:      b.routing.Services[i.decoded.Service].Connections,
		WarmupEnd:        i.warmupEnd,
	})
}
