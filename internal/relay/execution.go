package relay

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadacross"
	"cicadacross/internal/admission"
	"cicadacross/internal/peer"
	"cicadacross/internal/peerpb"
	"cicadacross/internal/upstream"
)

// fingerprintBodySize is how much of the beginning of the body the fingerprint of a request covers, in bytes.
const fingerprintBodySize = 4 << 10

// execution is one request at its owner.
type execution struct {
	owner    *Owner
	session  session
	head     *peerpb.ForwardHead
	deadline time.Time
	key      cicadacross.KeyExecution // nil for repeatable requests, without KeyStore, and until the key is claimed
	// release returns the slot and leaves the quarantine; nil before both are acquired. Only its first call has an effect.
	release    func(answered bool)
	departure  *departure
	preempted  atomic.Bool
	senderGone bool      // the ingress daemon is disconnected; nothing more is sent to it
	calledAt   time.Time // when the call of the upstream began
	// confirmation receives the sender's confirmation; nil when none was requested.
	confirmation *confirmationReceiver
}

func newExecution(o *Owner, s session, head *peerpb.ForwardHead) *execution {
	timeout := time.Duration(head.GetTimeoutMs()) * time.Millisecond // #nosec G115 -- bounded by the ingress
	if o.opts.PauseDetector != nil {
		timeout -= o.opts.PauseDetector.TimeLost()
	}
	return &execution{
		owner: o, session: s, head: head, deadline: o.opts.Timers.Now().Add(timeout), departure: o.departure.Load(),
	}
}

func (e *execution) serve() error {
	if refused := e.check(); refused != nil {
		return e.refuseBeforeKeyLookup(refused)
	}
	timeout := e.deadline.Sub(e.owner.opts.Timers.Now())
	ctx, cancel := context.WithTimeout(e.session.Context(), timeout+callGracePeriod)
	defer cancel()
	defer context.AfterFunc(e.owner.opts.DrainLimit.Reached(), cancel)()
	waitCtx, cancelWait := context.WithTimeout(ctx, e.waitLimit(timeout))
	defer cancelWait()
	defer e.owner.opts.DrainLimit.CancelWhenTooLate(waitCtx, e.work, cancelWait)()
	defer e.departure.limit.CancelWhenTooLate(waitCtx, e.departureWork, cancelWait)()
	if !e.head.GetRepeatable() && e.owner.opts.KeyStore != nil {
		answered, err := e.claimKey(waitCtx)
		if answered || err != nil {
			return err
		}
		// Only the first call on the key has an effect, so this one only matters when the execution ends without
		// another.
		defer e.key.Unknown()
	}
	if !e.beginArriving() {
		return e.releaseAndRefuse(refusal(RefusalShed, "too many slots wait for bodies"), nil)
	}
	defer e.endArriving()
	if admitted, err := e.admit(waitCtx, cancel); !admitted {
		return err
	}
	defer e.release(false)
	return e.execute(ctx)
}

// callGracePeriod is how long after the deadline the response of the upstream is awaited. An upstream stops at the
// deadline that it received, and responds then.
const callGracePeriod = 30 * time.Millisecond

// check refuses requests that this owner must not run, regardless of its load. It returns nil for the others.
func (e *execution) check() *peerpb.Refusal {
	o := e.owner
	c := o.opts.Configuration()
	if c == nil {
		return refusal(RefusalUnsettled, "the owner has no configuration")
	}
	own, ok := c.TargetOn(o.opts.Host)
	if o.opts.Dialect != nil {
		return e.checkRegistered(own, ok)
	}
	switch {
	case !ok || e.head.GetHost() != o.opts.Host:
		return refusal(RefusalWrongTarget, "the target is not on this host")
	case own.Service() != e.head.GetService() || own.Name() != e.head.GetTarget():
		return refusal(RefusalWrongTarget, "this host has another target")
	case o.isEvacuated():
		return refuseEvacuated()
	case o.RefusesNewRequests():
		return refusal(RefusalDraining, "the target takes no new work")
	case e.exceedsDrainLimit():
		return e.drainRefusal()
	case e.remaining() <= 0:
		return refusal(RefusalDeadline, "no time is left")
	case e.head.GetRepeatable():
		return nil
	}
	return e.checkKey(c, own)
}

