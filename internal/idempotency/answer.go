package idempotency

import (
	"context"
	"time"
)

// AnswerClaim answers a claim by another daemon. While an attempt with the key is running, it waits up to ClaimWait for
// the end of the attempt. The error has KindClaim when the claim is meant for another host, and KindInvalidKey when the
// length of the key is invalid.
func (s *Store) AnswerClaim(ctx context.Context, claim Claim) (Answer, error) {
	if claim.AskedHost != s.opts.Host {
		return Answer{}, newError("answer", KindClaim, "received by host %q, but the claim is for host %q",
			s.opts.Host, claim.AskedHost)
	}
	if len(claim.Key) == 0 || len(claim.Key) > MaxKeyLength {
		return Answer{}, newError("answer", KindInvalidKey, "idempotency key of %d bytes; the length must be 1 to %d",
			len(claim.Key), MaxKeyLength)
	}
	answer, attemptEnded := s.tryAnswer(claim)
	if attemptEnded == nil {
		return answer, nil
	}
	timer := s.opts.Timers.After(s.opts.ClaimWait)
	defer timer.Stop()
	select {
	case <-attemptEnded:
	case <-timer.C():
	case <-ctx.Done():
	}
	answer, _ = s.tryAnswer(claim)
	return answer, nil
}

// tryAnswer returns the answer and, while an attempt with the key is in progress, a channel that is closed when the
// attempt ends.
func (s *Store) tryAnswer(claim Claim) (Answer, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Timers.Now()
	s.removeExpired(now)
	id := recordID{service: claim.Service, key: claim.Key}
	r := s.records[id]
	if r == nil {
		return s.addFence(id, claim, now), nil
	}
	switch r.state {
	case stateFenced:
		r.addGrant(claim.Host, claim.Version)
		// No attempt holds the record, so this only renews its expiry: the fence must last for a whole repeat window from
		// this answer.
		s.endAttempt(r, stateFenced, now)
		return Answer{State: AnswerFenced}, nil
	case stateClaiming:
		// When two owners claim a key from each other, the one whose configuration version is newer gets it. If that is
		// the claiming host, the attempt on this host ends.
		if claim.Version.Compare(s.history.version()) <= 0 {
			return Answer{State: AnswerRunning}, r.attemptEnded
		}
		r.addGrant(claim.Host, claim.Version)
		s.endAttempt(r, stateFenced, now)
		return Answer{State: AnswerFenced}, nil
	case stateRunning:
		return Answer{State: AnswerRunning}, r.attemptEnded
	case stateDone:
		return Answer{State: AnswerDone, Response: r.response, Fingerprint: r.fingerprint}, nil
	case stateUnknown:
	}
	return Answer{State: AnswerUnknown}, nil
}

// addFence fences a key that has no record. It answers AnswerUnknown when the key may have run here earlier, or when
// there is no room for a record: a fence must not be promised without a record of it.
func (s *Store) addFence(id recordID, claim Claim, now time.Time) Answer {
	if !s.missingRecordMeansNotRun(keyTimeOf(id.key, now), now) || len(s.records) >= s.opts.MaxRecords {
		return Answer{State: AnswerUnknown}
	}
	r := &record{id: id, grants: []grant{{host: claim.Host, version: claim.Version}}}
	s.records[id] = r
	s.endAttempt(r, stateFenced, now)
	return Answer{State: AnswerFenced}
}
