package idempotency_test

import (
	"context"
	"fmt"
	"slices"

	"cicadacross/internal/idempotency"
)

// message is a call between two daemons. Request and reply are delivered separately.
type message struct {
	from        *daemon
	incarnation int
	to          string
	claim       *idempotency.Claim // nil for a history call
	reply       callResult
	delivered   bool // the request was delivered
	replyReady  bool // the reply is in transit
	result      chan callResult
	returned    bool // the sender received the reply or an error
}

type callResult struct {
	answer  idempotency.Answer
	history idempotency.History
	err     error
}

// claimer connects one process to the simulated network.
type claimer struct {
	daemon      *daemon
	incarnation int
}

func (c *claimer) Claim(ctx context.Context, peer string, claim idempotency.Claim) (idempotency.Answer, error) {
	o := c.call(ctx, peer, &claim)
	return o.answer, o.err
}

func (c *claimer) History(ctx context.Context, peer string) (idempotency.History, error) {
	o := c.call(ctx, peer, nil)
	return o.history, o.err
}

func (c *claimer) call(ctx context.Context, peer string, claim *idempotency.Claim) callResult {
	if ctx.Err() != nil {
		return callResult{err: ctx.Err()}
	}
	m := &message{from: c.daemon, incarnation: c.incarnation, to: peer, claim: claim, result: make(chan callResult, 1)}
	c.daemon.sim.newMessages <- m
	select {
	case o := <-m.result:
		return o
	case <-ctx.Done():
		return callResult{err: ctx.Err()}
	}
}

// deliverRequest delivers the request to the asked daemon, where it may wait.
func (sim *simulation) deliverRequest(m *message) {
	if m.delivered || !sim.linked(m.from.host, m.to) || !sim.ready(m.to) {
		return
	}
	m.delivered = true
	sim.logf("%s asks %s %+v", m.from.host, m.to, m.claim)
	go m.serve(sim.ctx, sim.daemons[m.to].store)
	sim.waitIdle()
}

func (m *message) serve(ctx context.Context, store *idempotency.Store) {
	if m.claim == nil {
		m.reply.history = store.History()
	} else {
		m.reply.answer, m.reply.err = store.AnswerClaim(ctx, *m.claim)
	}
	m.replyReady = true
}

// deliverReply delivers the reply to the sender.
func (sim *simulation) deliverReply(m *message) {
	if m.returned || !m.replyReady || m.incarnation != m.from.incarnation || !sim.ready(m.from.host) {
		return
	}
	if m.claim != nil {
		sim.stats[fmt.Sprint("answer ", m.reply.answer.State)]++
	}
	m.returned = true
	sim.logf("%s answers %s: %d", m.to, m.from.host, m.reply.answer.State)
	m.result <- m.reply
	sim.waitIdle()
}

// failCalls ends the selected calls with the error. Their requests may have been delivered, or may still be delivered
// later.
func (sim *simulation) failCalls(which func(m *message) bool, err error) {
	for _, m := range sim.messages {
		if !m.returned && which(m) {
			m.returned = true
			m.result <- callResult{err: err}
		}
	}
	sim.waitIdle()
}

// deliverAll delivers requests and replies until none is left that can be delivered, in at most 100 rounds.
func (sim *simulation) deliverAll() {
	for range 100 {
		idle := true
		for _, m := range slices.Clone(sim.messages) {
			before := *m
			sim.deliverRequest(m)
			sim.deliverReply(m)
			idle = idle && before.delivered == m.delivered && before.returned == m.returned
		}
		if idle {
			return
		}
	}
}

// sortKey returns a key that orders messages independently of goroutine scheduling.
func (m *message) sortKey() string {
	if m.claim == nil {
		return m.from.host + m.to
	}
	return m.from.host + m.to + m.claim.Key
}