// checkRegistered refuses requests for a target that is known to accept no new requests. The sender may know a newer
// target on this host than this daemon does; the upstream then verifies whether it is the one.
func (e *execution) checkRegistered(own cicadacross.Target, known bool) *peerpb.Refusal {
	o := e.owner
	switch {
	case e.head.GetHost() != o.opts.Host:
		return refusal(RefusalWrongTarget, "the target is not on this host")
	case o.isEvacuated():
		return refuseEvacuated()
	case o.drainCalled():
		return refusal(RefusalDraining, "the daemon is stopping")
	case e.exceedsDrainLimit(), e.missesHardDeadline():
		return e.drainRefusal()
	case known && own.Name() == e.head.GetTarget() && o.RefusesNewRequests():
		return refusal(RefusalDraining, "the target takes no new work")
	case e.remaining() <= 0:
		return refusal(RefusalDeadline, "no time is left")
	}
	return nil
}

// checkKey refuses a request with a key that another target owns, or whose owner is uncertain.
func (e *execution) checkKey(c *cicadacross.Configuration, own cicadacross.Target) *peerpb.Refusal {
	o := e.owner
	if e.head.GetIdempotencyKey() == "" {
		return refusal(RefusalBadHead, "a request that must not repeat has no key")
	}
	// The control loop may not have detected yet that the process was stopped.
	paused := o.opts.PauseDetector != nil && o.opts.PauseDetector.TimeLost() > 0
	if paused || (o.opts.Settled != nil && !o.opts.Settled()) {
		return refusal(RefusalUnsettled, "the owner's evidence is outdated")
	}
	service, ok := c.Service(own.Service())
	if !ok {
		return refusal(RefusalWrongTarget, "unknown service")
	}
	owner, ok := o.opts.KeyOwner(service, e.head.GetIdempotencyKey())
	if !ok || owner.Host() != o.opts.Host {
		return refusal(RefusalMisrouted, "another target owns the key in version "+c.Version().String())
	}
	return nil
}

// claimKey claims the key. It returns true when the request has been answered: with the stored response or by a
// refusal.
func (e *execution) claimKey(ctx context.Context) (bool, error) {
	version := e.head.GetVersion()
	request := cicadacross.KeyedRequest{
		RequestID:   e.head.GetRequestId(),
		Service:     e.head.GetService(),
		Key:         e.head.GetIdempotencyKey(),
		Fingerprint: contentFingerprint(e.head),
		Version:     DecodeVersion(version),
	}
	key, stored, err := e.owner.opts.KeyStore.Begin(ctx, request)
	switch {
	case err != nil:
		return true, e.refuseWithError(StageKeys, err)
	case stored != nil && stored.Body == nil:
		return true, e.fail(FailureEarlierUnknown, "an earlier send ran, and its answer was too large to keep")
	case stored != nil:
		e.recordDecision("kept_reply")
		return true, e.sendStored(stored)
	}
	e.key = key
	return false, nil
}

// admit acquires the slot and then enters the quarantine, so that requests which only wait for a slot don't become
// suspects in a crash, and a suspect that waits to run alone doesn't block the queue, which is ordered by rank. It
// returns false when the request has been refused.
func (e *execution) admit(ctx context.Context, cancel context.CancelFunc) (bool, error) {
	o := e.owner
	fingerprint := Fingerprint(e.head.GetService(), e.head.GetMethod(), e.head.GetPath(), e.head.GetBody())
	if o.opts.Quarantine.IsQuarantined(fingerprint) {
		return false, e.releaseAndRefuse(refusal(RefusalQuarantined, "the request crashed upstreams"), nil)
	}
	if !o.callDetector.IsUpstreamCall(e.head.GetKind()) && !o.opts.CallGuard.Admits(e.head.GetKind()) {
		return false, e.refuseWithError(StageAdmission, admission.ErrNoRoomForCalls)
	}
	opts := cicadacross.SlotRequestOptions{
		RequestID:  e.head.GetRequestId(),
		Route:      e.head.GetKind(),
		Rank:       e.rank(),
		Deadline:   o.opts.DrainLimit.Apply(e.deadline),
		Repeatable: e.head.GetRepeatable(),
		OnTimeOnly: e.head.GetOnTimeOnly(),
	}
	if opts.Repeatable {
		opts.Cancel = func() {
			e.preempted.Store(true)
			cancel()
		}
	}
	if o.opts.Dialect != nil {
		opts.OnAccepted = sync.OnceFunc(e.acknowledge)
	}
	slotRequest := cicadacross.NewSlotRequest(opts)
	if admitted, err := e.awaitLink(ctx, slotRequest); !admitted {
		return false, err
	}
	slot, err := o.opts.Admission.Acquire(ctx, slotRequest)
	if err != nil {
		e.cancelReservation()
		return false, e.refuseWithError(StageAdmission, err)
	}
	if e.head.GetConfirm() {
		if err := e.awaitConfirm(); err != nil {
			slot.Abandon()
			e.cancelReservation()
			return false, e.releaseAndRefuse(refusal(RefusalCanceled, err.Error()), nil)
		}
	}
	leave, err := o.opts.Quarantine.Enter(ctx, fingerprint)
	if err != nil {
		slot.Abandon()
		e.cancelReservation()
		return false, e.refuseWithError(StageQuarantine, err)
	}
	var once sync.Once
	e.release = func(answered bool) {
		once.Do(func() {
			if answered {
				slot.Release()
			} else {
				slot.Abandon()
			}
			leave()
		})
	}
	return true, nil
}

