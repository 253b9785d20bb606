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
	// recentlyHeardLimit is the age up to which a host counts as heard recently: five periods of the exchange between
	// peers, of 2 s each.
	recentlyHeardLimit = 10 * time.Second
	// cutOffAfter is the time without any exchange after which a daemon counts as cut off from its peers.
	cutOffAfter = 10 * time.Second
)

// Condition classifies the findings on a host.
type Condition string

// The conditions. A host with any of those up to ConditionWrongHost has not followed: it hasn't applied the newest
// version or doesn't serve. The others are informational.
const (
	// ConditionLagging means that the host has an older version than the newest or the expected one, or none.
	ConditionLagging Condition = "lagging"
	// ConditionCutOff means that the host has an older version and had no recent exchange with a peer.
	ConditionCutOff Condition = "cut off"
	// ConditionRefusing means that the host refused a newer version or a manifest that it can't read.
	ConditionRefusing Condition = "refusing"
	// ConditionWaiting means that the host failed to fetch a newer version.
	ConditionWaiting Condition = "waiting"
	// ConditionConflict means that the host has other content under the number of the newest version.
	ConditionConflict Condition = "conflict"
	// ConditionDead means that neither this client nor, recently, any peer reached the host.
	ConditionDead Condition = "dead"
	// ConditionNotReady means that the daemon serves no callers yet.
	ConditionNotReady Condition = "not ready"
	// ConditionPaused means that the process was paused and has not exchanged with a peer since.
	ConditionPaused Condition = "paused"
	// ConditionWrongHost means that the daemon of another host responds at the operator address of the host.
	ConditionWrongHost Condition = "wrong host"

	// ConditionUnreachable means that this client can't reach the host, but a peer heard from it recently.
	ConditionUnreachable Condition = "unreachable from here"
	// ConditionDraining means that the host accepts no new requests.
	ConditionDraining Condition = "draining"
	// ConditionWarmingUp means that the upstream of the host warms up and gets limited requests.
	ConditionWarmingUp Condition = "warming up"
	// ConditionDeviating means that the host can't use a part of its version as published. Others do the same, so it still
	// counts as having followed.
	ConditionDeviating Condition = "deviating"
	// ConditionUnknownZone means that an availability zone is evacuated in which the host knows no upstream.
	ConditionUnknownZone Condition = "unknown zone"
	// ConditionLeft means that the host would be dead, but is leaving or not in the register.
	ConditionLeft Condition = "left"
)

// IsInformational reports whether a host with the condition can still count as having followed.
func (c Condition) IsInformational() bool {
	switch c {
	case ConditionUnreachable, ConditionDraining, ConditionLeft, ConditionDeviating, ConditionWarmingUp,
		ConditionUnknownZone:
		return true
	default:
		return false
	}
}

// Report says whether the fleet has followed, that is, whether its hosts have applied the newest version.
type Report struct {
	// Followed reports whether every host has followed and there are no conflicts.
	Followed bool `json:"followed"`
	// Newest is the newest version that any host has.
	Newest Version `json:"newest"`
	// NewestAge is the time since the newest version was first applied by a host that is still up; nil when unknown.
	NewestAge *Age `json:"newest_age_ms,omitempty"`
	// Expected is the version number that the operator published; 0 when not given.
	Expected  uint64       `json:"expected,omitempty"`
	Zones     []ZoneReport `json:"availability_zones"`
	Conflicts []Conflict   `json:"conflicts,omitempty"`
	// Evacuations is sorted by availability zone.
	Evacuations []Evacuation `json:"evacuations,omitempty"`
}

// ZoneReport is the part of a report about one availability zone.
type ZoneReport struct {
	AvailabilityZone string `json:"availability_zone"`
	// Hosts is the number of hosts, Followed the number of those that have followed.
	Hosts    int `json:"hosts"`
	Followed int `json:"followed"`
	// SourceAge is the lowest SourceAge that a host of the zone reported; nil means never.
	SourceAge *Age `json:"source_age_ms,omitempty"`
	// SourceEra is the latest SourceEra that a host of the zone reported; 0 means none.
	SourceEra uint64   `json:"source_era,omitempty"`
	Readers   []string `json:"readers,omitempty"`
	// Findings is sorted by host.
	Findings []Finding `json:"findings,omitempty"`
}

