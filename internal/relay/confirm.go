package relay

import "time"

// acknowledge notifies the sender that the request has arrived, so that the sender doesn't take the connection for
// silent while the request is queued. An immediate refusal needs no acknowledgment.
func (e *execution) acknowledge() {
	if err := e.send(startedMessage(false)); err != nil {
		e.senderGone = true
	}
	if e.head.GetConfirm() {
		e.confirmation = &confirmationReceiver{
			execution: e, acknowledgedAt: e.owner.opts.Timers.Now(), result: make(chan error, 1),
		}
		go e.confirmation.run()
	}
}

// confirmTimeout limits how long a request that has its slot waits for the sender's confirmation. The confirmation was
// requested when the request arrived, and takes one round trip.
const confirmTimeout = 300 * time.Millisecond

// awaitConfirm waits for the sender's confirmation, which shows that the sender knows that the request has arrived.
func (e *execution) awaitConfirm() error {
	t := e.owner.opts.Timers.After(confirmTimeout)
	defer t.Stop()
	select {
	case err := <-e.confirmation.result:
		return err
	case <-t.C():
		return newError("confirm", KindBroken, "no confirmation from the sender within %v", confirmTimeout)
	}
}

// confirmationReceiver receives the confirmation of one request. Its goroutine ends with the stream at the latest.
type confirmationReceiver struct {
	execution      *execution
	acknowledgedAt time.Time
	result         chan error // gets one value: nil when the confirmation arrived
}

// run waits for the next message of the sender, which must be the confirmation, and ends when a message arrives or the
// stream ends. The time since the acknowledgment is reported to the body scheduler, if there is one, as a round-trip
// time.
func (c *confirmationReceiver) run() {
	message, err := c.execution.session.Recv()
	if bodies := c.execution.owner.opts.Bodies; err == nil && bodies != nil {
		bodies.ObserveRTT(c.execution.owner.opts.Timers.Now().Sub(c.acknowledgedAt))
	}
	if err == nil && !message.GetConfirm() {
		err = newError("confirm", KindBroken, "received another message instead of the confirmation")
	}
	c.result <- err
}
