package roster

import (
	"slices"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"cicadacross"
)

// evacuations determines the evacuated availability zones from the records and logs their changes. Only the control
// goroutine uses it.
type evacuations struct {
	opts *Options
	// logged lists the evacuated zones of the last configuration.
	logged []string
	// invalidKeys holds the keys of evacuation records that name no zone and have been logged.
	invalidKeys map[string]bool
	// zoneCount is the number of evacuated zones.
	zoneCount metrics.Gauge
}

func newEvacuations(opts *Options) evacuations {
	return evacuations{
		opts: opts, invalidKeys: make(map[string]bool),
		zoneCount: metrics.GetOrRegisterGauge("registry.evacuated_zones", opts.Metrics),
	}
}

// zones returns the zones that are evacuated at the time now. An evacuation whose record went missing right after an
// outage lasts until the end of the grace period, within which operators and upstreams write their records again.
func (e *evacuations) zones(now time.Time, r *replica) []string {
	var zones []string
	for key, entry := range r.records {
		if !strings.HasPrefix(key, e.opts.Format.EvacuationPrefix()) {
			continue
		}
		if !entry.isEffective(now) {
			delete(e.invalidKeys, key)
			continue
		}
		zone, err := e.opts.Format.EvacuatedZone(key)
		if err != nil {
			if !e.invalidKeys[key] {
				e.invalidKeys[key] = true
				e.opts.Logger.Info("ignoring an invalid evacuation record", "key", key, "reason", err.Error())
			}
			continue
		}
		zones = append(zones, zone)
	}
	return zones
}

// logChanges logs how the evacuated zones of the configuration differ from those of the previous one.
func (e *evacuations) logChanges(c *cicadacross.Configuration) {
	zones := c.EvacuatedZones()
	for _, zone := range zones {
		if !slices.Contains(e.logged, zone) {
			e.opts.Logger.Info("availability zone evacuated", "availability_zone", zone, "targets", c.TargetCountIn(zone))
		}
	}
	for _, zone := range e.logged {
		if !slices.Contains(zones, zone) {
			e.opts.Logger.Info("availability zone taken back", "availability_zone", zone, "targets", c.TargetCountIn(zone))
		}
	}
	e.logged = zones
	e.zoneCount.Update(int64(len(zones)))
}
