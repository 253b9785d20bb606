package relay

import (
	"context"
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadacross"
	"cicadacross/internal/peer"
	"cicadacross/internal/peerpb"
	"cicadacross/internal/upstream"
)

// fingerprintBody is how much of the body the fingerprint of a request covers, in bytes.
const fingerprintBody = 4 << 10

// run is one request at its owner.
type run struct {
	owner     *Owner
	session   session
	head      *peerpb.ForwardHead
	deadline  time.Time
	key       cicadacross.KeyExecution // nil for repeatable requests
	release   func()                   // gives slot and place in progress back; nil before they are taken
	preempted atomic.Bool
	gone      bool // the ingress daemon takes no more messages
	// confirmation is the wait for the sender's confirmation; nil when there is none.
	confirmation *confirmation
}

func newRun(o *Owner, s session, head *peerpb.ForwardHead) *run {
	timeout := time.Duration(head.GetTimeoutMs()) * time.Millisecond // #nosec G115 -- bounded by the ingress
	if o.opts.Pause != nil {
		timeout -= o.opts.Pause.TimeLost()
	}
	return &run{owner: o, session: s, head: head, deadline: o.opts.Timers.Now().Add(timeout)}
}

func (r *run) serve() error {
	if refused := r.check(); refused != nil {
		return r.refuseUnseen(refused)
	}
	ctx, cancel := context.WithTimeout(r.session.Context(), r.remaining())
	defer cancel()
	if !r.head.GetRepeatable() && r.owner.opts.Keys != nil {
		done, err := r.begin(ctx)
		if done || err != nil {
			return err
		}
		// Only the first verdict counts, so this one only holds when the run ends without one.
		defer r.key.Unknown()
	}
	if admitted, err := r.admit(ctx, cancel); !admitted {
		return err
	}
	defer r.release()
	return r.execute(ctx)
}

func (r *run) remaining() time.Duration { return r.deadline.Sub(r.owner.opts.Timers.Now()) }

// check refuses requests that this owner must not run, whatever its load.
func (r *run) check() *peerpb.Refusal {
	o := r.owner
	c := o.opts.Configuration()
	if c == nil {
		return refusal(RefusalUnsettled, "the owner has no configuration")
	}
	own, ok := c.TargetOn(o.opts.Host)
	if o.opts.Dialect != nil {
		return r.checkRegistered(own, ok)
	}
	switch {
	case !ok || r.head.GetHost() != o.opts.Host:
		return refusal(RefusalWrongTarget, "the target is not on this host")
	case own.Service() != r.head.GetService() || own.Name() != r.head.GetTarget():
		return refusal(RefusalWrongTarget, "this host has another target")
	case o.Leaving():
		return refusal(RefusalDraining, "the target takes no new work")
	case r.remaining() <= 0:
		return refusal(RefusalDeadline, "no time is left")
	case r.head.GetRepeatable():
		return nil
	}
	return r.checkKey(c, own)
}

// checkRegistered refuses requests for a target that is known to leave. The sender may know of a later target on this
// host than this daemon does; the upstream verifies then whether it is the one.
func (r *run) checkRegistered(own cicadacross.Target, known bool) *peerpb.Refusal {
	o := r.owner
	switch {
	case r.head.GetHost() != o.opts.Host:
		return refusal(RefusalWrongTarget, "the target is not on this host")
	case o.stopping():
		return refusal(RefusalDraining, "the daemon is stopping")
	case known && own.Name() == r.head.GetTarget() && o.Leaving():
		return refusal(RefusalDraining, "the target takes no new work")
	case r.remaining() <= 0:
		return refusal(RefusalDeadline, "no time is left")
	}
	return nil
}

