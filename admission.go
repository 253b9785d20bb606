package cicadacross

import (
	"context"
	"time"
)

// Load is the load of a target as reported by its owner, the daemon on the same host.
type Load struct {
	// InProgress is the number of requests that hold a slot.
	InProgress int
	// Queued is the number of requests that wait for a slot.
	Queued int
	// Slots is the number of requests that the target runs concurrently.
	Slots int
	// Draining reports whether the target accepts no new requests.
	Draining bool
	// QueueWait is the estimated time that a new request waits for a slot.
	QueueWait time.Duration
	// ServiceTime is the estimated time that the target takes to run a request of the route; 0 means unknown.
	ServiceTime time.Duration
	// WarmupRemaining is the time for which the target still warms up; 0 means that it is warm.
	WarmupRemaining time.Duration
	// WarmupRoom is the number of requests that the target still accepts within the next second while it warms up.
	WarmupRoom int
	// LinkWait is the estimated wait of a large body for the network link of the host.
	LinkWait time.Duration
}

// Estimator is an admission policy that also estimates queueing and service times.
type Estimator interface {
	// Estimate returns the current load with the estimated times for a new request of the route.
	Estimate(route string) Load
}

// SlotRequestOptions holds the properties of a request that admission policies use.
type SlotRequestOptions struct {
	RequestID string
	// Route is the name of the route.
	Route      string
	Rank       Rank
	Deadline   time.Time
	Repeatable bool
	// OnTimeOnly requests a refusal when the response is not expected in time: within the target time of the rank, or
	// before the deadline when that is earlier or the rank has no target time. Policies may ignore it.
	OnTimeOnly bool
	// OnAccepted is called once, when the request is queued or gets its slot. It isn't called for a request that is
	// refused immediately. It may be nil.
	OnAccepted func()
	// Cancel ends the request while it is in progress, to free its slot for a more urgent request. It is nil when the
	// request can't be preempted.
	Cancel func()
}

// SlotRequest is a request for a slot of a target.
type SlotRequest struct {
	opts SlotRequestOptions
}

// NewSlotRequest returns a request for a slot.
func NewSlotRequest(opts SlotRequestOptions) SlotRequest { return SlotRequest{opts: opts} }

// RequestID returns the ID that identifies the request in logs.
func (r SlotRequest) RequestID() string { return r.opts.RequestID }

// Route returns the name of the route.
func (r SlotRequest) Route() string { return r.opts.Route }

// Rank returns the rank of the request.
func (r SlotRequest) Rank() Rank { return r.opts.Rank }

// Deadline returns the time after which the caller no longer needs the response.
func (r SlotRequest) Deadline() time.Time { return r.opts.Deadline }

// Repeatable reports whether the request may run more than once.
func (r SlotRequest) Repeatable() bool { return r.opts.Repeatable }

// OnTimeOnly reports whether the request must be refused when the response is not expected within the target time of
// the rank, or before the deadline when that is earlier or the rank has no target time. Policies may ignore it.
func (r SlotRequest) OnTimeOnly() bool { return r.opts.OnTimeOnly }

// NotifyAccepted calls OnAccepted, if set. Admission policies call it when the request is queued or gets its slot.
func (r SlotRequest) NotifyAccepted() {
	if r.opts.OnAccepted != nil {
		r.opts.OnAccepted()
	}
}

// Cancel returns the function that preempts the request while it is in progress, or nil when it can't be preempted.
func (r SlotRequest) Cancel() func() { return r.opts.Cancel }

// Admission allocates the slots of one target to requests. Implementations are safe for concurrent use.
type Admission interface {
	// Acquire waits for a slot. It returns an error when the request is refused or ctx ends; the request must not run
	// then.
	Acquire(ctx context.Context, request SlotRequest) (Slot, error)
	// Load returns the current load.
	Load() Load
	// Resize changes the number of slots; requests in progress keep theirs.
	Resize(slots int)
}

// BodyScheduler schedules large request bodies on a shared network link. Implementations are safe for concurrent use.
type BodyScheduler interface {
	// Reserve reserves link time for a body and returns how long its sender must wait before sending. The size is in
	// bytes; a negative size means that it is unknown. Reserve returns an error when the wait would exceed the limit.
	Reserve(size int64, limit time.Duration) (time.Duration, error)
	// Cancel releases the reservation of a body that is not sent.
	Cancel(size int64)
	// ObserveRTT records the round-trip time of a small message to another daemon.
	ObserveRTT(rtt time.Duration)
}

// Slot is the permission to run one request on the target.
type Slot interface {
	// Release returns the slot after the target answered the request, which measures the service time. Only the first
	// call of Release or Abandon has an effect.
	Release()
	// Abandon returns the slot of a request that the target did not answer: it rejected it, failed it, or never received
	// it. The time until then says nothing about the service time, unless it exceeds the average.
	Abandon()
}

// AdmissionOptions configures an admission policy.
type AdmissionOptions struct {
	Slots    int
	MaxQueue int
	Timers   Timers
	// LeastUrgent is the urgency number of the least urgent rank; 0 means unknown.
	LeastUrgent int
	// AveragingWindow is the time over which the request rate of a route is averaged; 0 means 60 s.
	AveragingWindow time.Duration
	// WarmupOvershoot and WarmupSlack define the most requests that a target accepts in any second while it warms up: its
	// rate times WarmupOvershoot plus WarmupSlack.
	WarmupOvershoot float64
	WarmupSlack     float64
}
