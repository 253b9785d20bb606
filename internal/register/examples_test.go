package register_test

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"cicadacross/internal/register"
)

func example(t testing.TB, name string) (csv, rules register.Document) {
	t.Helper()
	read := func(file string) register.Document {
		data, err := os.ReadFile(filepath.Join("..", "..", "examples", name, file))
		assert.NilError(t, err)
		return register.NewDocument(file, data)
	}
	return read("register.csv"), read("rules.toml")
}

// Guards against examples that the check command refuses or whose sizes differ from those of the deployments.
func TestExamplesHaveTheSizesOfTheDeployments(t *testing.T) {
	cases := []struct {
		name               string
		zones              int
		services           map[string]int
		slots, connections int
	}{
		{"mandorlea", 4, map[string]int{"banco-acquisti": 6, "magazzino": 4}, 10, 110},
		{"sofia", 4, map[string]int{"portal": 9, "vault": 4}, 6, 130},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p, faults := register.Parse(example(t, c.name))
			assert.Equal(t, faults.String(), "")
			services := make(map[string]int)
			zones := make(map[string]bool)
			for _, target := range p.Configuration().Targets() {
				services[target.Service()]++
				zones[target.AvailabilityZone()] = true
				assert.Equal(t, target.Slots(), c.slots)
				assert.Equal(t, target.Connections(), c.connections)
			}
			assert.DeepEqual(t, services, c.services)
			assert.Equal(t, len(zones), c.zones)
		})
	}
}
