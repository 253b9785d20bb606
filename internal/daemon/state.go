package daemon

import (
	"time"

	"cicadacross"
	"cicadacross/internal/fleet"
	"cicadacross/internal/operator"
)

// operatorView shows the state of the control part in the form of the operators' endpoint. It is safe for concurrent
// use.
type operatorView struct {
	fleet  *fleet.Fleet
	timers cicadacross.Timers
}

// State implements operator.Fleet.
func (v operatorView) State() operator.State {
	s := v.fleet.State()
	now := v.timers.Now()
	state := operator.State{
		Host:             s.Host,
		AvailabilityZone: s.AvailabilityZone,
		Version:          operator.Version{Version: s.Applied},
		Reader:           s.Reader,
		Ready:            s.Ready,
		Draining:         s.Draining,
		Paused:           s.Paused,
	}
	if !s.AppliedAt.IsZero() {
		state.AppliedAge = operator.NewAge(max(0, now.Sub(s.AppliedAt)))
	}
	if s.SourceHeard {
		state.SourceAge = operator.NewAge(s.SourceAge)
	}
	if r := s.Refused; r != nil {
		state.Refused = &operator.Refusal{
			Version: operator.Version{Version: r.Version},
			Reason:  r.Reason,
			Age:     operator.Age(max(0, now.Sub(r.Since))),
		}
	}
	if c := s.Conflict; c != nil {
		state.Conflicts = []operator.Conflict{{
			Number: c.Kept.Number(), Digests: []string{c.Kept.Digest(), c.Other.Digest()},
		}}
	}
	for _, p := range s.Pending {
		state.Pending = append(state.Pending, operator.Pending{
			Version: operator.Version{Version: p.Version}, Reason: p.Reason, Age: operator.Age(p.Age),
		})
	}
	v.addPeers(&state)
	return state
}

// addPeers fills what only the member table tells. An exchange with a peer sets the age at which it was heard to 0, and
// ages travel only in exchanges, so that the least age is the time since the last exchange.
func (v operatorView) addPeers(state *operator.State) {
	for _, m := range v.fleet.Members() {
		switch {
		case m.Host == state.Host:
			state.Incarnation = m.Incarnation
		case m.Heard && (state.PeersAge == nil || m.Age < state.PeersAge.Duration()):
			state.PeersAge = operator.NewAge(m.Age)
		}
	}
}

// Members implements operator.Fleet.
func (v operatorView) Members() []operator.Member {
	known := v.fleet.Members()
	members := make([]operator.Member, 0, len(known))
	for _, m := range known {
		members = append(members, operator.Member{
			Host:             m.Host,
			AvailabilityZone: m.AvailabilityZone,
			Peer:             m.Peer,
			Operator:         m.Operator,
			Incarnation:      m.Incarnation,
			Version:          operator.Version{Version: m.Version},
			HeardAge:         heardAge(m.Heard, m.Age),
			Registered:       m.Registered,
			Leaving:          m.Leaving,
			Reader:           m.Reader,
			Suspect:          m.Suspect,
		})
	}
	return members
}

func heardAge(heard bool, age time.Duration) *operator.Age {
	if !heard {
		return nil
	}
	return operator.NewAge(age)
}
