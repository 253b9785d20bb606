package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-logr/logr"
)

// addedLatencyTrial measures the latency that the daemons add to a call. One daemon gets all calls, as if its callers
// ran on one host. In the same run, about as many calls go directly to the upstreams of the service.
type addedLatencyTrial struct {
	deployment *deployment
	// entry is the name of the host whose daemon gets the calls; empty means the first host.
	entry       string
	rates       []float64
	repetitions int
	length      time.Duration
	seed        uint64
}

// addedLatencyResult holds the figures for one rate. The slices have one value for each repetition; latencies are in
// milliseconds.
type addedLatencyResult struct {
	Deployment string    `json:"deployment"`
	Entry      string    `json:"entry"`
	Rate       float64   `json:"calls_per_second"`
	Calls      int       `json:"calls"`
	Failed     int       `json:"failed"`
	AddedP50   []float64 `json:"added_p50_ms"`
	AddedP99   []float64 `json:"added_p99_ms"`
	DirectP50  []float64 `json:"direct_p50_ms"`
	DirectP99  []float64 `json:"direct_p99_ms"`
	ThroughP50 []float64 `json:"through_p50_ms"`
	ThroughP99 []float64 `json:"through_p99_ms"`
	// DaemonCores is the CPU time of all daemons divided by the elapsed time, in cores.
	DaemonCores []float64 `json:"daemons_core_share"`
	MachineLoad []string  `json:"machine_load"`
	// CPUPerCall is the CPU time of all daemons for one call in milliseconds: the slope over the rates, or 0 when there
	// is only one rate.
	CPUPerCall float64 `json:"processor_ms_per_call"`
}

// run measures all rates in every repetition, so that a busy period of the machine affects all of them. After an
// error, it also returns what was measured before.
func (t addedLatencyTrial) run(
	ctx context.Context, log logr.Logger, programs, logs string,
) ([]addedLatencyResult, error) {
	f, err := startFleet(ctx, t.deployment, programs, logs, policies[0])
	if err != nil {
		return nil, err
	}
	defer f.stop()
	for _, h := range f.hosts {
		if err := f.setServiceTimes(h, 0); err != nil {
			return nil, err
		}
	}
	results := make([]addedLatencyResult, len(t.rates))
	for i, rate := range t.rates {
		results[i] = addedLatencyResult{Deployment: t.deployment.name, Rate: rate}
	}
	// The first repetition only opens the connections; its figures are discarded.
	for repetition := range t.repetitions + 1 {
		for i := range results {
			log.Info("added", "deployment", t.deployment.name, "repetition", repetition, "rate", results[i].Rate)
			out := &results[i]
			if repetition == 0 {
				out = &addedLatencyResult{Rate: results[i].Rate}
			}
			if err := t.runRepetition(ctx, f, out, t.seed+uint64(repetition)); err != nil {
				return results, err
			}
		}
	}
	for i := range results {
		results[i].CPUPerCall = cpuPerCall(results)
	}
	return results, nil
}

// runRepetition sends calls at the rate of out through the daemon and, interleaved at random, at the same rate
// directly to the upstreams. It adds the figures to out.
func (t addedLatencyTrial) runRepetition(ctx context.Context, f *fleet, out *addedLatencyResult, seed uint64) error {
	k := t.deployment.routeLoads[0]
	entry, err := t.entryHost(f)
	if err != nil {
		return err
	}
	out.Entry = entry.target.Host()
	var upstreams []string
	for _, h := range f.hosts {
		if h.target.Service() == k.route.Service() {
			upstreams = append(upstreams, h.target.Upstream())
		}
	}
	through := newDriver([]string{entry.target.Caller()}, seed)
	direct := newDriver(upstreams, seed)
	direct.direct = true
	list := arrivals([]*routeLoad{k}, []phase{{t.length, []float64{2 * out.Rate}}}, seed)
	random := rand.New(rand.NewPCG(seed, 1)) // #nosec G404
	running, end := context.WithTimeout(ctx, t.length+startTimeout)
	defer end()
	before, err := f.daemonCPUTime()
	if err != nil {
		return err
	}
	start := clock.Now()
	through.start, direct.start = start, start
	for i, a := range list {
		if !sleep(running, start.Add(a.at).Sub(clock.Now())) {
			return running.Err()
		}
		if random.IntN(2) == 0 {
			through.sendOne(running, a, i)
		} else {
			direct.sendOne(running, a, i)
		}
	}
	through.waitAndClose()
	direct.waitAndClose()
	after, err := f.daemonCPUTime()
	if err != nil {
		return err
	}
	out.DaemonCores = append(out.DaemonCores, (after-before).Seconds()/clock.Now().Sub(start).Seconds())
	out.MachineLoad = append(out.MachineLoad, loadAverage())
	out.add(through.samples, direct.samples)
	return ctx.Err()
}

