package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// counts counts the results of the requests of one phase by route. It is safe for concurrent use.
type counts struct {
	mu      sync.Mutex
	end     time.Time
	length  time.Duration
	tallies map[string]*tally
	// inTimeSlotTime is the total slot time of the requests that ended in time and before the end of the phase.
	inTimeSlotTime time.Duration
}

// tally counts the requests of one route.
type tally struct {
	offered, inTime, late, refused, cancelled int64
	// latency holds the latencies of completed requests in microseconds, counted from the intended send time.
	latency *hdrhistogram.Histogram
}

const (
	maxLatency        = 60 * time.Second
	significantDigits = 3
)

func newCounts(routes []routeLoad, end time.Time, d time.Duration) *counts {
	c := &counts{end: end, length: d, tallies: make(map[string]*tally)}
	for _, k := range routes {
		c.tallies[k.name] = &tally{latency: hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)}
	}
	return c
}

// add counts the request in the tally of its route and calls change on it, unless the intended send time is after the
// end of the phase.
func (c *counts) add(r *request, change func(t *tally)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.intendedSend.After(c.end) {
		return
	}
	t := c.tallies[r.route.name]
	t.offered++
	change(t)
}

func (c *counts) refused(r *request) { c.add(r, func(t *tally) { t.refused++ }) }

func (c *counts) cancelled(r *request) { c.add(r, func(t *tally) { t.cancelled++ }) }

func (c *counts) completed(r *request, started, ended time.Time) {
	latency := ended.Sub(r.intendedSend)
	inTime := latency <= r.route.rank.TargetTime()
	c.add(r, func(t *tally) {
		// RecordValue can't fail: the deadlines keep latencies far below maxLatency.
		_ = t.latency.RecordValue(latency.Microseconds())
		if inTime {
			t.inTime++
		} else {
			t.late++
		}
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	if inTime && !ended.After(c.end) {
		c.inTimeSlotTime += ended.Sub(started)
	}
}

// inTimeShare returns the share of the offered requests that completed within their target time.
func (t *tally) inTimeShare() float64 { return float64(t.inTime) / float64(max(t.offered, 1)) }

// inTimeShareOfCompleted returns the share of the completed requests that completed within their target time.
func (t *tally) inTimeShareOfCompleted() float64 {
	return float64(t.inTime) / float64(max(t.inTime+t.late, 1))
}

func header(c options) []string {
	return []string{
		fmt.Sprintf("# %s, %d target(s) of %d slots, %s, before %.2f, seed %d", c.mix.name, max(c.targets, 1), c.mix.slots,
			c.name, c.usualLoad, c.seed),
		fmt.Sprintf("%-9s %-10s %-12s %8s %7s %7s %7s %8s %8s %7s %7s", "policy", "balancer", "kind", "offered/s",
			"in time", "of run", "kept", "p50 ms", "p99 ms", "cancel", "worth/s"),
	}
}

// report returns the lines of the results: for each run, one for each route and one for all routes together.
func report(runs []*experiment) []string {
	var lines []string
	for _, e := range runs {
		total := 0.0
		seconds := e.loadedCounts.length.Seconds()
		for _, k := range e.opts.mix.routes {
			b, t := e.usualCounts.tallies[k.name], e.loadedCounts.tallies[k.name]
			worth := k.rank.Worth() * float64(t.inTime) / seconds
			total += worth
			lines = append(lines, fmt.Sprintf("%-9s %-10s %-12s %8.0f %7.3f %7.3f %7.3f %8.1f %8.1f %7d %7.0f", e.opts.policy,
				e.opts.balancer, k.name, float64(t.offered)/seconds, t.inTimeShare(), t.inTimeShareOfCompleted(),
				t.inTimeShare()/b.inTimeShare(), float64(t.latency.ValueAtQuantile(50))/1000,
				float64(t.latency.ValueAtQuantile(99))/1000, t.cancelled, worth))
		}
		busy := e.loadedCounts.inTimeSlotTime.Seconds() / (seconds * e.slots())
		lines = append(lines, fmt.Sprintf("%-9s %-10s %-12s slots busy with work in time %.3f (before %.3f), worth/s %.0f",
			e.opts.policy, e.opts.balancer, "all", busy,
			e.usualCounts.inTimeSlotTime.Seconds()/(seconds*e.slots()), total))
	}
	return lines
}
