package register

import (
	"fmt"
	"slices"
	"strings"

	"cicadacross"
)

// ChangeKind is the type of a change to a record.
type ChangeKind string

// The kinds of changes.
const (
	ChangeAdded   ChangeKind = "added"
	ChangeRemoved ChangeKind = "removed"
	ChangeAltered ChangeKind = "altered"
)

// Change is one difference between two configurations.
type Change struct {
	kind       ChangeKind
	recordType string
	name       string
	details    []string
}

// Kind returns whether the record was added, removed or altered.
func (c Change) Kind() ChangeKind { return c.kind }

// RecordType returns the type of the record: "target", "rank", "route" or "leaving host".
func (c Change) RecordType() string { return c.recordType }

// Name returns the name of the record; for a target, it is service/name.
func (c Change) Name() string { return c.name }

// Details returns the changed fields of an altered record with the old and new values, for example "slots: 10 -> 12".
// It is empty for other kinds.
func (c Change) Details() []string { return slices.Clone(c.details) }

// String returns the change on one line, for example "target portal/p1 altered (slots: 6 -> 8)".
func (c Change) String() string {
	text := fmt.Sprintf("%s %s %s", c.recordType, c.name, c.kind)
	if len(c.details) > 0 {
		text += " (" + strings.Join(c.details, ", ") + ")"
	}
	return text
}

// Diff returns the changes from old to new: targets, ranks, routes and leaving hosts, each sorted by name. A nil old is
// an empty configuration.
func Diff(old, new *cicadacross.Configuration) []Change {
	before, after := fieldsByRecord(old), fieldsByRecord(new)
	var changes []Change
	changes = append(changes, compareRecords("target", before.targets, after.targets)...)
	changes = append(changes, compareRecords("rank", before.ranks, after.ranks)...)
	changes = append(changes, compareRecords("route", before.routes, after.routes)...)
	return append(changes, compareRecords("leaving host", before.leaving, after.leaving)...)
}

// recordFields holds the fields of the records of a configuration, by record name.
type recordFields struct {
	targets map[string][]field
	ranks   map[string][]field
	routes  map[string][]field
	leaving map[string][]field
}

type field struct {
	name  string
	value any
}

func fieldsByRecord(c *cicadacross.Configuration) recordFields {
	v := recordFields{
		targets: make(map[string][]field),
		ranks:   make(map[string][]field),
		routes:  make(map[string][]field),
		leaving: make(map[string][]field),
	}
	if c == nil {
		return v
	}
	for _, t := range c.Targets() {
		v.targets[t.Service()+"/"+t.Name()] = targetFields(t)
	}
	for _, r := range c.Ranks() {
		v.ranks[r.Name()] = []field{{"urgency", r.Urgency()}, {"target_time", r.TargetTime()}, {"worth", r.Worth()}}
	}
	for _, s := range c.Services() {
		for _, r := range s.Routes() {
			v.routes[r.Name()] = routeFields(r)
		}
	}
	for _, host := range c.LeavingHosts() {
		v.leaving[host] = nil
	}
	return v
}

func targetFields(t cicadacross.Target) []field {
	return []field{
		{"host", t.Host()},
		{"region", t.Region()},
		{"availability_zone", t.AvailabilityZone()},
		{"upstream", t.Upstream()},
		{"peer", t.Peer()},
		{"caller", t.Caller()},
		{"operator", t.Operator()},
		{"slots", t.Slots()},
		{"connections", t.Connections()},
	}
}

func routeFields(r cicadacross.Route) []field {
	return []field{
		{"service", r.Service()},
		{"method", r.Method()},
		{"path_prefix", r.PathPrefix()},
		{"rank", r.Rank().Name()},
		{"repeatable", r.Repeatable()},
		{"timeout", r.Timeout()},
	}
}

func compareRecords(recordType string, before, after map[string][]field) []Change {
	var changes []Change
	for name, fields := range after {
		earlier, existed := before[name]
		if !existed {
			changes = append(changes, Change{kind: ChangeAdded, recordType: recordType, name: name})
			continue
		}
		if details := fieldChanges(earlier, fields); len(details) > 0 {
			changes = append(changes, Change{kind: ChangeAltered, recordType: recordType, name: name, details: details})
		}
	}
	for name := range before {
		if _, kept := after[name]; !kept {
			changes = append(changes, Change{kind: ChangeRemoved, recordType: recordType, name: name})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return strings.Compare(a.name, b.name) })
	return changes
}

func fieldChanges(before, after []field) []string {
	var details []string
	for i, f := range after {
		if before[i].value != f.value {
			details = append(details, fmt.Sprintf("%s: %v -> %v", f.name, formatValue(before[i].value), formatValue(f.value)))
		}
	}
	return details
}

// formatValue returns a pair of quotes for an empty string, to make it visible, and other values unchanged.
func formatValue(value any) any {
	if value == "" {
		return `""`
	}
	return value
}
