package register

import (
	"strings"

	"cicadacross"
)

type servicePartRecord struct {
	Service string         `json:"service"`
	Targets []targetRecord `json:"targets"`
}

type rulesPartRecord struct {
	Ranks   []rankRecord  `json:"ranks"`
	Routes  []routeRecord `json:"routes"`
	Leaving []string      `json:"leaving"`
}

// Assemble builds the configuration of the manifest; lookup returns the bytes published under a digest, or false when
// they are not available.
//
// Assemble accepts exactly what Parse renders: it checks the presence, size and digest of each part, accepts only the
// canonical encoding and applies the same validator as Parse. The kind of the error is KindMissingPart, KindCorruptPart
// or KindInvalid.
func Assemble(m Manifest, lookup func(digest string) ([]byte, bool)) (*cicadacross.Configuration, error) {
	const op = "assemble"
	c := content{version: m.version.Number()}
	digests := make(map[string]string, len(m.parts))
	for _, p := range m.parts {
		data, ok := lookup(p.digest)
		if !ok {
			return nil, newError(op, KindMissingPart, "part %q (%s) is missing", p.name, p.digest)
		}
		if len(data) != p.size || Digest(data) != p.digest {
			return nil, newError(op, KindCorruptPart, "part %q has %d bytes and digest %s; the manifest says %d and %s",
				p.name, len(data), Digest(data), p.size, p.digest)
		}
		if err := c.addPart(p.name, data); err != nil {
			return nil, wrapError(op, KindInvalid, err, "part %q", p.name)
		}
		digests[p.name] = p.digest
	}
	if faults := validate(&c, c.locatePart, fullScope); len(faults) > 0 {
		return nil, newError(op, KindInvalid, "%d faults, the first: %s", len(faults), faults[0])
	}
	// The order of records is part of the canonical encoding, so that equal content has equal digests.
	if !c.isSorted() {
		return nil, wrapError(op, KindInvalid, errNotCanonical, "order of records")
	}
	return c.configuration(m.version, digests), nil
}

func (c *content) addPart(name string, data []byte) error {
	if name == RulesPart {
		var rules rulesPartRecord
		if err := decodeCanonical(data, &rules); err != nil {
			return err
		}
		if rules.Leaving == nil {
			return errNotCanonical
		}
		c.ranks, c.routes, c.leaving = rules.Ranks, rules.Routes, rules.Leaving
		return nil
	}
	service, ok := strings.CutPrefix(name, servicePartPrefix)
	if !ok {
		return newError("decode part", KindInvalid, "unknown part name")
	}
	var record servicePartRecord
	if err := decodeCanonical(data, &record); err != nil {
		return err
	}
	if record.Service != service {
		return newError("decode part", KindInvalid, "the part belongs to service %q", record.Service)
	}
	if len(record.Targets) == 0 {
		return newError("decode part", KindInvalid, "the service has no targets")
	}
	for _, t := range record.Targets {
		t.service = service
		c.targets = append(c.targets, t)
	}
	return nil
}

// locatePart returns the name of the part that holds the field, and 0, since parts have no lines.
func (c *content) locatePart(ref fieldRef) (string, int) {
	if ref.section == sectionTarget && ref.index < len(c.targets) {
		return ServicePart(c.targets[ref.index].service), 0
	}
	return RulesPart, 0
}
