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
	// record is the record that the attempt holds or has held.
	record *record
	// fenced holds the hosts that answered that the key won't run there.
	fenced map[string]bool
}

// step is what an attempt does next; exactly one field is set.
type step struct {
	run   cicadacross.KeyExecution
	reply *cicadacross.StoredResponse
	err   error
	// wait is closed when the attempt that holds the key ends.
	wait <-chan struct{}
	ask  *question
}

type question struct {
	peer  string
	claim Claim
}

// Begin implements cicadacross.IdempotencyStore. Its errors are of this package, and say that this send didn't run.
func (s *Store) Begin(
	ctx context.Context, request cicadacross.KeyedRequest,
) (cicadacross.KeyExecution, *cicadacross.StoredResponse, error) {
	if len(request.Key) == 0 || len(request.Key) > MaxKeyLength {
		return nil, nil, newError("begin", KindInvalidKey, "the key has %d bytes; it needs 1 to %d",
			len(request.Key), MaxKeyLength)
	}
	a := &attempt{
		id:      recordID{service: request.Service, key: request.Key},
		request: request,
		fenced:  make(map[string]bool),
	}
	for {
		next := s.next(ctx, a)
		switch {
		case next.wait != nil:
			select {
			case <-next.wait:
			case <-ctx.Done():
				return nil, nil, wrapError("begin", KindEarlierUnknown, ctx.Err(), "an earlier send is still running")
			}
		case next.ask != nil:
			answer, err := s.opts.Claimer.Claim(ctx, next.ask.peer, next.ask.claim)
			if err := s.take(a, next.ask.claim.AskedHost, answer, err); err != nil {
				return nil, nil, err
			}
		default:
			return next.run, next.reply, next.err
		}
	}
}

// next decides what the attempt does next. All conditions are checked again at each step, since a configuration may
// have been applied and a claim of another daemon answered while the attempt was waiting.
func (s *Store) next(ctx context.Context, a *attempt) step {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Timers.Now()
	s.sweep(now)
	r := s.records[a.id]
	if a.record != nil && a.record.attempt != a {
		return step{err: newError("begin", KindEarlierUnknown, "a later owner has claimed the key")}
	}
	if r != nil && r.attempt != a {
		if next, decided := r.known(a.request.Fingerprint); decided {
			return next
		}
	}
	asks, err := s.admit(ctx, a, r, now)
	if err != nil {
		s.abandon(a, now)
		return step{err: err}
	}
	if a.record == nil {
		a.record = s.hold(r, a)
	}
	// The order is fixed, so that a test takes the same course each time.
	for _, host := range slices.Sorted(maps.Keys(asks)) {
		if !a.fenced[host] {
			claim := Claim{
				Service: a.id.service, Key: a.id.key, Host: s.opts.Host, Version: s.history.version(), AskedHost: host,
			}
			return step{ask: &question{peer: asks[host], claim: claim}}
		}
	}
	a.record.state = stateRunning
	return step{run: &keyRun{store: s, record: a.record}}
}

// known returns what the record of another attempt decides, or false when it leaves the decision to the owner.
func (r *record) known(fingerprint uint64) (step, bool) {
	if r.state == stateFenced {
		return step{}, false
	}
	if r.state != stateUnknown && r.fingerprint != fingerprint {
		return step{err: newError("begin", KindKeyReused, "the key belongs to a request with another content")}, true
	}
	switch r.state {
	case stateDone:
		return step{reply: r.reply}, true
	case stateUnknown:
		return step{err: newError("begin", KindEarlierUnknown, "an earlier send may have run; its reply isn't known")}, true
	default:
		return step{wait: r.changed}, true
	}
}

