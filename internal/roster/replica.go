package roster

import (
	"time"

	"cicadacross"
)

const (
	// tombstoneAge is how long a removed record is remembered, so that a daemon that was cut off doesn't bring it back.
	tombstoneAge = 5 * time.Minute
	// outageLength is the time without a confirmation from the registry that counts as an outage. Confirmations come
	// every pingInterval.
	outageLength = 3 * time.Second
	// lapseGrace is how long after an outage the records that lapsed during it still count. Upstreams that live have
	// registered again about 2 s after the return of the registry.
	lapseGrace = 2200 * time.Millisecond
)

// held is one record with the time at which this daemon, or the one that told it, learned of it.
type held struct {
	record  cicadacross.Record
	learned time.Time
	// lapsedUntil is set for a removed record that still counts until then; value holds what it was.
	lapsedUntil time.Time
	value       []byte
}

// update is a set of records from the registry or from another daemon.
type update struct {
	changes cicadacross.Changes
	// ages holds, for records of another daemon, how long it has known each; nil means that all are new.
	ages []time.Duration
	// whole says that records that the update doesn't hold are gone.
	whole bool
	// age is the time since the registry confirmed that the records are complete.
	age time.Duration
}

// replica is this daemon's copy of the registry. Revisions order all changes, so that updates may come from any daemon
// and in any order. Only the control goroutine uses it.
type replica struct {
	records map[string]*held
	// complete is the revision up to which no record is missing; 0 when nothing is known.
	complete cicadacross.Revision
	// confirmed is the last time at which the registry was known to have no further change.
	confirmed time.Time
	// returned is the time at which the last outage ended.
	returned time.Time
}

func newReplica() *replica {
	return &replica{records: make(map[string]*held)}
}

// confirm notes that the registry was heard at the time.
func (r *replica) confirm(now, at time.Time) {
	if !at.After(r.confirmed) {
		return
	}
	if !r.confirmed.IsZero() && at.Sub(r.confirmed) > outageLength {
		r.returned = now
	}
	r.confirmed = at
}

// change is a record that changed, with what it was before.
type change struct {
	record   cicadacross.Record
	previous cicadacross.Record
}

// merge takes an update and returns the records that changed.
func (r *replica) merge(now time.Time, u update) []change {
	r.confirm(now, now.Add(-u.age))
	var changed []change
	present := make(map[string]bool, len(u.changes.Records))
	for i, record := range u.changes.Records {
		present[record.Key] = true
		learned := now
		if u.ages != nil {
			learned = now.Add(-u.ages[i])
		}
		previous := r.record(record.Key)
		if r.put(record, learned) {
			changed = append(changed, change{record, previous})
		}
	}
	if u.whole {
		changed = append(changed, r.removeAbsent(now, u, present)...)
	}
	r.complete = max(r.complete, u.changes.Revision)
	return changed
}

// record returns what is known of a record; the zero Record means nothing.
func (r *replica) record(key string) cicadacross.Record {
	if h, ok := r.records[key]; ok {
		return h.record
	}
	return cicadacross.Record{}
}

func (r *replica) put(record cicadacross.Record, learned time.Time) bool {
	h, ok := r.records[record.Key]
	if ok && h.record.Revision >= record.Revision {
		return false
	}
	next := &held{record: record, learned: learned}
	if ok && record.Removed && !h.record.Removed {
		next.value = h.record.Value
		next.lapsedUntil = r.lapse()
	}
	r.records[record.Key] = next
	return true
}

// lapse returns until when a record that is removed now still counts, or the zero time.
func (r *replica) lapse() time.Time {
	if r.returned.IsZero() {
		return time.Time{}
	}
	return r.returned.Add(lapseGrace)
}

func (r *replica) removeAbsent(now time.Time, u update, present map[string]bool) []change {
	var removed []change
	for key, h := range r.records {
		if present[key] || h.record.Removed || h.record.Revision > u.changes.Revision {
			continue
		}
		gone := cicadacross.Record{Key: key, Revision: u.changes.Revision, Removed: true}
		previous := h.record
		if r.put(gone, now) {
			removed = append(removed, change{gone, previous})
		}
	}
	return removed
}

// present returns what a record says at present, or false when it is gone.
func (h *held) present(now time.Time) (cicadacross.Record, bool) {
	if !h.record.Removed {
		return h.record, true
	}
	if now.Before(h.lapsedUntil) {
		return cicadacross.Record{Key: h.record.Key, Value: h.value, Revision: h.record.Revision}, true
	}
	return cicadacross.Record{}, false
}

// nextLapse returns the time at which the next lapsed record stops to count, or the zero time.
func (r *replica) nextLapse(now time.Time) time.Time {
	var next time.Time
	for _, h := range r.records {
		if h.lapsedUntil.After(now) && (next.IsZero() || h.lapsedUntil.Before(next)) {
			next = h.lapsedUntil
		}
	}
	return next
}

// prune forgets old tombstones.
func (r *replica) prune(now time.Time) {
	for key, h := range r.records {
		if h.record.Removed && now.Sub(h.learned) > tombstoneAge {
			delete(r.records, key)
		}
	}
}

// since returns the records that changed after the revision, and how long each has been known.
func (r *replica) since(now time.Time, after cicadacross.Revision) update {
	var u update
	u.changes.Revision = r.complete
	for _, h := range r.records {
		if h.record.Revision > after {
			u.changes.Records = append(u.changes.Records, h.record)
			u.ages = append(u.ages, now.Sub(h.learned))
		}
	}
	return u
}
