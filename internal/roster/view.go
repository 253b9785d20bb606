package roster

import (
	"crypto/sha256"
	"encoding/hex"
	"net/netip"
	"strings"
	"time"

	"cicadacross"
)

// view turns the records into a configuration. It decodes a record only when it has changed. Only the control goroutine
// uses it.
type view struct {
	opts      *Options
	routing   cicadacross.RoutingOptions
	digest    string
	revision  cicadacross.Revision
	instances map[string]*instance
}

// instance is a decoded record; err is set when it can't be used.
type instance struct {
	revision cicadacross.Revision
	decoded  cicadacross.Instance
	warmAt   time.Time
	err      error
}

func newView(opts *Options) *view {
	return &view{opts: opts, instances: make(map[string]*instance)}
}

// readRouting takes the routing record when it is newer than the one in force. The error says why it is not used; the
// routing in force stays then.
func (v *view) readRouting(record cicadacross.Record) error {
	if record.Removed || record.Revision <= v.revision {
		return nil
	}
	routing, err := v.opts.Format.Routing(record.Value)
	if err != nil {
		return err
	}
	v.revision = record.Revision
	if routing.Number < v.routing.Number {
		return newError("apply", KindStale, "version %d is older than version %d, which stays in force", routing.Number,
			v.routing.Number)
	}
	sum := sha256.Sum256(record.Value)
	v.routing, v.digest = routing, hex.EncodeToString(sum[:])
	return nil
}

// readInstance decodes the record of an upstream unless that is done.
func (v *view) readInstance(record cicadacross.Record, learned time.Time) *instance {
	i, ok := v.instances[record.Key]
	if ok && i.revision == record.Revision {
		return i
	}
	i = &instance{revision: record.Revision}
	i.decoded, i.err = v.opts.Format.Instance(record)
	if i.err == nil && i.decoded.WarmupRemaining > 0 {
		i.warmAt = learned.Add(i.decoded.WarmupRemaining)
	}
	v.instances[record.Key] = i
	if i.err != nil {
		v.opts.Log.Info("record is not usable", "key", record.Key, "revision", uint64(record.Revision), "reason",
			i.err.Error())
	}
	return i
}

// build returns the configuration that the records describe, or nil when no routing is known.
func (v *view) build(now time.Time, r *replica) *cicadacross.Configuration {
	if v.routing.Number == 0 {
		return nil
	}
	newest := make(map[string]*instance)
	prefix := v.opts.Format.InstancePrefix()
	for key, h := range r.records {
		if !strings.HasPrefix(key, prefix) {
			continue
		}
		record, ok := h.present(now)
		if !ok {
			delete(v.instances, key)
			continue
		}
		i := v.readInstance(record, h.learned)
		if i.err != nil {
			continue
		}
		if _, known := v.routing.Services[i.decoded.Service]; !known {
			continue
		}
		if other, ok := newest[i.decoded.Address]; !ok || i.newer(other) {
			newest[i.decoded.Address] = i
		}
	}
	options := cicadacross.ConfigurationOptions{
		Version: cicadacross.NewVersion(v.routing.Number, v.digest),
		Routes:  v.routing.Routes,
		Limits:  v.routing.Limits,
	}
	for _, i := range newest {
		target := v.target(i)
		options.Targets = append(options.Targets, target)
		if i.decoded.State != cicadacross.InstanceReady {
			options.Leaving = append(options.Leaving, target.Host())
		}
	}
	return cicadacross.NewConfiguration(options)
}

// newer reports whether i is the later one of two instances at one address.
func (i *instance) newer(other *instance) bool {
	if i.decoded.Generation != other.decoded.Generation {
		return i.decoded.Generation > other.decoded.Generation
	}
	return i.revision > other.revision
}

// target describes an instance together with the daemon on its host. All daemons use the same ports.
func (v *view) target(i *instance) cicadacross.Target {
	ip := netip.MustParseAddrPort(i.decoded.Address).Addr()
	return cicadacross.NewTarget(cicadacross.TargetOptions{
		Name:             i.decoded.ID,
		Service:          i.decoded.Service,
		Host:             ip.String(),
		AvailabilityZone: i.decoded.AvailabilityZone,
		Upstream:         i.decoded.Address,
		Peer:             netip.AddrPortFrom(ip, v.opts.PeerPort).String(),
		Operator:         netip.AddrPortFrom(ip, v.opts.OperatorPort).String(),
		Slots:            i.decoded.Slots,
		Connections:      v.routing.Services[i.decoded.Service].Connections,
		WarmupEnd:        i.warmAt,
	})
}
