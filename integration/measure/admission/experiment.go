package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"cicadacross"
	"cicadacross/internal/kernel"
	"cicadacross/internal/timer"

	// Imported to register the admission policies and the balancers.
	_ "cicadacross/internal/admission"
	_ "cicadacross/internal/balance"
)

// zones are the availability zones over which targets and callers are spread.
var zones = []string{"a", "b", "c", "d"}

// options describes one run. The loads are multiples of the capacity of all slots; flood is the name of the route that
// floods, or "" for a load of the usual mix.
type options struct {
	name            string
	mix             mix
	policy          string
	balancer        string
	targets         int
	load            float64
	flood           string
	usualLoad       float64
	floodLoad       float64
	learnTime       time.Duration
	countTime       time.Duration
	averagingWindow time.Duration
	seed            uint64
}

// experiment is one run of one policy and one balancer.
type experiment struct {
	opts         options
	timers       cicadacross.Timers
	targets      []cicadacross.Target
	admissions   map[string]cicadacross.Admission
	balancers    map[string]cicadacross.Balancer
	requests     sync.WaitGroup
	usualCounts  *counts
	loadedCounts *counts
	done         chan struct{}
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
	routes := opts.mix.routes
	for i := range max(opts.targets, 1) {
		host := fmt.Sprintf("host-%d", i)
		e.targets = append(e.targets, cicadacross.NewTarget(cicadacross.TargetOptions{
			Name: host, Host: host, AvailabilityZone: zones[i%len(zones)], Slots: opts.mix.slots,
		}))
		e.admissions[host] = admission(cicadacross.AdmissionOptions{
			Slots: opts.mix.slots, Timers: e.timers, LeastUrgent: routes[len(routes)-1].rank.Urgency(),
			AveragingWindow: opts.averagingWindow,
		})
	}
	for _, zone := range zones {
		e.balancers[zone] = balancer(cicadacross.BalancerOptions{AvailabilityZone: zone, Timers: e.timers})
	}
	return e, nil
}

// slots returns the number of slots of all targets.
func (e *experiment) slots() float64 { return float64(e.opts.mix.slots * len(e.targets)) }

// run offers the usual load for learnTime without counting, counts it for countTime, and then counts the load or the
// flood of the case. It returns when all requests have ended.
func (e *experiment) run(ctx context.Context) {
	defer close(e.done)
	usual, loaded := e.rates()
	e.phase(ctx, usual, e.opts.learnTime, 1)
	e.usualCounts = e.phase(ctx, usual, e.opts.countTime, 2)
	e.loadedCounts = e.phase(ctx, loaded, e.opts.countTime, 3)
	e.requests.Wait()
}

// rates returns the offered loads by route, as multiples of the capacity: usual before and loaded during the case.
func (e *experiment) rates() (usual, loaded map[string]float64) {
	usual, loaded = make(map[string]float64), make(map[string]float64)
	for _, k := range e.opts.mix.routes {
		usual[k.name] = k.loadShare * e.opts.usualLoad
		loaded[k.name] = k.loadShare * e.opts.load
		if e.opts.flood != "" {
			loaded[k.name] = usual[k.name]
		}
	}
	if e.opts.flood != "" {
		loaded[e.opts.flood] = e.opts.floodLoad
	}
	return usual, loaded
}

// phase offers requests at the rates and counts those whose intended send time is within d of the start. Arrivals
// continue for the longest target time after that, so that the counted requests see the same load until they
// complete.
func (e *experiment) phase(ctx context.Context, rates map[string]float64, d time.Duration, number uint64) *counts {
	start := e.timers.Now()
	c := newCounts(e.opts.mix.routes, start.Add(d), d)
	tail := e.opts.mix.routes[len(e.opts.mix.routes)-1].rank.TargetTime()
	var generators sync.WaitGroup
	for i, k := range e.opts.mix.routes {
		g := &generator{
			experiment: e, route: k, counts: c, start: start, end: start.Add(d + tail),
			perSecond: rates[k.name] * e.slots() / k.serviceTime.Seconds(),
			random:    newRandom(e.opts.seed, number<<8|uint64(i)), done: &generators,
		}
		generators.Add(1)
		go g.run(ctx)
	}
	generators.Wait()
	return c
}
