package relay

import (
	"sync/atomic"
	"time"

	"cicadacross"
	"cicadacross/internal/drain"
)

// departureMargin covers the time from the report of an upstream that it leaves until this daemon knows of it, and the
// time for a call to arrive at the upstream.
const departureMargin = 500 * time.Millisecond

// departure limits the requests that wait for the upstream of this host once it leaves: it serves for some time after
// it has reported that, and then exits.
type departure struct {
	limit *drain.Limit
	// target is the name of the target that leaves; nil until it does.
	target atomic.Pointer[string]
}

func (o *Owner) newDeparture() *departure {
	return &departure{limit: drain.NewLimit(o.opts.Timers, 0)}
}

// UpstreamLeaves records that the target of this host, which has the name, has reported that it leaves, or isn't
// registered any more. Requests that wait for it are refused when it would end before they do, those that must not
// repeat at once.
func (o *Owner) UpstreamLeaves(name string) {
	d := o.departure.Load()
	if o.opts.UpstreamDrain > 0 && d.target.CompareAndSwap(nil, &name) {
		d.limit.Begin(o.opts.Timers.Now().Add(o.opts.UpstreamDrain - departureMargin))
	}
}

// UpstreamServes records that the target of this host is registered and doesn't leave.
func (o *Owner) UpstreamServes() {
	if d := o.departure.Load(); d.target.Load() != nil {
		o.departure.CompareAndSwap(d, o.newDeparture())
	}
}

// ObserveTarget calls UpstreamLeaves or UpstreamServes as the next configuration says. The previous one may be nil.
func (o *Owner) ObserveTarget(previous, next *cicadacross.Configuration) {
	host := o.opts.Host
	target, registered := next.TargetOn(host)
	if registered && !next.Leaving(host) {
		o.UpstreamServes()
		return
	}
	if !registered && previous != nil {
		target, registered = previous.TargetOn(host)
	}
	if registered {
		o.UpstreamLeaves(target.Name())
	}
}

// departureWork returns what the request needs at an upstream that leaves. A request that must not repeat isn't started
// there any more.
func (e *execution) departureWork() drain.Work {
	if !e.head.GetRepeatable() {
		return drain.NewWork(e.owner.opts.UpstreamDrain, 0)
	}
	return e.work()
}

// isTooLateForDeparture reports whether the target leaves and would end before the request does.
func (e *execution) isTooLateForDeparture() bool {
	name := e.departure.target.Load()
	if name == nil || *name != e.head.GetTarget() {
		return false
	}
	latest, begun := e.departure.limit.LatestStart(e.departureWork())
	return begun && e.owner.opts.Timers.Now().After(latest)
}
