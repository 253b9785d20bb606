// Package balance implements the policies that select among the targets of a service: "least" (the default), "swift",
// and the baseline "roundrobin".
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

// RoundRobin is the baseline policy that returns the candidates in turn. The zero value is ready for use. It is safe
// for concurrent use.
type RoundRobin struct {
	next atomic.Uint64
}

var _ cicadacross.Balancer = (*RoundRobin)(nil)

// Pick returns the next candidate, or false when there are none.
func (r *RoundRobin) Pick(candidates []cicadacross.Target) (cicadacross.Target, bool) {
	if len(candidates) == 0 {
		return cicadacross.Target{}, false
	}
	index := r.next.Add(1) - 1
	return candidates[index%uint64(len(candidates))], true
}

// Begin does nothing, since the policy doesn't depend on load.
func (r *RoundRobin) Begin(string) (end func()) { return func() {} }

// Observe does nothing, since the policy doesn't depend on load.
func (r *RoundRobin) Observe(string, cicadacross.Load) {}

// callOnce returns a function that calls f on its first call and does nothing on further ones.
func callOnce(f func()) func() {
	var o sync.Once
	return func() { o.Do(f) }
}
