package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"runtime"
	"slices"
	"sort"
	"strings"
	"text/tabwriter"
	"time"
)

// header describes how the figures were measured.
type header struct {
	Command     string           `json:"command"`
	Date        string           `json:"date"`
	Cores       int              `json:"cores"`
	MachineLoad string           `json:"machine_load"`
	Seed        uint64           `json:"seed"`
	Sizes       []deploymentSize `json:"sizes"`
}

// deploymentSize is the size of one deployment: its hosts, slots and routes.
type deploymentSize struct {
	Deployment string   `json:"deployment"`
	Hosts      int      `json:"hosts"`
	Slots      int      `json:"slots"`
	Kinds      []string `json:"kinds"`
}

// report holds all results of a run of the command.
type report struct {
	Header header               `json:"header"`
	Cases  []caseResult         `json:"cases,omitempty"`
	Added  []addedLatencyResult `json:"added,omitempty"`
}

func newHeader(arguments []string, seed uint64) header {
	return header{
		Command: "go run ./integration/measure/requests " + strings.Join(arguments, " "), Seed: seed,
		Date: clock.Now().UTC().Format(time.RFC3339), Cores: runtime.NumCPU(), MachineLoad: loadAverage(),
	}
}

// addDeployment adds the size of the deployment to the header.
func (h *header) addDeployment(d *deployment) {
	s := deploymentSize{Deployment: d.name, Hosts: len(d.publication.Configuration().Targets()), Slots: d.slots}
	for i, rate := range d.ratesAtLoad(1) {
		k := d.routeLoads[i]
		s.Kinds = append(s.Kinds, fmt.Sprintf("%s %v x %.0f/s at capacity", k.routeName, k.serviceTime, rate))
	}
	h.Sizes = append(h.Sizes, s)
}

func (r *report) writeJSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// writeTable writes the report as text.
func (r *report) writeTable(out io.Writer) error {
	var b strings.Builder
	h := r.Header
	fmt.Fprintf(&b, "command: %s\ndate: %s, cores: %d, load of the machine at the start: %s, seed: %d\n",
		h.Command, h.Date, h.Cores, h.MachineLoad, h.Seed)
	for _, s := range h.Sizes {
		fmt.Fprintf(&b, "%s: %d hosts, %d slots; %s\n", s.Deployment, s.Hosts, s.Slots, strings.Join(s.Kinds, "; "))
	}
	for i := range r.Cases {
		r.Cases[i].write(&b)
	}
	writeAddedLatency(&b, r.Added)
	_, err := io.WriteString(out, b.String())
	return err
}

func (c *caseResult) write(b *strings.Builder) {
	fmt.Fprintf(b, "\n%s, policy %s, %s, fault %s\n", c.Deployment, c.Policy, c.Case, c.Fault)
	fmt.Fprintf(b, "machine %s\n", strings.Join(c.MachineLoad, " -> "))
	if c.Before != nil {
		c.Before.write(b, "before the flood")
	}
	c.figures.write(b, "measured")
	table := tabwriter.NewWriter(b, 0, 0, 2, ' ', tabwriter.AlignRight)
	columns := "kind\trank\ttarget ms\toffered/s\tin time %\tserved/s\tworth/s\tp50 ms\tp99 ms\tdone\tnot run\t" +
		"unknown\topen\tnot sent\tkept %\t"
	_, _ = fmt.Fprintln(table, columns)
	for _, f := range c.Routes {
		kept := "-"
		if f.KeptShare >= 0 {
			kept = fmt.Sprintf("%.1f", 100*f.KeptShare)
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%.0f\t%.1f\t%.1f\t%.1f\t%.0f\t%.0f\t%.0f\t%d\t%d\t%d\t%d\t%d\t%s\t\n",
			f.Route, f.Rank, f.TargetMS, f.OfferedPerSecond, 100*f.InTimeShare, f.ServedInTimePerSecond, f.WorthPerSecond,
			f.P50, f.P99, f.Done, f.NotRun, f.Unknown, f.Open, f.Unsent, kept)
	}
	_ = table.Flush()
	for _, f := range c.Routes {
		if len(f.Reasons) > 0 {
			fmt.Fprintf(b, "%s: %s\n", f.Route, reasonList(f.Reasons))
		}
	}
	writePlacements(b, c.Placements)
	for _, text := range c.Explained {
		fmt.Fprintln(b, text)
	}
}

// write writes the figures of all routes together.
func (f *figures) write(b *strings.Builder, title string) {
	fmt.Fprintf(b, "%s: worth %.0f/s, unknown %d, client late p99 %.1f ms", title, f.Worth, f.Unknown, f.SendDelayP99)
	for _, name := range slices.Sorted(maps.Keys(f.Services)) {
		use := f.Services[name]
		fmt.Fprintf(b, "; %s offered %.2f, busy with work in time %.1f%%", name, use.OfferedLoad, 100*use.BusyInTime)
	}
	fmt.Fprintln(b)
}

func reasonList(reasons map[string]int) string {
	var list []string
	for reason, count := range reasons {
		list = append(list, fmt.Sprintf("%s: %d", reason, count))
	}
	sort.Strings(list)
	return strings.Join(list, ", ")
}
