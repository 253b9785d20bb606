// Package cicadacross holds the value types and the interfaces of cicadacross, a configuration distribution system for
// a service mesh. Implementations live under internal and register themselves with the kernel.
//
// All value types are immutable after construction and safe for concurrent use.
package cicadacross
