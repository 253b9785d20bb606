package roster

import (
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

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
	// graceEnd is the time until which a removed record stays effective with its state before the removal; the zero time
	// means that the removal takes effect immediately.
	graceEnd time.Time
	// state is the newest state that an upstream has written to the record. It is kept when the record is removed or
	// becomes invalid, so that a late write of an older state is recognized. It is nil when none is known.
	state *instance
	// invalid reports that the record holds no valid state of an upstream.
	invalid bool
	// kept reports that the record has the same content as before its last change, either since the upstream wrote it
	// again or since the registry completed a write of an older state, which is ignored. Daemons that didn't know the
	// content before that change may hold the older state at the same revision.
	kept bool
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
	opts    *Options
	records map[string]*replicaEntry
	// lateWrites counts the ignored late writes of older states.
	lateWrites metrics.Counter
	// revision is the revision up to which the replica is complete; 0 means that nothing is known.
	revision cicadacross.Revision
	// confirmedAt is the last time at which the registry was known to have no further changes.
	confirmedAt time.Time
	// lastOutageEnd is the time at which the last outage ended; the zero time means that there was none.
	lastOutageEnd time.Time
}

func newReplica(opts *Options) *replica {
	return &replica{
		opts: opts, records: make(map[string]*replicaEntry),
		lateWrites: metrics.GetOrRegisterCounter("registry.late_writes", opts.Metrics),
	}
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
			changed = append(changed, change{r.record(record.Key), previous})
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

// applyRecord applies a record that may be older or newer than the stored one, and reports whether the entry changed.
func (r *replica) applyRecord(record cicadacross.Record, learnedAt time.Time) bool {
	entry := r.newEntry(record, learnedAt)
	previous, ok := r.records[record.Key]
	switch {
	case !ok:
	case previous.record.Revision > record.Revision:
		return false
	case previous.record.Revision == record.Revision:
		if !entry.supersedes(previous) {
			return false
		}
		entry.kept = true
		entry.inherit(previous)
	case entry.isLateWriteAfter(previous):
		// Only the revision changes, so that the record isn't requested again.
		r.logLateWrite(entry, previous)
		kept := *previous
		kept.record.Revision, kept.kept = record.Revision, true
		entry = &kept
	default:
		entry.kept = entry.hasStateOf(previous)
		if record.Removed && !previous.record.Removed {
			entry.graceEnd = r.graceDeadline()
		}
		entry.inherit(previous)
	}
	r.records[record.Key] = entry
	return true
}

// newEntry returns an entry for the record, decoded if it is the record of an upstream. It drops the value of a record
// that is never used, so that it takes no memory and isn't sent to other daemons.
func (r *replica) newEntry(record cicadacross.Record, learnedAt time.Time) *replicaEntry {
	entry := &replicaEntry{record: record, learnedAt: learnedAt}
	isInstance := strings.HasPrefix(record.Key, r.opts.Format.InstancePrefix())
	switch {
	case record.Removed || record.Key == r.opts.Format.RoutingKey():
		return entry
	case !isInstance || len(record.Value) == 0:
		// The daemon that dropped an invalid value has logged the reason.
		entry.record.Value, entry.invalid = nil, isInstance
		return entry
	}
	decoded, err := r.opts.Format.Instance(record)
	if err != nil {
		r.opts.Logger.Info("ignoring an invalid instance record", "key", record.Key, "revision", uint64(record.Revision),
			"reason", err.Error())
		entry.record.Value, entry.invalid = nil, true
		return entry
	}
	entry.state = &instance{revision: record.Revision, decoded: decoded}
	if decoded.WarmupRemaining > 0 {
		entry.state.warmupEnd = learnedAt.Add(decoded.WarmupRemaining)
	}
	return entry
}

// inherit keeps the last known state of the upstream when the record has none.
func (e *replicaEntry) inherit(previous *replicaEntry) {
	if e.state == nil {
		e.state = previous.state
	}
}

// isLateWriteAfter reports whether the record holds an older state of the upstream than the previous record did. The
// upstream wrote it earlier, and the registry completed the write later.
func (e *replicaEntry) isLateWriteAfter(previous *replicaEntry) bool {
	return e.state != nil && previous.state != nil && e.state.writtenBefore(previous.state)
}

// supersedes reports whether the entry replaces another one of the same revision. The two differ only when one of the
// daemons ignored a late write at this revision: it keeps a newer state, or that the record was removed.
func (e *replicaEntry) supersedes(other *replicaEntry) bool {
	if e.record.Removed || other.record.Removed {
		return e.record.Removed && !other.record.Removed
	}
	return other.isLateWriteAfter(e)
}

// hasStateOf reports whether both entries hold the same state of an upstream.
func (e *replicaEntry) hasStateOf(other *replicaEntry) bool {
	if e.state == nil || other.state == nil {
		return false
	}
	a, b := e.state.decoded, other.state.decoded
	return a.Service == b.Service && a.Generation == b.Generation && a.Sequence == b.Sequence
}

func (r *replica) logLateWrite(late, held *replicaEntry) {
	r.lateWrites.Inc(1)
	r.opts.Logger.Info("ignoring a late write of an older state", "key", late.record.Key,
		"revision", uint64(late.record.Revision), "generation", late.state.decoded.Generation,
		"sequence", late.state.decoded.Sequence, "held_generation", held.state.decoded.Generation,
		"held_sequence", held.state.decoded.Sequence, "removed", held.record.Removed)
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
		if present[key] || entry.record.Removed || entry.record.Revision >= u.changes.Revision {
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

// effectiveInstance returns the state of the upstream that is effective at the time now. It returns nil when there is
// none: the record is invalid, or it was removed and its grace period, if any, is over.
func (e *replicaEntry) effectiveInstance(now time.Time) *instance {
	if e.invalid || (e.record.Removed && !now.Before(e.graceEnd)) {
		return nil
	}
	return e.state
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

// updateSince returns the records that changed after the revision, and how long each has been known. It includes those
// that other daemons may know differently at the same revision.
func (r *replica) updateSince(now time.Time, after cicadacross.Revision) update {
	var u update
	u.changes.Revision = r.revision
	for _, entry := range r.records {
		if entry.record.Revision > after || entry.kept {
			u.changes.Records = append(u.changes.Records, entry.record)
			u.recordAges = append(u.recordAges, now.Sub(entry.learnedAt))
		}
	}
	return u
}
