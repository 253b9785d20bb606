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
	maxWait := time.Duration(maxLinkWaitShare * float64(e.remaining()))
	onTimeWait := time.Duration(maxLinkWaitShare * float64(max(0, slotRequest.Rank().TargetTime())))
	err := e.owner.opts.Bodies.Acquire(ctx, cicadacross.BodyRequest{
		Size: e.head.GetContentLength(), Rank: slotRequest.Rank(),
		OnTimeWait: min(onTimeWait, maxWait), MaxWait: maxWait, OnTimeOnly: slotRequest.OnTimeOnly(),
		OnQueued: slotRequest.NotifyAccepted,
	})
	if err != nil {
		return false, e.refuseWithError(StageAdmission, err)
	}
	return true, nil
}

// usesBodyScheduler reports whether the body scheduler decides when the body is sent: another daemon has the rest of it
// and sends it only when the call begins.
func (e *execution) usesBodyScheduler() bool {
	return e.owner.opts.Bodies != nil && !e.head.GetComplete() && e.head.GetConfirm()
}

// cancelReservation gives back the link time of the body if it was scheduled. The scheduler computes that time from the
// size of the body.
func (e *execution) cancelReservation() {
	if e.usesBodyScheduler() {
		e.owner.opts.Bodies.Cancel(e.head.GetContentLength())
	}
}
