// Package operator serves the operator endpoint of a daemon. It also holds a client that queries the endpoints of a
// fleet to report whether all hosts have applied the newest configuration, and to explain the routing of a request.
package operator

import (
	"encoding/json"
	"math"
	"time"

	"cicadacross"
)

// StateProvider provides the state of a daemon and its members to the endpoint. Implementations are safe for concurrent
// use.
type StateProvider interface {
	// State returns the current state of the daemon. Its Members field is empty.
	State() State
	// Members returns the hosts that the daemon knows, including its own. The caller may change the slice.
	Members() []Member
}

// State is the state that a daemon reports.
type State struct {
	Host             string `json:"host"`
	AvailabilityZone string `json:"availability_zone"`
	// Incarnation orders the processes that ran on the host; a later process has a larger number.
	Incarnation uint64 `json:"incarnation"`
	// Version is the applied version; the zero Version when none is applied.
	Version Version `json:"version"`
	// AppliedAge is the time since the version was applied; nil when none is applied.
	AppliedAge *Age `json:"applied_age_ms,omitempty"`
	// Refused is the newest refused version, or nil.
	Refused *Refusal `json:"refused,omitempty"`
	// Deviations lists the parts of the applied version that are not used as published.
	Deviations []Deviation `json:"deviations,omitempty"`
	// EvacuatedZones lists the availability zones whose upstreams receive no requests from this daemon.
	EvacuatedZones []EvacuatedZone `json:"evacuated_zones,omitempty"`
	// Pending lists newer versions that the daemon knows of but has not applied.
	Pending []Pending `json:"pending,omitempty"`
	// SourceAge is the time since any daemon known to this one last got a response of the source; nil means never.
	SourceAge *Age `json:"source_age_ms,omitempty"`
	// SourceEra is the era of the source, which rises when it comes back from an older copy; 0 means that it has none.
	SourceEra uint64 `json:"source_era,omitempty"`
	// PeersAge is the time since the last successful exchange with any peer; nil means never.
	PeersAge *Age `json:"peers_age_ms,omitempty"`
	// Reader reports whether the daemon watches the source.
	Reader bool `json:"reader"`
	// Ready reports whether the daemon is ready to serve callers.
	Ready bool `json:"ready"`
	// Draining reports whether the daemon accepts no new requests.
	Draining bool `json:"draining"`
	// WarmupRemaining is the time for which the upstream still warms up and gets limited requests; nil when it is warm.
	WarmupRemaining *Age `json:"warmup_remaining_ms,omitempty"`
	// Paused reports whether the process was paused and has not exchanged with a peer since.
	Paused    bool       `json:"paused"`
	Conflicts []Conflict `json:"conflicts,omitempty"`
	Members   []Member   `json:"members,omitempty"`
}

// Refusal is a version that the daemon refused to apply.
type Refusal struct {
	Version Version `json:"version"`
	Reason  string  `json:"reason"`
	// Age is the time since the refusal.
	Age Age `json:"age_ms"`
}

// Deviation is a part of the applied version that the daemon can't use as published.
type Deviation struct {
	// Route is the name of the route, or "" for a part that belongs to none.
	Route string `json:"route,omitempty"`
	// Text says what is wrong and what is done instead.
	Text string `json:"text"`
}

// Pending is a newer version that is not applied yet.
type Pending struct {
	Version Version `json:"version"`
	// Reason is the last error in fetching the version, or "".
	Reason string `json:"reason,omitempty"`
	// Age is the time since the daemon learned of the version.
	Age Age `json:"age_ms"`
}

// Conflict is a version number that was published with different contents.
type Conflict struct {
	Number  uint64   `json:"number"`
	Digests []string `json:"digests"`
}

// Member is a host of the fleet as known to a daemon.
type Member struct {
	Host             string  `json:"host"`
	AvailabilityZone string  `json:"availability_zone"`
	Peer             string  `json:"peer"`
	Operator         string  `json:"operator"`
	Incarnation      uint64  `json:"incarnation"`
	Version          Version `json:"version"`
	// HeardAge is the time since any daemon last heard from the host directly; nil means never.
	HeardAge *Age `json:"heard_age_ms,omitempty"`
	// Registered reports whether the register that the daemon applied contains the host.
	Registered bool `json:"registered"`
	Leaving    bool `json:"leaving"`
	Reader     bool `json:"reader"`
	// Suspect reports whether the last exchanges with the host failed.
	Suspect bool `json:"suspect"`
}

// Version is a cicadacross.Version with a JSON encoding.
type Version struct{ cicadacross.Version }

type versionRecord struct {
	Number uint64 `json:"number"`
	Digest string `json:"digest"`
}

// MarshalJSON implements json.Marshaler.
func (v Version) MarshalJSON() ([]byte, error) {
	return json.Marshal(versionRecord{Number: v.Number(), Digest: v.Digest()})
}

// UnmarshalJSON implements json.Unmarshaler.
func (v *Version) UnmarshalJSON(data []byte) error {
	var record versionRecord
	if err := json.Unmarshal(data, &record); err != nil {
		return err
	}
	v.Version = cicadacross.NewVersion(record.Number, record.Digest)
	return nil
}

// Age is a duration that is encoded in JSON as a number of milliseconds. Ages are used instead of timestamps because
// the clocks of hosts differ.
type Age time.Duration

// NewAge returns a pointer to the age, for fields that may be nil.
func NewAge(d time.Duration) *Age {
	age := Age(d)
	return &age
}

// Duration returns the age as a duration.
func (a Age) Duration() time.Duration { return time.Duration(a) }

// String returns the age rounded to seconds, or to milliseconds below 1 s, for example "12s".
func (a Age) String() string {
	if a.Duration() < time.Second {
		return a.Duration().Round(time.Millisecond).String()
	}
	return a.Duration().Round(time.Second).String()
}

// MarshalJSON implements json.Marshaler. The number has a resolution of 1 µs, since ages are used to order decisions.
func (a Age) MarshalJSON() ([]byte, error) {
	return json.Marshal(float64(a.Duration().Microseconds()) / 1000)
}

// UnmarshalJSON implements json.Unmarshaler. It limits ages to the range from 0 to a century.
func (a *Age) UnmarshalJSON(data []byte) error {
	const century = 100 * 365 * 24 * time.Hour
	var milliseconds float64
	if err := json.Unmarshal(data, &milliseconds); err != nil {
		return err
	}
	nanoseconds := math.Round(milliseconds*1000) * float64(time.Microsecond)
	*a = Age(min(max(nanoseconds, 0), float64(century)))
	return nil
}
