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
	// again or since the record of the registry is older, which is ignored. Daemons that didn't know the content before
	// that change may hold the older one at the same position.
	kept bool
	// restored is the record of the registry, which this removed one replaces until holdEnd; the zero time means none.
	restored cicadacross.Record
	holdEnd  time.Time
	// originEra is the era in which the content was learned.
	originEra uint64
}

// update is a set of records from the registry or from another daemon.
type update struct {
	changes cicadacross.Changes
	// details holds, for records from another daemon, what that daemon knows of each; nil means that all are new.
	details []recordDetails
	// snapshot reports that the update holds or names all records, so that those missing from it have been removed.
	snapshot bool
	// presentKeys names the existing records that a snapshot leaves out because the receiver has them.
	presentKeys []string
	// confirmationAge is the time since the registry confirmed that the records are complete.
	confirmationAge time.Duration
}

// recordDetails is what a daemon knows of a record besides what the registry holds.
type recordDetails struct {
	// age is how long the daemon has known the record.
	age time.Duration
	// lastValue is the value of a removed record before its removal. It is set while grace or hold is.
	lastValue []byte
	// grace and hold are the remaining times until replicaEntry.graceEnd and replicaEntry.holdEnd; 0 means none.
	grace time.Duration
	hold  time.Duration
}

// replica is this daemon's copy of the registry. Positions order all changes, so that updates may arrive from any
// daemon and in any order. Only the control goroutine uses it.
type replica struct {
	opts    *Options
	records map[string]*replicaEntry
	// lateWrites counts the ignored late writes of older states.
	lateWrites metrics.Counter
	// earlierEra counts the ignored updates of an era before that of the replica.
	earlierEra metrics.Counter
	era        metrics.Gauge
	// position is the position up to which the replica is complete; the zero Position means that nothing is known.
	position cicadacross.Position
	// historyStart is the position since which the replica knows all removals. A snapshot shows which records exist, but
	// not which ones existed before it.
	historyStart cicadacross.Position
	// confirmedAt is the last time at which the registry was known to have no further changes.
	confirmedAt time.Time
	// lastOutageEnd is the time at which the last outage ended or another era was noticed; the zero time means never.
	lastOutageEnd time.Time
}

