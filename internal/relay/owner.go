// Package relay forwards a caller's request from the daemon that received it (the ingress daemon) to the daemon on the
// target's host (the owner), which runs it on its upstream.
package relay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"cicadacross"
	"cicadacross/internal/admission"
	"cicadacross/internal/drain"
	"cicadacross/internal/peerpb"
	"cicadacross/internal/quota"
	"cicadacross/internal/upstream"
)

// OwnerOptions configures an Owner.
type OwnerOptions struct {
	// Host is the name of this host.
	Host          string
	Configuration func() *cicadacross.Configuration
	// AvailabilityZone is the zone of this host, which applies while its target isn't part of the configuration.
	AvailabilityZone string
	// IsLeaving reports whether a host accepts no new requests; nil means that only the configuration decides.
	IsLeaving func(host string) bool
	// Settled reports whether the daemon's knowledge of the configuration is recent enough to run requests with keys;
	// nil means always.
	Settled func() bool
	// KeyOwner returns the target that owns a key of the service.
	KeyOwner  func(service *cicadacross.Service, key string) (cicadacross.Target, bool)
	Admission cicadacross.Admission
	// Bodies schedules the bodies that other daemons send only when the call begins; nil means that they may be sent
	// immediately.
	Bodies cicadacross.BodyScheduler
	// KeyStore may be nil; requests that must not repeat then need no key, and a caller doesn't retry them by itself.
	KeyStore   cicadacross.IdempotencyStore
	Quarantine cicadacross.Quarantine
	// DrainLimit limits the time of requests once the daemon stops; nil means no limit.
	DrainLimit *drain.Limit
	// UpstreamDrain is how long the upstream serves after it has reported that it leaves; 0 means unknown, so that
	// requests which wait for it then are not limited.
	UpstreamDrain time.Duration
	// Quota limits the memory that is used for requests; nil means no limit.
	Quota *quota.Account
	// ArrivingShare is the share of the slots for requests whose body is still arriving from the caller, at least one
	// slot; 0 means a half. It applies with a dialect.
	ArrivingShare float64
	Upstream      *upstream.Upstream
	Timers        cicadacross.Timers
	Decisions     cicadacross.DecisionRecorder
	PauseDetector *PauseDetector
	// Dialect sets the headers of calls and interprets those of responses; nil means the X-Mesh headers. With a
	// dialect, the upstream itself verifies that it is the target.
	Dialect cicadacross.Dialect
	// CallGuard refuses requests whose upstream would find no room for its calls; nil means none.
	CallGuard *admission.CallGuard
	// Classify classifies the errors of KeyStore, Quarantine and Admission; when it is nil or returns false, the worst
	// case of the stage is assumed.
	Classify func(stage Stage, err error) (Classification, bool)
}

// Owner runs the requests for the target of this host. It is safe for concurrent use.
type Owner struct {
	peerpb.UnimplementedRelayServer
	opts OwnerOptions

	callDetector UpstreamCallDetector
	// serviceTimes holds the times from the call of the upstream to the end of its response.
	serviceTimes drain.ServiceTimes
	// running is the number of calls of the upstream in progress, repeated that of the repeated ones among them.
	running, repeated atomic.Int64
	// departure is replaced when another target serves on this host.
	departure atomic.Pointer[departure]

	mu              sync.Mutex
	draining        bool // set by Drain
	inProgress      int
	arriving        int           // requests that use a slot while their body arrives from the caller
	arrivingRefused int           // such requests that were refused because others used too many slots
	drained         chan struct{} // closed when draining is set and inProgress is 0
}

// NewOwner returns an owner. Register it with a grpc server, and pass it to the Client of the same daemon.
func NewOwner(opts OwnerOptions) *Owner {
	o := &Owner{opts: opts, drained: make(chan struct{})}
	o.departure.Store(o.newDeparture())
	return o
}

// session is the owner side of the stream of one request: a grpc stream or its in-process counterpart.
type session interface {
	Context() context.Context
	Recv() (*peerpb.ForwardRequest, error)
	Send(*peerpb.ForwardReply) error
}

// Forward serves one request from another daemon.
func (o *Owner) Forward(stream grpc.BidiStreamingServer[peerpb.ForwardRequest, peerpb.ForwardReply]) error {
	return o.serve(stream)
}

func (o *Owner) serve(s session) error {
	first, err := s.Recv()
	if err != nil {
		return err
	}
	head := first.GetHead()
	if head == nil {
		return status.Error(codes.InvalidArgument, "the first message is not a head")
	}
	r := newExecution(o, s, head)
	if head.GetHost() == "" {
		// A head without a host is a probe of the connection.
		return r.send(&peerpb.ForwardReply{Message: &peerpb.ForwardReply_Refusal{
			Refusal: refusal(RefusalBadHead, "no host"),
		}})
	}
	hold := o.opts.Quota.Open(quota.HoldOptions{Use: quota.UseFrame})
	defer hold.Close()
	if err := hold.Grow(r.headSize()); err != nil {
		return r.refuseBeforeKeyLookup(refusal(RefusalShed, err.Error()))
	}
	if !o.beginRequest() {
		return r.refuseBeforeKeyLookup(refusal(RefusalDraining, "the daemon is stopping"))
	}
	defer o.endRequest()
	return r.serve()
}

