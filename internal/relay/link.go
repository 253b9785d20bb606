package relay

import (
	"context"
	"time"

	"cicadacross"
)

// linkPatience is the part of the time left for a request that its body may wait for the link.
const linkPatience = 0.5

// awaitLink waits until the body of the request may arrive over the link. It reports false when the request is answered
// by a refusal.
func (r *run) awaitLink(ctx context.Context, work cicadacross.SlotRequest) (bool, error) {
	if !r.usesLink() {
		return true, nil
	}
	left := r.remaining()
	if work.OnTimeOnly() {
		left = min(left, work.Rank().TargetTime())
	}
	wait, err := r.owner.opts.Bodies.Reserve(r.head.GetContentLength(), time.Duration(linkPatience*float64(left)))
	if err != nil {
		return false, r.deny(StageAdmission, err)
	}
	if wait <= 0 {
		return true, nil
	}
	work.NotifyAccepted()
	t := r.owner.opts.Timers.After(wait)
	defer t.Stop()
	select {
	case <-t.C():
		return true, nil
	case <-ctx.Done():
		r.cancelBody()
		return false, r.notRun(refusal(RefusalCanceled, "the request ended while it waited for the link"), nil)
	}
}

// usesLink reports whether another daemon holds the body back until the call begins.
func (r *run) usesLink() bool {
	return r.owner.opts.Bodies != nil && !r.head.GetComplete() && r.head.GetConfirm()
}

// cancelBody gives the link back to other bodies.
func (r *run) cancelBody() {
	if r.usesLink() {
		r.owner.opts.Bodies.Cancel(r.head.GetContentLength())
	}
}
