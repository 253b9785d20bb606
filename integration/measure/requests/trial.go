package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/go-logr/logr"

	"cicadacross/internal/operator"
)

// trial is a measurement of one policy on one deployment: a series of loads with the usual mix, or a flood.
type trial struct {
	deployment *deployment
	policy     policy
	// flood is "" for the loads, or "least" or "most" for a flood of the least or most urgent rank.
	flood   string
	loads   []float64
	fault   string
	seed    uint64
	lengths phaseLengths
	// explain is the number of late or refused requests of each route whose decisions are reported.
	explain int
	// placement adds the placements to the report.
	placement bool
}

// phaseLengths holds the lengths of the parts of a run: warm before a load, learn before a flood, measured for the
// load or the flood itself, and tail for the last responses.
type phaseLengths struct {
	warm, measured, learn, tail time.Duration
}

// baseLoad is the load before a flood and floodLoad the load of the flooding route, as multiples of the capacity.
const (
	baseLoad  = 0.6
	floodLoad = 5
)

// caseResult holds the figures of one case.
type caseResult struct {
	Deployment string `json:"deployment"`
	Policy     string `json:"policy"`
	Case       string `json:"case"`
	Fault      string `json:"fault"`
	// MachineLoad holds the load averages of the machine at the start and at the end of the case.
	MachineLoad []string `json:"machine_load"`
	// Before holds the figures before a flood, or nil without a flood.
	Before *figures `json:"before,omitempty"`
	figures
	Explained  []string    `json:"explained,omitempty"`
	Placements []placement `json:"placements,omitempty"`
}

// run starts a fleet and measures the cases of the trial on it. After an error, it also returns the cases measured
// before.
func (t trial) run(ctx context.Context, log logr.Logger, programs, logs string) ([]caseResult, error) {
	f, err := startFleet(ctx, t.deployment, programs, logs, t.policy)
	if err != nil {
		return nil, err
	}
	defer f.stop()
	if t.flood != "" {
		r, err := t.measureFlood(ctx, f)
		return []caseResult{r}, err
	}
	var results []caseResult
	for i, load := range t.loads {
		log.Info("load", "deployment", t.deployment.name, "policy", t.policy.name, "load", load)
		rates := t.deployment.ratesAtLoad(load)
		phases := []phase{{t.lengths.warm, rates}, {t.lengths.measured, rates}}
		r, err := t.measure(ctx, f, phases, t.seed+uint64(i))
		if err != nil {
			return results, err
		}
		r.Case = fmt.Sprintf("load %g", load)
		results = append(results, r)
	}
	return results, nil
}

func (t trial) measureFlood(ctx context.Context, f *fleet) (caseResult, error) {
	flood, err := t.deployment.ratesInFlood(t.flood, baseLoad, floodLoad)
	if err != nil {
		return caseResult{}, err
	}
	phases := []phase{{t.lengths.learn, t.deployment.ratesAtLoad(baseLoad)}, {t.lengths.measured, flood}}
	r, err := t.measure(ctx, f, phases, t.seed)
	r.Case = "flood " + t.flood
	return r, err
}

// measure sends the two phases and computes the figures of the second. With a flood, it also computes those of the
// first phase without its beginning.
func (t trial) measure(ctx context.Context, f *fleet, phases []phase, seed uint64) (caseResult, error) {
	r := caseResult{
		Deployment: t.deployment.name, Policy: t.policy.name, Fault: t.fault, MachineLoad: []string{loadAverage()},
	}
	var callers []string
	for _, h := range f.hosts {
		callers = append(callers, h.target.Caller())
	}
	d := newDriver(callers, seed)
	list := arrivals(t.deployment.routeLoads, phases, seed)
	running, end := context.WithCancel(ctx)
	defer end()
	faults := &faultInjection{fleet: f, fault: t.fault, after: phases[0].length, done: make(chan error, 1)}
	go faults.run(running)
	d.send(running, list)
	sleep(running, t.lengths.tail)
	r.Explained = t.explainLateRequests(ctx, f, d)
	end()
	d.waitAndClose()
	if err := <-faults.done; err != nil {
		return r, err
	}
	measured := window{phases[0].length, phases[0].length + phases[1].length}
	r.figures = collectFigures(t.deployment, d.samples, measured)
	if t.placement {
		r.Placements = placements(f, d.samples, measured)
	}
	if t.flood != "" {
		before := collectFigures(t.deployment, d.samples, window{min(t.lengths.warm, phases[0].length/2), phases[0].length})
		r.Before = &before
		r.setKeptShares(before)
	}
	r.MachineLoad = append(r.MachineLoad, loadAverage())
	return r, ctx.Err()
}

// faultInjection injects the fault after the given time, at which the measured phase starts.
type faultInjection struct {
	fleet *fleet
	fault string
	after time.Duration
	done  chan error
}

func (l *faultInjection) run(ctx context.Context) {
	if l.fault == faultNone || !sleep(ctx, l.after) {
		l.done <- nil
		return
	}
	l.done <- l.fleet.inject(l.fault)
}

// explainLateRequests returns the decisions of the daemons on the last requests of each route that were not done in
// time, or error texts where the daemons could not be queried.
func (t trial) explainLateRequests(ctx context.Context, f *fleet, d *driver) []string {
	if t.explain == 0 {
		return nil
	}
	d.mu.Lock()
	samples := append([]sample(nil), d.samples...)
	d.mu.Unlock()
	var addresses []string
	for _, h := range f.hosts {
		if !h.daemon.ended {
			addresses = append(addresses, h.target.Operator())
		}
	}
	client, err := operator.NewClient(operator.ClientOptions{Timers: clock, Addresses: addresses})
	if err != nil {
		return []string{err.Error()}
	}
	var texts []string
	found := make(map[*routeLoad]int)
	for i := len(samples) - 1; i >= 0; i-- {
		s := &samples[i]
		if s.inTime() || s.result == resultUnsent || found[s.load] == t.explain {
			continue
		}
		found[s.load]++
		explanation, err := client.Explain(ctx, s.id)
		if err != nil {
			texts = append(texts, err.Error())
			continue
		}
		texts = append(texts, fmt.Sprintf("answered after %.1f ms, sent %.1f ms late, %q: %s",
			milliseconds(s.ended-s.intendedSend), milliseconds(s.sendDelay), s.reason, explanation))
	}
	return texts
}

// loadAverage returns the machine's load averages over 1, 5 and 15 minutes.
func loadAverage() string {
	const averages = 3
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return ""
	}
	fields := strings.Fields(string(data))
	return strings.Join(fields[:min(averages, len(fields))], " ")
}
