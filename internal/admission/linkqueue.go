package admission

import (
	"cmp"
	"math"
	"slices"
	"time"

	"cicadacross"
)

const (
	// assumedBodySize is the size that is assumed for a body of unknown length, in bytes.
	assumedBodySize = 64 << 10
	// onTimeRateWindow is the averaging window of the link time that bodies on time take.
	onTimeRateWindow = time.Second
)

// linkQueue decides in which order bodies use a link: those that can still be on time first, by rank and then by the
// time at which they must begin. Late ones use what is left. In arrival order, a flood of bodies would make each one
// wait for others that are late already, so that none is on time. Its methods aren't safe for concurrent use.
type linkQueue struct {
	bytesPerSecond float64
	// freeAt is the time at which the link has carried the bodies granted so far.
	freeAt time.Time
	onTime []*QueuedBody
	late   []*QueuedBody
	// onTimeLoad is the fraction of the link time that bodies on time took recently, as of loadUpdatedAt.
	onTimeLoad    float64
	loadUpdatedAt time.Time
}

// QueuedBody is a body that waits for link time.
type QueuedBody struct {
	request cicadacross.BodyRequest
	// startBy is the latest time at which the body may begin to be on time, lastStart the latest one before its deadline.
	startBy   time.Time
	lastStart time.Time
	decided   func(*Error)
}

func newQueuedBody(now time.Time, request cicadacross.BodyRequest, decided func(*Error)) *QueuedBody {
	return &QueuedBody{
		request: request, decided: decided,
		startBy: now.Add(request.OnTimeWait), lastStart: now.Add(request.MaxWait),
	}
}

// linkDecision is the decision on one body; err is nil when it may be sent.
type linkDecision struct {
	body *QueuedBody
	err  *Error
}

// linkDecisions are announced without the lock of the link.
type linkDecisions []linkDecision

func (d linkDecisions) announce() {
	for _, decision := range d {
		decision.body.decided(decision.err)
	}
}

func (q *linkQueue) setSpeed(bytesPerSecond float64) { q.bytesPerSecond = bytesPerSecond }

// transferTime returns how long the link takes to carry the body.
func (q *linkQueue) transferTime(size int64) time.Duration {
	if size < 0 {
		size = assumedBodySize
	}
	return time.Duration(float64(size) / q.bytesPerSecond * float64(time.Second))
}

// offer queues a body, or decides on it immediately.
func (q *linkQueue) offer(now time.Time, b *QueuedBody) linkDecisions {
	wait := q.onTimeWait(now, b)
	switch {
	case wait <= 0 && len(q.onTime) == 0:
		q.grant(now, b, true)
		return linkDecisions{{body: b}}
	case wait <= b.request.OnTimeWait:
		q.onTime = insertBody(q.onTime, b, func(o *QueuedBody) time.Time { return o.startBy })
	case !b.request.OnTimeOnly && q.lateWait(now, b) <= b.request.MaxWait:
		q.late = insertBody(q.late, b, func(o *QueuedBody) time.Time { return o.lastStart })
	default:
		return linkDecisions{{body: b, err: newRefusal(KindExcess, wait-b.request.OnTimeWait,
			"link is reserved for the next %v", wait)}}
	}
	return nil
}

// insertBody inserts a body behind those that are at least as urgent and must not begin later.
func insertBody(bodies []*QueuedBody, b *QueuedBody, start func(*QueuedBody) time.Time) []*QueuedBody {
	i := len(bodies)
	for i > 0 && cmp.Or(compareRank(b.request.Rank, bodies[i-1].request.Rank), start(b).Compare(start(bodies[i-1]))) < 0 {
		i--
	}
	return slices.Insert(bodies, i, b)
}

// onTimeWait returns the expected wait of a body that is on time, behind those that precede it. A nil body is behind
// all.
func (q *linkQueue) onTimeWait(now time.Time, b *QueuedBody) time.Duration {
	wait := max(0, q.freeAt.Sub(now))
	for _, other := range q.onTime {
		if b != nil && compareRank(b.request.Rank, other.request.Rank) < 0 {
			break
		}
		wait += q.transferTime(other.request.Size)
	}
	return wait
}

// lateWait returns the expected wait of a late body on the link time that bodies on time leave.
func (q *linkQueue) lateWait(now time.Time, b *QueuedBody) time.Duration {
	wait := q.onTimeWait(now, nil)
	for _, other := range q.late {
		wait += q.transferTime(other.request.Size)
	}
	spare := 1 - q.decayedLoad(now)
	if spare <= 0 {
		return math.MaxInt64
	}
	return time.Duration(float64(wait+q.transferTime(b.request.Size)) / spare)
}

// dispatch decides on the bodies whose turn has come, and returns the time at which the next one's may come, or the
// zero time when none waits.
func (q *linkQueue) dispatch(now time.Time) (decisions linkDecisions, next time.Time) {
	for len(q.onTime)+len(q.late) > 0 {
		if q.freeAt.After(now) {
			return decisions, q.freeAt
		}
		decisions = append(decisions, q.decideNext(now)...)
	}
	return decisions, time.Time{}
}

// decideNext removes the next body from its queue. It grants the body, refuses it, or moves it to the late ones.
func (q *linkQueue) decideNext(now time.Time) linkDecisions {
	if len(q.onTime) > 0 {
		b := q.onTime[0]
		q.onTime = slices.Delete(q.onTime, 0, 1)
		if !b.startBy.Before(now) {
			q.grant(now, b, true)
			return linkDecisions{{body: b}}
		}
		if b.request.OnTimeOnly || q.lateWait(now, b) > b.lastStart.Sub(now) {
			return linkDecisions{{body: b, err: newRefusal(KindExcess, q.onTimeWait(now, nil),
				"waited too long for the link to meet the target time")}}
		}
		q.late = insertBody(q.late, b, func(o *QueuedBody) time.Time { return o.lastStart })
		return nil
	}
	b := q.late[0]
	q.late = slices.Delete(q.late, 0, 1)
	if b.lastStart.Before(now) {
		return linkDecisions{{body: b, err: newRefusal(KindDeadline, 0, "the link did not become free in time")}}
	}
	q.grant(now, b, false)
	return linkDecisions{{body: b}}
}

// grant gives the link to the body.
func (q *linkQueue) grant(now time.Time, b *QueuedBody, onTime bool) {
	transfer := q.transferTime(b.request.Size)
	if q.freeAt.Before(now) {
		q.freeAt = now
	}
	q.freeAt = q.freeAt.Add(transfer)
	if onTime {
		q.onTimeLoad = q.decayedLoad(now) + float64(transfer)/float64(onTimeRateWindow)
		q.loadUpdatedAt = now
	}
}

// decayedLoad returns onTimeLoad at the time now.
func (q *linkQueue) decayedLoad(now time.Time) float64 {
	return q.onTimeLoad * math.Exp(-float64(now.Sub(q.loadUpdatedAt))/float64(onTimeRateWindow))
}

// giveBack returns the link time of a granted body that isn't sent.
func (q *linkQueue) giveBack(size int64) { q.freeAt = q.freeAt.Add(-q.transferTime(size)) }

// remove removes a waiting body. It returns false when the body doesn't wait any more.
func (q *linkQueue) remove(b *QueuedBody) bool {
	for _, bodies := range []*[]*QueuedBody{&q.onTime, &q.late} {
		if i := slices.Index(*bodies, b); i >= 0 {
			*bodies = slices.Delete(*bodies, i, i+1)
			return true
		}
	}
	return false
}