// checkKey refuses a keyed request whose key another target owns, or whose owner is in doubt.
func (r *run) checkKey(c *cicadacross.Configuration, own cicadacross.Target) *peerpb.Refusal {
	o := r.owner
	if r.head.GetIdempotencyKey() == "" {
		return refusal(RefusalBadHead, "a request that must not repeat has no key")
	}
	// The control loop may not have noticed yet that the process was stopped.
	paused := o.opts.Pause != nil && o.opts.Pause.TimeLost() > 0
	if paused || (o.opts.Settled != nil && !o.opts.Settled()) {
		return refusal(RefusalUnsettled, "the owner's evidence is outdated")
	}
	service, ok := c.Service(own.Service())
	if !ok {
		return refusal(RefusalWrongTarget, "unknown service")
	}
	owner, ok := o.opts.KeyOwner(service, r.head.GetIdempotencyKey())
	if !ok || owner.Host() != o.opts.Host {
		return refusal(RefusalMisrouted, "another target owns the key in version "+c.Version().String())
	}
	return nil
}

// begin claims the key. It reports true when the request is answered: from the kept reply or by a refusal.
func (r *run) begin(ctx context.Context) (bool, error) {
	version := r.head.GetVersion()
	request := cicadacross.KeyedRequest{
		RequestID:   r.head.GetRequestId(),
		Service:     r.head.GetService(),
		Key:         r.head.GetIdempotencyKey(),
		Fingerprint: contentFingerprint(r.head),
		Version:     DecodeVersion(version),
	}
	key, kept, err := r.owner.opts.Keys.Begin(ctx, request)
	switch {
	case err != nil:
		return true, r.deny(StageKeys, err)
	case kept != nil && kept.Body == nil:
		return true, r.fail(FailureEarlierUnknown, "an earlier send ran, and its answer was too large to keep")
	case kept != nil:
		r.record("kept_reply")
		return true, r.sendKept(kept)
	}
	r.key = key
	return false, nil
}

// admit takes the slot and then the place in progress, so that requests which only wait for a slot are not suspected of
// a crash, and a suspect that waits to run alone doesn't hold up the queue by rank. It reports false when the request
// is answered by a refusal.
func (r *run) admit(ctx context.Context, cancel context.CancelFunc) (bool, error) {
	o := r.owner
	fingerprint := Fingerprint(r.head.GetService(), r.head.GetMethod(), r.head.GetPath(), r.head.GetBody())
	if o.opts.Quarantine.IsQuarantined(fingerprint) {
		return false, r.notRun(refusal(RefusalQuarantined, "the request crashed upstreams"), nil)
	}
	opts := cicadacross.SlotRequestOptions{
		RequestID:  r.head.GetRequestId(),
		Route:      r.head.GetKind(),
		Rank:       r.rank(),
		Deadline:   r.deadline,
		Repeatable: r.head.GetRepeatable(),
		OnTimeOnly: r.head.GetOnTimeOnly(),
	}
	if opts.Repeatable {
		opts.Cancel = func() {
			r.preempted.Store(true)
			cancel()
		}
	}
	if o.opts.Dialect != nil {
		opts.OnAccepted = sync.OnceFunc(r.acknowledge)
	}
	work := cicadacross.NewSlotRequest(opts)
	if admitted, err := r.awaitLink(ctx, work); !admitted {
		return false, err
	}
	slot, err := o.opts.Admission.Acquire(ctx, work)
	if err != nil {
		r.cancelBody()
		return false, r.deny(StageAdmission, err)
	}
	if r.head.GetConfirm() {
		if err := r.awaitConfirm(); err != nil {
			slot.Release()
			r.cancelBody()
			return false, r.notRun(refusal(RefusalCanceled, err.Error()), nil)
		}
	}
	leave, err := o.opts.Quarantine.Enter(ctx, fingerprint)
	if err != nil {
		slot.Release()
		return false, r.deny(StageQuarantine, err)
	}
	r.release = sync.OnceFunc(func() {
		slot.Release()
		leave()
	})
	return true, nil
}

// deny answers with the error of a stage.
func (r *run) deny(stage Stage, err error) error {
	v := r.owner.verdict(stage, err)
	if v.Unknown {
		return r.fail(v.Kind, err.Error())
	}
	refused := refusal(v.Kind, err.Error())
	refused.RetryAfterMs = uint64(max(0, v.RetryAfter.Milliseconds())) // #nosec G115
	refused.EarlierUnknown = v.EarlierUnknown
	return r.notRun(refused, nil)
}

