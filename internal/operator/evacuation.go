package operator

import (
	"cmp"
	"fmt"
	"slices"
)

// EvacuatedZone is an availability zone that the daemon has evacuated.
type EvacuatedZone struct {
	AvailabilityZone string `json:"availability_zone"`
	// Upstreams is the number of upstreams in the zone that the daemon knows.
	Upstreams int `json:"upstreams"`
}

// Evacuation is the part of a report about one evacuated availability zone.
type Evacuation struct {
	AvailabilityZone string `json:"availability_zone"`
	// Upstreams is the greatest number of upstreams in the zone that a daemon knows.
	Upstreams int `json:"upstreams"`
	// Hosts is the number of daemons that responded, InForce the number of those that have evacuated the zone.
	Hosts   int `json:"hosts"`
	InForce int `json:"in_force"`
}

// String returns the evacuation as one line of text.
func (e Evacuation) String() string {
	return fmt.Sprintf("%s is evacuated: in force on %d of %d hosts, %d upstreams receive no requests",
		e.AvailabilityZone, e.InForce, e.Hosts, e.Upstreams)
}

// evacuations returns the zones that any daemon has evacuated.
func (q *fleetQuery) evacuations() []Evacuation {
	var list []Evacuation
	responded := 0
	for _, h := range q.hosts {
		if h.state == nil {
			continue
		}
		responded++
		for _, zone := range h.state.EvacuatedZones {
			i := slices.IndexFunc(list, func(e Evacuation) bool { return e.AvailabilityZone == zone.AvailabilityZone })
			if i < 0 {
				i = len(list)
				list = append(list, Evacuation{AvailabilityZone: zone.AvailabilityZone})
			}
			list[i].InForce++
			list[i].Upstreams = max(list[i].Upstreams, zone.Upstreams)
		}
	}
	for i := range list {
		list[i].Hosts = responded
	}
	slices.SortFunc(list, func(a, b Evacuation) int { return cmp.Compare(a.AvailabilityZone, b.AvailabilityZone) })
	return list
}

// addUnknownZoneFindings adds a finding on each evacuated zone without an upstream, whose name may be wrong.
func addUnknownZoneFindings(state *State, add findingFunc) {
	for _, zone := range state.EvacuatedZones {
		if zone.Upstreams == 0 {
			add(ConditionUnknownZone, nil, "no upstream is in the evacuated availability zone %q; check its name",
				zone.AvailabilityZone)
		}
	}
}
