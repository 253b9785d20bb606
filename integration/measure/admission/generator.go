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

// generator offers the requests of one kind at times that don't depend on the answers.
type generator struct {
	experiment *experiment
	kind       kind
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
			experiment: g.experiment, kind: g.kind, counts: g.counts, intended: intended,
			service: lognormal(g.random, g.kind.service), zone: zones[g.random.IntN(len(zones))],
		}
		g.experiment.requests.Add(1)
		go r.run(ctx)
	}
}

// lognormal returns a service time with the mean; the spread lets 1 in 100 take three times as long.
func lognormal(random *rand.Rand, mean time.Duration) time.Duration {
	const sigma = 0.5
	return time.Duration(float64(mean) * math.Exp(sigma*random.NormFloat64()-sigma*sigma/2))
}

// request is one request from its intended send time to its end.
type request struct {
	experiment *experiment
	kind       kind
	counts     *counts
	intended   time.Time
	service    time.Duration
	zone       string
}

func (r *request) run(ctx context.Context) {
	e := r.experiment
	defer e.requests.Done()
	balancer := e.balancers[r.zone]
	target, _ := balancer.Pick(e.targets)
	end := balancer.Begin(target.Host())
	defer end()
	admission := e.admissions[target.Host()]
	defer func() { balancer.Observe(target.Host(), admission.Load()) }()

	work, cancel := context.WithCancel(ctx)
	defer cancel()
	slot, err := admission.Acquire(work, cicadacross.NewSlotRequest(cicadacross.SlotRequestOptions{
		Route: r.kind.name, Rank: r.kind.rank, Deadline: r.intended.Add(r.kind.timeout), Repeatable: r.kind.repeatable,
		Cancel: cancel,
	}))
	if err != nil {
		r.counts.refused(r)
		return
	}
	defer slot.Release()
	started := e.timers.Now()
	t := e.timers.After(r.service)
	defer t.Stop()
	select {
	case <-t.C():
		r.counts.ended(r, started, e.timers.Now())
	case <-work.Done():
		r.counts.cancelled(r)
	}
}
