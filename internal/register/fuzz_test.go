package register_test

import (
	"bytes"
	"flag"
	"fmt"
	"maps"
	"os"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cicadacross"
	"cicadacross/internal/failure"
	"cicadacross/internal/register"
)

// TestMain fixes the seed of the property tests to make their results reproducible.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// FuzzParse guards against input that makes the check command panic, against a fault without text, and against a
// version that the command accepts and that a daemon refuses or decodes differently.
func FuzzParse(f *testing.F) {
	f.Add([]byte(goodRegister), []byte(goodRules))
	cyrillic := strings.NewReplacer("portal", "портал")
	f.Add([]byte(cyrillic.Replace(goodRegister)), []byte(cyrillic.Replace(goodRules)))
	f.Add([]byte(header+"\"a\nb\",,,,,,,,,x,\n\"open"), []byte("version = 1\n[[rank]]\n[rank.name]\nx = 1\n[[route.y]]\n"))
	f.Add([]byte("\xef\xbb\xbf"+header), []byte("rank = [{name = 1}, {}]\nroute = 1979-05-27\n\"leaving\" = []\n"))
	f.Add([]byte("\xff\xfe"), []byte("\x00"))
	f.Fuzz(func(t *testing.T, csv, rules []byte) {
		p, faults := register.Parse(register.NewDocument("r.csv", csv), register.NewDocument("r.toml", rules))
		if p == nil {
			assert.Assert(t, len(faults) > 0)
			for _, fault := range faults {
				assert.Assert(t, fault.File() != "" && fault.Message() != "" && fault.Remedy() != "")
			}
			return
		}
		assert.Equal(t, len(faults), 0)
		m, err := register.DecodeManifest(p.Manifest())
		assert.NilError(t, err)
		c, err := register.Assemble(m, lookup(p.Parts()))
		assert.NilError(t, err)
		assert.Equal(t, c.Version(), p.Version())
		assert.Equal(t, len(register.Diff(p.Configuration(), c)), 0)
	})
}

// FuzzAssemble guards against a published value that makes a daemon panic, and against a version that a daemon accepts
// and that the check command refuses or renders with another digest.
func FuzzAssemble(f *testing.F) {
	p, _ := parse(goodRegister, goodRules)
	m, err := register.DecodeManifest(p.Manifest())
	assert.NilError(f, err)
	add := func(manifest string) {
		var parts [3][]byte
		for i, part := range m.Parts() {
			parts[i] = p.Parts()[part.Digest()]
		}
		f.Add([]byte(manifest), parts[0], parts[1], parts[2])
	}
	add(string(p.Manifest()))
	add(strings.Replace(string(p.Manifest()), `"version":7`, `"version":1e3`, 1))
	f.Add([]byte(`{}`), []byte(`null`), []byte(`{"service":"a","targets":[{}]}`), []byte(`[]`))
	f.Fuzz(func(t *testing.T, manifest, a, b, c []byte) {
		if m, err := register.DecodeManifest(manifest); err == nil {
			assert.DeepEqual(t, m.Data(), manifest)
		}
		// The manifest is generated for the fuzzed parts; otherwise, all of them would fail the digest check.
		m, err := register.DecodeManifest(manifestOf(a, b, c))
		if err != nil {
			return
		}
		parts := map[string][]byte{register.Digest(a): a, register.Digest(b): b, register.Digest(c): c}
		configuration, err := register.Assemble(m, lookup(parts))
		if err != nil {
			_, ok := failure.KindOf[register.Kind](err)
			assert.Assert(t, ok, "an error without a kind: %v", err)
			return
		}
		csv, rules := documentsOf(t, configuration)
		p, faults := parse(csv, rules)
		assert.Equal(t, faults.String(), "")
		assert.Equal(t, p.Version(), m.Version())
	})
}