// entryHost returns the host whose daemon gets the calls, or an error when the deployment has no host named t.entry.
func (t addedLatencyTrial) entryHost(f *fleet) (*host, error) {
	for _, h := range f.hosts {
		if t.entry == "" || h.target.Host() == t.entry {
			return h, nil
		}
	}
	return nil, fmt.Errorf("%s has no host %q", t.deployment.name, t.entry)
}

func (r *addedLatencyResult) add(through, direct []sample) {
	t, d := r.histogram(through), r.histogram(direct)
	r.Calls += len(through)
	r.ThroughP50 = append(r.ThroughP50, quantile(t, 50))
	r.ThroughP99 = append(r.ThroughP99, quantile(t, 99))
	r.DirectP50 = append(r.DirectP50, quantile(d, 50))
	r.DirectP99 = append(r.DirectP99, quantile(d, 99))
	r.AddedP50 = append(r.AddedP50, quantile(t, 50)-quantile(d, 50))
	r.AddedP99 = append(r.AddedP99, quantile(t, 99)-quantile(d, 99))
}

// histogram returns the latencies of the completed samples in microseconds. They count from the actual send time,
// since the send delay of the client is not caused by the daemons.
func (r *addedLatencyResult) histogram(samples []sample) *hdrhistogram.Histogram {
	h := hdrhistogram.New(1, startTimeout.Microseconds(), 3)
	for i := range samples {
		s := &samples[i]
		if s.result != resultDone {
			r.Failed++
			continue
		}
		_ = h.RecordValue(max(1, (s.ended - s.intendedSend - s.sendDelay).Microseconds()))
	}
	return h
}

// cpuPerCall fits the CPU time per second against the rate by least squares and returns the slope in milliseconds of
// CPU time per call, or 0 when all rates are equal.
func cpuPerCall(results []addedLatencyResult) float64 {
	var n, sumX, sumY, sumXX, sumXY float64
	for _, r := range results {
		for _, y := range r.DaemonCores {
			n, sumX, sumY, sumXX, sumXY = n+1, sumX+r.Rate, sumY+y, sumXX+r.Rate*r.Rate, sumXY+r.Rate*y
		}
	}
	spread := n*sumXX - sumX*sumX
	if spread == 0 {
		return 0
	}
	const millisecondsPerSecond = 1000
	return millisecondsPerSecond * (n*sumXY - sumX*sumY) / spread
}

func writeAddedLatency(b *strings.Builder, results []addedLatencyResult) {
	if len(results) == 0 {
		return
	}
	b.WriteString("\ntime added to a call, ms: median (lowest to highest) of the repetitions\n")
	table := tabwriter.NewWriter(b, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "deployment\tentry\tcalls/s\tcalls\tfailed\tadded p50\tadded p99\tdirect p50\tdirect p99\t"+
		"through p50\tthrough p99\tdaemons' cores\tcpu ms/call\t")
	for _, r := range results {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%.0f\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%.3f\t\n", r.Deployment, r.Entry, r.Rate,
			r.Calls, r.Failed, formatMedianAndRange(r.AddedP50), formatMedianAndRange(r.AddedP99),
			formatMedianAndRange(r.DirectP50), formatMedianAndRange(r.DirectP99), formatMedianAndRange(r.ThroughP50),
			formatMedianAndRange(r.ThroughP99), formatMedianAndRange(r.DaemonCores), r.CPUPerCall)
	}
	_ = table.Flush()
	for _, r := range results {
		fmt.Fprintf(b, "machine at %.0f calls/s: %s\n", r.Rate, strings.Join(r.MachineLoad, "; "))
	}
}

// formatMedianAndRange formats the median with the lowest and the highest value, or "-" when there are no values.
func formatMedianAndRange(values []float64) string {
	if len(values) == 0 {
		return "-"
	}
	sorted := slices.Sorted(slices.Values(values))
	return fmt.Sprintf("%.2f (%.2f to %.2f)", sorted[len(sorted)/2], sorted[0], sorted[len(sorted)-1])
}
