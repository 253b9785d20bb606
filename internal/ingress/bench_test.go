package ingress_test

import (
	"io"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"cicadacross/internal/timer"
)

// way is one way to the upstream: direct, or through ingress, relay and owner.
type way struct {
	address string
	mu      sync.Mutex
	times   *hdrhistogram.Histogram
}

func newWay(address string) *way {
	const highest, digits = int64(10 * time.Second), 3
	return &way{address: address, times: hdrhistogram.New(1, highest, digits)}
}

func (w *way) send(b *testing.B, client *http.Client) {
	request, err := http.NewRequest("GET", "http://"+w.address+"/pages/a", http.NoBody)
	assert.NilError(b, err)
	request.Host = "portal"
	response, err := client.Do(request)
	assert.NilError(b, err)
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		b.Fatalf("status %d from %s", response.StatusCode, w.address)
	}
}

func (w *way) record(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.times.RecordValue(int64(d))
}

func (w *way) at(percentile float64) float64 {
	return float64(w.times.ValueAtPercentile(percentile)) / float64(time.Microsecond)
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}}
}

// BenchmarkAddedTime measures what ingress, relay and owner add to a request in an open loop of 1,000 requests a second
// each way. Direct requests and those through the mesh alternate, and times count from the intended moment of sending.
// All parts, the caller and the upstream run in this process.
func BenchmarkAddedTime(b *testing.B) {
	f := newFleet(b, fleetOptions{hosts: 2, slots: 64})
	ways := []*way{newWay(f.nodes[0].standin.Address()), newWay(f.nodes[1].caller)}
	client := newClient()
	defer client.CloseIdleConnections()
	for range 50 {
		for _, w := range ways {
			w.send(b, client)
		}
	}
	const interval = 500 * time.Microsecond
	var group sync.WaitGroup
	start := timer.System{}.Now()
	b.ResetTimer()
	for i := range b.N {
		w, intended := ways[i%len(ways)], start.Add(time.Duration(i)*interval)
		if wait := time.Until(intended); wait > 0 {
			<-timer.System{}.After(wait).C()
		}
		group.Go(func() {
			w.send(b, client)
			w.record(time.Since(intended))
		})
	}
	group.Wait()
	b.StopTimer()
	for _, p := range []struct {
		name string
		at   float64
	}{{"p50", 50}, {"p99", 99}, {"p99.9", 99.9}} {
		b.ReportMetric(ways[0].at(p.at), p.name+"-direct-µs")
		b.ReportMetric(ways[1].at(p.at), p.name+"-mesh-µs")
	}
}

// BenchmarkProcessorTime measures the processor time of one request: direct, to the target of the ingress host, and to
// the target of another host. Caller and upstream are included in all three.
func BenchmarkProcessorTime(b *testing.B) {
	f := newFleet(b, fleetOptions{hosts: 2, slots: 64})
	for name, address := range map[string]string{
		"direct": f.nodes[0].standin.Address(), "local": f.nodes[0].caller, "relayed": f.nodes[1].caller,
	} {
		b.Run(name, func(b *testing.B) {
			client := newClient()
			defer client.CloseIdleConnections()
			w := newWay(address)
			before := processorTime(b)
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					w.send(b, client)
				}
			})
			b.ReportMetric(float64((processorTime(b)-before).Microseconds())/float64(b.N), "cpu-µs/op")
		})
	}
}

func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
