package roster

import (
	"time"

	"cicadacross"
)

const (
	// tombstoneRetention is how long the tombstone of a removed record is kept, so that a daemon that was disconnected
	// can't restore the record.
	tombstoneRetention = 5 * time.Minute
	// outageThreshold is the time without a confirmation from the registry that counts as an outage. Confirmations arrive
	// every pingInterval.
	outageThreshold = 3 * time.Second
	// outageGracePeriod is the time after the end of an outage for which records that expired during the outage stay
	// effective. Live upstreams have registered again about 2 s after the registry returns.
	outageGracePeriod = 2200 * time.Millisecond
)

// replicaEntry is one record with the time at which this daemon, or the one that sent it, learned of it.
type replicaEntry struct {
	record    cicadacross.Record
	learnedAt time.Time
	// graceEnd is the time until which a removed record stays effective with lastValue, its value before the removal;
	// the zero time means that the removal takes effect immediately.
	graceEnd  time.Time
	lastValue []byte
}

// update is a set of records from the registry or from another daemon.
type update struct {
	changes cicadacross.Changes
	// recordAges holds, for records from another daemon, how long that daemon has known each; nil means that all are new.
	recordAges []time.Duration
	// snapshot reports that the update holds all records, so that those missing from it have been removed.
	snapshot bool
	// confirmationAge is the time since the registry confirmed that the records are complete.
	confirmationAge time.Duration
}

// replica is this daemon's copy of the registry. Revisions order all changes, so that updates may arrive from any
// daemon and in any order. Only the control goroutine uses it.
type replica struct {
	records map[string]*replicaEntry
	// revision is the revision up to which the replica is complete; 0 means that nothing is known.
	revision cicadacross.Revision
	// confirmedAt is the last time at which the registry was known to have no further changes.
	confirmedAt time.Time
	// lastOutageEnd is the time at which the last outage ended; the zero time means that there was none.
	lastOutageEnd time.Time
}

func newReplica() *replica {
	return &replica{records: make(map[string]*replicaEntry)}
}

// recordConfirmation records that the registry confirmed the replica at the time at. It records the end of an outage
// when the previous confirmation is older than at by more than outageThreshold.
func (r *replica) recordConfirmation(now, at time.Time) {
	if !at.After(r.confirmedAt) {
		return
	}
	if !r.confirmedAt.IsZero() && at.Sub(r.confirmedAt) > outageThreshold {
		r.lastOutageEnd = now
	}
	r.confirmedAt = at
}

// change is a changed record with its previous state; previous is the zero Record when the record was unknown.
type change struct {
	record   cicadacross.Record
	previous cicadacross.Record
}

// merge applies an update and returns the records that changed.
func (r *replica) merge(now time.Time, u update) []change {
	r.recordConfirmation(now, now.Add(-u.confirmationAge))
	var changed []change
	present := make(map[string]bool, len(u.changes.Records))
	for i, record := range u.changes.Records {
		present[record.Key] = true
		learnedAt := now
		if u.recordAges != nil {
			learnedAt = now.Add(-u.recordAges[i])
		}
		previous := r.record(record.Key)
		if r.applyRecord(record, learnedAt) {
			changed = append(changed, change{record, previous})
		}
	}
	if u.snapshot {
		changed = append(changed, r.removeAbsent(now, u, present)...)
	}
	r.revision = max(r.revision, u.changes.Revision)
	return changed
}

// record returns the latest known record with the key, which may be a removed one, or the zero Record if none is known.
func (r *replica) record(key string) cicadacross.Record {
	if entry, ok := r.records[key]; ok {
		return entry.record
	}
	return cicadacross.Record{}
}

// applyRecord stores the record and reports whether it is newer than the stored one.
func (r *replica) applyRecord(record cicadacross.Record, learnedAt time.Time) bool {
	previous, ok := r.records[record.Key]
	if ok && previous.record.Revision >= record.Revision {
		return false
	}
	entry := &replicaEntry{record: record, learnedAt: learnedAt}
	if ok && record.Removed && !previous.record.Removed {
		entry.lastValue = previous.record.Value
		entry.graceEnd = r.graceDeadline()
	}
	r.records[record.Key] = entry
	return true
}

// graceDeadline returns the end of the grace period after the last outage, up to which a removed record stays
// effective, or the zero time when there was no outage.
func (r *replica) graceDeadline() time.Time {
	if r.lastOutageEnd.IsZero() {
		return time.Time{}
	}
	return r.lastOutageEnd.Add(outageGracePeriod)
}

// removeAbsent removes the records that are missing from the snapshot u, unless they changed after its revision, and
// returns the changes. The set present holds the keys of the snapshot.
func (r *replica) removeAbsent(now time.Time, u update, present map[string]bool) []change {
	var removed []change
	for key, entry := range r.records {
		if present[key] || entry.record.Removed || entry.record.Revision > u.changes.Revision {
			continue
		}
		tombstone := cicadacross.Record{Key: key, Revision: u.changes.Revision, Removed: true}
		previous := entry.record
		if r.applyRecord(tombstone, now) {
			removed = append(removed, change{tombstone, previous})
		}
	}
	return removed
}

// effective returns the record that is effective at the time now, or false when it has been removed and its grace
// period, if any, is over.
func (e *replicaEntry) effective(now time.Time) (cicadacross.Record, bool) {
	if !e.record.Removed {
		return e.record, true
	}
	if now.Before(e.graceEnd) {
		return cicadacross.Record{Key: e.record.Key, Value: e.lastValue, Revision: e.record.Revision}, true
	}
	return cicadacross.Record{}, false
}

// nextGraceEnd returns the time after now at which the next grace period of a removed record ends, or the zero time
// when there is none.
func (r *replica) nextGraceEnd(now time.Time) time.Time {
	var next time.Time
	for _, entry := range r.records {
		if entry.graceEnd.After(now) && (next.IsZero() || entry.graceEnd.Before(next)) {
			next = entry.graceEnd
		}
	}
	return next
}

// prune deletes tombstones that are older than tombstoneRetention.
func (r *replica) prune(now time.Time) {
	for key, entry := range r.records {
		if entry.record.Removed && now.Sub(entry.learnedAt) > tombstoneRetention {
			delete(r.records, key)
		}
	}
}

// updateSince returns the records that changed after the revision, and how long each has been known.
func (r *replica) updateSince(now time.Time, after cicadacross.Revision) update {
	var u update
	u.changes.Revision = r.revision
	for _, entry := range r.records {
		if entry.record.Revision > after {
			u.changes.Records = append(u.changes.Records, entry.record)
			u.recordAges = append(u.recordAges, now.Sub(entry.learnedAt))
		}
	}
	return u
}
