package idempotency

import (
	"container/list"
	"time"

	"cicadacross"
)

// state is what this daemon knows about a key.
type state int

const (
	// stateFenced: the key never ran here and was given to the hosts in record.grants.
	stateFenced state = iota
	// stateClaiming: an attempt is asking earlier owners.
	stateClaiming
	// stateRunning: an attempt has the permission to run.
	stateRunning
	stateDone
	stateUnknown
)

type recordID struct {
	service string
	key     string
}

// grant says that a host was told that the key doesn't run here.
type grant struct {
	host    string
	version cicadacross.Version
}

type record struct {
	id          recordID
	state       state
	fingerprint uint64
	reply       *cicadacross.StoredResponse
	grants      []grant
	// attempt is the one that claims or runs the key.
	attempt *attempt
	// changed is closed when the attempt ends; nil without an attempt.
	changed chan struct{}
	// element is the place in Store.expiring; nil while an attempt holds the record, which then doesn't expire.
	element *list.Element
	expires time.Time
}

// addGrant remembers that the host was given the key by the version.
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

// settle ends the attempt that holds the record and puts the record into a state that expires.
func (s *Store) settle(r *record, to state, now time.Time) {
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
	r.attempt = nil
	r.state = to
	r.expires = now.Add(s.opts.Window)
	if r.element == nil {
		r.element = s.expiring.PushBack(r)
		return
	}
	s.expiring.MoveToBack(r.element)
}

// hold gives the record to the attempt. A nil record is created.
func (s *Store) hold(r *record, a *attempt) *record {
	if r == nil {
		r = &record{id: a.id}
		s.records[r.id] = r
	}
	if r.element != nil {
		s.expiring.Remove(r.element)
		r.element = nil
	}
	r.state = stateClaiming
	r.attempt = a
	r.fingerprint = a.request.Fingerprint
	r.changed = make(chan struct{})
	return r
}

// giveBack ends the attempt as one that didn't run. A record with grants stays, since its fence must.
func (s *Store) giveBack(r *record, now time.Time) {
	s.settle(r, stateFenced, now)
	if len(r.grants) == 0 {
		s.drop(r)
	}
}

func (s *Store) drop(r *record) {
	s.expiring.Remove(r.element)
	delete(s.records, r.id)
	if r.reply != nil {
		s.replyBytes -= replySize(*r.reply)
	}
}

// sweep drops the records that have expired. All live for one window, so the list is in order.
func (s *Store) sweep(now time.Time) {
	for e := s.expiring.Front(); e != nil; e = s.expiring.Front() {
		r := e.Value.(*record)
		if now.Before(r.expires) {
			return
		}
		s.drop(r)
	}
}

// keep stores the reply if there is room, or else the fact that the key may have run.
func (s *Store) keep(r *record, reply cicadacross.StoredResponse, now time.Time) {
	size := replySize(reply)
	if reply.Body == nil || size > MaxReply || s.replyBytes+size > s.opts.MaxReplyBytes {
		s.settle(r, stateUnknown, now)
		return
	}
	s.replyBytes += size
	r.reply = &reply
	s.settle(r, stateDone, now)
}

func replySize(reply cicadacross.StoredResponse) int {
	size := len(reply.Body)
	for name, values := range reply.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}

// keyRun implements cicadacross.KeyRun for the attempt that holds the record.
type keyRun struct {
	store   *Store
	record  *record
	started bool
	ended   bool
}

var _ cicadacross.KeyExecution = (*keyRun)(nil)

func (r *keyRun) Started() {
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	r.started = true
}

func (r *keyRun) Done(reply cicadacross.StoredResponse) {
	r.end(func(now time.Time) { r.store.keep(r.record, reply, now) })
}

func (r *keyRun) NotRun() {
	r.end(func(now time.Time) {
		if r.started {
			r.store.settle(r.record, stateUnknown, now)
			return
		}
		r.store.giveBack(r.record, now)
	})
}

func (r *keyRun) Unknown() {
	r.end(func(now time.Time) { r.store.settle(r.record, stateUnknown, now) })
}

func (r *keyRun) end(how func(now time.Time)) {
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	if r.ended {
		return
	}
	r.ended = true
	how(r.store.opts.Timers.Now())
}
