package operator

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"cicadacross"
)

const (
	// heardRecently is five periods of the exchange between peers (2 s each).
	heardRecently = 10 * time.Second
	// cutOffAfter is the time without any exchange after which a daemon counts as cut off.
	cutOffAfter = 10 * time.Second
)

// Condition says what a host lacks.
type Condition string

// The conditions. A host with one of those up to ConditionWrongHost has not followed; the others are notes.
const (
	ConditionLagging   Condition = "lagging"
	ConditionCutOff    Condition = "cut off"
	ConditionRefusing  Condition = "refusing"
	ConditionWaiting   Condition = "waiting"
	ConditionConflict  Condition = "conflict"
	ConditionDead      Condition = "dead"
	ConditionNotReady  Condition = "not ready"
	ConditionPaused    Condition = "paused"
	ConditionWrongHost Condition = "wrong host"

	ConditionUnreachable Condition = "unreachable from here"
	ConditionDraining    Condition = "draining"
	ConditionLeft        Condition = "left"
)

// IsNote reports whether a host with the condition may have followed.
func (c Condition) IsNote() bool {
	return c == ConditionUnreachable || c == ConditionDraining || c == ConditionLeft
}

// Report is the answer to "has the fleet followed?".
type Report struct {
	// Followed reports whether every host has the newest version and serves.
	Followed bool `json:"followed"`
	// Newest is the newest version that any host has.
	Newest Version `json:"newest"`
	// NewestAge is the time since the first host that is still up applied the newest version; nil when unknown.
	NewestAge *Age `json:"newest_age_ms,omitempty"`
	// Expected is the number that the operator published; 0 when not given.
	Expected  uint64       `json:"expected,omitempty"`
	Zones     []ZoneReport `json:"availability_zones"`
	Conflicts []Conflict   `json:"conflicts,omitempty"`
}

// ZoneReport is the part of a report about one availability zone.
type ZoneReport struct {
	AvailabilityZone string `json:"availability_zone"`
	// Hosts counts the hosts and Followed those that have followed.
	Hosts    int `json:"hosts"`
	Followed int `json:"followed"`
	// SourceAge is the time since the source was heard, as the best informed host says; nil means never.
	SourceAge *Age     `json:"source_age_ms,omitempty"`
	Readers   []string `json:"readers,omitempty"`
	// Findings lists the hosts about which there is something to say, sorted by host.
	Findings []Finding `json:"findings,omitempty"`
}

// Finding is one thing about one host.
type Finding struct {
	Host      string    `json:"host"`
	Condition Condition `json:"condition"`
	// Since is the time since the condition began; nil when unknown.
	Since *Age   `json:"since_ms,omitempty"`
	Text  string `json:"text"`
}

// Status asks the whole fleet whether it has followed. The number expected is the one that the operator published, or
// 0 when the newest version of any host counts. The kind of the error is KindUnreachable.
func (c *Client) Status(ctx context.Context, expected uint64) (*Report, error) {
	s, err := c.newSurvey(ctx)
	if err != nil {
		return nil, err
	}
	return s.report(expected), nil
}

func (s *survey) report(expected uint64) *Report {
	r := &Report{Expected: expected}
	r.Newest, r.NewestAge = s.newest()
	r.Conflicts = s.conflicts(r.Newest)
	zones := make(map[string]*ZoneReport)
	for _, host := range slices.Sorted(maps.Keys(s.hosts)) {
		o := s.hosts[host]
		name := o.member.AvailabilityZone
		zone, ok := zones[name]
		if !ok {
			zone = &ZoneReport{AvailabilityZone: name}
			zones[name] = zone
		}
		zone.add(o, r.findings(o))
	}
	followed := len(zones) > 0 && len(r.Conflicts) == 0
	for _, name := range slices.Sorted(maps.Keys(zones)) {
		r.Zones = append(r.Zones, *zones[name])
		followed = followed && zones[name].Followed == zones[name].Hosts
	}
	r.Followed = followed
	return r
}

// newest returns the newest version that any host has and the time since the first one applied it.
func (s *survey) newest() (Version, *Age) {
	var newest Version
	var age *Age
	for _, o := range s.hosts {
		version, applied := o.member.Version, (*Age)(nil)
		if o.state != nil {
			version, applied = o.state.Version, o.state.AppliedAge
		}
		switch order := version.Compare(newest.Version); {
		case order > 0:
			newest, age = version, applied
		case order == 0 && applied != nil && (age == nil || *applied > *age):
			age = applied
		}
	}
	return newest, age
}

// conflicts returns the contents that were published under the newest number, when there are several. Earlier
// conflicts were settled by the next number.
func (s *survey) conflicts(newest Version) []Conflict {
	digests := make(map[string]bool)
	add := func(v cicadacross.Version) {
		if v.Number() == newest.Number() && !v.IsZero() {
			digests[v.Digest()] = true
		}
	}
	for _, o := range s.hosts {
		add(o.member.Version.Version)
		if o.state == nil {
			continue
		}
		add(o.state.Version.Version)
		for _, c := range o.state.Conflicts {
			for _, digest := range c.Digests {
				add(cicadacross.NewVersion(c.Number, digest))
			}
		}
	}
	if len(digests) < 2 {
		return nil
	}
	return []Conflict{{Number: newest.Number(), Digests: slices.Sorted(maps.Keys(digests))}}
}

func (z *ZoneReport) add(o *observation, findings []Finding) {
	z.Hosts++
	if !slices.ContainsFunc(findings, func(f Finding) bool { return !f.Condition.IsNote() }) {
		z.Followed++
	}
	z.Findings = append(z.Findings, findings...)
	if o.state == nil {
		return
	}
	if o.state.Reader {
		z.Readers = append(z.Readers, o.member.Host)
	}
	if age := o.state.SourceAge; age != nil && (z.SourceAge == nil || *age < *z.SourceAge) {
		z.SourceAge = age
	}
}

