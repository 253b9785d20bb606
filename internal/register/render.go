package register

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"

	"cicadacross"
)

// Publication is a rendered version, ready to be published. It is immutable and safe for concurrent use.
type Publication struct {
	manifest      Manifest
	parts         map[string][]byte
	configuration *cicadacross.Configuration
}

// Version returns the version of the publication.
func (p *Publication) Version() cicadacross.Version { return p.manifest.version }

// Manifest returns the bytes to publish under cicadacross.KeyManifest. The caller must not change them.
func (p *Publication) Manifest() []byte { return p.manifest.data }

// Parts returns the content of the parts by digest. Each is published under cicadacross.KeyPartPrefix followed by its
// digest, and all of them before the manifest. The caller must not change them.
func (p *Publication) Parts() map[string][]byte { return p.parts }

// Configuration returns the configuration that daemons derive from the publication.
func (p *Publication) Configuration() *cicadacross.Configuration { return p.configuration }

func compareTargets(a, b targetRecord) int {
	return cmp.Or(
		cmp.Compare(ServicePart(a.service), ServicePart(b.service)),
		cmp.Compare(a.Target, b.Target),
	)
}

func compareRanks(a, b rankRecord) int   { return cmp.Compare(a.Urgency, b.Urgency) }
func compareRoutes(a, b routeRecord) int { return cmp.Compare(a.Name, b.Name) }

// sort sorts valid content into canonical order.
func (c *content) sort() {
	slices.SortStableFunc(c.targets, compareTargets)
	slices.SortStableFunc(c.ranks, compareRanks)
	slices.SortStableFunc(c.routes, compareRoutes)
	slices.Sort(c.leaving)
	if c.leaving == nil {
		// An absent list is encoded as [], never as null, so that the encoding of a content is unique.
		c.leaving = []string{}
	}
}

func (c *content) isSorted() bool {
	return slices.IsSortedFunc(c.targets, compareTargets) &&
		slices.IsSortedFunc(c.ranks, compareRanks) &&
		slices.IsSortedFunc(c.routes, compareRoutes) &&
		slices.IsSorted(c.leaving)
}

// render encodes valid, sorted content. It returns an error when the manifest, a part or all parts together are too
// large.
func render(c *content) (*Publication, error) {
	p := &Publication{parts: make(map[string][]byte)}
	manifest := manifestRecord{Format: manifestFormat, Version: c.version}
	add := func(name string, v any) error {
		data, err := json.Marshal(v)
		if err != nil {
			return wrapError("render", KindInvalid, err, "part %q", name)
		}
		if len(data) >= cicadacross.MaxValueSize {
			return newError("render", KindInvalid, "part %q has %d bytes; must be under %d", name, len(data),
				cicadacross.MaxValueSize)
		}
		digest := Digest(data)
		p.parts[digest] = data
		manifest.Parts = append(manifest.Parts, partRecord{Name: name, Digest: digest, Size: len(data)})
		return nil
	}
	if err := add(RulesPart, rulesPartRecord{Ranks: c.ranks, Routes: c.routes, Leaving: c.leaving}); err != nil {
		return nil, err
	}
	for start := 0; start < len(c.targets); {
		service := c.targets[start].service
		end := start
		for end < len(c.targets) && c.targets[end].service == service {
			end++
		}
		if err := add(ServicePart(service), servicePartRecord{Service: service, Targets: c.targets[start:end]}); err != nil {
			return nil, err
		}
		start = end
	}
	slices.SortFunc(manifest.Parts, func(a, b partRecord) int { return strings.Compare(a.Name, b.Name) })
	data, err := json.Marshal(manifest)
	if err != nil {
		return nil, wrapError("render", KindManifest, err, "manifest")
	}
	return p, p.assemble(data)
}

// assemble decodes the publication as a daemon does, so that nothing is published that daemons would refuse.
func (p *Publication) assemble(manifest []byte) error {
	var err error
	if p.manifest, err = DecodeManifest(manifest); err != nil {
		return err
	}
	p.configuration, err = Assemble(p.manifest, func(digest string) ([]byte, bool) {
		data, ok := p.parts[digest]
		return data, ok
	})
	return err
}
