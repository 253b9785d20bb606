package register

import (
	"cmp"
	"fmt"
	"maps"
	"net/http"
	"path"
	"slices"
	"strings"
	"time"
	"unicode"
)

// The ranges of the numbers in the rules. The bounds are far above sensible values and keep sums from overflowing.
const (
	maxUrgency    = 100
	maxWorth      = 1_000_000
	maxTargetTime = time.Hour
	maxTimeout    = 24 * time.Hour
	maxPathLength = 1024
)

// methods are the methods that a route can name. CONNECT and TRACE are not forwarded.
var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
	http.MethodOptions,
}

func (v *validator) checkRanks() {
	names := v.names("rank")
	urgencies := make(map[int]string)
	for i, r := range v.content.ranks {
		at := func(field string) place { return place{section: sectionRank, index: i, field: field} }
		names.add(at("name"), "", r.Name)
		if r.Urgency < 1 || r.Urgency > maxUrgency {
			v.fault(at("urgency"), fmt.Sprintf("%d is out of range", r.Urgency),
				fmt.Sprintf("write a number from 1 (most urgent) to %d", maxUrgency))
		} else if other, taken := urgencies[r.Urgency]; taken {
			v.fault(at("urgency"), fmt.Sprintf("ranks %q and %q have the same urgency %d", other, r.Name, r.Urgency),
				"give each rank its own urgency")
		} else {
			urgencies[r.Urgency] = r.Name
		}
		v.checkDuration(at("target_time"), r.TargetTime, maxTargetTime)
		// The negated form also refuses NaN.
		if !(r.Worth > 0 && r.Worth <= maxWorth) {
			v.fault(at("worth"), fmt.Sprintf("%v is out of range", r.Worth),
				fmt.Sprintf("write a number above 0 and up to %d", maxWorth))
		}
	}
}

func (v *validator) checkDuration(p place, d duration, most time.Duration) {
	if d <= 0 || time.Duration(d) > most {
		v.fault(p, fmt.Sprintf("%s is out of range", time.Duration(d)),
			fmt.Sprintf("write a duration above 0s and up to %s", most))
	}
}

func (v *validator) checkRoutes() {
	services, ranks := v.serviceRows(), make(map[string]bool)
	for _, r := range v.content.ranks {
		ranks[r.Name] = true
	}
	names := v.names("route")
	matches := make(map[string]string)
	routed := make(map[string]bool)
	for i, r := range v.content.routes {
		at := func(field string) place { return place{section: sectionRoute, index: i, field: field} }
		names.add(at("name"), "", r.Name)
		checkKnown(v, at("service"), "service", r.Service, services)
		checkKnown(v, at("rank"), "rank", r.Rank, ranks)
		if r.Method != "" && !slices.Contains(methods, r.Method) {
			v.fault(at("method"), fmt.Sprintf("%q is not a method that can be routed", r.Method),
				suggest(r.Method, methods, "write one of "+strings.Join(methods, ", ")+" or leave it out for all methods"))
		}
		v.checkPathPrefix(at("path_prefix"), r.PathPrefix)
		v.checkDuration(at("timeout"), r.Timeout, maxTimeout)
		match := strings.Join([]string{r.Service, r.Method, r.PathPrefix}, "\x00")
		if other, taken := matches[match]; taken {
			v.fault(at("path_prefix"), fmt.Sprintf("routes %q and %q match the same requests", other, r.Name),
				"remove one of them")
		}
		matches[match] = cmp.Or(matches[match], r.Name)
		routed[r.Service] = true
	}
	if !v.scope.references {
		return
	}
	for _, service := range slices.Sorted(maps.Keys(services)) {
		if !routed[service] && service != "" {
			v.fault(place{section: sectionTarget, index: services[service], field: "service"},
				fmt.Sprintf("no route leads to service %q", service),
				"add a [[route]] with this service to the rules")
		}
	}
}

// serviceRows maps each service with targets to its first row.
func (v *validator) serviceRows() map[string]int {
	rows := make(map[string]int)
	for i, t := range v.content.targets {
		if _, known := rows[t.service]; !known {
			rows[t.service] = i
		}
	}
	return rows
}

// checkKnown finds a name that refers to nothing.
func checkKnown[T any](v *validator, p place, what, name string, known map[string]T) {
	if name == "" {
		v.fault(p, "the name is missing", "fill it in")
		return
	}
	if _, ok := known[name]; !ok && v.scope.references {
		v.fault(p, fmt.Sprintf("there is no %s %q", what, name),
			suggest(name, slices.Sorted(maps.Keys(known)), "add the "+what+" or remove the reference"))
	}
}

func (v *validator) checkPathPrefix(p place, prefix string) {
	clean := path.Clean(prefix)
	switch {
	case !strings.HasPrefix(prefix, "/"):
		v.fault(p, fmt.Sprintf("%q doesn't start with \"/\"", prefix), `write, for example, "/lots"`)
	case len(prefix) > maxPathLength:
		v.fault(p, fmt.Sprintf("the path prefix is longer than %d bytes", maxPathLength), "choose a shorter one")
	case strings.ContainsAny(prefix, "?#") || strings.ContainsFunc(prefix, unicode.IsControl):
		v.fault(p, fmt.Sprintf("%q contains a query, a fragment or a control character", prefix), "write the path only")
	case clean != prefix && clean+"/" != prefix:
		v.fault(p, fmt.Sprintf("%q contains \"//\" or a relative segment", prefix), "write "+clean)
	}
}

func (v *validator) checkLeaving() {
	hosts, listed := make(map[string]bool), make(map[string]bool)
	for _, t := range v.content.targets {
		hosts[t.Host] = true
	}
	for i, host := range v.content.leaving {
		p := place{section: sectionLeaving, index: i, field: "host"}
		checkKnown(v, p, "host", host, hosts)
		if listed[host] {
			v.fault(p, fmt.Sprintf("host %q is listed twice", host), "remove one entry")
		}
		listed[host] = true
	}
}
