package integration_test

import (
	"os"
	"testing"

	"cicadacross/integration/harness"
)

func TestMain(m *testing.M) {
	code := m.Run()
	harness.RemoveBinaries()
	os.Exit(code)
}
