package cicadacross

import "time"

// TargetOptions holds the fields of a target as defined in the register. Addresses are IP:port.
type TargetOptions struct {
	Name             string
	Service          string
	Host             string
	Region           string
	AvailabilityZone string
	Upstream         string
	Peer             string
	Caller           string
	Operator         string
	Slots            int
	Connections      int
	// WarmupEnd is the time from which a target that was just started runs at full speed; the zero time means that it
	// already does.
	WarmupEnd time.Time
	// WarmupTime is how long an upstream of the service warms up after its start, and WarmupRate the requests per second
	// that it tolerates until then; 0 means that they are unknown.
	WarmupTime time.Duration
	WarmupRate float64
	// HealthPath is the path of the health endpoint of the service; "" means that it is unknown.
	HealthPath string
}

// Target is one upstream of a service together with the daemon on its host.
type Target struct {
	opts TargetOptions
}

// NewTarget returns a target. It doesn't validate the fields; package register does.
func NewTarget(opts TargetOptions) Target { return Target{opts: opts} }

// Name returns the name of the target, unique within its service.
func (t Target) Name() string { return t.opts.Name }

// Service returns the name of the service that the target belongs to.
func (t Target) Service() string { return t.opts.Service }

// Host returns the name of the host, unique within the register.
func (t Target) Host() string { return t.opts.Host }

// Region returns the region of the host.
func (t Target) Region() string { return t.opts.Region }

// AvailabilityZone returns the availability zone of the host.
func (t Target) AvailabilityZone() string { return t.opts.AvailabilityZone }

// Upstream returns the address of the upstream, as IP:port.
func (t Target) Upstream() string { return t.opts.Upstream }

// Peer returns the address at which the daemon of the host serves other daemons, as IP:port.
func (t Target) Peer() string { return t.opts.Peer }

// Caller returns the address at which the daemon of the host serves callers, as IP:port.
func (t Target) Caller() string { return t.opts.Caller }

// Operator returns the address at which the daemon of the host serves operators, as IP:port.
func (t Target) Operator() string { return t.opts.Operator }

// Slots returns the number of requests that the upstream runs concurrently, at least 1.
func (t Target) Slots() int { return t.opts.Slots }

// Connections returns the number of connections that the upstream accepts, at least 1.
func (t Target) Connections() int { return t.opts.Connections }

// WarmupEnd returns the time from which the target runs at full speed, or the zero time when it already does.
func (t Target) WarmupEnd() time.Time { return t.opts.WarmupEnd }

// WarmupTime returns how long an upstream of the service warms up after its start; 0 means unknown.
func (t Target) WarmupTime() time.Duration { return t.opts.WarmupTime }

// WarmupRate returns the requests per second that the target tolerates while it warms up; 0 means no limit.
func (t Target) WarmupRate() float64 { return t.opts.WarmupRate }

// HealthPath returns the path of the health endpoint of the service, or "" when it is unknown.
func (t Target) HealthPath() string { return t.opts.HealthPath }