// refuseWithError reports an error of a stage to the sender: as a failure when the outcome is unknown, else as a
// refusal.
func (e *execution) refuseWithError(stage Stage, err error) error {
	classification := e.owner.classify(stage, err)
	if classification.Kind == RefusalCanceled {
		classification.Kind = e.cancelReason()
	}
	if classification.Unknown {
		return e.fail(classification.Kind, err.Error())
	}
	refused := refusal(classification.Kind, err.Error())
	refused.RetryAfterMs = uint64(max(0, classification.RetryAfter.Milliseconds())) // #nosec G115
	refused.EarlierUnknown = classification.EarlierUnknown
	return e.releaseAndRefuse(refused, nil)
}

// releaseAndRefuse releases the key and the slot, if taken, and refuses the request. When refused is nil, it sends
// nothing and returns err.
func (e *execution) releaseAndRefuse(refused *peerpb.Refusal, err error) error {
	if e.key != nil {
		e.key.NotRun()
	}
	if e.release != nil {
		e.release(false)
	}
	if refused == nil {
		return err
	}
	return e.refuse(refused)
}

// refuseBeforeKeyLookup refuses a request whose key was not looked up. Unless the request is repeatable, the refusal
// reports that an earlier attempt may have run.
func (e *execution) refuseBeforeKeyLookup(refused *peerpb.Refusal) error {
	refused.EarlierUnknown = !e.head.GetRepeatable()
	return e.refuse(refused)
}

func (e *execution) refuse(refused *peerpb.Refusal) error {
	e.recordDecision("refuse", "kind", refused.GetKind(), "reason", refused.GetReason())
	refused.Load = e.owner.load(e.head.GetKind())
	if refused.GetKind() == RefusalQuarantined {
		refused.Suspects = peer.EncodeSuspects(e.owner.opts.Quarantine)
	}
	return e.send(&peerpb.ForwardReply{Message: &peerpb.ForwardReply_Refusal{Refusal: refused}})
}

func (e *execution) fail(kind, reason string) error {
	e.recordDecision("fail", "kind", kind, "reason", reason)
	failed := &peerpb.ReplyFailure{Kind: kind, Reason: reason, Load: e.owner.load(e.head.GetKind())}
	if kind == FailureCrashed {
		failed.Suspects = peer.EncodeSuspects(e.owner.opts.Quarantine)
	}
	return e.send(&peerpb.ForwardReply{Message: &peerpb.ForwardReply_Failure{Failure: failed}})
}

func (e *execution) send(m *peerpb.ForwardReply) error {
	if e.senderGone {
		return nil
	}
	return e.session.Send(m)
}

func (e *execution) recordDecision(decision string, keysAndValues ...any) {
	e.owner.opts.Decisions.Record(e.head.GetRequestId(), decision, append(keysAndValues,
		"side", "owner", "target", e.head.GetTarget(), "kind_of_work", e.head.GetKind())...)
}

// execute calls the upstream. Right before the call, it repeats the checks whose result may have changed during the
// wait for a slot.
func (e *execution) execute(ctx context.Context) error {
	conn, err := e.owner.opts.Upstream.Connect(ctx, e.head.GetRequestId())
	if err != nil {
		e.cancelReservation()
		return e.releaseAndRefuse(refusal(RefusalUpstream, err.Error()), nil)
	}
	if refused := e.checkBeforeCall(ctx); refused != nil {
		conn.Release()
		e.cancelReservation()
		return e.releaseAndRefuse(refused, nil)
	}
	if !e.head.GetComplete() {
		// The sender sends the rest of the body only when the call begins.
		if err := e.send(startedMessage(true)); err != nil {
			conn.Release()
			return e.releaseAndRefuse(nil, err)
		}
	}
	if e.key != nil {
		e.key.Started()
		// A request that must not repeat runs to completion even when its caller disconnects, so that the next attempt
		// gets the response.
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.WithoutCancel(ctx), e.remaining())
		defer cancel()
	}
	body := newUpload(ctx, e.session, e.head)
	defer body.close()
	e.calledAt = e.owner.opts.Timers.Now()
	defer e.owner.beginRun(e.head.GetAttempt() > 0)()
	response, err := conn.Do(ctx, e.newCall(body))
	if err != nil {
		return e.handleCallError(err)
	}
	if answered, err := e.handleRejection(response); answered {
		return err
	}
	e.owner.opts.CallGuard.RecordRun(e.head.GetKind(), response.Status >= http.StatusInternalServerError)
	return e.forwardResponse(response)
}

