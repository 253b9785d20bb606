package idempotency

import (
	"context"
	"maps"
	"slices"
	"time"

	"cicadacross"
)

// attempt is one call of Begin.
type attempt struct {
	id      recordID
	request cicadacross.KeyedRequest
	// record is the record that this attempt holds or has held.
	record *record
	// fencedBy is the set of hosts that have fenced the key for this attempt.
	fencedBy map[string]bool
}

// step is the next action of an attempt. Exactly one field is set.
type step struct {
	execution cicadacross.KeyExecution
	response  *cicadacross.StoredResponse
	err       error
	// attemptEnded is closed when the attempt that holds the key ends.
	attemptEnded <-chan struct{}
	call         *claimCall
}

// claimCall is a claim that must be sent to the daemon at the address peer.
type claimCall struct {
	peer  string
	claim Claim
}

// Begin implements cicadacross.IdempotencyStore. Its errors have a Kind of this package and mean that this attempt did
// not run.
func (s *Store) Begin(
	ctx context.Context, request cicadacross.KeyedRequest,
) (cicadacross.KeyExecution, *cicadacross.StoredResponse, error) {
	if len(request.Key) == 0 || len(request.Key) > MaxKeyLength {
		return nil, nil, newError("begin", KindInvalidKey, "idempotency key of %d bytes; the length must be 1 to %d",
			len(request.Key), MaxKeyLength)
	}
	a := &attempt{
		id:       recordID{service: request.Service, key: request.Key},
		request:  request,
		fencedBy: make(map[string]bool),
	}
	for {
		next := s.nextStep(ctx, a)
		switch {
		case next.attemptEnded != nil:
			select {
			case <-next.attemptEnded:
			case <-ctx.Done():
				return nil, nil, wrapError("begin", KindEarlierUnknown, ctx.Err(),
					"an earlier attempt is still running")
			}
		case next.call != nil:
			answer, err := s.opts.Claimer.Claim(ctx, next.call.peer, next.call.claim)
			if err := s.recordAnswer(a, next.call.claim.AskedHost, answer, err); err != nil {
				return nil, nil, err
			}
		default:
			return next.execution, next.response, next.err
		}
	}
}

// nextStep returns the next action of the attempt. It checks all conditions again at each step, since a new
// configuration may have been applied, or a claim by another daemon answered, while the attempt was waiting.
func (s *Store) nextStep(ctx context.Context, a *attempt) step {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Timers.Now()
	s.removeExpired(now)
	r := s.records[a.id]
	if a.record != nil && a.record.attempt != a {
		return step{err: newError("begin", KindEarlierUnknown, "a later owner of the key has claimed it")}
	}
	if r != nil && r.attempt != a {
		if next, decided := r.stepForOtherAttempt(a.request.Fingerprint); decided {
			return next
		}
	}
	peersToAsk, err := s.authorize(ctx, a, r, now)
	if err != nil {
		s.releaseIfHeld(a, now)
		return step{err: err}
	}
	if a.record == nil {
		a.record = s.assign(r, a)
	}
	// The order is fixed so that tests are reproducible.
	for _, host := range slices.Sorted(maps.Keys(peersToAsk)) {
		if !a.fencedBy[host] {
			claim := Claim{
				Service: a.id.service, Key: a.id.key, Host: s.opts.Host, Version: s.history.version(), AskedHost: host,
			}
			return step{call: &claimCall{peer: peersToAsk[host], claim: claim}}
		}
	}
	a.record.state = stateRunning
	return step{execution: &keyExecution{store: s, record: a.record}}
}

// stepForOtherAttempt returns the step that the record, which another attempt holds or has left, requires. It returns
// false when the record is only a fence, so that the owner of the key decides.
func (r *record) stepForOtherAttempt(fingerprint uint64) (step, bool) {
	if r.state == stateFenced {
		return step{}, false
	}
	if r.state != stateUnknown && r.fingerprint != fingerprint {
		return step{
			err: newError("begin", KindKeyReused, "the key was already used for a request with different content"),
		}, true
	}
	switch r.state {
	case stateDone:
		return step{response: r.response}, true
	case stateUnknown:
		return step{
			err: newError("begin", KindEarlierUnknown, "an earlier attempt may have run; its response is unknown"),
		}, true
	default:
		return step{attemptEnded: r.attemptEnded}, true
	}
}

