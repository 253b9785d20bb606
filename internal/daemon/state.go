package daemon

import (
	"time"

	"cicadacross"
	"cicadacross/internal/fleet"
	"cicadacross/internal/operator"
)

// fleetAdapter converts the state of a Fleet to the form that the operator endpoint serves. It is safe for concurrent
// use.
type fleetAdapter struct {
	fleet  *fleet.Fleet
	timers cicadacross.Timers
}

// State returns the state of this daemon. It implements operator.StateProvider.
func (a fleetAdapter) State() operator.State {
	fleetState := a.fleet.State()
	now := a.timers.Now()
	state := operator.State{
		Host:             fleetState.Host,
		AvailabilityZone: fleetState.AvailabilityZone,
		Version:          operator.Version{Version: fleetState.Applied},
		Reader:           fleetState.Reader,
		Ready:            fleetState.Ready,
		Draining:         fleetState.Draining,
		Paused:           fleetState.Paused,
	}
	if !fleetState.AppliedAt.IsZero() {
		state.AppliedAge = operator.NewAge(max(0, now.Sub(fleetState.AppliedAt)))
	}
	if fleetState.SourceHeard {
		state.SourceAge = operator.NewAge(fleetState.SourceAge)
	}
	if r := fleetState.Refused; r != nil {
		state.Refused = &operator.Refusal{
			Version: operator.Version{Version: r.Version},
			Reason:  r.Reason,
			Age:     operator.Age(max(0, now.Sub(r.Since))),
		}
	}
	if c := fleetState.Conflict; c != nil {
		state.Conflicts = []operator.Conflict{{
			Number: c.Kept.Number(), Digests: []string{c.Kept.Digest(), c.Other.Digest()},
		}}
	}
	for _, p := range fleetState.Pending {
		state.Pending = append(state.Pending, operator.Pending{
			Version: operator.Version{Version: p.Version}, Reason: p.Reason, Age: operator.Age(p.Age),
		})
	}
	a.addMemberState(&state)
	return state
}

// addMemberState sets the fields that come from the member table. An exchange with a peer resets the age of its entry
// to 0, and ages are sent only in exchanges. Therefore, the minimum age is the time since the last exchange.
func (a fleetAdapter) addMemberState(state *operator.State) {
	for _, m := range a.fleet.Members() {
		switch {
		case m.Host == state.Host:
			state.Incarnation = m.Incarnation
		case m.Heard && (state.PeersAge == nil || m.LastHeardAge < state.PeersAge.Duration()):
			state.PeersAge = operator.NewAge(m.LastHeardAge)
		}
	}
}

// Members returns the member table. It implements operator.StateProvider.
func (a fleetAdapter) Members() []operator.Member {
	table := a.fleet.Members()
	members := make([]operator.Member, 0, len(table))
	for _, m := range table {
		members = append(members, operator.Member{
			Host:             m.Host,
			AvailabilityZone: m.AvailabilityZone,
			Peer:             m.Peer,
			Operator:         m.Operator,
			Incarnation:      m.Incarnation,
			Version:          operator.Version{Version: m.Version},
			HeardAge:         heardAge(m.Heard, m.LastHeardAge),
			Registered:       m.Registered,
			Leaving:          m.Leaving,
			Reader:           m.Reader,
			Suspect:          m.Suspect,
		})
	}
	return members
}

// heardAge returns the age, or nil when no daemon has ever heard from the host.
func heardAge(heard bool, age time.Duration) *operator.Age {
	if !heard {
		return nil
	}
	return operator.NewAge(age)
}