// admit checks whether this daemon may run the key now, and returns the hosts that must have fenced it before.
func (s *Store) admit(ctx context.Context, a *attempt, r *record, now time.Time) (map[string]string, error) {
	if err := s.checkOwner(a, r); err != nil {
		return nil, err
	}
	if ctx.Err() != nil {
		return nil, wrapError("begin", KindEarlierUnknown, ctx.Err(), "the time for the request is over")
	}
	keyAge := ageOf(a.id.key, now)
	if err := s.checkAge(a.id, keyAge, r, now); err != nil {
		return nil, err
	}
	asks := s.history.earlier(a.id, keyAge, now)
	if r == nil && len(s.records) >= s.opts.MaxRecords {
		if len(asks) > 0 {
			return nil, newError("begin", KindEarlierUnknown, "no room for a key whose earlier owners must be asked")
		}
		return nil, newError("begin", KindStoreFull, "all %d records are within the repeat window", len(s.records))
	}
	// Mostly these are among the earlier owners already, but not when two manifests had one number.
	if r != nil && len(r.grants) > 0 {
		if asks == nil {
			asks = make(map[string]string)
		}
		for _, g := range r.grants {
			asks[g.host] = s.history.address(g.host)
		}
	}
	return asks, nil
}

func (s *Store) checkOwner(a *attempt, r *record) error {
	owner, ok := s.history.owner(a.id)
	version := s.history.version()
	switch {
	case version.IsZero():
		return newError("begin", KindUnsettled, "the daemon has no configuration yet")
	case !ok:
		return newError("begin", KindMisrouted, "version %s has no target of service %q", version, a.id.service)
	case owner.Host() != s.opts.Host:
		return newError("begin", KindMisrouted, "version %s gives the key to host %q; the sender used version %s",
			version, owner.Host(), a.request.Version)
	case r != nil && r.grantedSince(version):
		return newError("begin", KindMisrouted, "an owner by a version not before %s has claimed the key", version)
	case !s.opts.Settled():
		return newError("begin", KindUnsettled, "the daemon was paused and hasn't heard from another one since")
	}
	return nil
}

// checkAge checks that this daemon knows enough of the past of the key.
func (s *Store) checkAge(id recordID, a age, r *record, now time.Time) error {
	switch {
	case a.expired(now, s.opts.Window):
		return newError("begin", KindEarlierUnknown, "the key was made at %s, too long ago for the repeat window of %s",
			a.created.UTC().Format(time.RFC3339), s.opts.Window)
	case r == nil && !s.remembers(a, now):
		return newError("begin", KindEarlierUnknown,
			"the daemon started %s ago and doesn't know what ran before; a UUIDv7 key would show its age",
			now.Sub(s.started).Round(time.Second))
	case !s.history.complete(id, a, now):
		return newError("begin", KindEarlierUnknown, "the daemon doesn't know all earlier owners of the key yet")
	}
	return nil
}

// grantedSince reports whether the key was given to an owner by the version or a later one.
func (r *record) grantedSince(version cicadacross.Version) bool {
	for _, g := range r.grants {
		if g.version.Compare(version) >= 0 {
			return true
		}
	}
	return false
}

// abandon gives the key back if the attempt still holds it.
func (s *Store) abandon(a *attempt, now time.Time) {
	if a.record != nil && a.record.attempt == a {
		s.giveBack(a.record, now)
	}
}

// take notes the answer of an earlier owner.
func (s *Store) take(a *attempt, host string, answer Answer, failure error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Timers.Now()
	if a.record.attempt != a {
		return newError("begin", KindEarlierUnknown, "a later owner has claimed the key")
	}
	if failure != nil {
		s.abandon(a, now)
		return wrapError("begin", KindEarlierUnknown, failure, "earlier owner %q of the key can't be asked", host)
	}
	switch answer.State {
	case AnswerFenced:
		a.fenced[host] = true
		return nil
	case AnswerDone:
		if answer.Reply == nil {
			break
		}
		r := a.record
		a.record = nil
		r.fingerprint = answer.Fingerprint
		s.keep(r, *answer.Reply, now)
		return nil
	case AnswerRunning:
		s.abandon(a, now)
		return newError("begin", KindEarlierUnknown, "an earlier send is still running at host %q", host)
	case AnswerUnknown:
	}
	s.abandon(a, now)
	return newError("begin", KindEarlierUnknown, "an earlier send may have run at host %q", host)
}
