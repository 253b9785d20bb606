package relay

import (
	"context"
	"time"

	"cicadacross"
)

// maxLinkWaitShare is the maximum share of the remaining time of a request that its body may wait for the network link.
const maxLinkWaitShare = 0.5

// awaitLink waits until the body of the request may be sent over the network link. It returns false when the request
// has been refused.
func (e *execution) awaitLink(ctx context.Context, slotRequest cicadacross.SlotRequest) (bool, error) {
	if !e.usesBodyScheduler() {
		return true, nil
	}
	available := e.remaining()
	if slotRequest.OnTimeOnly() {
		available = min(available, slotRequest.Rank().TargetTime())
	}
	wait, err := e.owner.opts.Bodies.Reserve(e.head.GetContentLength(), time.Duration(maxLinkWaitShare*float64(available)))
	if err != nil {
		return false, e.refuseWithError(StageAdmission, err)
	}
	if wait <= 0 {
		return true, nil
	}
	slotRequest.NotifyAccepted()
	t := e.owner.opts.Timers.After(wait)
	defer t.Stop()
	select {
	case <-t.C():
		return true, nil
	case <-ctx.Done():
		e.cancelReservation()
		return false, e.releaseAndRefuse(refusal(e.cancelReason(), "the request ended while it waited for the link"), nil)
	}
}

// usesBodyScheduler reports whether the body scheduler decides when the body is sent: another daemon has the rest of it
// and sends it only when the call begins.
func (e *execution) usesBodyScheduler() bool {
	return e.owner.opts.Bodies != nil && !e.head.GetComplete() && e.head.GetConfirm()
}

// cancelReservation cancels the body's reservation of time on the network link, if it has one. The scheduler computes
// that time from the size of the body.
func (e *execution) cancelReservation() {
	if e.usesBodyScheduler() {
		e.owner.opts.Bodies.Cancel(e.head.GetContentLength())
	}
}
