package cicadacross

import (
	"context"
	"time"
)

// Load is what the owner of a target reports about it.
type Load struct {
	// InProgress counts the requests that hold a slot.
	InProgress int
	// Queued counts the requests that wait for a slot.
	Queued int
	// Slots counts the slots of the target.
	Slots int
	// Draining reports that the target takes no new work.
	Draining bool
	// Wait estimates how long a new request waits for a slot.
	Wait time.Duration
	// Work estimates how long the target takes for a request of the kind; 0 means unknown.
	Work time.Duration
}

// Estimator is an admission policy that estimates times.
type Estimator interface {
	// Estimate returns the present load with the times for a new request of the kind.
	Estimate(kind string) Load
}

// WorkOptions lists what admission knows of a request.
type WorkOptions struct {
	RequestID string
	// Kind is the name of the route.
	Kind       string
	Rank       Rank
	Deadline   time.Time
	Repeatable bool
	// OnTimeOnly asks for a refusal when the answer would be late.
	OnTimeOnly bool
	// OnAccepted is called once unless the request is refused at once: before its wait, or with its slot; it may be nil.
	OnAccepted func()
	// Cancel ends the request while it is in progress, so that more urgent work gets its slot; nil when it can't be ended.
	Cancel func()
}

// Work is one request that asks for a slot.
type Work struct {
	opts WorkOptions
}

// NewWork returns a request for a slot.
func NewWork(opts WorkOptions) Work { return Work{opts: opts} }

// RequestID returns the identity of the request, for logs.
func (w Work) RequestID() string { return w.opts.RequestID }

// Kind returns the name of the route.
func (w Work) Kind() string { return w.opts.Kind }

// Rank returns the rank of the request.
func (w Work) Rank() Rank { return w.opts.Rank }

// Deadline returns the time at which the answer is of no more use.
func (w Work) Deadline() time.Time { return w.opts.Deadline }

// Repeatable reports whether the request may run more than once.
func (w Work) Repeatable() bool { return w.opts.Repeatable }

// OnTimeOnly reports whether the request is to be refused when the answer would be late.
func (w Work) OnTimeOnly() bool { return w.opts.OnTimeOnly }

// Accepted tells that the request isn't refused at once.
func (w Work) Accepted() {
	if w.opts.OnAccepted != nil {
		w.opts.OnAccepted()
	}
}

// Cancel returns the function that ends the request while in progress, or nil.
func (w Work) Cancel() func() { return w.opts.Cancel }

// Admission owns the slots of one target. Implementations are safe for concurrent use.
type Admission interface {
	// Acquire waits for a slot. It returns an error when the request is refused or ctx ends; the request then didn't run.
	Acquire(ctx context.Context, w Work) (Slot, error)
	// Load returns the present load.
	Load() Load
	// Resize changes the number of slots; requests in progress keep theirs.
	Resize(slots int)
}

// BodyScheduler divides a link among large bodies. Implementations are safe for concurrent use.
type BodyScheduler interface {
	// Reserve takes a body of the size in bytes, below 0 when unknown, that must begin to arrive within the limit, and
	// returns how long its sender must wait. An error means that the link takes it only later.
	Reserve(size int64, limit time.Duration) (time.Duration, error)
	// Cancel gives back what was reserved for a body that doesn't arrive.
	Cancel(size int64)
	// Observe takes the time that a small message took to another daemon and back.
	Observe(delay time.Duration)
}

// Slot is the right to run one request on the target.
type Slot interface {
	// Release gives the slot back. Only the first call has an effect.
	Release()
}

// AdmissionOptions configures an admission policy.
type AdmissionOptions struct {
	Slots    int
	MaxQueue int
	Timers   Timers
	// LeastUrgent is the urgency number of the least urgent rank; 0 means unknown.
	LeastUrgent int
	// Averaging is the time over which the usual rate of a kind of work is averaged; 0 means 60 s.
	Averaging time.Duration
}
