package daemon

import (
	"google.golang.org/grpc"

	"cicadacross"
	"cicadacross/internal/operator"
)

// control is the part of a daemon that follows configurations.
type control interface {
	// Configuration returns the configuration in force, or nil when there is none.
	Configuration() *cicadacross.Configuration
	// Leaving reports whether the host takes no new work.
	Leaving(host string) bool
	// SetDraining says whether this daemon is about to stop.
	SetDraining(draining bool)
	// AnnounceSuspects tells other daemons of requests that were in progress at a crash.
	AnnounceSuspects()
	// Register adds the control part's services to the server for other daemons.
	Register(server grpc.ServiceRegistrar)
	Start()
	Stop()
}

// stateSource returns what the operators' endpoint shows of the control part.
func (d *Daemon) stateSource() operator.Fleet {
	if d.fleet != nil {
		return operatorView{fleet: d.fleet, timers: d.timers}
	}
	return d.registered
}
