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

	"golang.org/x/text/unicode/norm"
)

// Upper bounds of the numbers in the rules; maxPathLength is in bytes. The bounds are far above sensible values and
// prevent sums from overflowing.
const (
	maxUrgency    = 100
	maxWorth      = 1_000_000
	maxTargetTime = time.Hour
	maxTimeout    = 24 * time.Hour
	maxPathLength = 1024
)

// methods lists the HTTP methods that a route can match. CONNECT and TRACE are not forwarded.
var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
	http.MethodOptions,
}

func (v *validator) checkRanks() {
	names := v.newUniqueNames("rank")
	urgencies := make(map[int]string)
	for i, r := range v.content.ranks {
		ref := func(field string) fieldRef { return fieldRef{section: sectionRank, index: i, field: field} }
		names.add(ref("name"), "", r.Name)
		if r.Urgency < 1 || r.Urgency > maxUrgency {
			v.addFault(ref("urgency"), fmt.Sprintf("%d is out of range", r.Urgency),
				fmt.Sprintf("write a number from 1 (most urgent) to %d", maxUrgency))
		} else if other, taken := urgencies[r.Urgency]; taken {
			v.addFault(ref("urgency"), fmt.Sprintf("ranks %q and %q have the same urgency %d", other, r.Name, r.Urgency),
				"give each rank its own urgency")
		} else {
			urgencies[r.Urgency] = r.Name
		}
		v.checkDuration(ref("target_time"), r.TargetTime, maxTargetTime)
		// The negated comparison also rejects NaN.
		if !(r.Worth > 0 && r.Worth <= maxWorth) {
			v.addFault(ref("worth"), fmt.Sprintf("%v is out of range", r.Worth),
				fmt.Sprintf("write a number above 0 and up to %d", maxWorth))
		}
	}
}

func (v *validator) checkDuration(ref fieldRef, d duration, limit time.Duration) {
	if d <= 0 || time.Duration(d) > limit {
		v.addFault(ref, fmt.Sprintf("%s is out of range", time.Duration(d)),
			fmt.Sprintf("write a duration above 0s and up to %s", limit))
	}
}

func (v *validator) checkRoutes() {
	services, ranks := v.firstRowByService(), make(map[string]bool)
	for _, r := range v.content.ranks {
		ranks[r.Name] = true
	}
	names := v.newUniqueNames("route")
	matches := make(map[string]string)
	routed := make(map[string]bool)
	for i, r := range v.content.routes {
		ref := func(field string) fieldRef { return fieldRef{section: sectionRoute, index: i, field: field} }
		names.add(ref("name"), "", r.Name)
		checkReference(v, ref("service"), "service", r.Service, services)
		checkReference(v, ref("rank"), "rank", r.Rank, ranks)
		if r.Method != "" && !slices.Contains(methods, r.Method) {
			v.addFault(ref("method"), fmt.Sprintf("%q is not a method that can be routed", r.Method),
				suggest(r.Method, methods, "write one of "+strings.Join(methods, ", ")+" or leave it out for all methods"))
		}
		v.checkPathPrefix(ref("path_prefix"), r.PathPrefix)
		v.checkDuration(ref("timeout"), r.Timeout, maxTimeout)
		match := strings.Join([]string{r.Service, r.Method, r.PathPrefix}, "\x00")
		if other, taken := matches[match]; taken {
			v.addFault(ref("path_prefix"), fmt.Sprintf("routes %q and %q match the same requests", other, r.Name),
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
			v.addFault(fieldRef{section: sectionTarget, index: services[service], field: "service"},
				fmt.Sprintf("no route leads to service %q", service),
				"add a [[route]] with this service to the rules")
		}
	}
}

// firstRowByService returns the index of the first row of each service.
func (v *validator) firstRowByService() map[string]int {
	rows := make(map[string]int)
	for i, t := range v.content.targets {
		if _, known := rows[t.service]; !known {
			rows[t.service] = i
		}
	}
	return rows
}

// checkReference checks that the name is not empty and, if the scope includes references, that it is known.
func checkReference[T any](v *validator, ref fieldRef, label, name string, known map[string]T) {
	if name == "" {
		v.addFault(ref, "the name is missing", "fill it in")
		return
	}
	if _, ok := known[name]; !ok && v.scope.references {
		v.addFault(ref, fmt.Sprintf("there is no %s %q", label, name),
			suggest(name, slices.Sorted(maps.Keys(known)), "add the "+label+" or remove the reference"))
	}
}

func (v *validator) checkPathPrefix(ref fieldRef, prefix string) {
	clean := path.Clean(prefix)
	switch {
	case !strings.HasPrefix(prefix, "/"):
		v.addFault(ref, fmt.Sprintf("%q doesn't start with \"/\"", prefix), `write, for example, "/lots"`)
	case len(prefix) > maxPathLength:
		v.addFault(ref, fmt.Sprintf("the path prefix is longer than %d bytes", maxPathLength), "choose a shorter one")
	case strings.ContainsAny(prefix, "?#") || strings.ContainsFunc(prefix, unicode.IsControl):
		v.addFault(ref, fmt.Sprintf("%q contains a query, a fragment or a control character", prefix), "write the path only")
	case !norm.NFC.IsNormalString(prefix):
		v.addFault(ref, fmt.Sprintf("%q is not in Unicode form NFC", prefix), "render it again with this command")
	case clean != prefix && clean+"/" != prefix:
		v.addFault(ref, fmt.Sprintf("%q contains \"//\" or a relative segment", prefix), "write "+clean)
	}
}

func (v *validator) checkLeaving() {
	hosts, listed := make(map[string]bool), make(map[string]bool)
	for _, t := range v.content.targets {
		hosts[t.Host] = true
	}
	for i, host := range v.content.leaving {
		ref := fieldRef{section: sectionLeaving, index: i, field: "host"}
		checkReference(v, ref, "host", host, hosts)
		if listed[host] {
			v.addFault(ref, fmt.Sprintf("host %q is listed twice", host), "remove one entry")
		}
		listed[host] = true
	}
}