// findings returns what there is to say about the host.
func (r *Report) findings(o *observation) []Finding {
	var list []Finding
	add := func(c Condition, since *Age, format string, args ...any) {
		list = append(list, Finding{Host: o.member.Host, Condition: c, Since: since, Text: fmt.Sprintf(format, args...)})
	}
	if o.state == nil {
		r.addSilent(o, add)
		return list
	}
	state := o.state
	if state.Host != o.member.Host {
		add(ConditionWrongHost, nil, "host %s answers at %s; correct the register", state.Host, o.member.Operator)
		return list
	}
	refused := state.Refused
	switch {
	case refused == nil:
	case refused.Version.Number() == 0:
		add(ConditionRefusing, &refused.Age, "refuses a manifest that it can't read: %s; publish a corrected version with "+
			"the next number", refused.Reason)
	case refused.Version.Compare(state.Version.Version) > 0:
		add(ConditionRefusing, &refused.Age, "refuses version %s: %s; publish a corrected version with the next number",
			refused.Version, refused.Reason)
	}
	if refused == nil || refused.Version != r.Newest {
		r.addLagging(state.Version, state, add)
	}
	addPending(state, add)
	if !state.Ready && !state.Draining {
		add(ConditionNotReady, nil, "serves no caller yet")
	}
	if state.Paused {
		add(ConditionPaused, nil, "the process was paused and has not heard a peer since")
	}
	if state.Draining {
		add(ConditionDraining, nil, "finishes its work and takes no new work")
	}
	return list
}

// addPending names the newest version that the daemon tried to fetch in vain, for example because it was published
// before its parts.
func addPending(state *State, add addFinding) {
	var newest *Pending
	for i, p := range state.Pending {
		if p.Reason != "" && (newest == nil || p.Version.Compare(newest.Version.Version) > 0) {
			newest = &state.Pending[i]
		}
	}
	if newest != nil && newest.Version.Compare(state.Version.Version) > 0 {
		add(ConditionWaiting, &newest.Age, "can't fetch version %s yet: %s", newest.Version, newest.Reason)
	}
}

type addFinding func(c Condition, since *Age, format string, args ...any)

// addSilent judges a host that did not answer by what its peers say.
func (r *Report) addSilent(o *observation, add addFinding) {
	heard := o.member.HeardAge
	switch {
	case heard != nil && heard.Duration() <= heardRecently:
		add(ConditionUnreachable, nil, "heard by peers %s ago; from here: %v", heard, o.err)
		r.addLagging(o.member.Version, nil, add)
	case o.member.Leaving:
		add(ConditionLeft, heard, "is leaving and was stopped")
	case !o.member.Registered && !r.Newest.IsZero():
		add(ConditionLeft, heard, "is not in the register and was stopped")
	case heard == nil:
		add(ConditionDead, nil, "was never heard by any peer; from here: %v", o.err)
	default:
		add(ConditionDead, heard, "not heard by any peer; from here: %v", o.err)
	}
}

// addLagging compares the version of a host with the newest and with the expected one. The state is nil when the host
// did not answer.
func (r *Report) addLagging(version Version, state *State, add addFinding) {
	switch {
	case version.Conflicts(r.Newest.Version):
		add(ConditionConflict, r.NewestAge, "has version %s; the newest is %s", version, r.Newest)
	case version.Compare(r.Newest.Version) < 0 && state != nil && state.isCutOff():
		add(ConditionCutOff, cmp.Or(state.PeersAge, r.NewestAge), "has version %s and exchanges with no peer", version)
	case version.Compare(r.Newest.Version) < 0:
		add(ConditionLagging, r.NewestAge, "has version %s", version)
	case version.Number() < r.Expected:
		add(ConditionLagging, nil, "has version %s; number %d is expected", version, r.Expected)
	case version.IsZero():
		add(ConditionLagging, nil, "has no configuration")
	}
}

func (s *State) isCutOff() bool { return s.PeersAge == nil || s.PeersAge.Duration() > cutOffAfter }

// String returns the report as text, one line for each availability zone and finding.
func (r *Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "newest version %s%s\n", r.Newest, ago(", applied first ", r.NewestAge))
	hosts, followed := 0, 0
	for _, z := range r.Zones {
		hosts += z.Hosts
		followed += z.Followed
		fmt.Fprintf(&b, "%s: %d of %d hosts follow; %s%s\n", z.AvailabilityZone, z.Followed, z.Hosts,
			cmp.Or(ago("source heard ", z.SourceAge), "source not heard"), readers(z.Readers))
		for _, f := range z.Findings {
			fmt.Fprintf(&b, "  %s %s%s: %s\n", f.Host, f.Condition, since(f.Since), f.Text)
		}
	}
	for _, c := range r.Conflicts {
		fmt.Fprintf(&b, "conflict: version %d was published with %d contents; publish version %d\n",
			c.Number, len(c.Digests), c.Number+1)
	}
	fmt.Fprintf(&b, "%d of %d hosts follow", followed, hosts)
	return b.String()
}

func ago(prefix string, age *Age) string {
	if age == nil {
		return ""
	}
	return prefix + age.String() + " ago"
}

func since(age *Age) string {
	if age == nil {
		return ""
	}
	return " for " + age.String()
}

func readers(hosts []string) string {
	if len(hosts) == 0 {
		return ", no reader"
	}
	return ", read by " + strings.Join(hosts, ", ")
}
