package ingress

import (
	"context"
	"errors"
	"time"
)

// ackTimeout is the time within which an owner must acknowledge a request. A round trip between availability zones
// takes about 3 ms; the rest is for a busy daemon on a fraction of a core.
const ackTimeout = 250 * time.Millisecond

// ackTimer ends an attempt when its owner doesn't answer in time, for example because of a network partition or a
// connection that was lost without an error. The host is then avoided. Since the owner doesn't run what isn't
// confirmed, another target can get the request.
type ackTimer struct {
	attempt    *attempt
	cancel     context.CancelFunc
	unregister func() bool
}

func startAckTimer(a *attempt) *ackTimer {
	t := &ackTimer{attempt: a}
	ctx, cancel := context.WithTimeout(a.ctx, ackTimeout)
	t.cancel = cancel
	t.unregister = context.AfterFunc(ctx, func() { t.onTimeout(ctx) })
	return t
}

func (t *ackTimer) onTimeout(ctx context.Context) {
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) || t.attempt.ctx.Err() != nil {
		return
	}
	a := t.attempt
	a.server.opts.Decisions.Record(a.req.id, "silent", "side", "ingress", "target", a.target.Name(), "limit", ackTimeout)
	a.stream.Close()
}

// stop stops the timer because a message has arrived or the attempt has ended. It may be called more than once.
func (t *ackTimer) stop() {
	t.unregister()
	t.cancel()
}
