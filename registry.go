package cicadacross

import (
	"context"
	"time"
)

// Record is an entry of the platform's registry.
type Record struct {
	Key string
	// Value is empty when the record was removed. It must not be changed.
	Value []byte
	// Position is the position of the last change of the record.
	Position Position
	// Removed reports that the entry was removed at Position.
	Removed bool
}

// Changes is a set of changed records, complete up to a position. All its positions are in one era.
type Changes struct {
	Records []Record
	// Position is the position of the registry up to which the set is complete.
	Position Position
}

// InEra returns the changes with all positions in the era.
func (c Changes) InEra(era uint64) Changes {
	records := make([]Record, len(c.Records))
	for i, record := range c.Records {
		record.Position = NewPosition(era, record.Position.Revision())
		records[i] = record
	}
	return Changes{Records: records, Position: NewPosition(era, c.Position.Revision())}
}

// Registry reads the records that operators and upstreams publish in the platform's registry. Positions order
// all changes. A position with era 0 in a response means that the registry has no eras or that its era is unknown.
// Implementations are safe for concurrent use.
type Registry interface {
	// List returns all current records.
	List(ctx context.Context) (Changes, error)
	// Watch waits for changes after a position, at most for the wait of the options, and returns them, which may be none.
	// When the registry has begun another era, the changes are those after the revision in that era, which the caller
	// must not combine with what it has.
	// The error satisfies RequiresListing when the changes can't be obtained by the same call; the caller must then use
	// List.
	Watch(ctx context.Context, opts WatchOptions) (Changes, error)
	// Ping checks that the registry answers, with the cheapest request that it offers, and returns a recent position.
	Ping(ctx context.Context) (Position, error)
	// Position returns the current position. It may cost more than Ping.
	Position(ctx context.Context) (Position, error)
	// RequiresListing reports whether an error of Watch means that the same call would fail again: the registry has
	// discarded the requested changes, or their response is too large or can't be read.
	RequiresListing(err error) bool
}

// WatchOptions configures Registry.Watch.
type WatchOptions struct {
	// After is the position up to which the caller has all changes.
	After Position
	// Wait is the maximum time to wait for a change; 0 means to return immediately.
	Wait time.Duration
	// OnResponse is called when the response begins to arrive; it may be nil.
	OnResponse func()
}

// InstanceState is the state that an upstream registered for itself.
type InstanceState int

// The states of an instance. An instance in the zero state receives no requests.
const (
	InstanceUnknown InstanceState = iota
	InstanceReady
	InstanceDraining
)

// Instance is an upstream as it registered itself.
type Instance struct {
	// ID identifies the incarnation of the upstream.
	ID      string
	Service string
	// Address is the address of the upstream, as IP:port; the daemon on its host has the same IP.
	Address          string
	AvailabilityZone string
	State            InstanceState
	// Slots is the number of requests that the upstream runs concurrently.
	Slots int
	// Generation orders the starts of an upstream under one ID; the later start has the greater number. 0
	// means unknown.
	Generation int64
	// Sequence orders the states that the upstream has written since its start; the later state has the greater number.
	Sequence int64
	// WarmupRemaining is the time for which the upstream is still slow after its start, counted from its report.
	WarmupRemaining time.Duration
}

// RoutingOptions is the part of a configuration that operators publish and instances don't report.
type RoutingOptions struct {
	// Number is the version number; a greater number is a newer version.
	Number uint64
	Routes []Route
	Limits CallerLimits
	// Services maps the name of each service to its options.
	Services map[string]ServiceOptions
	// Deviations lists the parts that are not used as published.
	Deviations []Deviation
}

// Deviation is a part of the published routing that can't be used as it is.
type Deviation struct {
	// Route is the name of the route, or "" for a part that belongs to none.
	Route string
	// Text says what is wrong and what is done instead.
	Text string
}

// ServiceOptions describes a service.
type ServiceOptions struct {
	// HealthPath is the path of the health check of its upstreams.
	HealthPath string
	// Connections is the number of connections that each of its upstreams accepts.
	Connections int
	// WarmupTime is how long an upstream warms up after its start, and WarmupRate the requests per second that it
	// tolerates until then; 0 means that they are unknown.
	WarmupTime time.Duration
	WarmupRate float64
}

// RegistryFormat decodes the records of a registry. Implementations are safe for concurrent use.
type RegistryFormat interface {
	// RoutingKey returns the key of the routing record.
	RoutingKey() string
	// InstancePrefix returns the key prefix of the instance records.
	InstancePrefix() string
	// Routing decodes the routing record.
	Routing(value []byte) (RoutingOptions, error)
	// Instance decodes an instance record.
	Instance(record Record) (Instance, error)
	// EvacuationPrefix returns the key prefix of the evacuation records. An availability zone is evacuated as long as its
	// record exists, whatever its value is.
	EvacuationPrefix() string
	// EvacuatedZone returns the availability zone that the key of an evacuation record names.
	EvacuatedZone(key string) (string, error)
}
