package idempotency_test

import (
	"context"
	"fmt"
	"slices"

	"cicadacross/internal/idempotency"
)

// message is a call between two daemons. Its request and its reply travel apart.
type message struct {
	from     *daemon
	life     int
	to       string
	claim    *idempotency.Claim // nil for a question for the history
	reply    outcome
	asked    bool // the request was delivered
	answered bool // the reply is on its way
	result   chan outcome
	settled  bool // the sender got the reply or gave up
}

type outcome struct {
	answer  idempotency.Answer
	history idempotency.History
	err     error
}

// claimer is the network as one process sees it.
type claimer struct {
	daemon *daemon
	life   int
}

func (c *claimer) Claim(ctx context.Context, peer string, claim idempotency.Claim) (idempotency.Answer, error) {
	o := c.call(ctx, peer, &claim)
	return o.answer, o.err
}

func (c *claimer) History(ctx context.Context, peer string) (idempotency.History, error) {
	o := c.call(ctx, peer, nil)
	return o.history, o.err
}

func (c *claimer) call(ctx context.Context, peer string, claim *idempotency.Claim) outcome {
	if ctx.Err() != nil {
		return outcome{err: ctx.Err()}
	}
	m := &message{from: c.daemon, life: c.life, to: peer, claim: claim, result: make(chan outcome, 1)}
	c.daemon.world.fresh <- m
	select {
	case o := <-m.result:
		return o
	case <-ctx.Done():
		return outcome{err: ctx.Err()}
	}
}

// deliver brings the request to the asked daemon, where it may wait.
func (w *world) deliver(m *message) {
	if m.asked || !w.linked(m.from.host, m.to) || !w.ready(m.to) {
		return
	}
	m.asked = true
	w.note("%s asks %s %+v", m.from.host, m.to, m.claim)
	go m.serve(w.ctx, w.daemons[m.to].store)
	w.wait()
}

func (m *message) serve(ctx context.Context, store *idempotency.Store) {
	if m.claim == nil {
		m.reply.history = store.Tell()
	} else {
		m.reply.answer, m.reply.err = store.Answer(ctx, *m.claim)
	}
	m.answered = true
}

// hand brings the reply back.
func (w *world) hand(m *message) {
	if m.settled || !m.answered || m.life != m.from.life || !w.ready(m.from.host) {
		return
	}
	if m.claim != nil {
		w.stats[fmt.Sprint("answer ", m.reply.answer.State)]++
	}
	m.settled = true
	w.note("%s answers %s: %d", m.to, m.from.host, m.reply.answer.State)
	m.result <- m.reply
	w.wait()
}

// settle gives the senders of the messages an error. Their requests may have arrived, or may still do so.
func (w *world) settle(which func(m *message) bool, err error) {
	for _, m := range w.messages {
		if !m.settled && which(m) {
			m.settled = true
			m.result <- outcome{err: err}
		}
	}
	w.wait()
}

// relax delivers everything that can be delivered until nothing is on its way.
func (w *world) relax() {
	for range 100 {
		quiet := true
		for _, m := range slices.Clone(w.messages) {
			before := *m
			w.deliver(m)
			w.hand(m)
			quiet = quiet && before.asked == m.asked && before.settled == m.settled
		}
		if quiet {
			return
		}
	}
}

func (m *message) order() string {
	if m.claim == nil {
		return m.from.host + m.to
	}
	return m.from.host + m.to + m.claim.Key
}
