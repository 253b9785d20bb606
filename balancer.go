package cicadacross

// Balancer chooses among the targets of a service. Implementations are safe for concurrent use.
type Balancer interface {
	// Pick returns one of the candidates, or false when there are none. Candidates are alive, known to the
	// configuration and not leaving.
	Pick(candidates []Target) (Target, bool)
	// Begin counts a request that this daemon sends to the host. The returned function must be called at its end.
	Begin(host string) (end func())
	// Observe takes the load that the owner of the host reported.
	Observe(host string, load Load)
}

// BalancerOptions configures a balancer.
type BalancerOptions struct {
	// AvailabilityZone is the availability zone of this daemon.
	AvailabilityZone string
	Timers           Timers
}
