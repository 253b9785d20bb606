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

// addedTrial measures the time that the daemons add to a call. One daemon takes the calls, as its callers on one host
// would send them; as many calls go straight to the upstreams of the service, in the same run.
type addedTrial struct {
	deployment *deployment
	// entry is the host whose daemon takes the calls; empty means the first.
	entry       string
	rates       []float64
	repetitions int
	length      time.Duration
	seed        uint64
}

// addedResult holds the figures for one rate; the slices have one value for each repetition, in milliseconds.
type addedResult struct {
	Deployment string    `json:"deployment"`
	Entry      string    `json:"entry"`
	Rate       float64   `json:"calls_per_second"`
	Calls      int       `json:"calls"`
	Failed     int       `json:"failed"`
	Added50    []float64 `json:"added_p50_ms"`
	Added99    []float64 `json:"added_p99_ms"`
	Direct50   []float64 `json:"direct_p50_ms"`
	Direct99   []float64 `json:"direct_p99_ms"`
	Through50  []float64 `json:"through_p50_ms"`
	Through99  []float64 `json:"through_p99_ms"`
	// Processor is the share of a core that all daemons used together.
	Processor []float64 `json:"daemons_core_share"`
	Machine   []string  `json:"machine_load"`
	// PerCall is the processor time of all daemons for one call: the slope over the rates, 0 with one rate.
	PerCall float64 `json:"processor_ms_per_call"`
}

// run measures all rates, each repetition in turn, so that a busy time of the machine meets all of them.
func (t addedTrial) run(ctx context.Context, log logr.Logger, programs, logs string) ([]addedResult, error) {
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
	results := make([]addedResult, len(t.rates))
	for i, rate := range t.rates {
		results[i] = addedResult{Deployment: t.deployment.name, Rate: rate}
	}
	// The first repetition opens the connections and isn't counted.
	for repetition := range t.repetitions + 1 {
		for i := range results {
			log.Info("added", "deployment", t.deployment.name, "repetition", repetition, "rate", results[i].Rate)
			out := &results[i]
			if repetition == 0 {
				out = &addedResult{Rate: results[i].Rate}
			}
			if err := t.repeat(ctx, f, out, t.seed+uint64(repetition)); err != nil {
				return results, err
			}
		}
	}
	for i := range results {
		results[i].PerCall = perCall(results)
	}
	return results, nil
}

// repeat sends calls at the rate both ways, interleaved, and adds the figures.
func (t addedTrial) repeat(ctx context.Context, f *fleet, out *addedResult, seed uint64) error {
	k := t.deployment.kinds[0]
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
	list := arrivals([]*kind{k}, []phase{{t.length, []float64{2 * out.Rate}}}, seed)
	random := rand.New(rand.NewPCG(seed, 1)) // #nosec G404
	running, end := context.WithTimeout(ctx, t.length+startLimit)
	defer end()
	before, err := f.daemonTime()
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
			through.begin(running, a, i)
		} else {
			direct.begin(running, a, i)
		}
	}
	through.close()
	direct.close()
	used, err := f.daemonTime()
	if err != nil {
		return err
	}
	out.Processor = append(out.Processor, (used-before).Seconds()/clock.Now().Sub(start).Seconds())
	out.Machine = append(out.Machine, loadAverage())
	out.add(through.samples, direct.samples)
	return ctx.Err()
}

// entryHost returns the host whose daemon takes the calls.
func (t addedTrial) entryHost(f *fleet) (*host, error) {
	for _, h := range f.hosts {
		if t.entry == "" || h.target.Host() == t.entry {
			return h, nil
		}
	}
	return nil, fmt.Errorf("%s has no host %q", t.deployment.name, t.entry)
}

func (r *addedResult) add(through, direct []sample) {
	t, d := r.histogram(through), r.histogram(direct)
	r.Calls += len(through)
	r.Through50 = append(r.Through50, quantile(t, 50))
	r.Through99 = append(r.Through99, quantile(t, 99))
	r.Direct50 = append(r.Direct50, quantile(d, 50))
	r.Direct99 = append(r.Direct99, quantile(d, 99))
	r.Added50 = append(r.Added50, quantile(t, 50)-quantile(d, 50))
	r.Added99 = append(r.Added99, quantile(t, 99)-quantile(d, 99))
}

// histogram holds the times of the samples from the moment of sending, since daemons don't add to how late the client
// sends.
func (r *addedResult) histogram(samples []sample) *hdrhistogram.Histogram {
	h := hdrhistogram.New(1, startLimit.Microseconds(), 3)
	for i := range samples {
		s := &samples[i]
		if s.result != resultDone {
			r.Failed++
			continue
		}
		_ = h.RecordValue(max(1, (s.ended - s.intended - s.late).Microseconds()))
	}
	return h
}

// perCall fits the processor time against the rate by least squares and returns the slope in milliseconds.
func perCall(results []addedResult) float64 {
	var n, sumX, sumY, sumXX, sumXY float64
	for _, r := range results {
		for _, y := range r.Processor {
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

func writeAdded(b *strings.Builder, results []addedResult) {
	if len(results) == 0 {
		return
	}
	b.WriteString("\ntime added to a call, ms: median (lowest to highest) of the repetitions\n")
	table := tabwriter.NewWriter(b, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "deployment\tentry\tcalls/s\tcalls\tfailed\tadded p50\tadded p99\tdirect p50\tdirect p99\t"+
		"through p50\tthrough p99\tdaemons' cores\tcpu ms/call\t")
	for _, r := range results {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%.0f\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%.3f\t\n", r.Deployment, r.Entry, r.Rate,
			r.Calls, r.Failed, spread(r.Added50), spread(r.Added99), spread(r.Direct50), spread(r.Direct99), spread(r.Through50),
			spread(r.Through99), spread(r.Processor), r.PerCall)
	}
	_ = table.Flush()
	for _, r := range results {
		fmt.Fprintf(b, "machine at %.0f calls/s: %s\n", r.Rate, strings.Join(r.Machine, "; "))
	}
}

// spread returns the median with the lowest and the highest value.
func spread(values []float64) string {
	if len(values) == 0 {
		return "-"
	}
	sorted := slices.Sorted(slices.Values(values))
	return fmt.Sprintf("%.2f (%.2f to %.2f)", sorted[len(sorted)/2], sorted[0], sorted[len(sorted)-1])
}
