package daemon

import (
	"google.golang.org/grpc"

	"cicadacross"
	"cicadacross/internal/operator"
)

// controlPlane is the part of a daemon that receives and applies configurations.
type controlPlane interface {
	// Configuration returns the current configuration, or nil when there is none.
	Configuration() *cicadacross.Configuration
	// IsLeaving reports whether the host accepts no new requests.
	IsLeaving(host string) bool
	// SetDraining sets whether this daemon is shutting down.
	SetDraining(draining bool)
	// AnnounceSuspects sends the fingerprints of the requests that were in progress at a crash to other daemons.
	AnnounceSuspects()
	// Register adds the gRPC services of the control plane to the server for other daemons.
	Register(server grpc.ServiceRegistrar)
	Start()
	Stop()
}

// operatorStateProvider returns the state of the control plane in the form that the operator endpoint serves.
func (d *Daemon) operatorStateProvider() operator.StateProvider {
	if d.fleet != nil {
		return fleetAdapter{fleet: d.fleet, timers: d.timers}
	}
	return d.registryControl
}
