package relay

import (
	"fmt"
	"net/http"
	"time"

	"cicadacross/internal/drain"
	"cicadacross/internal/peerpb"
)

// remaining returns the time until the deadline or, when that is earlier, until the time limit of a shutdown.
func (e *execution) remaining() time.Duration {
	return e.owner.opts.DrainLimit.Apply(e.deadline).Sub(e.owner.opts.Timers.Now())
}

// work returns what the request is expected to need at the upstream.
func (e *execution) work() drain.Work { return e.owner.serviceTimes.Cautious(e.head.GetKind()) }

// exceedsDrainLimit reports whether the daemon is stopping and leaves the upstream too little time to respond.
func (e *execution) exceedsDrainLimit() bool {
	return !e.owner.opts.DrainLimit.Admits(e.deadline, e.work)
}

// drainRefusal returns the refusal of a request that exceeds the drain limit.
func (e *execution) drainRefusal() *peerpb.Refusal {
	r := refusal(RefusalDraining, fmt.Sprintf("a daemon stops before the upstream could respond: %v left, %v expected",
		e.remaining().Round(time.Millisecond), e.work().ServiceTime().Round(time.Millisecond)))
	r.RetryAfterMs = uint64(defaultRetryAfter.Milliseconds())
	return r
}

// missesHardDeadline reports whether the response isn't expected before a deadline that must be met.
func (e *execution) missesHardDeadline() bool {
	return e.head.GetMustMeetDeadline() && e.remaining() <= e.work().ServiceTime()
}

// waitLimit returns the time that the request may wait for a slot.
func (e *execution) waitLimit(timeout time.Duration) time.Duration {
	if e.head.GetMustMeetDeadline() {
		return max(0, timeout-e.work().ServiceTime())
	}
	return timeout
}

// cancelReason returns the kind of refusal of a request whose wait was canceled: by the sender, or because the daemon
// stops or the target leaves, in which case another target may run it.
func (e *execution) cancelReason() string {
	stops := e.owner.opts.DrainLimit.Shortens(e.deadline) || e.departure.limit.Begun().Err() != nil
	if e.session.Context().Err() == nil && stops {
		return RefusalDraining
	}
	return RefusalCanceled
}

// recordServiceTime records the time until the end of a response. Failures are not recorded, since many of them end at
// a timeout.
func (e *execution) recordServiceTime(status int, responseSize int64) {
	if status < http.StatusInternalServerError {
		e.owner.serviceTimes.Record(e.head.GetKind(), e.owner.opts.Timers.Now().Sub(e.calledAt), responseSize)
	}
}
