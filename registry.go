package cicadacross

import (
	"context"
	"time"
)

// Record is one entry of the platform's registry.
type Record struct {
	Key string
	// Value is empty when the record is removed. It must not be changed.
	Value []byte
	// Revision is the revision of the last change of the record.
	Revision Revision
	// Removed says that the entry is gone since Revision.
	Removed bool
}

// Changes is a set of records that is complete up to a revision.
type Changes struct {
	Records []Record
	// Revision is the revision of the registry up to which nothing is missing.
	Revision Revision
}

// Registry reads the records that operators and upstreams publish. Revisions order all changes. Implementations are
// safe for concurrent use.
type Registry interface {
	// List returns all present records.
	List(ctx context.Context) (Changes, error)
	// Watch waits until a record has changed after the revision, or until the wait ends, and returns the changes, which
	// may be none. The error satisfies IsHistoryLost when the changes can't be told any more, and List must be used.
	Watch(ctx context.Context, opts WatchOptions) (Changes, error)
	// Ping asks for no records, as cheaply as the registry allows, and returns a revision that it had lately.
	Ping(ctx context.Context) (Revision, error)
	// IsHistoryLost reports whether the error of Watch means that changes were forgotten.
	IsHistoryLost(err error) bool
}

// WatchOptions says what to watch for.
type WatchOptions struct {
	// After is the revision up to which all changes are known.
	After Revision
	// Wait is the longest time to wait for a change; 0 asks for an answer at once.
	Wait time.Duration
	// OnAnswer is called when the answer begins to arrive; it may be nil.
	OnAnswer func()
}

// InstanceState is what an upstream says about the work that it takes.
type InstanceState int

// The states of an instance. The zero value takes no work.
const (
	InstanceUnknown InstanceState = iota
	InstanceReady
	InstanceDraining
)

// Instance is one upstream as it registered itself.
type Instance struct {
	// ID names the incarnation of the upstream.
	ID      string
	Service string
	// Address is where the upstream listens, as IP:port; the daemon on its host has the same IP.
	Address          string
	AvailabilityZone string
	State            InstanceState
	// Slots is how many requests the upstream runs at once.
	Slots int
	// Born orders two starts under one ID.
	Born int64
	// ColdFor is how much longer the upstream is slow after its start, counted from the time of the report.
	ColdFor time.Duration
}

// RoutingOptions is the published part of a configuration that instances don't tell.
type RoutingOptions struct {
	// Number orders the versions.
	Number uint64
	Routes []Route
	Limits CallerLimits
	// Services lists the services with the number of connections that each of their upstreams accepts.
	Services map[string]ServiceOptions
}

// ServiceOptions describes a service.
type ServiceOptions struct {
	HealthPath  string
	Connections int
}

// RegistryFormat decodes records. Implementations are safe for concurrent use.
type RegistryFormat interface {
	// RoutingKey is the key of the routing record.
	RoutingKey() string
	// InstancePrefix is the prefix of the keys of instances.
	InstancePrefix() string
	// Routing decodes the routing record.
	Routing(value []byte) (RoutingOptions, error)
	// Instance decodes an instance.
	Instance(record Record) (Instance, error)
}
