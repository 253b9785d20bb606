// Package relay carries a caller's request from the daemon that took it to the daemon that owns the target, which runs
// it on its upstream.
package relay

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"cicadacross"
	"cicadacross/internal/peerpb"
	"cicadacross/internal/upstream"
)

// OwnerOptions configures the side of the relay that runs requests.
type OwnerOptions struct {
	// Host is the name of this host.
	Host          string
	Configuration func() *cicadacross.Configuration
	// Leaving reports whether a host takes no new work; nil means that only the configuration says so.
	Leaving func(host string) bool
	// Settled reports whether the daemon's evidence is recent enough for keyed requests; nil means always.
	Settled func() bool
	// KeyOwner returns the target that owns a key of the service.
	KeyOwner  func(service *cicadacross.Service, key string) (cicadacross.Target, bool)
	Admission cicadacross.Admission
	// Bodies schedules the bodies that other daemons hold back; nil means that they may come at once.
	Bodies cicadacross.BodyScheduler
	// Keys may be nil; requests that must not repeat need no key then, and a caller doesn't send them again by itself.
	Keys       cicadacross.IdempotencyStore
	Quarantine cicadacross.Quarantine
	Upstream   *upstream.Upstream
	Timers     cicadacross.Timers
	Decisions  cicadacross.DecisionRecorder
	Pause      *PauseDetector
	// Dialect marks the calls and reads the answers; nil means the product's own headers. With a dialect the upstream
	// verifies itself that it is the target.
	Dialect cicadacross.Dialect
	// Classify explains the errors of keys, quarantine and admission; nil or false means the worst case of the stage.
	Classify func(stage Stage, err error) (Classification, bool)
}

// Owner runs the requests for the target of this host. It is safe for concurrent use.
type Owner struct {
	peerpb.UnimplementedRelayServer
	opts OwnerOptions

	origins Origins

	mu         sync.Mutex
	draining   bool
	inProgress int
	idle       chan struct{} // closed when draining and nothing is in progress
}

// NewOwner returns an owner. Register it with a grpc server and give it to the Client of the same daemon.
func NewOwner(opts OwnerOptions) *Owner {
	return &Owner{opts: opts, idle: make(chan struct{})}
}

// session is one request as the owner sees it: a grpc stream or its in-process counterpart.
type session interface {
	Context() context.Context
	Recv() (*peerpb.ForwardRequest, error)
	Send(*peerpb.ForwardReply) error
}

// Forward serves one request of another daemon.
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
	r := newRun(o, s, head)
	if head.GetHost() == "" {
		// This is a probe of the connection.
		return r.send(&peerpb.ForwardReply{Message: &peerpb.ForwardReply_Refusal{
			Refusal: refusal(RefusalBadHead, "no host"),
		}})
	}
	if !o.enter() {
		return r.refuseUnseen(refusal(RefusalDraining, "the daemon is stopping"))
	}
	defer o.leave()
	return r.serve()
}

// Drain refuses new requests and waits until none is in progress, or until ctx ends.
func (o *Owner) Drain(ctx context.Context) error {
	o.mu.Lock()
	if !o.draining {
		o.draining = true
		if o.inProgress == 0 {
			close(o.idle)
		}
	}
	o.mu.Unlock()
	select {
	case <-o.idle:
		return nil
	case <-ctx.Done():
		return wrapError("drain", KindEnded, ctx.Err(), "requests are still in progress")
	}
}

// InProgress returns the number of requests that the owner holds, queued ones included.
func (o *Owner) InProgress() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.inProgress
}

func (o *Owner) enter() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.draining {
		return false
	}
	o.inProgress++
	return true
}

func (o *Owner) leave() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.inProgress--
	if o.draining && o.inProgress == 0 {
		close(o.idle)
	}
}

func (o *Owner) stopping() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.draining
}

// Leaving reports whether the target of this host takes no new work, for whichever reason.
func (o *Owner) Leaving() bool {
	if o.stopping() || o.opts.Upstream.State().Draining {
		return true
	}
	if o.opts.Leaving != nil && o.opts.Leaving(o.opts.Host) {
		return true
	}
	c := o.opts.Configuration()
	return c != nil && c.Leaving(o.opts.Host)
}

// load returns the load of the target for the final message of a request.
func (o *Owner) load(kind string) *peerpb.Load {
	l := o.opts.Admission.Load()
	if e, ok := o.opts.Admission.(cicadacross.Estimator); ok {
		l = e.Estimate(kind)
	}
	if o.opts.Upstream.State().Unhealthy {
		// An unhealthy upstream is chosen less often and never excluded: health endpoints lag and mislead.
		l.Queued += l.Slots
	}
	return &peerpb.Load{
		InProgress: uint32(l.InProgress), // #nosec G115 -- counts are small
		Queued:     uint32(l.Queued),     // #nosec G115
		Slots:      uint32(l.Slots),      // #nosec G115
		Draining:   l.Draining || o.Leaving(),

		WaitMs: uint32(min(max(l.QueueWait, 0), maxEstimate).Milliseconds()),   // #nosec G115 -- bounded
		WorkMs: uint32(min(max(l.ServiceTime, 0), maxEstimate).Milliseconds()), // #nosec G115 -- bounded
	}
}

// maxEstimate bounds the times that an owner tells.
const maxEstimate = time.Minute

// DecodeLoad returns the load of a message between daemons.
func DecodeLoad(l *peerpb.Load) cicadacross.Load {
	return cicadacross.Load{
		InProgress: int(l.GetInProgress()), Queued: int(l.GetQueued()), Slots: int(l.GetSlots()), Draining: l.GetDraining(),
		QueueWait:   time.Duration(l.GetWaitMs()) * time.Millisecond,
		ServiceTime: time.Duration(l.GetWorkMs()) * time.Millisecond,
	}
}
