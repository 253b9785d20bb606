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

// trial is a run of one policy on one deployment: a series of loads with the usual mix, or a flood.
type trial struct {
	deployment *deployment
	policy     policy
	// flood is "" for the loads, or the rank that floods: least or most.
	flood string
	loads []float64
	fault string
	seed  uint64
	times times
	// explain is the number of requests of each kind whose decisions are reported.
	explain int
	// placement makes the report say what each target ran.
	placement bool
}

// times are the lengths of the parts of a run.
type times struct {
	warm, measured, learn, tail time.Duration
}

// baseLoad is the load before a flood and floodLoad the load of the flooding kind, as multiples of the capacity.
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
	// Machine is the load average of the machine at the start and the end of the case.
	Machine []string `json:"machine_load"`
	// Before holds the figures before a flood.
	Before *figures `json:"before,omitempty"`
	figures
	Explained  []string    `json:"explained,omitempty"`
	Placements []placement `json:"placements,omitempty"`
}

// run starts a fleet and measures the cases of the trial on it.
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
		rates := t.deployment.mix(load)
		phases := []phase{{t.times.warm, rates}, {t.times.measured, rates}}
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
	flood, err := t.deployment.flood(t.flood, baseLoad, floodLoad)
	if err != nil {
		return caseResult{}, err
	}
	phases := []phase{{t.times.learn, t.deployment.mix(baseLoad)}, {t.times.measured, flood}}
	r, err := t.measure(ctx, f, phases, t.seed)
	r.Case = "flood " + t.flood
	return r, err
}

// measure sends the phases and takes the figures of the last one. Before a flood, those of the phase before are taken
// too, without its beginning.
func (t trial) measure(ctx context.Context, f *fleet, phases []phase, seed uint64) (caseResult, error) {
	r := caseResult{Deployment: t.deployment.name, Policy: t.policy.name, Fault: t.fault, Machine: []string{loadAverage()}}
	var callers []string
	for _, h := range f.hosts {
		callers = append(callers, h.target.Caller())
	}
	d := newDriver(callers, seed)
	list := arrivals(t.deployment.kinds, phases, seed)
	running, end := context.WithCancel(ctx)
	defer end()
	faults := &faultLoop{fleet: f, fault: t.fault, after: phases[0].length, done: make(chan error, 1)}
	go faults.run(running)
	d.send(running, list)
	sleep(running, t.times.tail)
	r.Explained = t.explanations(ctx, f, d)
	end()
	d.close()
	if err := <-faults.done; err != nil {
		return r, err
	}
	measured := window{phases[0].length, phases[0].length + phases[1].length}
	r.figures = collect(t.deployment, d.samples, measured)
	if t.placement {
		r.Placements = placements(f, d.samples, measured)
	}
	if t.flood != "" {
		before := collect(t.deployment, d.samples, window{min(t.times.warm, phases[0].length/2), phases[0].length})
		r.Before = &before
		r.compare(before)
	}
	r.Machine = append(r.Machine, loadAverage())
	return r, ctx.Err()
}

// faultLoop injects the fault when the measured phase begins.
type faultLoop struct {
	fleet *fleet
	fault string
	after time.Duration
	done  chan error
}

func (l *faultLoop) run(ctx context.Context) {
	if l.fault == faultNone || !sleep(ctx, l.after) {
		l.done <- nil
		return
	}
	l.done <- l.fleet.inject(l.fault)
}

// explanations returns what the daemons say of the latest requests of each kind that weren't answered in time.
func (t trial) explanations(ctx context.Context, f *fleet, d *driver) []string {
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
	found := make(map[*kind]int)
	for i := len(samples) - 1; i >= 0; i-- {
		s := &samples[i]
		if s.inTime() || s.result == resultUnsent || found[s.kind] == t.explain {
			continue
		}
		found[s.kind]++
		explanation, err := client.Explain(ctx, s.id)
		if err != nil {
			texts = append(texts, err.Error())
			continue
		}
		texts = append(texts, fmt.Sprintf("answered after %.1f ms, sent %.1f ms late, %q: %s",
			milliseconds(s.ended-s.intended), milliseconds(s.late), s.reason, explanation))
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
