package main

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"cicadacross"
)

func newRandom(seed, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }

// generator sends the requests of one route as an open-loop Poisson load: send times do not depend on responses.
type generator struct {
	experiment *experiment
	route      routeLoad
	counts     *counts
	start, end time.Time
	perSecond  float64
	random     *rand.Rand
	done       *sync.WaitGroup
}

func (g *generator) run(ctx context.Context) {
	defer g.done.Done()
	if g.perSecond <= 0 {
		return
	}
	timers := g.experiment.timers
	intended := g.start
	for ctx.Err() == nil {
		intended = intended.Add(time.Duration(g.random.ExpFloat64() / g.perSecond * float64(time.Second)))
		if intended.After(g.end) {
			return
		}
		if wait := intended.Sub(timers.Now()); wait > 0 {
			t := timers.After(wait)
			<-t.C()
		}
		r := &request{
			experiment: g.experiment, route: g.route, counts: g.counts, intendedSend: intended,
			serviceTime: lognormal(g.random, g.route.serviceTime), zone: zones[g.random.IntN(len(zones))],
		}
		g.experiment.requests.Add(1)
		go r.run(ctx)
	}
}

// lognormal returns a random service time with the given mean. With this sigma, about 1 in 100 service times is at
// least three times the mean.
func lognormal(random *rand.Rand, mean time.Duration) time.Duration {
	const sigma = 0.5
	return time.Duration(float64(mean) * math.Exp(sigma*random.NormFloat64()-sigma*sigma/2))
}

// request is one simulated request. It has no network or upstream: after admission it holds its slot for serviceTime.
type request struct {
	experiment   *experiment
	route        routeLoad
	counts       *counts
	intendedSend time.Time
	serviceTime  time.Duration
	zone         string
}

func (r *request) run(ctx context.Context) {
	e := r.experiment
	defer e.requests.Done()
	balancer := e.balancers[r.zone]
	target, _ := balancer.Pick(e.targets)
	endRequest := balancer.Begin(target.Host())
	defer endRequest()
	admission := e.admissions[target.Host()]
	defer func() { balancer.Observe(target.Host(), admission.Load()) }()

	work, cancel := context.WithCancel(ctx)
	defer cancel()
	slot, err := admission.Acquire(work, cicadacross.NewSlotRequest(cicadacross.SlotRequestOptions{
		Route: r.route.name, Rank: r.route.rank, Deadline: r.intendedSend.Add(r.route.timeout),
		Repeatable: r.route.repeatable, Cancel: cancel,
	}))
	if err != nil {
		r.counts.refused(r)
		return
	}
	defer slot.Release()
	started := e.timers.Now()
	t := e.timers.After(r.serviceTime)
	defer t.Stop()
	select {
	case <-t.C():
		r.counts.completed(r, started, e.timers.Now())
	case <-work.Done():
		r.counts.cancelled(r)
	}
}
