package register

import (
	"fmt"
	"net/netip"
)

// Upper bounds of the numbers of a target.
const (
	maxSlots       = 10_000
	maxConnections = 1_000_000
)

func (v *validator) checkTargets() {
	if len(v.content.targets) == 0 && v.scope.references {
		v.addFault(fieldRef{section: sectionTarget}, "the register has no targets", "add at least one row")
	}
	hosts, targets, services := v.newUniqueNames("host"), v.newUniqueNames("target"), v.newConsistentNames("service")
	regionByZone := make(map[string]string)
	addresses := make(map[netip.AddrPort]fieldRef)
	for i, t := range v.content.targets {
		ref := func(field string) fieldRef { return fieldRef{section: sectionTarget, index: i, field: field} }
		services.add(ref("service"), t.service)
		targets.add(ref("target"), t.service, t.Target)
		hosts.add(ref("host"), "", t.Host)
		v.checkName(ref("region"), t.Region)
		if v.checkName(ref("availability_zone"), t.AvailabilityZone) {
			v.checkZone(ref("availability_zone"), t, regionByZone)
		}
		v.checkAddress(ref("upstream"), t.Upstream, addresses)
		v.checkAddress(ref("peer"), t.Peer, addresses)
		v.checkAddress(ref("caller"), t.Caller, addresses)
		v.checkAddress(ref("operator"), t.Operator, addresses)
		v.checkRange(ref("slots"), t.Slots, maxSlots)
		v.checkRange(ref("connections"), t.Connections, maxConnections)
		if t.Connections >= 1 && t.Slots > t.Connections {
			v.addFault(ref("slots"), fmt.Sprintf("%d slots need as many connections, and there are %d", t.Slots, t.Connections),
				"lower slots or raise connections")
		}
	}
}

// checkZone checks that the availability zone is in the same region in all rows; regions maps zones to regions.
func (v *validator) checkZone(ref fieldRef, t targetRecord, regionByZone map[string]string) {
	region, known := regionByZone[t.AvailabilityZone]
	if !known {
		regionByZone[t.AvailabilityZone] = t.Region
		return
	}
	if region != t.Region {
		v.addFault(ref,
			fmt.Sprintf("availability zone %q is in region %q and in region %q", t.AvailabilityZone, region, t.Region),
			"give all its rows the same region")
	}
}

// checkAddress checks that the text is a unicast IP:port in canonical form that isn't used yet, and adds it to used.
func (v *validator) checkAddress(ref fieldRef, text string, used map[netip.AddrPort]fieldRef) {
	address, err := netip.ParseAddrPort(text)
	const example = "write, for example, 10.1.0.1:8080"
	switch {
	case text == "":
		v.addFault(ref, "the address is missing", example)
		return
	case err != nil:
		v.addFault(ref, fmt.Sprintf("%q is not an IP address and a port", text), example)
		return
	case address.String() != text || address.Addr().Is4In6() || address.Addr().Zone() != "":
		v.addFault(ref, fmt.Sprintf("%q is not in the usual form", text), example+" or [fd00::1]:8080")
		return
	case address.Port() == 0:
		v.addFault(ref, fmt.Sprintf("%q has port 0", text), "write the port that is listened on")
		return
	case address.Addr().IsUnspecified() || address.Addr().IsMulticast():
		v.addFault(ref, fmt.Sprintf("%q is not the address of one host", text),
			"write the address at which others reach the host")
		return
	}
	if earlier, taken := used[address]; taken {
		v.addFault(ref, fmt.Sprintf("address %s is already used as %s%s", text, earlier.field, v.lineSuffix(earlier)),
			"give each address to one target and one purpose")
		return
	}
	used[address] = ref
}

func (v *validator) checkRange(ref fieldRef, n, limit int) {
	if n < 1 || n > limit {
		v.addFault(ref, fmt.Sprintf("%d is out of range", n), fmt.Sprintf("write a number from 1 to %d", limit))
	}
}

// consistentNames finds names that occur in several rows for the same thing and differ only in case.
type consistentNames struct {
	v *validator
	// label is the type of the named things in messages, such as "service".
	label string
	// spelling maps each case-folded name to its first spelling.
	spelling map[string]string
}

func (v *validator) newConsistentNames(label string) *consistentNames {
	return &consistentNames{v: v, label: label, spelling: make(map[string]string)}
}

func (s *consistentNames) add(ref fieldRef, name string) {
	if !s.v.checkName(ref, name) {
		return
	}
	key := s.v.caseFolder.String(name)
	first, known := s.spelling[key]
	if !known {
		s.spelling[key] = name
		return
	}
	if first != name {
		s.v.addFault(ref, fmt.Sprintf("%s %q is spelt %q in an earlier row", s.label, name, first), "use one spelling")
	}
}
