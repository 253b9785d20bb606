package roster

import (
	"bytes"
	"cmp"
	"strings"
	"time"

	"cicadacross"
)

// earlierEraMetric is the name of the counter of ignored updates, and ignored responses of the registry, of an earlier
// era.
const earlierEraMetric = "registry.earlier_era_ignored"

// removalHold is the time for which an upstream stays removed although a copy of the registry that was made before the
// removal has its record. The registry removes the record again within that time unless the upstream lives.
const removalHold = 15 * time.Second

// evacuationGracePeriod is how long an evacuation that a copy of the registry lacks stays in force. It is longer than
// the grace period of upstreams, since requests in an evacuated zone do more harm than a zone that is used late.
const evacuationGracePeriod = 15 * time.Second

// admits reports whether an update may be merged. Records of two eras must not be mixed: an update of an earlier era is
// ignored, and a later era begins only with a set of all records.
func (r *replica) admits(u update) bool {
	if r.position.IsZero() {
		return true
	}
	switch era := u.changes.Position.Era(); {
	case era < r.position.Era():
		r.earlierEra.Inc(1)
		return false
	case era > r.position.Era():
		return u.snapshot
	default:
		return true
	}
}

// enterEra records the era of an admitted update. The registry has lost its latest changes when it begins another era,
// so that the grace period of removed records begins anew.
func (r *replica) enterEra(now time.Time, position cicadacross.Position) {
	if position.Era() == r.position.Era() {
		return
	}
	r.era.Update(int64(position.Era())) // #nosec G115 -- a gauge
	if r.position.IsZero() {
		return
	}
	r.opts.Logger.Info("registry has begun another era", "era", position.Era(), "revision", uint64(position.Revision()),
		"previous_era", r.position.Era(), "previous_revision", uint64(r.position.Revision()))
	r.lastOutageEnd = now
}

// resolve returns the entry for a key whose record has changed to next at a later position. The content of the previous
// entry is kept when it is known to be newer: the registry has completed a late write, or it was restored from a copy
// that is older than the content.
func (r *replica) resolve(now time.Time, previous, next *replicaEntry) *replicaEntry {
	laterEra := next.isOfLaterEraThan(previous)
	switch {
	case !laterEra && next.isLateWriteAfter(previous):
		r.logLateWrite(next, previous)
		return previous.movedTo(next.record.Position)
	case r.isOlderRouting(previous, next), laterEra && next.isOlderCopyOf(now, previous):
		r.opts.Logger.Info("keeping a record that is newer than that of the registry", "key", next.record.Key,
			"era", next.record.Position.Era(), "revision", uint64(next.record.Position.Revision()),
			"removed", previous.record.Removed)
		kept := previous.movedTo(next.record.Position)
		if previous.record.Removed && next.hasStateOf(previous) {
			kept.restored, kept.holdEnd = next.record, now.Add(removalHold)
		}
		return kept
	}
	next.kept = next.hasStateOf(previous)
	if laterEra {
		next.continueFrom(previous)
	}
	if next.record.Removed && (!previous.record.Removed || laterEra && previous.isEffective(now)) {
		next.graceEnd = r.graceDeadline()
		if laterEra && strings.HasPrefix(next.record.Key, r.opts.Format.EvacuationPrefix()) {
			next.graceEnd = now.Add(evacuationGracePeriod)
		}
	}
	next.inherit(previous)
	return next
}

// endHolds applies the restored records whose removal isn't held any more, and returns the changes. The registry is
// known to have them at the position of the replica, which must be later than that of the removal.
func (r *replica) endHolds(now time.Time) []change {
	var changed []change
	for key, entry := range r.records {
		if entry.holdEnd.IsZero() || now.Before(entry.holdEnd) {
			continue
		}
		if !entry.record.Position.Before(r.position) {
			entry.holdEnd = now.Add(time.Second)
			continue
		}
		record, previous := entry.restored, entry.record
		record.Position = r.position
		entry.restored, entry.holdEnd = cicadacross.Record{}, time.Time{}
		if r.applyRecord(now, record, recordDetails{}) {
			changed = append(changed, change{r.record(key), previous})
		}
	}
	return changed
}

func (e *replicaEntry) isOfLaterEraThan(previous *replicaEntry) bool {
	return e.record.Position.Era() > previous.record.Position.Era()
}

// isOlderCopyOf reports whether the record of a later era holds an older state of the upstream than the previous entry.
// Of a removed record, it also is older with the last state before the removal: the copy was made before it. A removal
// in its grace period doesn't count, since only the copy of the previous era lacked the record.
func (e *replicaEntry) isOlderCopyOf(now time.Time, previous *replicaEntry) bool {
	if !previous.record.Removed || e.record.Removed {
		return e.isLateWriteAfter(previous)
	}
	return !previous.isEffective(now) && (e.isLateWriteAfter(previous) || e.hasStateOf(previous))
}

// continueFrom takes over from the entry of an earlier era what the record of the registry doesn't change.
func (e *replicaEntry) continueFrom(previous *replicaEntry) {
	switch {
	case e.record.Removed:
	case e.isLateWriteAfter(previous):
		e.record.Value, e.state, e.kept = previous.state.value, previous.state, true
	case bytes.Equal(e.record.Value, previous.record.Value):
		e.kept, e.learnedAt = true, previous.learnedAt
		if e.state != nil {
			e.state.warmupEnd = previous.state.warmupEnd
		}
	}
}

// movedTo returns the entry with another position, so that the record of the registry there isn't requested again.
func (e *replicaEntry) movedTo(position cicadacross.Position) *replicaEntry {
	moved := *e
	moved.record.Position, moved.kept, moved.holdEnd = position, true, time.Time{}
	return &moved
}

// isOlderRouting reports whether the routing next has a lower version than previous, which was published in an earlier
// era. The operator publishes again what the registry lost, and perhaps older versions first. Operators never withdraw
// the routing, so that a removal is older too.
func (r *replica) isOlderRouting(previous, next *replicaEntry) bool {
	if next.record.Key != r.opts.Format.RoutingKey() || next.record.Position.Era() <= previous.originEra {
		return false
	}
	if next.record.Removed || previous.record.Removed {
		return next.record.Removed && !previous.record.Removed
	}
	return r.routingNumber(next.record) < r.routingNumber(previous.record)
}

// compareRoutings orders the content of two routing records by version number and then by value. A record that can't be
// decoded is before all others.
func (r *replica) compareRoutings(a, b cicadacross.Record) int {
	if bytes.Equal(a.Value, b.Value) {
		return 0
	}
	return cmp.Or(cmp.Compare(r.routingNumber(a), r.routingNumber(b)), bytes.Compare(a.Value, b.Value))
}

func (r *replica) routingNumber(record cicadacross.Record) uint64 {
	routing, err := r.opts.Format.Routing(record.Value)
	if err != nil {
		return 0
	}
	return routing.Number
}