// authorize checks whether this daemon may run the key now. It returns the hosts that must fence the key first, with
// their peer addresses.
func (s *Store) authorize(ctx context.Context, a *attempt, r *record, now time.Time) (map[string]string, error) {
	if err := s.checkOwner(a, r); err != nil {
		return nil, err
	}
	if ctx.Err() != nil {
		return nil, wrapError("begin", KindEarlierUnknown, ctx.Err(),
			"the request was canceled or its deadline has passed")
	}
	createdAt := keyTimeOf(a.id.key, now)
	if err := s.checkPastExecutions(a.id, createdAt, r, now); err != nil {
		return nil, err
	}
	peersToAsk := s.history.earlierOwners(a.id, createdAt, now)
	if r == nil && len(s.records) >= s.opts.MaxRecords {
		if len(peersToAsk) > 0 {
			return nil, newError("begin", KindEarlierUnknown,
				"record limit reached, and earlier owners of the key must be asked")
		}
		return nil, newError("begin", KindStoreFull, "record limit reached: all %d records are within the repeat window",
			len(s.records))
	}
	// The holders of grants are usually among the earlier owners already. They are not when two manifests were
	// published under the same number.
	if r != nil && len(r.grants) > 0 {
		if peersToAsk == nil {
			peersToAsk = make(map[string]string)
		}
		for _, g := range r.grants {
			peersToAsk[g.host] = s.history.peerAddress(g.host)
		}
	}
	return peersToAsk, nil
}

// checkOwner checks that this daemon owns the key by its current configuration and may trust that configuration.
func (s *Store) checkOwner(a *attempt, r *record) error {
	owner, ok := s.history.owner(a.id)
	version := s.history.version()
	switch {
	case version.IsZero():
		return newError("begin", KindUnsettled, "the daemon has no configuration yet")
	case !ok:
		return newError("begin", KindMisrouted, "configuration version %s has no target of service %q",
			version, a.id.service)
	case owner.Host() != s.opts.Host:
		return newError("begin", KindMisrouted,
			"configuration version %s assigns the key to host %q; the sender used version %s",
			version, owner.Host(), a.request.Version)
	case r != nil && r.grantedAtOrAfter(version):
		return newError("begin", KindMisrouted, "an owner by configuration version %s or a newer one has claimed the key",
			version)
	case !s.opts.Settled():
		return newError("begin", KindUnsettled, "the daemon was paused and has not heard from another daemon since")
	}
	return nil
}

// checkPastExecutions checks that this daemon has enough information to exclude, after asking the known earlier owners,
// an earlier execution of the key.
func (s *Store) checkPastExecutions(id recordID, createdAt keyTime, r *record, now time.Time) error {
	switch {
	case createdAt.recordMayBeExpired(now, s.opts.Window):
		return newError("begin", KindEarlierUnknown,
			"the key was created at %s, too long ago for the repeat window of %s",
			createdAt.created.UTC().Format(time.RFC3339), s.opts.Window)
	case r == nil && !s.missingRecordMeansNotRun(createdAt, now):
		return newError("begin", KindEarlierUnknown,
			"the daemon started %s ago and has no records from before; a UUIDv7 key would prove its age",
			now.Sub(s.startedAt).Round(time.Second))
	case !s.history.unknownOwnerRuledOut(id, createdAt, now):
		return newError("begin", KindEarlierUnknown, "the daemon does not know all earlier owners of the key yet")
	}
	return nil
}

// grantedAtOrAfter reports whether the key was granted to an owner by the given configuration version or a newer one.
func (r *record) grantedAtOrAfter(version cicadacross.Version) bool {
	for _, g := range r.grants {
		if g.version.Compare(version) >= 0 {
			return true
		}
	}
	return false
}

// releaseIfHeld releases the key if the attempt still holds it.
func (s *Store) releaseIfHeld(a *attempt, now time.Time) {
	if a.record != nil && a.record.attempt == a {
		s.release(a.record, now)
	}
}

// recordAnswer processes the answer of an earlier owner, or the error of the call. A returned error ends the attempt.
func (s *Store) recordAnswer(a *attempt, host string, answer Answer, callErr error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Timers.Now()
	if a.record.attempt != a {
		return newError("begin", KindEarlierUnknown, "a later owner of the key has claimed it")
	}
	if callErr != nil {
		s.releaseIfHeld(a, now)
		return wrapError("begin", KindEarlierUnknown, callErr, "cannot ask earlier owner %q of the key", host)
	}
	switch answer.State {
	case AnswerFenced:
		a.fencedBy[host] = true
		return nil
	case AnswerDone:
		if answer.Response == nil {
			break
		}
		r := a.record
		a.record = nil // the next step finds the outcome in the store, as that of another attempt
		r.fingerprint = answer.Fingerprint
		s.storeResponse(r, *answer.Response, now)
		return nil
	case AnswerRunning:
		s.releaseIfHeld(a, now)
		return newError("begin", KindEarlierUnknown, "an earlier attempt is still running on host %q", host)
	case AnswerUnknown:
	}
	s.releaseIfHeld(a, now)
	return newError("begin", KindEarlierUnknown, "an earlier attempt may have run on host %q", host)
}