// notRun gives the key back and refuses the request.
func (r *run) notRun(refused *peerpb.Refusal, err error) error {
	if r.key != nil {
		r.key.NotRun()
	}
	if r.release != nil {
		r.release()
	}
	if refused == nil {
		return err
	}
	return r.refuse(refused)
}

// refuseUnseen refuses a request before its key was looked up, so that an earlier send may have run.
func (r *run) refuseUnseen(refused *peerpb.Refusal) error {
	refused.EarlierUnknown = !r.head.GetRepeatable()
	return r.refuse(refused)
}

func (r *run) refuse(refused *peerpb.Refusal) error {
	r.record("refuse", "kind", refused.GetKind(), "reason", refused.GetReason())
	refused.Load = r.owner.load(r.head.GetKind())
	return r.send(&peerpb.ForwardReply{Message: &peerpb.ForwardReply_Refusal{Refusal: refused}})
}

func (r *run) fail(kind, reason string) error {
	r.record("fail", "kind", kind, "reason", reason)
	failed := &peerpb.ReplyFailure{Kind: kind, Reason: reason, Load: r.owner.load(r.head.GetKind())}
	if kind == FailureCrashed {
		failed.Suspects = peer.EncodeSuspects(r.owner.opts.Quarantine)
	}
	return r.send(&peerpb.ForwardReply{Message: &peerpb.ForwardReply_Failure{Failure: failed}})
}

func (r *run) send(m *peerpb.ForwardReply) error {
	if r.gone {
		return nil
	}
	return r.session.Send(m)
}

func (r *run) record(decision string, keysAndValues ...any) {
	r.owner.opts.Decisions.Record(r.head.GetRequestId(), decision, append(keysAndValues,
		"side", "owner", "target", r.head.GetTarget(), "kind_of_work", r.head.GetKind())...)
}

// execute calls the upstream. All conditions that may have changed during the wait for a slot are looked at again right
// before the call.
func (r *run) execute(ctx context.Context) error {
	conn, err := r.owner.opts.Upstream.Connect(ctx)
	if err != nil {
		return r.notRun(refusal(RefusalUpstream, err.Error()), nil)
	}
	if refused := r.lastCheck(ctx); refused != nil {
		conn.Release()
		return r.notRun(refused, nil)
	}
	if !r.head.GetComplete() {
		// The sender holds the body back until the call begins.
		if err := r.send(startedMessage(true)); err != nil {
			conn.Release()
			return r.notRun(nil, err)
		}
	}
	if r.key != nil {
		r.key.Started()
		// A request that must not repeat is finished even when its caller goes away, so that its next send gets the
		// answer.
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.WithoutCancel(ctx), r.remaining())
		defer cancel()
	}
	body := newUpload(ctx, r.session, r.head)
	defer body.close()
	reply, err := conn.Do(ctx, r.call(body))
	if err != nil {
		return r.callFailed(err)
	}
	if done, err := r.rejected(reply); done {
		return err
	}
	return r.answer(reply)
}

// startedMessage says that the call of the upstream begins, or, when started is false, only that the request arrived.
func startedMessage(started bool) *peerpb.ForwardReply {
	return &peerpb.ForwardReply{Message: &peerpb.ForwardReply_Started{Started: started}}
}

func (r *run) lastCheck(ctx context.Context) *peerpb.Refusal {
	switch {
	case r.remaining() <= 0:
		return refusal(RefusalDeadline, "the time ended before the call")
	case ctx.Err() != nil:
		return refusal(RefusalCanceled, "the request was canceled before the call")
	case r.owner.Leaving() && !r.head.GetRepeatable():
		// Repeatable requests that waited for a slot are still served: another target would make them wait again.
		return refusal(RefusalDraining, "the target began to drain")
	}
	return nil
}

