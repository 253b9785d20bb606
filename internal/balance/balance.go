// Package balance holds the policies that choose among the targets of a service: "least" (the default), and the
// baseline "roundrobin".
package balance

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"cicadacross"
	"cicadacross/internal/kernel"
)

func init() {
	kernel.Balancers.Register("least", func(opts cicadacross.BalancerOptions) cicadacross.Balancer {
		return NewLeast(opts, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	})
	kernel.Balancers.Register("roundrobin", func(cicadacross.BalancerOptions) cicadacross.Balancer {
		return &RoundRobin{}
	})
}

// RoundRobin is the baseline that takes the candidates in turn. The zero value is ready for use and safe for concurrent
// use.
type RoundRobin struct {
	turn atomic.Uint64
}

var _ cicadacross.Balancer = (*RoundRobin)(nil)

// Pick returns the next candidate, or false when there are none.
func (r *RoundRobin) Pick(candidates []cicadacross.Target) (cicadacross.Target, bool) {
	if len(candidates) == 0 {
		return cicadacross.Target{}, false
	}
	turn := r.turn.Add(1) - 1
	return candidates[turn%uint64(len(candidates))], true
}

// Begin does nothing: the policy looks at no load.
func (r *RoundRobin) Begin(string) (end func()) { return func() {} }

// Observe does nothing: the policy looks at no load.
func (r *RoundRobin) Observe(string, cicadacross.Load) {}

// once returns a function of which only the first call has an effect.
func once(f func()) func() {
	var o sync.Once
	return func() { o.Do(f) }
}
