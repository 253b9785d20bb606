package register

import (
	"fmt"
	"net/netip"
)

// The ranges of the numbers of a target.
const (
	maxSlots       = 10_000
	maxConnections = 1_000_000
)

func (v *validator) checkTargets() {
	if len(v.content.targets) == 0 && v.scope.references {
		v.fault(place{section: sectionTarget}, "the register has no targets", "add at least one row")
	}
	hosts, targets, services := v.names("host"), v.names("target"), v.spellings("service")
	zones := make(map[string]string)
	addresses := make(map[netip.AddrPort]place)
	for i, t := range v.content.targets {
		at := func(field string) place { return place{section: sectionTarget, index: i, field: field} }
		services.add(at("service"), t.service)
		targets.add(at("target"), t.service, t.Target)
		hosts.add(at("host"), "", t.Host)
		v.checkName(at("region"), t.Region)
		if v.checkName(at("availability_zone"), t.AvailabilityZone) {
			v.checkZone(at("availability_zone"), t, zones)
		}
		v.checkAddress(at("upstream"), t.Upstream, addresses)
		v.checkAddress(at("peer"), t.Peer, addresses)
		v.checkAddress(at("caller"), t.Caller, addresses)
		v.checkAddress(at("operator"), t.Operator, addresses)
		v.checkRange(at("slots"), t.Slots, maxSlots)
		v.checkRange(at("connections"), t.Connections, maxConnections)
		if t.Connections >= 1 && t.Slots > t.Connections {
			v.fault(at("slots"), fmt.Sprintf("%d slots need as many connections, and there are %d", t.Slots, t.Connections),
				"lower slots or raise connections")
		}
	}
}

// checkZone finds an availability zone that is in two regions.
func (v *validator) checkZone(p place, t targetRecord, regions map[string]string) {
	region, known := regions[t.AvailabilityZone]
	if !known {
		regions[t.AvailabilityZone] = t.Region
		return
	}
	if region != t.Region {
		v.fault(p, fmt.Sprintf("availability zone %q is in region %q and in region %q", t.AvailabilityZone, region, t.Region),
			"give all its rows the same region")
	}
}

func (v *validator) checkAddress(p place, text string, used map[netip.AddrPort]place) {
	address, err := netip.ParseAddrPort(text)
	const example = "write, for example, 10.1.0.1:8080"
	switch {
	case text == "":
		v.fault(p, "the address is missing", example)
		return
	case err != nil:
		v.fault(p, fmt.Sprintf("%q is not an IP address and a port", text), example)
		return
	case address.String() != text || address.Addr().Is4In6() || address.Addr().Zone() != "":
		v.fault(p, fmt.Sprintf("%q is not in the usual form", text), example+" or [fd00::1]:8080")
		return
	case address.Port() == 0:
		v.fault(p, fmt.Sprintf("%q has port 0", text), "write the port that is listened on")
		return
	case address.Addr().IsUnspecified() || address.Addr().IsMulticast():
		v.fault(p, fmt.Sprintf("%q is not the address of one host", text), "write the address at which others reach the host")
		return
	}
	if earlier, taken := used[address]; taken {
		v.fault(p, fmt.Sprintf("address %s is already used as %s%s", text, earlier.field, v.where(earlier)),
			"give each address to one target and one purpose")
		return
	}
	used[address] = p
}

func (v *validator) checkRange(p place, n, most int) {
	if n < 1 || n > most {
		v.fault(p, fmt.Sprintf("%d is out of range", n), fmt.Sprintf("write a number from 1 to %d", most))
	}
}

// spellings finds names that refer to one thing and differ in case only.
type spellings struct {
	v     *validator
	what  string
	exact map[string]string
}

func (v *validator) spellings(what string) *spellings {
	return &spellings{v: v, what: what, exact: make(map[string]string)}
}

func (s *spellings) add(p place, name string) {
	if !s.v.checkName(p, name) {
		return
	}
	key := s.v.fold.String(name)
	first, known := s.exact[key]
	if !known {
		s.exact[key] = name
		return
	}
	if first != name {
		s.v.fault(p, fmt.Sprintf("%s %q is spelt %q in an earlier row", s.what, name, first), "use one spelling")
	}
}
