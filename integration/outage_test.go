package integration_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"cicadacross/integration/harness"
	"cicadacross/platform/standin"
)

// Guards against daemons that refuse a new route, serve a withdrawn one or use a removed upstream for seconds, because
// they wait for a watch from before an outage of the store while its stale reads show no change (review/7).
func TestOutageOfTheStoreIsOver(t *testing.T) {
	hosts := []string{"127.0.3.40", "127.0.3.41", "127.0.3.42", "127.0.3.43"}
	f := newRegisteredFleet(t, hosts...)
	harness.Eventually(t, 10*time.Second, "a reader alone", func() bool {
		calls := f.store.Calls()
		time.Sleep(2 * time.Second)
		return f.store.Calls()-calls < 8
	})
	for version := 2; version <= 5; version += 2 {
		f.publishRoute(version)
		revision := f.awaitVersion(hosts, version)
		f.store.SetFaults(standin.Faults{Unresponsive: true})
		f.store.AbandonWatches()
		time.Sleep(4500 * time.Millisecond)
		f.store.SetFaults(standin.Faults{StaleAt: revision})
		time.Sleep(3 * time.Second)
		f.publishRoute(version + 1)
		f.awaitVersion(hosts, version+1)
		f.store.SetFaults(standin.Faults{})
	}
}

func routePath(version int) string { return fmt.Sprintf("/v%d/x", version) }

// awaitVersion waits until all hosts serve the route of the version, and no longer that of the one before, within the
// time limit of the platform. It returns the revision of the store.
func (f *registeredFleet) awaitVersion(hosts []string, version int) uint64 {
	f.t.Helper()
	deadline := time.Now().Add(2 * time.Second)
	for _, host := range hosts {
		harness.Eventually(f.t, time.Until(deadline), host+" follows", func() bool {
			status, _ := f.send(host, routePath(version), nil)
			previous, _ := f.send(host, routePath(version-1), nil)
			return status == http.StatusOK && previous == http.StatusNotFound
		})
	}
	return f.store.Revision()
}