// Finding is one condition of one host.
type Finding struct {
	Host      string    `json:"host"`
	Condition Condition `json:"condition"`
	// Since is the time since the condition began; nil when unknown.
	Since *Age   `json:"since_ms,omitempty"`
	Text  string `json:"text"`
}

// Status queries the whole fleet and reports whether it has followed, as defined by Report. The expected version number
// is the one that the operator published; 0 means the newest version of any host. The kind of the error is
// KindUnreachable.
func (c *Client) Status(ctx context.Context, expected uint64) (*Report, error) {
	q, err := c.queryFleet(ctx)
	if err != nil {
		return nil, err
	}
	return q.report(expected), nil
}

func (q *fleetQuery) report(expected uint64) *Report {
	r := &Report{Expected: expected}
	r.Newest, r.NewestAge = q.newest()
	r.Conflicts = q.conflicts(r.Newest)
	r.Evacuations = q.evacuations()
	zones := make(map[string]*ZoneReport)
	for _, host := range slices.Sorted(maps.Keys(q.hosts)) {
		h := q.hosts[host]
		name := h.member.AvailabilityZone
		zone, ok := zones[name]
		if !ok {
			zone = &ZoneReport{AvailabilityZone: name}
			zones[name] = zone
		}
		zone.add(h, r.findings(h))
	}
	followed := len(zones) > 0 && len(r.Conflicts) == 0
	for _, name := range slices.Sorted(maps.Keys(zones)) {
		r.Zones = append(r.Zones, *zones[name])
		followed = followed && zones[name].Followed == zones[name].Hosts
	}
	r.Followed = followed
	return r
}

