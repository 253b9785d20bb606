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
		return false, e.releaseAndRefuse(refusal(RefusalCanceled, "the request ended while it waited for the link"), nil)
	}
}

// usesBodyScheduler reports whether another daemon sends the body only when the call begins, so that the body scheduler
// decides when.
func (e *execution) usesBodyScheduler() bool {
	return e.owner.opts.Bodies != nil && !e.head.GetComplete() && e.head.GetConfirm()
}

// cancelReservation releases the link time reserved for the body.
func (e *execution) cancelReservation() {
	if e.usesBodyScheduler() {
		e.owner.opts.Bodies.Cancel(e.head.GetContentLength())
	}
}
