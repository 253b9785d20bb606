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

// benchmarkPath is one way to the upstream: direct, or through ingress, relay and owner.
type benchmarkPath struct {
	address   string
	mu        sync.Mutex
	latencies *hdrhistogram.Histogram
}

func newBenchmarkPath(address string) *benchmarkPath {
	const highest, digits = int64(10 * time.Second), 3
	return &benchmarkPath{address: address, latencies: hdrhistogram.New(1, highest, digits)}
}

func (p *benchmarkPath) send(b *testing.B, client *http.Client) {
	request, err := http.NewRequest("GET", "http://"+p.address+"/pages/a", http.NoBody)
	assert.NilError(b, err)
	request.Host = "portal"
	response, err := client.Do(request)
	assert.NilError(b, err)
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		b.Fatalf("status %d from %s", response.StatusCode, p.address)
	}
}

func (p *benchmarkPath) record(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.latencies.RecordValue(int64(d))
}

func (p *benchmarkPath) percentileMicros(percentile float64) float64 {
	return float64(p.latencies.ValueAtPercentile(percentile)) / float64(time.Microsecond)
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}}
}

// BenchmarkAddedTime measures the latency that ingress, relay and owner add to a request, in an open loop of 1,000
// requests per second on each path. Direct requests and those through the mesh alternate, and latencies count from the
// intended time of sending. All components, the caller and the upstream run in this process.
func BenchmarkAddedTime(b *testing.B) {
	f := newFleet(b, fleetOptions{hosts: 2, slots: 64})
	paths := []*benchmarkPath{newBenchmarkPath(f.nodes[0].standin.Address()), newBenchmarkPath(f.nodes[1].callerAddress)}
	client := newClient()
	defer client.CloseIdleConnections()
	for range 50 {
		for _, path := range paths {
			path.send(b, client)
		}
	}
	const interval = 500 * time.Microsecond
	var group sync.WaitGroup
	start := timer.System{}.Now()
	b.ResetTimer()
	for i := range b.N {
		path, intended := paths[i%len(paths)], start.Add(time.Duration(i)*interval)
		if wait := time.Until(intended); wait > 0 {
			<-timer.System{}.After(wait).C()
		}
		group.Go(func() {
			path.send(b, client)
			path.record(time.Since(intended))
		})
	}
	group.Wait()
	b.StopTimer()
	for _, p := range []struct {
		name string
		at   float64
	}{{"p50", 50}, {"p99", 99}, {"p99.9", 99.9}} {
		b.ReportMetric(paths[0].percentileMicros(p.at), p.name+"-direct-µs")
		b.ReportMetric(paths[1].percentileMicros(p.at), p.name+"-mesh-µs")
	}
}

// BenchmarkProcessorTime measures the CPU time of one request: direct, to the target of the ingress host, and to the
// target of another host. It includes the caller and the upstream in all three cases.
func BenchmarkProcessorTime(b *testing.B) {
	f := newFleet(b, fleetOptions{hosts: 2, slots: 64})
	for name, address := range map[string]string{
		"direct": f.nodes[0].standin.Address(), "local": f.nodes[0].callerAddress, "relayed": f.nodes[1].callerAddress,
	} {
		b.Run(name, func(b *testing.B) {
			client := newClient()
			defer client.CloseIdleConnections()
			path := newBenchmarkPath(address)
			before := processorTime(b)
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					path.send(b, client)
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