// newest returns the newest version that any host has and the time since it was first applied, or nil when unknown.
func (q *fleetQuery) newest() (Version, *Age) {
	var newest Version
	var age *Age
	for _, h := range q.hosts {
		version, applied := h.member.Version, (*Age)(nil)
		if h.state != nil {
			version, applied = h.state.Version, h.state.AppliedAge
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

// conflicts returns the conflict about the newest version number, if there is one. Conflicts about earlier numbers were
// resolved by the publication of a later number.
func (q *fleetQuery) conflicts(newest Version) []Conflict {
	digests := make(map[string]bool)
	add := func(v cicadacross.Version) {
		if v.Number() == newest.Number() && !v.IsZero() {
			digests[v.Digest()] = true
		}
	}
	for _, h := range q.hosts {
		add(h.member.Version.Version)
		if h.state == nil {
			continue
		}
		add(h.state.Version.Version)
		for _, c := range h.state.Conflicts {
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

func (z *ZoneReport) add(h *hostResult, findings []Finding) {
	z.Hosts++
	if !slices.ContainsFunc(findings, func(f Finding) bool { return !f.Condition.IsInformational() }) {
		z.Followed++
	}
	z.Findings = append(z.Findings, findings...)
	if h.state == nil {
		return
	}
	if h.state.Reader {
		z.Readers = append(z.Readers, h.member.Host)
	}
	if age := h.state.SourceAge; age != nil && (z.SourceAge == nil || *age < *z.SourceAge) {
		z.SourceAge = age
	}
	z.SourceEra = max(z.SourceEra, h.state.SourceEra)
}

// findings returns the findings on the host.
func (r *Report) findings(h *hostResult) []Finding {
	var list []Finding
	add := func(c Condition, since *Age, format string, args ...any) {
		list = append(list, Finding{Host: h.member.Host, Condition: c, Since: since, Text: fmt.Sprintf(format, args...)})
	}
	if h.state == nil {
		r.addNoResponse(h, add)
		return list
	}
	state := h.state
	if state.Host != h.member.Host {
		add(ConditionWrongHost, nil, "host %s answers at %s; correct the register", state.Host, h.member.Operator)
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
		r.addVersionFinding(state.Version, state, add)
	}
	addPendingFinding(state, add)
	addDeviationFinding(state, add)
	addUnknownZoneFindings(state, add)
	if !state.Ready && !state.Draining {
		add(ConditionNotReady, nil, "serves no caller yet")
	}
	if state.Paused {
		add(ConditionPaused, nil, "the process was paused and has not heard a peer since")
	}
	if state.Draining {
		add(ConditionDraining, nil, "finishes its work and takes no new work")
	}
	if state.WarmupRemaining != nil {
		add(ConditionWarmingUp, nil, "its upstream gets limited requests for %s", *state.WarmupRemaining)
	}
	return list
}

// addPendingFinding adds a finding on the newest version that the daemon failed to fetch, if it is newer than the
// applied one. Fetching fails, for example, when the manifest was published before its parts.
func addPendingFinding(state *State, add findingFunc) {
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

// addDeviationFinding adds one finding on all parts of the applied version that are not used as published, with the
// text of the first.
func addDeviationFinding(state *State, add findingFunc) {
	if len(state.Deviations) == 0 {
		return
	}
	first := state.Deviations[0]
	add(ConditionDeviating, state.AppliedAge, "can't use %d parts of version %s as published; the first: route %q: %s",
		len(state.Deviations), state.Version, first.Route, first.Text)
}

// findingFunc adds a finding on a host; format and args give its text.
type findingFunc func(c Condition, since *Age, format string, args ...any)

// addNoResponse adds the findings on a host that did not respond, based on what its peers report.
func (r *Report) addNoResponse(h *hostResult, add findingFunc) {
	heardAge := h.member.HeardAge
	switch {
	case heardAge != nil && heardAge.Duration() <= recentlyHeardLimit:
		add(ConditionUnreachable, nil, "heard by peers %s ago; from here: %v", heardAge, h.err)
		r.addVersionFinding(h.member.Version, nil, add)
	case h.member.Leaving:
		add(ConditionLeft, heardAge, "is leaving and was stopped")
	case !h.member.Registered && !r.Newest.IsZero():
		add(ConditionLeft, heardAge, "is not in the register and was stopped")
	case heardAge == nil:
		add(ConditionDead, nil, "was never heard by any peer; from here: %v", h.err)
	default:
		add(ConditionDead, heardAge, "not heard by any peer; from here: %v", h.err)
	}
}

// addVersionFinding adds a finding if the version of a host isn't the newest or is older than the expected one. The
// state is nil when the host did not respond.
func (r *Report) addVersionFinding(version Version, state *State, add findingFunc) {
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

// String returns the report as text, with one line per availability zone, finding and conflict.
func (r *Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "newest version %s%s\n", r.Newest, formatAgo(", applied first ", r.NewestAge))
	hosts, followed := 0, 0
	for _, z := range r.Zones {
		hosts += z.Hosts
		followed += z.Followed
		fmt.Fprintf(&b, "%s: %d of %d hosts follow; %s%s%s\n", z.AvailabilityZone, z.Followed, z.Hosts,
			cmp.Or(formatAgo("source heard ", z.SourceAge), "source not heard"), formatEra(z.SourceEra),
			formatReaders(z.Readers))
		for _, f := range z.Findings {
			fmt.Fprintf(&b, "  %s %s%s: %s\n", f.Host, f.Condition, formatSince(f.Since), f.Text)
		}
	}
	for _, e := range r.Evacuations {
		fmt.Fprintf(&b, "%s\n", e)
	}
	for _, c := range r.Conflicts {
		fmt.Fprintf(&b, "conflict: version %d was published with %d contents; publish version %d\n",
			c.Number, len(c.Digests), c.Number+1)
	}
	fmt.Fprintf(&b, "%d of %d hosts follow", followed, hosts)
	return b.String()
}

// formatAgo returns the prefix and the age followed by " ago", or "" when the age is nil.
func formatAgo(prefix string, age *Age) string {
	if age == nil {
		return ""
	}
	return prefix + age.String() + " ago"
}

func formatSince(age *Age) string {
	if age == nil {
		return ""
	}
	return " for " + age.String()
}

func formatReaders(hosts []string) string {
	if len(hosts) == 0 {
		return ", no reader"
	}
	return ", read by " + strings.Join(hosts, ", ")
}

func formatEra(era uint64) string {
	if era == 0 {
		return ""
	}
	return fmt.Sprintf(", source era %d", era)
}