// startedMessage returns the message that the call to the upstream begins or, when started is false, only that the
// request has arrived.
func startedMessage(started bool) *peerpb.ForwardReply {
	return &peerpb.ForwardReply{Message: &peerpb.ForwardReply_Started{Started: started}}
}

// checkBeforeCall refuses a request that can't run any more after its wait for a slot. It returns nil when the upstream
// may be called.
func (e *execution) checkBeforeCall(ctx context.Context) *peerpb.Refusal {
	switch {
	case e.exceedsDrainLimit():
		return e.drainRefusal()
	case e.remaining() <= 0, e.missesHardDeadline():
		return refusal(RefusalDeadline, "the time ended before the call")
	case ctx.Err() != nil:
		return refusal(RefusalCanceled, "the request was canceled before the call")
	case e.owner.isEvacuated():
		return refuseEvacuated()
	case e.owner.RefusesNewRequests() && (!e.head.GetRepeatable() || e.isTooLateForDeparture()):
		// Repeatable requests that waited for a slot still run here as long as the upstream serves: at another target they
		// would have to wait again.
		return refusal(RefusalDraining, "the target began to drain")
	}
	return nil
}

// handleRejection answers the request when the upstream reports that it didn't run the call, or when its response can't
// be forwarded. It returns false when neither is the case.
func (e *execution) handleRejection(response *upstream.Response) (bool, error) {
	dialect := e.owner.opts.Dialect
	if dialect == nil {
		return false, nil
	}
	info := dialect.ReadResponse(e.head.GetRequestId(), response.Status, response.Header)
	switch {
	case info.NotRun:
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, MaxInlineBody))
		_ = response.Body.Close()
		reason := "the upstream did not run the request"
		if info.Misdirected {
			reason = "another target has the address"
			// The other idle connections lead to that target too.
			e.owner.opts.Upstream.CloseIdle()
		}
		return true, e.releaseAndRefuse(refusal(RefusalRejected, reason), nil)
	case info.Invalid != "":
		_ = response.Body.Close()
		return true, e.failResponse(newError("answer", KindBroken, "%s", info.Invalid))
	}
	return false, nil
}

// handleCallError answers the sender after a call that ended without a response from the upstream: with a refusal when
// the upstream can't have run the request, else with a failure.
func (e *execution) handleCallError(err error) error {
	if !upstream.MayHaveRun(err) {
		return e.releaseAndRefuse(refusal(RefusalUpstream, err.Error()), nil)
	}
	return e.failResponse(err)
}

// Fingerprint identifies a request for the quarantine: service, method, path and the first 4 KB of the body.
func Fingerprint(service, method, path string, body []byte) uint64 {
	return hashRequest(service, method, path, body[:min(len(body), fingerprintBodySize)])
}

// contentFingerprint identifies the content of a request with a key: its method, path, content length and the part of
// the body that arrived with the head.
func contentFingerprint(head *peerpb.ForwardHead) uint64 {
	length := strconv.FormatInt(head.GetContentLength(), 10)
	return hashRequest(head.GetMethod(), head.GetPath(), length, head.GetBody())
}

func hashRequest(a, b, c string, body []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range [...]string{a, b, c} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return d.Sum64()
}

// callTargetShare is the share of its remaining time that a call from an upstream may take and still be in time. The
// request that made the call has a target time of its own.
const callTargetShare = 0.5

// rank returns the rank of the request. For a call from an upstream, it raises the target time to callTargetShare of
// the remaining time, if that is longer.
func (e *execution) rank() cicadacross.Rank {
	rank := decodeRank(e.head)
	if e.head.GetOrigin() == "" || !e.owner.callDetector.Observe(e.head.GetKind(), e.head.GetOrigin()) {
		return rank
	}
	return cicadacross.NewRank(cicadacross.RankOptions{
		Name: rank.Name(), Urgency: rank.Urgency(), Worth: rank.Worth(),
		TargetTime: max(rank.TargetTime(), time.Duration(callTargetShare*float64(e.remaining()))),
	})
}

func decodeRank(head *peerpb.ForwardHead) cicadacross.Rank {
	target := head.GetRankTargetMs()
	if head.AimMs != nil {
		target = max(1, head.GetAimMs())
	}
	return cicadacross.NewRank(cicadacross.RankOptions{
		Name:       head.GetRank(),
		Urgency:    int(head.GetUrgency()),
		TargetTime: time.Duration(target) * time.Millisecond, // #nosec G115
		Worth:      head.GetWorth(),
	})
}