func newReplica(opts *Options) *replica {
	return &replica{
		opts: opts, records: make(map[string]*replicaEntry),
		lateWrites: metrics.GetOrRegisterCounter("registry.late_writes", opts.Metrics),
		earlierEra: metrics.GetOrRegisterCounter(earlierEraMetric, opts.Metrics),
		era:        metrics.GetOrRegisterGauge("registry.era", opts.Metrics),
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
	if !r.admits(u) {
		return nil
	}
	r.enterEra(now, u.changes.Position)
	r.recordConfirmation(now, now.Add(-u.confirmationAge))
	var changed []change
	present := make(map[string]bool, len(u.changes.Records)+len(u.presentKeys))
	for _, key := range u.presentKeys {
		present[key] = true
	}
	for i, record := range u.changes.Records {
		present[record.Key] = true
		var details recordDetails
		if u.details != nil {
			details = u.details[i]
		}
		previous := r.record(record.Key)
		if r.applyRecord(now, record, details) {
			changed = append(changed, change{r.record(record.Key), previous})
		}
	}
	if u.snapshot {
		changed = append(changed, r.removeAbsent(now, u, present)...)
		if r.position.Before(u.changes.Position) {
			r.historyStart = u.changes.Position
		}
	}
	r.position = cicadacross.LaterPosition(r.position, u.changes.Position)
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
func (r *replica) applyRecord(now time.Time, record cicadacross.Record, details recordDetails) bool {
	previous, known := r.records[record.Key]
	if !known && r.isKnownRemoved(record, details) {
		return false
	}
	entry := r.newEntry(now, record, details)
	if known {
		switch order := record.Position.Compare(previous.record.Position); {
		case order < 0:
			return false
		case order == 0:
			if !r.supersedes(entry, previous) {
				return false
			}
			entry.kept = true
			entry.inherit(previous)
			if entry.restored.Key != "" && !previous.record.Removed {
				entry.restored = previous.record
			}
		default:
			entry = r.resolve(now, previous, entry)
		}
	}
	r.records[record.Key] = entry
	return true
}

// isKnownRemoved reports whether a record without an entry has been removed meanwhile: the replica, which is complete
// up to a later position, doesn't have it. The daemon that sent it hasn't learned of the removal yet. Only a routing
// may be known to other daemons alone, since they keep one that a restored registry lacks, and a removed record in its
// grace period.
func (r *replica) isKnownRemoved(record cicadacross.Record, details recordDetails) bool {
	return record.Position.Era() == r.position.Era() && !r.position.Before(record.Position) &&
		record.Key != r.opts.Format.RoutingKey() && details.grace <= 0
}

// newEntry returns an entry for the record, decoded if it is the record of an upstream. It drops the value of a record
// that is never used, so that it takes no memory and isn't sent to other daemons.
func (r *replica) newEntry(now time.Time, record cicadacross.Record, details recordDetails) *replicaEntry {
	learnedAt := now.Add(-details.age)
	entry := &replicaEntry{record: record, learnedAt: learnedAt, originEra: record.Position.Era()}
	if record.Removed && len(details.lastValue) > 0 {
		last := record
		last.Removed, last.Value = false, details.lastValue
		entry.state = r.newEntry(now, last, recordDetails{age: details.age}).state
		if details.hold > 0 {
			entry.restored, entry.holdEnd = last, now.Add(details.hold)
		}
	}
	if record.Removed && details.grace > 0 {
		entry.graceEnd = now.Add(details.grace)
	}
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
		r.opts.Logger.Info("ignoring an invalid instance record", "key", record.Key,
			"revision", uint64(record.Position.Revision()), "reason", err.Error())
		entry.record.Value, entry.invalid = nil, true
		return entry
	}
	entry.state = &instance{position: record.Position, decoded: decoded, value: record.Value}
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

// supersedes reports whether the entry replaces another one of the same position. The two differ only when one of the
// daemons ignored the record of the registry at this position: it keeps a newer content or a removal.
func (r *replica) supersedes(entry, other *replicaEntry) bool {
	switch {
	case entry.record.Key == r.opts.Format.RoutingKey() && entry.record.Removed != other.record.Removed:
		return other.record.Removed
	case entry.record.Removed || other.record.Removed:
		return entry.record.Removed && !other.record.Removed
	case entry.record.Key == r.opts.Format.RoutingKey():
		return r.compareRoutings(entry.record, other.record) > 0
	default:
		return other.isLateWriteAfter(entry)
	}
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
		"revision", uint64(late.record.Position.Revision()), "generation", late.state.decoded.Generation,
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

// removeAbsent removes the records that are missing from the snapshot u, unless they changed after its position, and
// returns the changes. The set present holds the keys of the snapshot.
func (r *replica) removeAbsent(now time.Time, u update, present map[string]bool) []change {
	var removed []change
	for key, entry := range r.records {
		if present[key] || !entry.record.Position.Before(u.changes.Position) {
			continue
		}
		sameEra := u.changes.Position.Era() == entry.record.Position.Era()
		switch {
		case !entry.record.Removed:
		case sameEra:
			entry.holdEnd = time.Time{}
			continue
		case !entry.isEffective(now):
			// A record that is written in the later era isn't that of an older copy.
			entry.record.Position = u.changes.Position
			continue
		}
		tombstone := cicadacross.Record{Key: key, Position: u.changes.Position, Removed: true}
		previous := entry.record
		if r.applyRecord(now, tombstone, recordDetails{}) {
			removed = append(removed, change{r.record(key), previous})
		}
	}
	return removed
}

// effectiveInstance returns the state of the upstream that is effective at the time now. It returns nil when there is
// none: the record is invalid, or it was removed and its grace period, if any, is over.
func (e *replicaEntry) effectiveInstance(now time.Time) *instance {
	if e.invalid || !e.isEffective(now) {
		return nil
	}
	return e.state
}

// isEffective reports whether the record wasn't removed or is still in its grace period.
func (e *replicaEntry) isEffective(now time.Time) bool {
	return !e.record.Removed || now.Before(e.graceEnd)
}

// nextDeadline returns the time at which the next grace period of a removed record ends after builtAt, or the next hold
// of one. It returns the zero time when there is none.
func (r *replica) nextDeadline(builtAt time.Time) time.Time {
	var next time.Time
	for _, entry := range r.records {
		if entry.graceEnd.After(builtAt) && (next.IsZero() || entry.graceEnd.Before(next)) {
			next = entry.graceEnd
		}
		if !entry.holdEnd.IsZero() && (next.IsZero() || entry.holdEnd.Before(next)) {
			next = entry.holdEnd
		}
	}
	return next
}

// prune deletes tombstones that are older than tombstoneRetention.
func (r *replica) prune(now time.Time) {
	for key, entry := range r.records {
		if entry.record.Removed && now.Sub(entry.learnedAt) > tombstoneRetention {
			delete(r.records, key)
			r.historyStart = cicadacross.LaterPosition(r.historyStart, entry.record.Position)
		}
	}
}

// updateSince returns the records that changed after the position, which those in the replica of another daemon are
// complete up to. It includes those that the other daemon may know differently at the same position. The update is a
// snapshot if the replica can't name all that was removed after the position.
func (r *replica) updateSince(now time.Time, after cicadacross.Position) update {
	hasNone := after.IsZero() || after.Era() != r.position.Era()
	u := update{snapshot: hasNone || after.Before(r.historyStart)}
	u.changes.Position = r.position
	for key, entry := range r.records {
		switch {
		case hasNone || after.Before(entry.record.Position) || entry.mayDiffer(now):
			u.changes.Records = append(u.changes.Records, entry.record)
			u.details = append(u.details, entry.details(now))
		case u.snapshot && !entry.record.Removed:
			u.presentKeys = append(u.presentKeys, key)
		}
	}
	return u
}

// presentKeys returns the keys of the existing records other than the changed ones.
func (r *replica) presentKeys(changed []change) []string {
	isChanged := make(map[string]bool, len(changed))
	for _, c := range changed {
		isChanged[c.record.Key] = true
	}
	var keys []string
	for key, entry := range r.records {
		if !entry.record.Removed && !isChanged[key] {
			keys = append(keys, key)
		}
	}
	return keys
}

// mayDiffer reports whether other daemons may have another content of the record at the same position.
func (e *replicaEntry) mayDiffer(now time.Time) bool {
	return e.kept || e.record.Removed && (e.isEffective(now) || !e.holdEnd.IsZero())
}

// details returns what another daemon must know of the record besides its content.
func (e *replicaEntry) details(now time.Time) recordDetails {
	details := recordDetails{age: now.Sub(e.learnedAt)}
	if !e.record.Removed {
		return details
	}
	details.grace = max(0, e.graceEnd.Sub(now))
	if !e.holdEnd.IsZero() {
		details.hold = max(0, e.holdEnd.Sub(now))
	}
	if e.state != nil && (details.grace > 0 || details.hold > 0) {
		details.lastValue = e.state.value
	}
	return details
}
