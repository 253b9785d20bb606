package idempotency

import (
	"container/list"
	"time"

	"cicadacross"
)

// state is what this daemon knows about a key.
type state int

const (
	// stateFenced means that the key did not run here and was granted to the hosts in record.grants.
	stateFenced state = iota
	// stateClaiming means that an attempt is asking earlier owners.
	stateClaiming
	// stateRunning means that an attempt has the permission to run.
	stateRunning
	// stateDone means that the key ran and that its response is stored.
	stateDone
	// stateUnknown means that the key may have run and that its response is not stored.
	stateUnknown
)

type recordID struct {
	service string
	key     string
}

// grant records that the host was told that the key is fenced here. version is the configuration version by which that
// host owns the key.
type grant struct {
	host    string
	version cicadacross.Version
}

// record is the state of one key on this daemon.
type record struct {
	id          recordID
	state       state
	fingerprint uint64                      // identifies the content of the request
	response    *cicadacross.StoredResponse // nil unless state is stateDone
	grants      []grant
	// attempt is the attempt that claims or runs the key; nil if there is none.
	attempt *attempt
	// attemptEnded is closed when the attempt ends; nil without an attempt.
	attemptEnded chan struct{}
	// expiryElement is the element of the record in Store.byExpiry. It is nil while an attempt holds the record, which
	// does not expire then.
	expiryElement *list.Element
	expiresAt     time.Time
}

// addGrant records that the key was granted to the host by the configuration version. Of several versions of one host
// it keeps the newest.
func (r *record) addGrant(host string, version cicadacross.Version) {
	for i := range r.grants {
		if r.grants[i].host == host {
			if version.Compare(r.grants[i].version) > 0 {
				r.grants[i].version = version
			}
			return
		}
	}
	r.grants = append(r.grants, grant{host: host, version: version})
}

// endAttempt ends the attempt that holds the record, if any, and puts the record into the state to, which expires after
// the repeat window.
func (s *Store) endAttempt(r *record, to state, now time.Time) {
	if r.attemptEnded != nil {
		close(r.attemptEnded)
		r.attemptEnded = nil
	}
	r.attempt = nil
	r.state = to
	r.expiresAt = now.Add(s.opts.Window)
	if r.expiryElement == nil {
		r.expiryElement = s.byExpiry.PushBack(r)
		return
	}
	s.byExpiry.MoveToBack(r.expiryElement)
}

// assign gives the record to the attempt and stops its expiry. If r is nil, a record is created.
func (s *Store) assign(r *record, a *attempt) *record {
	if r == nil {
		r = &record{id: a.id}
		s.records[r.id] = r
	}
	if r.expiryElement != nil {
		s.byExpiry.Remove(r.expiryElement)
		r.expiryElement = nil
	}
	r.state = stateClaiming
	r.attempt = a
	r.fingerprint = a.request.Fingerprint
	r.attemptEnded = make(chan struct{})
	return r
}

// release ends the attempt as one that did not run. A record with grants remains, because the key must stay fenced.
func (s *Store) release(r *record, now time.Time) {
	s.endAttempt(r, stateFenced, now)
	if len(r.grants) == 0 {
		s.remove(r)
	}
}

func (s *Store) remove(r *record) {
	s.byExpiry.Remove(r.expiryElement)
	delete(s.records, r.id)
	if r.response != nil {
		s.responseBytes -= responseSize(*r.response)
	}
}

// removeExpired removes the expired records. All records expire after the same window, so byExpiry is in order.
func (s *Store) removeExpired(now time.Time) {
	for e := s.byExpiry.Front(); e != nil; e = s.byExpiry.Front() {
		r := e.Value.(*record)
		if now.Before(r.expiresAt) {
			return
		}
		s.remove(r)
	}
}

// storeResponse ends the attempt and stores the response. If the body was not kept, or there is no room for the
// response, it records only that the key may have run.
func (s *Store) storeResponse(r *record, response cicadacross.StoredResponse, now time.Time) {
	size := responseSize(response)
	if response.Body == nil || size > MaxResponseSize || s.responseBytes+size > s.opts.MaxTotalResponseBytes {
		s.endAttempt(r, stateUnknown, now)
		return
	}
	s.responseBytes += size
	r.response = &response
	s.endAttempt(r, stateDone, now)
}

// responseSize returns the size of the body and the header in bytes.
func responseSize(response cicadacross.StoredResponse) int {
	size := len(response.Body)
	for name, values := range response.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}

// keyExecution implements cicadacross.KeyExecution for the attempt that holds the record.
type keyExecution struct {
	store   *Store
	record  *record
	started bool
	ended   bool
}

var _ cicadacross.KeyExecution = (*keyExecution)(nil)

func (e *keyExecution) Started() {
	e.store.mu.Lock()
	defer e.store.mu.Unlock()
	e.started = true
}

func (e *keyExecution) Done(response cicadacross.StoredResponse) {
	e.end(func(now time.Time) { e.store.storeResponse(e.record, response, now) })
}

func (e *keyExecution) NotRun() {
	e.end(func(now time.Time) {
		if e.started {
			// The upstream was called and may have run the request.
			e.store.endAttempt(e.record, stateUnknown, now)
			return
		}
		e.store.release(e.record, now)
	})
}

func (e *keyExecution) Unknown() {
	e.end(func(now time.Time) { e.store.endAttempt(e.record, stateUnknown, now) })
}

// end calls update with the lock of the store held, unless the execution has ended already.
func (e *keyExecution) end(update func(now time.Time)) {
	e.store.mu.Lock()
	defer e.store.mu.Unlock()
	if e.ended {
		return
	}
	e.ended = true
	update(e.store.opts.Timers.Now())
}