// documentsOf returns a register and rules with the content of the configuration.
func documentsOf(t *testing.T, c *cicadacross.Configuration) (csv, rules string) {
	t.Helper()
	rows := []string{header}
	for _, x := range c.Targets() {
		rows = append(rows, fmt.Sprintf("%s,%s,%s,%s,%s,%s,%s,%s,%s,%d,%d\n", x.Service(), x.Name(), x.Host(), x.Region(),
			x.AvailabilityZone(), x.Upstream(), x.Peer(), x.Caller(), x.Operator(), x.Slots(), x.Connections()))
	}
	type table = map[string]any
	var ranks, routes, leaving []table
	for _, r := range c.Ranks() {
		ranks = append(ranks, table{"name": r.Name(), "urgency": r.Urgency(), "target_time": r.TargetTime().String(),
			"worth": r.Worth()})
	}
	for _, s := range c.Services() {
		for _, r := range s.Routes() {
			routes = append(routes, table{"name": r.Name(), "service": r.Service(), "method": r.Method(),
				"path_prefix": r.PathPrefix(), "rank": r.Rank().Name(), "repeatable": r.Repeatable(),
				"timeout": r.Timeout().String()})
		}
	}
	for _, host := range c.LeavingHosts() {
		leaving = append(leaving, table{"host": host})
	}
	text, err := toml.Marshal(table{"version": c.Version().Number(), "rank": ranks, "route": routes, "leaving": leaving})
	assert.NilError(t, err)
	return strings.Join(rows, ""), string(text)
}

// manifestOf returns a manifest that lists the three values as the parts of goodRegister and goodRules.
func manifestOf(values ...[]byte) []byte {
	var parts []string
	for i, name := range []string{register.RulesPart, register.ServicePart("portal"), register.ServicePart("vault")} {
		digest, size := register.Digest(values[i]), len(values[i])
		parts = append(parts, fmt.Sprintf(`{"name":"%s","digest":"%s","size":%d}`, name, digest, size))
	}
	return fmt.Appendf(nil, `{"format":1,"version":7,"parts":[%s]}`, strings.Join(parts, ","))
}

// Guards against a change of one row that makes daemons fetch more than one part, and against a rendering that depends
// on the order of the rows.
func TestOneRowChangesOnePart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		services := rapid.IntRange(1, 8).Draw(t, "services")
		targets := rapid.IntRange(services, 40).Draw(t, "targets")
		rows := make([]string, targets)
		for i := range rows {
			rows[i] = fmt.Sprintf("s%d,t%d,h%d,r,z%d,10.0.0.%d:1,10.0.0.%d:2,10.0.0.%d:3,10.0.0.%d:4,%d,110\n",
				i%services, i, i, i%3, i, i, i, i, rapid.IntRange(1, 50).Draw(t, "slots"))
		}
		before := mustRender(t, rows, services, 1)
		shuffled := rapid.Permutation(rows).Draw(t, "order")
		assert.DeepEqual(t, mustRender(t, shuffled, services, 1).Manifest(), before.Manifest())

		changed := rapid.IntRange(0, targets-1).Draw(t, "changed row")
		rows[changed] = strings.Replace(rows[changed], ",110\n", ",111\n", 1)
		after := mustRender(t, rows, services, 2)
		added := maps.Clone(after.Parts())
		maps.DeleteFunc(added, func(digest string, _ []byte) bool { return before.Parts()[digest] != nil })
		assert.Equal(t, len(added), 1)
		name := fmt.Sprintf(`{"service":"s%d"`, changed%services)
		for part := range maps.Values(added) {
			assert.Assert(t, bytes.HasPrefix(part, []byte(name)))
		}
		assert.Equal(t, len(after.Parts()), len(before.Parts()))
		assert.Equal(t, len(register.Diff(before.Configuration(), after.Configuration())), 1)
	})
}

func mustRender(t *rapid.T, rows []string, services, version int) *register.Publication {
	rules := fmt.Sprintf("version = %d\n[[rank]]\nname = \"a\"\nurgency = 1\ntarget_time = \"1s\"\nworth = 1\n", version)
	for s := range services {
		rules += fmt.Sprintf("[[route]]\nname = \"r%d\"\nservice = \"s%d\"\npath_prefix = \"/\"\nrank = \"a\"\n", s, s) +
			"timeout = \"1s\"\n"
	}
	p, faults := parse(header+strings.Join(rows, ""), rules)
	if len(faults) > 0 {
		t.Fatalf("%s", faults)
	}
	return p
}
