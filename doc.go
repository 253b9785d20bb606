// Package cicadacross defines the value types and interfaces of cicadacross, a configuration distribution system for a
// service mesh. Implementations live under internal and register themselves by name in package kernel.
//
// All value types are immutable after construction and safe for concurrent use.
package cicadacross
