package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"cicadacross"
	"cicadacross/internal/kernel"
	"cicadacross/internal/timer"

	// The policies register themselves.
	_ "cicadacross/internal/admission"
	_ "cicadacross/internal/balance"
)

// zones are the availability zones that targets and callers are spread over.
var zones = []string{"a", "b", "c", "d"}

// options describes one run.
type options struct {
	name      string
	mix       mix
	policy    string
	balancer  string
	targets   int
	load      float64
	flood     string
	usual     float64
	times     float64
	learn     time.Duration
	count     time.Duration
	averaging time.Duration
	seed      uint64
}

// experiment is one run of one policy and one balancer.
type experiment struct {
	opts       options
	timers     cicadacross.Timers
	targets    []cicadacross.Target
	admissions map[string]cicadacross.Admission
	balancers  map[string]cicadacross.Balancer
	requests   sync.WaitGroup
	before     *counts
	during     *counts
	done       chan struct{}
}

func newExperiment(opts options) (*experiment, error) {
	e := &experiment{
		opts: opts, timers: timer.System{}, done: make(chan struct{}),
		admissions: make(map[string]cicadacross.Admission), balancers: make(map[string]cicadacross.Balancer),
	}
	admission, err := kernel.Admissions.Lookup(opts.policy)
	if err != nil {
		return nil, err
	}
	balancer, err := kernel.Balancers.Lookup(opts.balancer)
	if err != nil {
		return nil, err
	}
	kinds := opts.mix.kinds
	for i := range max(opts.targets, 1) {
		host := fmt.Sprintf("host-%d", i)
		e.targets = append(e.targets, cicadacross.NewTarget(cicadacross.TargetOptions{
			Name: host, Host: host, AvailabilityZone: zones[i%len(zones)], Slots: opts.mix.slots,
		}))
		e.admissions[host] = admission(cicadacross.AdmissionOptions{
			Slots: opts.mix.slots, Timers: e.timers, LeastUrgent: kinds[len(kinds)-1].rank.Urgency(),
			AveragingWindow: opts.averaging,
		})
	}
	for _, zone := range zones {
		e.balancers[zone] = balancer(cicadacross.BalancerOptions{AvailabilityZone: zone, Timers: e.timers})
	}
	return e, nil
}

// slots returns the number of slots of all targets.
func (e *experiment) slots() float64 { return float64(e.opts.mix.slots * len(e.targets)) }

// run learns, counts the usual load, and then counts the load or the flood that the case is about.
func (e *experiment) run(ctx context.Context) {
	defer close(e.done)
	usual, loaded := e.rates()
	e.phase(ctx, usual, e.opts.learn, 1)
	e.before = e.phase(ctx, usual, e.opts.count, 2)
	e.during = e.phase(ctx, loaded, e.opts.count, 3)
	e.requests.Wait()
}

// rates returns the offered load by kind, in capacities, before and during the case.
func (e *experiment) rates() (usual, loaded map[string]float64) {
	usual, loaded = make(map[string]float64), make(map[string]float64)
	for _, k := range e.opts.mix.kinds {
		usual[k.name] = k.part * e.opts.usual
		loaded[k.name] = k.part * e.opts.load
		if e.opts.flood != "" {
			loaded[k.name] = usual[k.name]
		}
	}
	if e.opts.flood != "" {
		loaded[e.opts.flood] = e.opts.times
	}
	return usual, loaded
}

// phase offers requests at the rates and counts those whose intended time lies in the given time. The arrivals go on
// for the longest target time, so that the requests counted see the same load until they are answered.
func (e *experiment) phase(ctx context.Context, rates map[string]float64, d time.Duration, number uint64) *counts {
	start := e.timers.Now()
	c := newCounts(e.opts.mix.kinds, start.Add(d), d)
	tail := e.opts.mix.kinds[len(e.opts.mix.kinds)-1].rank.TargetTime()
	var generators sync.WaitGroup
	for i, k := range e.opts.mix.kinds {
		g := &generator{
			experiment: e, kind: k, counts: c, start: start, end: start.Add(d + tail),
			perSecond: rates[k.name] * e.slots() / k.service.Seconds(),
			random:    newRandom(e.opts.seed, number<<8|uint64(i)), done: &generators,
		}
		generators.Add(1)
		go g.run(ctx)
	}
	generators.Wait()
	return c
}
