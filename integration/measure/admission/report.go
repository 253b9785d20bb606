package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// counts is what became of the requests of one phase. It is safe for concurrent use.
type counts struct {
	mu   sync.Mutex
	end  time.Time
	time time.Duration
	kind map[string]*tally
	// useful is the slot time of requests that ended in time before the end of the phase.
	useful time.Duration
}

// tally counts the requests of one kind.
type tally struct {
	offered, inTime, late, refused, cancelled int64
	// latency is in microseconds from the intended send time.
	latency *hdrhistogram.Histogram
}

const (
	maxLatency        = 60 * time.Second
	significantDigits = 3
)

func newCounts(kinds []kind, end time.Time, d time.Duration) *counts {
	c := &counts{end: end, time: d, kind: make(map[string]*tally)}
	for _, k := range kinds {
		c.kind[k.name] = &tally{latency: hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)}
	}
	return c
}

// add changes the tally of the request's kind when the request belongs to the counted time.
func (c *counts) add(r *request, change func(t *tally)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.intended.After(c.end) {
		return
	}
	t := c.kind[r.kind.name]
	t.offered++
	change(t)
}

func (c *counts) refused(r *request) { c.add(r, func(t *tally) { t.refused++ }) }

func (c *counts) cancelled(r *request) { c.add(r, func(t *tally) { t.cancelled++ }) }

func (c *counts) ended(r *request, started, ended time.Time) {
	latency := ended.Sub(r.intended)
	inTime := latency <= r.kind.rank.TargetTime()
	c.add(r, func(t *tally) {
		// A latency above maxLatency can't occur: the deadlines are far below.
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
		c.useful += ended.Sub(started)
	}
}

// share returns the part of the offered requests that were answered within their target time.
func (t *tally) share() float64 { return float64(t.inTime) / float64(max(t.offered, 1)) }

// begunInTime returns the part of the requests that ran to their end that were answered within their target time.
func (t *tally) begunInTime() float64 { return float64(t.inTime) / float64(max(t.inTime+t.late, 1)) }

func header(c options) []string {
	return []string{
		fmt.Sprintf("# %s, %d target(s) of %d slots, %s, before %.2f, seed %d", c.mix.name, max(c.targets, 1), c.mix.slots,
			c.name, c.usual, c.seed),
		fmt.Sprintf("%-9s %-10s %-12s %8s %7s %7s %7s %8s %8s %7s %7s", "policy", "balancer", "kind", "offered/s",
			"in time", "of run", "kept", "p50 ms", "p99 ms", "cancel", "worth/s"),
	}
}

// report returns the lines of the results, one for each kind and one for the whole run.
func report(runs []*experiment) []string {
	var lines []string
	for _, e := range runs {
		total := 0.0
		seconds := e.during.time.Seconds()
		for _, k := range e.opts.mix.kinds {
			b, t := e.before.kind[k.name], e.during.kind[k.name]
			worth := k.rank.Worth() * float64(t.inTime) / seconds
			total += worth
			lines = append(lines, fmt.Sprintf("%-9s %-10s %-12s %8.0f %7.3f %7.3f %7.3f %8.1f %8.1f %7d %7.0f", e.opts.policy,
				e.opts.balancer, k.name, float64(t.offered)/seconds, t.share(), t.begunInTime(), t.share()/b.share(),
				float64(t.latency.ValueAtQuantile(50))/1000, float64(t.latency.ValueAtQuantile(99))/1000, t.cancelled, worth))
		}
		busy := e.during.useful.Seconds() / (seconds * e.slots())
		lines = append(lines, fmt.Sprintf("%-9s %-10s %-12s slots busy with work in time %.3f (before %.3f), worth/s %.0f",
			e.opts.policy, e.opts.balancer, "all", busy,
			e.before.useful.Seconds()/(seconds*e.slots()), total))
	}
	return lines
}
