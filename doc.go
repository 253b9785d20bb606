// Package cicadacross defines the value types and interfaces of cicadacross, a configuration distribution system for a
// service mesh. Implementations live under internal and register themselves by name in package kernel.
//
// A target is an upstream of a service together with the daemon on its host, the owner of the target. The daemon that
// receives a request from a caller is the ingress daemon of the request; it selects a target and forwards the request
// to the owner, which runs it on the upstream. The daemons together are the fleet.
//
// Configurations come from the platform in one of two ways. Operators publish a register of all targets and rules with
// the ranks and routes in the platform's key-value service, the source; or upstreams register themselves in the
// platform's registry, in which operators publish only the routing.
//
// All value types are immutable after construction and safe for concurrent use.
package cicadacross
