package roster

import (
	"time"

	"cicadacross"
)

// Status is what the control part says about itself.
type Status struct {
	// Applied is the version in force, since AppliedAt.
	Applied   cicadacross.Version
	AppliedAt time.Time
	// Confirmed is the last time at which the registry was known to have no further change; the zero time means never.
	Confirmed time.Time
	// Refused says why the newest routing is not in force, or is empty.
	Refused   string
	RefusedAt time.Time
	// Reader says that this daemon hears the registry itself.
	Reader bool
}

// Status returns the present state.
func (d *Roster) Status() Status {
	s := d.status.Load()
	return Status{
		Applied: s.applied, AppliedAt: s.appliedAt, Confirmed: s.confirmed, Refused: s.refused, RefusedAt: s.refusedAt,
		Reader: d.election.reading(d.opts.Timers.Now()),
	}
}

// Daemons returns how many daemons the fleet has, with this one, at least 1.
func (d *Roster) Daemons() int {
	c := d.Configuration()
	if c == nil {
		return 1
	}
	return max(1, c.TargetCount())
}
