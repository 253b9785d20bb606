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

// burstLength is the length of the intervals in which the requests of a burst are counted.
const burstLength = 500 * time.Millisecond

// placement holds the figures of the requests of one route that one target ran. It counts requests whose intended send
// time is in the window.
type placement struct {
	Host        string  `json:"host"`
	Zone        string  `json:"availability_zone"`
	Route       string  `json:"kind"`
	Executions  int     `json:"runs"`
	InTimeShare float64 `json:"in_time_share"`
	P99         float64 `json:"p99_ms"`
	// LargestBurst is the largest number of executions whose intended send times are within the same half second.
	LargestBurst int `json:"burst"`
}

// hostByRequestID returns the host whose upstream started to run each request. Killed upstreams and those that do not
// respond are left out.
func (f *fleet) hostByRequestID() map[string]*host {
	hostByID := make(map[string]*host)
	for _, h := range f.hosts {
		var executions upstream.Executions
		if h.upstream.ended || f.getJSON("http://"+h.target.Upstream()+"/executions", &executions) != nil {
			continue
		}
		for id := range executions.ByRequestID {
			hostByID[id] = h
		}
	}
	return hostByID
}

func (f *fleet) getJSON(url string, into any) error {
	response, err := f.controlClient.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", url, response.Status)
	}
	return json.NewDecoder(response.Body).Decode(into)
}

// placements returns the figures of each target for each route of its service.
func placements(f *fleet, samples []sample, w window) []placement {
	hostByID := f.hostByRequestID()
	var result []placement
	for _, h := range f.hosts {
		for _, k := range f.deployment.routeLoads {
			if k.route.Service() != h.target.Service() {
				continue
			}
			p := placement{Host: h.target.Host(), Zone: h.target.AvailabilityZone(), Route: k.routeName}
			p.countExecutions(samples, w, func(s *sample) bool { return s.load == k && hostByID[s.id] == h })
			result = append(result, p)
		}
	}
	return result
}

func (p *placement) countExecutions(samples []sample, w window, ranHere func(*sample) bool) {
	h := hdrhistogram.New(1, time.Hour.Microseconds(), 3)
	bursts := make(map[time.Duration]int)
	inTime := 0
	for i := range samples {
		s := &samples[i]
		if !w.contains(s.intendedSend) || !ranHere(s) {
			continue
		}
		p.Executions++
		interval := s.intendedSend / burstLength
		bursts[interval]++
		p.LargestBurst = max(p.LargestBurst, bursts[interval])
		if s.inTime() {
			inTime++
		}
		_ = h.RecordValue(max(1, (s.ended - s.intendedSend).Microseconds()))
	}
	p.InTimeShare = ratio(float64(inTime), float64(p.Executions))
	p.P99 = quantile(h, 99)
}

func writePlacements(b *strings.Builder, list []placement) {
	if len(list) == 0 {
		return
	}
	table := tabwriter.NewWriter(b, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "host\tzone\tkind\truns\tin time %\tp99 ms\tlargest burst in 0.5 s\t")
	for _, p := range list {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%.1f\t%.0f\t%d\t\n", p.Host, p.Zone, p.Route, p.Executions,
			100*p.InTimeShare, p.P99, p.LargestBurst)
	}
	_ = table.Flush()
}
