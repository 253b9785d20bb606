package ingress

import (
	"context"
	"errors"
	"time"
)

// ackLimit is the time in which an owner says that a request has arrived. Between availability zones a message takes
// about 3 ms there and back; the rest is for a busy daemon on a fraction of a core.
const ackLimit = 250 * time.Millisecond

// acknowledgement notices an owner that is silent, behind a partition or on a connection that was lost without a sign.
// The host is avoided then, and the attempt ends: the owner doesn't run what isn't confirmed, so that another target
// can get the request.
type acknowledgement struct {
	attempt *attempt
	cancel  context.CancelFunc
	stop    func() bool
}

func newAcknowledgement(a *attempt) *acknowledgement {
	k := &acknowledgement{attempt: a}
	ctx, cancel := context.WithTimeout(a.ctx, ackLimit)
	k.cancel = cancel
	k.stop = context.AfterFunc(ctx, func() { k.expired(ctx) })
	return k
}

func (k *acknowledgement) expired(ctx context.Context) {
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) || k.attempt.ctx.Err() != nil {
		return
	}
	a := k.attempt
	a.server.opts.Decisions.Record(a.q.id, "silent", "side", "ingress", "target", a.target.Name(), "limit", ackLimit)
	a.stream.Close()
}

// end ends the watch when a message came.
func (k *acknowledgement) end() {
	k.stop()
	k.cancel()
}
