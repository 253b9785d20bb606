package relay

import "time"

// acknowledge tells the sender that the request has arrived, so that it needn't suspect the connection while the
// request is queued. A refusal at once says so by itself.
func (r *run) acknowledge() {
	if err := r.send(startedMessage(false)); err != nil {
		r.gone = true
	}
	if r.head.GetConfirm() {
		r.confirmation = &confirmation{run: r, asked: r.owner.opts.Timers.Now(), received: make(chan error, 1)}
		go r.confirmation.loop()
	}
}

// confirmLimit bounds the wait for the confirmation of a request that has a slot. It was asked for when the request
// came, and takes one way there and back.
const confirmLimit = 300 * time.Millisecond

// awaitConfirm waits until the sender knows that the request has arrived.
func (r *run) awaitConfirm() error {
	t := r.owner.opts.Timers.After(confirmLimit)
	defer t.Stop()
	select {
	case err := <-r.confirmation.received:
		return err
	case <-t.C():
		return newError("confirm", KindBroken, "no confirmation came in %v", confirmLimit)
	}
}

// confirmation is one wait for a confirmation. It ends at the latest with the stream.
type confirmation struct {
	run      *run
	asked    time.Time
	received chan error
}

func (c *confirmation) loop() {
	request, err := c.run.session.Recv()
	if bodies := c.run.owner.opts.Bodies; err == nil && bodies != nil {
		bodies.ObserveRTT(c.run.owner.opts.Timers.Now().Sub(c.asked))
	}
	if err == nil && !request.GetConfirm() {
		err = newError("confirm", KindBroken, "another message came in place of the confirmation")
	}
	c.received <- err
}
