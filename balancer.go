package cicadacross

import "time"

// Balancer selects the target of a request among the targets of a service. Implementations are safe for concurrent use.
type Balancer interface {
	// Pick returns one of the candidates, or false when there are none. The caller passes only targets that are alive,
	// part of the configuration and not leaving.
	Pick(candidates []Target) (Target, bool)
	// Begin counts a request that this daemon sends to the host as in progress until the returned function is called.
	Begin(host string) (end func())
	// Observe records the load that the daemon on the host reported.
	Observe(host string, load Load)
}

// BalancerOptions configures a balancer.
type BalancerOptions struct {
	// AvailabilityZone is the availability zone of this daemon.
	AvailabilityZone string
	Timers           Timers
	// Host is the host of this daemon; "" means that it has no target.
	Host string
	// OwnLoad returns the current load of the target on this host, with the estimated times for a request of the route.
	// If it is nil, the balancer knows that load only from reports, as for any other target.
	OwnLoad func(route string) Load
	// TransferDelay is the delay that is accepted to keep a megabyte of a request or its response within its availability
	// zone.
	TransferDelay time.Duration
}

// PlacementReason is the reason for which a Placer selected a target.
type PlacementReason string

// The reasons for a placement.
const (
	// PlacementOwnHost means that the target on the host of this daemon meets the target time.
	PlacementOwnHost PlacementReason = "own_host"
	// PlacementHome means that the request stays within its availability zone.
	PlacementHome PlacementReason = "balancer"
	// PlacementSpillover means that the request belongs to the share that leaves the availability zone.
	PlacementSpillover PlacementReason = "spillover"
	// PlacementProbe means that the request obtains a report of another availability zone that sent no recent one.
	PlacementProbe PlacementReason = "probe"
	// PlacementRefused means that targets of the availability zone refused the request, and only another one is expected
	// to answer it in time.
	PlacementRefused PlacementReason = "refused"
	// PlacementNoHome means that the availability zone has no candidate.
	PlacementNoHome PlacementReason = "no_home"
)

// PlacementRequest holds the properties of a request by which a Placer selects a target.
type PlacementRequest struct {
	// Route is the name of the route.
	Route string
	// LargeTransfer reports whether the request or its response has a large body, which should stay within the
	// availability zone.
	LargeTransfer bool
	// TargetTime is the response time up to which the response has its full worth.
	TargetTime time.Duration
	// Partial reports whether the candidates lack targets that would serve other requests of the route, since they were
	// already asked or are probably unavailable.
	Partial bool
	// Size is the mean size of a request of the route with its response, in bytes.
	Size int64
}

// Placer selects a target by the properties of the request and the estimated response times of the targets.
// Implementations are safe for concurrent use.
type Placer interface {
	// Place returns one of the candidates, or false when there are none.
	Place(request PlacementRequest, candidates []Target) (Target, bool)
	// Explain is like Place and also returns the reason; without candidates, the reason is empty.
	Explain(request PlacementRequest, candidates []Target) (Target, PlacementReason)
	// PlacementCount returns how often a target was selected for the reason.
	PlacementCount(reason PlacementReason) int
	// ObserveReply records the load that the daemon on the host sent with its reply to a request of the route.
	ObserveReply(host, route string, load Load)
	// RecordResult records whether one call of the host's upstream was answered (true) or was rejected or failed (false).
	RecordResult(host string, answered bool)
}
