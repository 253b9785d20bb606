package idempotency

import (
	"context"
	"time"
)

// Answer answers the claim of another daemon. It waits a short time for a key that is running. The error has
// KindClaim: the claim was meant for another host.
func (s *Store) Answer(ctx context.Context, claim Claim) (Answer, error) {
	if claim.AskedHost != s.opts.Host {
		return Answer{}, newError("answer", KindClaim, "this is host %q and not %q", s.opts.Host, claim.AskedHost)
	}
	if len(claim.Key) == 0 || len(claim.Key) > MaxKeyLength {
		return Answer{}, newError("answer", KindInvalidKey, "the key has %d bytes", len(claim.Key))
	}
	answer, wait := s.answer(claim)
	if wait == nil {
		return answer, nil
	}
	timer := s.opts.Timers.After(s.opts.ClaimWait)
	defer timer.Stop()
	select {
	case <-wait:
	case <-timer.C():
	case <-ctx.Done():
	}
	answer, _ = s.answer(claim)
	return answer, nil
}

// answer returns the answer, and while the key is running a channel that is closed when it ends.
func (s *Store) answer(claim Claim) (Answer, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Timers.Now()
	s.sweep(now)
	id := recordID{service: claim.Service, key: claim.Key}
	r := s.records[id]
	if r == nil {
		return s.fence(id, claim, now), nil
	}
	switch r.state {
	case stateFenced:
		r.addGrant(claim.Host, claim.Version)
		s.settle(r, stateFenced, now)
		return Answer{State: AnswerFenced}, nil
	case stateClaiming:
		// Of two owners that claim a key from each other, the one by the later version gets it.
		if claim.Version.Compare(s.history.version()) <= 0 {
			return Answer{State: AnswerRunning}, r.changed
		}
		r.addGrant(claim.Host, claim.Version)
		s.settle(r, stateFenced, now)
		return Answer{State: AnswerFenced}, nil
	case stateRunning:
		return Answer{State: AnswerRunning}, r.changed
	case stateDone:
		return Answer{State: AnswerDone, Reply: r.reply, Fingerprint: r.fingerprint}, nil
	case stateUnknown:
	}
	return Answer{State: AnswerUnknown}, nil
}

// fence answers for a key without a record. It doesn't promise what it can't remember.
func (s *Store) fence(id recordID, claim Claim, now time.Time) Answer {
	if !s.remembers(ageOf(id.key, now), now) || len(s.records) >= s.opts.MaxRecords {
		return Answer{State: AnswerUnknown}
	}
	r := &record{id: id, grants: []grant{{host: claim.Host, version: claim.Version}}}
	s.records[id] = r
	s.settle(r, stateFenced, now)
	return Answer{State: AnswerFenced}
}
