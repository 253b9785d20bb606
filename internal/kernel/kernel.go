// Package kernel holds registries of factories, by which settings select the implementations of the root package's
// interfaces by name.
package kernel

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"sync"

	"cicadacross"
)

// AdmissionFactory builds an admission policy for one target.
type AdmissionFactory func(cicadacross.AdmissionOptions) cicadacross.Admission

// BalancerFactory builds a balancer.
type BalancerFactory func(cicadacross.BalancerOptions) cicadacross.Balancer

// SourceFactory builds a source that reads the platform's key-value service at the address, as IP:port.
type SourceFactory func(address string) (cicadacross.Source, error)

// RegistryFactory builds a client of the platform's registry at the address, as IP:port. The client connects from the
// local address unless it is the zero Addr.
type RegistryFactory func(address string, local netip.Addr) (cicadacross.Registry, error)

// FormatFactory builds the decoder of the registry's records.
type FormatFactory func() cicadacross.RegistryFormat

// DialectFactory builds a dialect.
type DialectFactory func() cicadacross.Dialect

// The registries, one for each interface. Implementations add themselves in their init functions.
var (
	Admissions = NewRegistry[AdmissionFactory]("admission policy")
	Balancers  = NewRegistry[BalancerFactory]("balancer")
	Sources    = NewRegistry[SourceFactory]("source")
	Registries = NewRegistry[RegistryFactory]("platform registry")
	Formats    = NewRegistry[FormatFactory]("registry format")
	Dialects   = NewRegistry[DialectFactory]("dialect")
)

// Registry maps names to factories of one kind. It is safe for concurrent use.
type Registry[F any] struct {
	entryType string
	mu        sync.Mutex
	factories map[string]F
}

// NewRegistry returns an empty registry. The entry type describes its entries in error messages, for example
// "balancer".
func NewRegistry[F any](entryType string) *Registry[F] {
	return &Registry[F]{entryType: entryType, factories: make(map[string]F)}
}

// Register adds a factory under the name. It panics when the name is taken, since that is a programming error.
func (r *Registry[F]) Register(name string, factory F) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, taken := r.factories[name]; taken {
		panic(fmt.Sprintf("kernel: %s %q registered twice", r.entryType, name))
	}
	r.factories[name] = factory
}

// Lookup returns the factory with the name. The kind of the error is KindUnknownName; its text lists the registered
// names.
func (r *Registry[F]) Lookup(name string) (F, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	factory, ok := r.factories[name]
	if !ok {
		names := slices.Sorted(maps.Keys(r.factories))
		return factory, newError("lookup", KindUnknownName, "unknown %s %q; known: %v", r.entryType, name, names)
	}
	return factory, nil
}
