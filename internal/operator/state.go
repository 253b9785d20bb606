// Package operator serves the operators' endpoint of a daemon and asks the endpoints of a fleet whether it has followed
// and why a request went where it went.
package operator

import (
	"encoding/json"
	"math"
	"time"

	"cicadacross"
)

// Fleet is what the endpoint needs of the control loop. Implementations are safe for concurrent use.
type Fleet interface {
	// State returns the present state of the daemon; Members is left empty.
	State() State
	// Members returns the hosts that the daemon knows, with itself. The caller may change the slice.
	Members() []Member
}

// State is what a daemon says about itself.
type State struct {
	Host             string `json:"host"`
	AvailabilityZone string `json:"availability_zone"`
	// Incarnation differs between two processes on one host; the larger is the later one.
	Incarnation uint64 `json:"incarnation"`
	// Version is the applied version; zero when there is none.
	Version Version `json:"version"`
	// AppliedAge is the time since the version was applied; nil when there is none.
	AppliedAge *Age `json:"applied_age_ms,omitempty"`
	// Refused is the newest refused version, or nil.
	Refused *Refusal `json:"refused,omitempty"`
	// Pending lists newer versions that the daemon has heard of and not applied.
	Pending []Pending `json:"pending,omitempty"`
	// SourceAge is the time since any daemon that this one heard of has heard the source; nil means never.
	SourceAge *Age `json:"source_age_ms,omitempty"`
	// PeersAge is the time since the last exchange with any peer; nil means never.
	PeersAge *Age `json:"peers_age_ms,omitempty"`
	// Reader reports whether the daemon watches the source.
	Reader bool `json:"reader"`
	// Ready reports whether the daemon serves callers.
	Ready bool `json:"ready"`
	// Draining reports whether the daemon takes no new work.
	Draining bool `json:"draining"`
	// Paused reports whether the process was paused and has not exchanged with a peer since.
	Paused    bool       `json:"paused"`
	Conflicts []Conflict `json:"conflicts,omitempty"`
	Members   []Member   `json:"members,omitempty"`
}

// Refusal is a version that the daemon did not apply.
type Refusal struct {
	Version Version `json:"version"`
	Reason  string  `json:"reason"`
	// Age is the time since the refusal.
	Age Age `json:"age_ms"`
}

// Pending is a newer version that is not applied yet.
type Pending struct {
	Version Version `json:"version"`
	// Reason is the last failure to fetch it, or empty.
	Reason string `json:"reason,omitempty"`
	// Age is the time since the daemon heard of it.
	Age Age `json:"age_ms"`
}

// Conflict is a number that was published with several contents.
type Conflict struct {
	Number  uint64   `json:"number"`
	Digests []string `json:"digests"`
}

// Member is what a daemon knows of a host.
type Member struct {
	Host             string  `json:"host"`
	AvailabilityZone string  `json:"availability_zone"`
	Peer             string  `json:"peer"`
	Operator         string  `json:"operator"`
	Incarnation      uint64  `json:"incarnation"`
	Version          Version `json:"version"`
	// HeardAge is the time since any daemon heard from the host directly; nil means never.
	HeardAge *Age `json:"heard_age_ms,omitempty"`
	// Registered reports whether the register that the daemon applied names the host.
	Registered bool `json:"registered"`
	Leaving    bool `json:"leaving"`
	Reader     bool `json:"reader"`
	// Suspect reports that the last exchanges with the host failed.
	Suspect bool `json:"suspect"`
}

// Version is a version with a JSON form.
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

// Age is a duration whose JSON form is a number of milliseconds. Ages are used in place of times, since the clocks of
// hosts differ.
type Age time.Duration

// NewAge returns a pointer to the age, for fields that may be absent.
func NewAge(d time.Duration) *Age {
	age := Age(d)
	return &age
}

// Duration returns the age as a duration.
func (a Age) Duration() time.Duration { return time.Duration(a) }

// String returns the age rounded for reading, for example "12s".
func (a Age) String() string {
	if a.Duration() < time.Second {
		return a.Duration().Round(time.Millisecond).String()
	}
	return a.Duration().Round(time.Second).String()
}

// MarshalJSON implements json.Marshaler. Fractions keep microseconds, by which decisions are put in order.
func (a Age) MarshalJSON() ([]byte, error) {
	return json.Marshal(float64(a.Duration().Microseconds()) / 1000)
}

// UnmarshalJSON implements json.Unmarshaler. Ages beyond a century are cut off.
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
