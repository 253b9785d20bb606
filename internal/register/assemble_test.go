package register_test

import (
	"bytes"
	"fmt"
	"maps"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cicadacross/internal/failure"
	"cicadacross/internal/register"
)

func lookup(parts map[string][]byte) func(string) ([]byte, bool) {
	return func(digest string) ([]byte, bool) {
		data, ok := parts[digest]
		return data, ok
	}
}

// Guards against a daemon that refuses what the operator's command accepted, or that derives a different version from
// it.
func TestAssembleAcceptsWhatParseRenders(t *testing.T) {
	p := mustParse(t, goodRegister, goodRules)
	m, err := register.DecodeManifest(p.Manifest())
	assert.NilError(t, err)
	assert.Equal(t, m.Version(), p.Version())
	c, err := register.Assemble(m, lookup(p.Parts()))
	assert.NilError(t, err)
	assert.Equal(t, len(register.Diff(p.Configuration(), c)), 0)
}

// Guards against a version that is applied although a part is missing or corrupt, and against a wrong error kind:
// daemons may record a version as refused only if its content is invalid.
func TestAssembleRefusesMissingAndDamagedParts(t *testing.T) {
	p := mustParse(t, goodRegister, goodRules)
	m, err := register.DecodeManifest(p.Manifest())
	assert.NilError(t, err)
	for _, part := range m.Parts() {
		parts := maps.Clone(p.Parts())
		delete(parts, part.Digest())
		assertKind(t, m, parts, register.KindMissingPart)
		parts[part.Digest()] = bytes.ToUpper(p.Parts()[part.Digest()])
		assertKind(t, m, parts, register.KindCorruptPart)
		parts[part.Digest()] = p.Parts()[part.Digest()][1:]
		assertKind(t, m, parts, register.KindCorruptPart)
	}
}

func assertKind(t *testing.T, m register.Manifest, parts map[string][]byte, want register.Kind) {
	t.Helper()
	_, err := register.Assemble(m, lookup(parts))
	kind, _ := failure.KindOf[register.Kind](err)
	assert.Equal(t, kind, want, "%v", err)
}

// Guards against lenient decoding of parts: two daemons could decode such a part differently, and the check command
// would not detect it.
func TestAssembleRefusesPartsThatRenderDoesNotWrite(t *testing.T) {
	cases := []struct{ name, old, new string }{
		{"unknown field", `"slots":6`, `"slots":6,"colour":"red"`},
		{"field twice", `"slots":6`, `"slots":6,"slots":7`},
		{"field in capitals", `"slots":6`, `"Slots":6`},
		{"trailing data", `"leaving":["h2"]}`, `"leaving":["h2"]}{}`},
		{"null list", `"leaving":["h2"]`, `"leaving":null`},
		{"space", `"slots":6`, `"slots": 6`},
		{"duration form", `"300ms"`, `"0.3s"`},
		{"unknown host", `"leaving":["h2"]`, `"leaving":["h9"]`},
		{"slots out of range", `"slots":6`, `"slots":0`},
		{"unknown rank", `"rank":"bulk"`, `"rank":"slow"`},
		{"service of another part", `"service":"vault","targets"`, `"service":"portal","targets"`},
		{"invalid UTF-8", `"west-a"`, "\"west\xff\""},
		{"Unicode form", `"west-a"`, "\"weste\u0301\""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := mustParse(t, goodRegister, goodRules)
			manifest := string(p.Manifest())
			parts := maps.Clone(p.Parts())
			for digest, data := range p.Parts() {
				changed := strings.Replace(string(data), c.old, c.new, 1)
				if changed == string(data) {
					continue
				}
				manifest = replacePart(manifest, digest, data, []byte(changed))
				parts[register.Digest([]byte(changed))] = []byte(changed)
			}
			assert.Assert(t, manifest != string(p.Manifest()), "the case changes nothing")
			m, err := register.DecodeManifest([]byte(manifest))
			assert.NilError(t, err)
			assertKind(t, m, parts, register.KindInvalid)
		})
	}
}

// replacePart replaces the digest and size of a part in the manifest.
func replacePart(manifest, digest string, before, after []byte) string {
	return strings.Replace(manifest,
		fmt.Sprintf(`"digest":"%s","size":%d`, digest, len(before)),
		fmt.Sprintf(`"digest":"%s","size":%d`, register.Digest(after), len(after)), 1)
}

// Guards against a manifest that two daemons could decode differently or that takes too much memory.
func TestDecodeManifestRefuses(t *testing.T) {
	good := string(mustParse(t, goodRegister, goodRules).Manifest())
	cases := []struct{ name, old, new string }{
		{"nothing", good, ""},
		{"unknown field", `{"format":1`, `{"colour":"red","format":1`},
		{"another format", `"format":1`, `"format":2`},
		{"version 0", `"version":7`, `"version":0`},
		{"version twice", `"version":7`, `"version":8,"version":7`},
		{"large version", `"version":7`, `"version":1000000000001`},
		{"trailing data", `]}`, `]}0`},
		{"no rules", `"name":"rules"`, `"name":"rule"`},
		{"parts out of order", `"name":"rules"`, `"name":"t"`},
		{"digest in capitals", `"digest":"`, `"digest":"A`},
		{"size", `"size":`, `"size":9999999`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := register.DecodeManifest([]byte(strings.Replace(good, c.old, c.new, 1)))
			kind, _ := failure.KindOf[register.Kind](err)
			assert.Equal(t, kind, register.KindManifest, "%v", err)
		})
	}
}

func ExampleDiff() {
	old, _ := parse(goodRegister, goodRules)
	csv := strings.NewReplacer("127.0.0.2:9000,6", "127.0.0.2:9000,8", "vault,v1,h3", "vault,v2,h3").
		Replace(goodRegister)
	rules, _, _ := strings.Cut(goodRules, "[[leaving]]")
	rules = strings.NewReplacer("version = 7", "version = 8", `"60s"`, `"90s"`).Replace(rules)
	new, _ := parse(csv, rules)
	for _, change := range register.Diff(old.Configuration(), new.Configuration()) {
		fmt.Println(change)
	}
	// Output:
	// target portal/p2 altered (slots: 6 -> 8)
	// target vault/v1 removed
	// target vault/v2 added
	// route uploads altered (timeout: 1m0s -> 1m30s)
	// leaving host h2 removed
}
