package cicadacross

import "cmp"

// Position is a point in the history of a registry. A registry that is restored from an older copy of itself begins a
// new era, in which its revisions go back and are given out again. Positions are therefore ordered by era first and
// then by revision. A registry without eras is always in era 0. The zero Position is before all changes.
type Position struct {
	era      uint64
	revision Revision
}

// NewPosition returns the position of a revision in an era.
func NewPosition(era uint64, revision Revision) Position {
	return Position{era: era, revision: revision}
}

// Era returns the era of the registry, or 0 if it is unknown or the registry has none.
func (p Position) Era() uint64 { return p.era }

// Revision returns the revision in the era.
func (p Position) Revision() Revision { return p.revision }

// IsZero reports whether p is the zero Position.
func (p Position) IsZero() bool { return p == Position{} }

// Compare returns a negative number when p is before other, 0 when both are equal, and a positive number otherwise.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.era, other.era), cmp.Compare(p.revision, other.revision))
}

// Before reports whether p is before other.
func (p Position) Before(other Position) bool { return p.Compare(other) < 0 }

// LaterPosition returns the later of two positions.
func LaterPosition(a, b Position) Position {
	if a.Before(b) {
		return b
	}
	return a
}