// Drain refuses new requests and waits until none is in progress, or until ctx ends.
func (o *Owner) Drain(ctx context.Context) error {
	o.mu.Lock()
	if !o.draining {
		o.draining = true
		if o.inProgress == 0 {
			close(o.drained)
		}
	}
	o.mu.Unlock()
	select {
	case <-o.drained:
		return nil
	case <-ctx.Done():
		return wrapError("drain", KindEnded, ctx.Err(), "requests are still in progress")
	}
}

// InProgress returns the number of requests that the owner holds, including queued ones.
func (o *Owner) InProgress() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.inProgress
}

func (o *Owner) beginRequest() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.draining {
		return false
	}
	o.inProgress++
	return true
}

func (o *Owner) endRequest() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.inProgress--
	if o.draining && o.inProgress == 0 {
		close(o.drained)
	}
}

// drainCalled reports whether Drain was called, which happens when the daemon stops.
func (o *Owner) drainCalled() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.draining
}

// RefusesNewRequests reports whether the target of this host accepts no new requests: because Drain was called, the
// upstream reports that it is draining, or OwnerOptions.IsLeaving or the configuration says that the host is leaving.
func (o *Owner) RefusesNewRequests() bool {
	if o.drainCalled() || o.opts.Upstream.State().Draining {
		return true
	}
	if o.opts.IsLeaving != nil && o.opts.IsLeaving(o.opts.Host) {
		return true
	}
	c := o.opts.Configuration()
	return c != nil && c.Leaving(o.opts.Host)
}

// isEvacuated reports whether the availability zone of the target of this host is evacuated.
func (o *Owner) isEvacuated() bool {
	c := o.opts.Configuration()
	if c == nil {
		return false
	}
	if target, ok := c.TargetOn(o.opts.Host); ok {
		return c.IsEvacuated(target.AvailabilityZone())
	}
	return c.IsEvacuated(o.opts.AvailabilityZone)
}

// load returns the load of the target for the final message of a request.
func (o *Owner) load(route string) *peerpb.Load {
	l := o.opts.Admission.Load()
	if e, ok := o.opts.Admission.(cicadacross.Estimator); ok {
		l = e.Estimate(route)
	}
	if o.opts.Upstream.State().Unhealthy {
		// An unhealthy upstream is chosen less often and never excluded, since health endpoints lag and can be wrong.
		l.Queued += l.Slots
	}
	if o.opts.Bodies != nil {
		l.LinkWait = o.opts.Bodies.EstimateWait()
	}
	return &peerpb.Load{
		InProgress: uint32(l.InProgress), // #nosec G115 -- counts are small
		Queued:     uint32(l.Queued),     // #nosec G115
		Slots:      uint32(l.Slots),      // #nosec G115
		Draining:   l.Draining || o.RefusesNewRequests() || o.isEvacuated(),

		UpstreamCall: o.callDetector.IsUpstreamCall(route),

		WaitMs: uint32(min(max(l.QueueWait, 0), maxReportedTime).Milliseconds()),   // #nosec G115 -- bounded
		WorkMs: uint32(min(max(l.ServiceTime, 0), maxReportedTime).Milliseconds()), // #nosec G115 -- bounded

		WarmupMs:   uint32(min(max(l.WarmupRemaining, 0), maxReportedTime).Milliseconds()), // #nosec G115 -- bounded
		WarmupRoom: uint32(max(l.WarmupRoom, 0)),                                           // #nosec G115 -- counts are small
		LinkWaitMs: uint32(min(max(l.LinkWait, 0), maxReportedTime).Milliseconds()),        // #nosec G115 -- bounded
	}
}

// maxReportedTime limits the estimated times that an owner reports.
const maxReportedTime = time.Minute

// DecodeLoad returns the load of a message between daemons.
func DecodeLoad(l *peerpb.Load) cicadacross.Load {
	return cicadacross.Load{
		InProgress: int(l.GetInProgress()), Queued: int(l.GetQueued()), Slots: int(l.GetSlots()), Draining: l.GetDraining(),
		QueueWait:   time.Duration(l.GetWaitMs()) * time.Millisecond,
		ServiceTime: time.Duration(l.GetWorkMs()) * time.Millisecond,

		WarmupRemaining: time.Duration(l.GetWarmupMs()) * time.Millisecond,
		WarmupRoom:      int(l.GetWarmupRoom()),
		LinkWait:        time.Duration(l.GetLinkWaitMs()) * time.Millisecond,
	}
}