func (r *run) call(body *upload) upstream.Call {
	header := DecodeHeader(r.head.GetHeaders())
	if dialect := r.owner.opts.Dialect; dialect != nil {
		dialect.SetCallHeaders(header, cicadacross.CallOptions{
			ID: r.head.GetRequestId(), Target: r.head.GetTarget(), Remaining: r.remaining(),
		})
		return r.withBody(upstream.Call{
			Method: r.head.GetMethod(), Path: r.head.GetPath(), Host: r.head.GetAuthority(), Header: header,
			ID: r.head.GetRequestId(),
		}, body)
	}
	header[cicadacross.HeaderTimeout] = []string{strconv.FormatInt(max(1, r.remaining().Milliseconds()), 10)}
	header[cicadacross.HeaderDepth] = []string{strconv.FormatUint(uint64(r.head.GetDepth()), 10)}
	header[cicadacross.HeaderRequestID] = []string{r.head.GetRequestId()}
	if r.head.GetRank() != "" {
		header[cicadacross.HeaderRank] = []string{r.head.GetRank()}
	}
	return r.withBody(upstream.Call{
		Method: r.head.GetMethod(), Path: r.head.GetPath(), Host: r.head.GetService(), Header: header,
	}, body)
}

func (r *run) withBody(call upstream.Call, body *upload) upstream.Call {
	if !body.empty() {
		call.Body, call.ContentLength, call.AbortBody = body, r.head.GetContentLength(), body.abort
		call.Ready = r.head.GetComplete()
	}
	return call
}

// rejected answers when the upstream says that it didn't run the call, or when its answer can't be passed on.
func (r *run) rejected(reply *upstream.Response) (bool, error) {
	dialect := r.owner.opts.Dialect
	if dialect == nil {
		return false, nil
	}
	signs := dialect.ReadResponse(r.head.GetRequestId(), reply.Status, reply.Header)
	switch {
	case signs.NotRun:
		_, _ = io.Copy(io.Discard, io.LimitReader(reply.Body, MaxInlineBody))
		_ = reply.Body.Close()
		reason := "the upstream did not run the request"
		if signs.Misdirected {
			reason = "another target has the address"
			// The other idle connections lead to it too.
			r.owner.opts.Upstream.CloseIdle()
		}
		return true, r.notRun(refusal(RefusalRejected, reason), nil)
	case signs.Invalid != "":
		_ = reply.Body.Close()
		return true, r.answerFailed(newError("answer", KindBroken, "%s", signs.Invalid))
	}
	return false, nil
}

// callFailed answers a call that ended without an answer of the upstream.
func (r *run) callFailed(err error) error {
	if !upstream.MayHaveRun(err) {
		return r.notRun(refusal(RefusalUpstream, err.Error()), nil)
	}
	return r.answerFailed(err)
}

// Fingerprint identifies a request for the quarantine: service, method, path and the first 4 KB of the body.
func Fingerprint(service, method, path string, body []byte) uint64 {
	return digest(service, method, path, body[:min(len(body), fingerprintBody)])
}

// contentFingerprint identifies the content that belongs to a key.
func contentFingerprint(head *peerpb.ForwardHead) uint64 {
	length := strconv.FormatInt(head.GetContentLength(), 10)
	return digest(head.GetMethod(), head.GetPath(), length, head.GetBody())
}

func digest(a, b, c string, body []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range [...]string{a, b, c} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return d.Sum64()
}

// callPatience is the part of the time left for a call of an upstream within which it is in time: the request that
// called has a target time of its own.
const callPatience = 0.5

// rank returns the rank of the request. A call of an upstream may take longer than its own target time.
func (r *run) rank() cicadacross.Rank {
	rank := decodeRank(r.head)
	if r.head.GetOrigin() == "" || !r.owner.origins.Note(r.head.GetKind(), r.head.GetOrigin()) {
		return rank
	}
	return cicadacross.NewRank(cicadacross.RankOptions{
		Name: rank.Name(), Urgency: rank.Urgency(), Worth: rank.Worth(),
		TargetTime: max(rank.TargetTime(), time.Duration(callPatience*float64(r.remaining()))),
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
