package cicadacross

import "time"

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
	// Host is this daemon's host; "" means that no target is on it.
	Host string
	// OwnLoad returns the present load of the target on this host with the times for a request of the kind; nil means
	// that it is known from reports only.
	OwnLoad func(kind string) Load
}

// Placement is what a placer knows of a request.
type Placement struct {
	// Kind is the name of the route.
	Kind string
	// Bulky says that the request has a large body, which is better kept within the availability zone.
	Bulky bool
	// Aim is the time within which the answer has its full worth.
	Aim time.Duration
}

// Placer chooses among the targets of a service by what it knows of the request and of the times that targets take.
// Implementations are safe for concurrent use.
type Placer interface {
	// Place returns one of the candidates, or false when there are none.
	Place(request Placement, candidates []Target) (Target, bool)
	// Report takes the load that the owner of the host told with the answer to a request of the kind.
	Report(host, kind string, load Load)
	// Judge counts one call of the host's upstream that was answered, or that was rejected or failed.
	Judge(host string, answered bool)
}
