package spillover

import (
	"maps"
	"slices"
)

// Snapshot returns a controller with a copy of the state of one route. Changes of either don't affect the other.
func (c *Controller) Snapshot(route string) *Controller {
	snapshot := NewController(c.opts)
	if r, ok := c.routes[route]; ok {
		state := *r
		state.byZone = maps.Clone(r.byZone)
		state.names, state.receivers = slices.Clone(r.names), slices.Clone(r.receivers)
		snapshot.routes[route] = &state
	}
	return snapshot
}
