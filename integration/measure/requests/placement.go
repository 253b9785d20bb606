package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cicadacross/internal/standin/upstream"
)

// burstLength is the time over which bursts are counted.
const burstLength = 500 * time.Millisecond

// placement says what one target ran of one kind in a window, by the intended send times.
type placement struct {
	Host   string  `json:"host"`
	Zone   string  `json:"availability_zone"`
	Kind   string  `json:"kind"`
	Runs   int     `json:"runs"`
	InTime float64 `json:"in_time_share"`
	P99    float64 `json:"p99_ms"`
	// Burst is the largest number of runs whose send times are within the same half second.
	Burst int `json:"burst"`
}

// runsByHost returns the ids of the requests that each upstream began to run. Dead upstreams are left out.
func (f *fleet) runsByHost() map[string]*host {
	runs := make(map[string]*host)
	for _, h := range f.hosts {
		var executions upstream.Executions
		if h.upstream.ended || f.get("http://"+h.target.Upstream()+"/executions", &executions) != nil {
			continue
		}
		for id := range executions.ByRequestID {
			runs[id] = h
		}
	}
	return runs
}

func (f *fleet) get(url string, into any) error {
	response, err := f.control.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", url, response.Status)
	}
	return json.NewDecoder(response.Body).Decode(into)
}

// placements returns what each target ran of each kind.
func placements(f *fleet, samples []sample, w window) []placement {
	runs := f.runsByHost()
	var list []placement
	for _, h := range f.hosts {
		for _, k := range f.deployment.kinds {
			if k.route.Service() != h.target.Service() {
				continue
			}
			p := placement{Host: h.target.Host(), Zone: h.target.AvailabilityZone(), Kind: k.work.route}
			p.fill(samples, w, func(s *sample) bool { return s.kind == k && runs[s.id] == h })
			list = append(list, p)
		}
	}
	return list
}

func (p *placement) fill(samples []sample, w window, here func(*sample) bool) {
	h := hdrhistogram.New(1, time.Hour.Microseconds(), 3)
	bursts := make(map[time.Duration]int)
	inTime := 0
	for i := range samples {
		s := &samples[i]
		if !w.contains(s.intended) || !here(s) {
			continue
		}
		p.Runs++
		bin := s.intended / burstLength
		bursts[bin]++
		p.Burst = max(p.Burst, bursts[bin])
		if s.inTime() {
			inTime++
		}
		_ = h.RecordValue(max(1, (s.ended - s.intended).Microseconds()))
	}
	p.InTime = ratio(float64(inTime), float64(p.Runs))
	p.P99 = quantile(h, 99)
}

func writePlacements(b *strings.Builder, list []placement) {
	if len(list) == 0 {
		return
	}
	table := tabwriter.NewWriter(b, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "host\tzone\tkind\truns\tin time %\tp99 ms\tlargest burst in 0.5 s\t")
	for _, p := range list {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%.1f\t%.0f\t%d\t\n", p.Host, p.Zone, p.Kind, p.Runs, 100*p.InTime, p.P99,
			p.Burst)
	}
	_ = table.Flush()
}
