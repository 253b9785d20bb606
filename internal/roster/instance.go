package roster

import (
	"time"

	"cicadacross"
)

// instance is a state that an upstream has written to its record.
type instance struct {
	position cicadacross.Position
	decoded  cicadacross.Instance
	// value is the value of the record, which must not be changed.
	value []byte
	// warmupEnd is the time at which the upstream is expected to be warm; the zero time means that it needs no warm-up.
	warmupEnd time.Time
}

// newer reports whether i is the later of two instances with the same address.
func (i *instance) newer(other *instance) bool {
	if i.decoded.Generation != other.decoded.Generation {
		return i.decoded.Generation > other.decoded.Generation
	}
	return other.position.Before(i.position)
}

// writtenBefore reports whether the upstream wrote the state i before the state other of the same record. The registry
// may complete a write long after it was sent, so that the revisions don't show the order. It returns false when the
// order is unknown, which includes states of different services: they don't come from the same upstream.
func (i *instance) writtenBefore(other *instance) bool {
	a, b := i.decoded, other.decoded
	switch {
	case a.Service != b.Service || a.Generation == 0 || b.Generation == 0:
		return false
	case a.Generation != b.Generation:
		return a.Generation < b.Generation
	default:
		return a.Sequence < b.Sequence
	}
}
