package roster

import (
	"time"

	"cicadacross"
)

// Status is the status of the control plane, as shown to operators.
type Status struct {
	// Applied is the version of the current configuration, which has been current since AppliedAt.
	Applied   cicadacross.Version
	AppliedAt time.Time
	// ConfirmedAt is the last time at which the registry was known to have no further changes; the zero time means never.
	ConfirmedAt time.Time
	// RejectReason is the reason for the last rejection of a routing record, at RejectedAt; it is empty when none was
	// rejected.
	RejectReason string
	RejectedAt   time.Time
	// Deviations lists the parts of the current routing that are not used as published. It must not be changed.
	Deviations []cicadacross.Deviation
	// Era is the era of the registry, or 0 if it has none.
	Era uint64
	// IsReader reports that the registry has recently confirmed the records to this daemon itself.
	IsReader bool
}

// Status returns the current status.
func (d *Roster) Status() Status {
	state := d.state.Load()
	return Status{
		Applied: state.applied, AppliedAt: state.appliedAt, ConfirmedAt: state.confirmedAt,
		RejectReason: state.rejectReason, RejectedAt: state.rejectedAt, Deviations: state.deviations,
		Era: d.position().Era(), IsReader: d.election.isReading(d.opts.Timers.Now()),
	}
}

// DaemonCount returns the number of targets in the current configuration, each of which has a daemon, and at least 1.
func (d *Roster) DaemonCount() int {
	c := d.Configuration()
	if c == nil {
		return 1
	}
	return max(1, c.TargetCount())
}
