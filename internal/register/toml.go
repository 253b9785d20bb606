package register

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// The fields have type any so that a value of a wrong type is reported with all other faults; a typed field would end
// the decoding at the first one.
type rulesDocument struct {
	Version any               `toml:"version"`
	Rank    []rankDocument    `toml:"rank"`
	Route   []routeDocument   `toml:"route"`
	Leaving []leavingDocument `toml:"leaving"`
}

type rankDocument struct {
	Name       any `toml:"name"`
	Urgency    any `toml:"urgency"`
	TargetTime any `toml:"target_time"`
	Worth      any `toml:"worth"`
}

type routeDocument struct {
	Name       any `toml:"name"`
	Service    any `toml:"service"`
	Method     any `toml:"method"`
	PathPrefix any `toml:"path_prefix"`
	Rank       any `toml:"rank"`
	Repeatable any `toml:"repeatable"`
	Timeout    any `toml:"timeout"`
}

type leavingDocument struct {
	Host any `toml:"host"`
}

// keys lists the known keys of each section of the rules.
var keys = map[string][]string{
	sectionRules:   {"version", "rank", "route", "leaving"},
	sectionRank:    {"name", "urgency", "target_time", "worth"},
	sectionRoute:   {"name", "service", "method", "path_prefix", "rank", "repeatable", "timeout"},
	sectionLeaving: {"host"},
}

// readRules reads the rules.
func (r *reader) readRules(text []byte) {
	decoder := toml.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	var rules rulesDocument
	err := decoder.Decode(&rules)
	var unknown *toml.StrictMissingError
	var syntax *toml.DecodeError
	switch {
	case errors.As(err, &unknown):
		r.unknownKeys(unknown)
	case errors.As(err, &syntax):
		r.scope.rules, r.scope.references = false, false
		line, _ := syntax.Position()
		r.documentFault(r.rules, line, strings.Join(syntax.Key(), "."), syntax.Error(),
			"correct the line; tables are written [[rank]], [[route]] and [[leaving]]")
		return
	case err != nil:
		r.scope.rules, r.scope.references = false, false
		r.documentFault(r.rules, 0, "", err.Error(), "correct the file")
		return
	}
	r.locateKeys(text)
	r.content.version = r.wholeNumber(place{section: sectionRules, field: "version"}, rules.Version)
	for i, d := range rules.Rank {
		r.content.ranks = append(r.content.ranks, r.rank(i, d))
	}
	for i, d := range rules.Route {
		r.content.routes = append(r.content.routes, r.route(i, d))
	}
	for i, d := range rules.Leaving {
		host := r.str(place{section: sectionLeaving, index: i, field: "host"}, d.Host)
		r.content.leaving = append(r.content.leaving, host)
	}
}

func (r *reader) unknownKeys(err *toml.StrictMissingError) {
	for i := range err.Errors {
		e := &err.Errors[i]
		line, _ := e.Position()
		key := e.Key()
		section := sectionRules
		if len(key) > 1 {
			section = key[0]
		}
		r.documentFault(r.rules, line, strings.Join(key, "."), "unknown key",
			suggest(key[len(key)-1], keys[section], "remove the key"))
	}
}

// locateKeys records the line of each table and key and reports keys in another case, which the decoder accepts.
func (r *reader) locateKeys(text []byte) {
	parser := unstable.Parser{}
	parser.Reset(text)
	current := place{section: sectionRules}
	counts := make(map[string]int)
	line, offset := 1, 0
	for parser.NextExpression() {
		expression := parser.Expression()
		var path []string
		for key := expression.Key(); key.Next(); {
			at := int(key.Node().Raw.Offset)
			line += bytes.Count(text[offset:at], []byte("\n"))
			offset = at
			path = append(path, string(key.Node().Data))
		}
		name := strings.ToLower(path[0])
		switch expression.Kind {
		case unstable.ArrayTable, unstable.Table:
			if len(path) == 1 {
				current = place{section: name, index: counts[name]}
				counts[name]++
				r.lines[current] = line
			}
		case unstable.KeyValue:
			r.lines[place{section: current.section, index: current.index, field: name}] = line
		}
		if expression.Kind == unstable.Table && name != sectionRules && keys[name] != nil {
			r.documentFault(r.rules, line, name, "the table has single brackets, which allow only one",
				"write [["+name+"]]")
		}
		if path[0] != name && slices.Contains(keys[current.section], name) {
			r.documentFault(r.rules, line, path[0], "the key has capital letters", "write "+name)
		}
	}
}

func (r *reader) rank(i int, d rankDocument) rankRecord {
	at := func(field string) place { return place{section: sectionRank, index: i, field: field} }
	return rankRecord{
		Name:       r.str(at("name"), d.Name),
		Urgency:    int(r.wholeNumber(at("urgency"), d.Urgency)),
		TargetTime: r.duration(at("target_time"), d.TargetTime),
		Worth:      r.number(at("worth"), d.Worth),
	}
}

func (r *reader) route(i int, d routeDocument) routeRecord {
	at := func(field string) place { return place{section: sectionRoute, index: i, field: field} }
	record := routeRecord{
		Name:       r.str(at("name"), d.Name),
		Service:    r.str(at("service"), d.Service),
		PathPrefix: r.str(at("path_prefix"), d.PathPrefix),
		Rank:       r.str(at("rank"), d.Rank),
		Timeout:    r.duration(at("timeout"), d.Timeout),
	}
	if d.Method != nil {
		record.Method = r.str(at("method"), d.Method)
	}
	if d.Repeatable != nil {
		value, ok := d.Repeatable.(bool)
		if !ok {
			r.wrongType(at("repeatable"), d.Repeatable, "true or false", "repeatable = true")
		}
		record.Repeatable = value
	}
	return record
}

func (r *reader) wrongType(p place, value any, want, example string) {
	if value == nil {
		r.fault(p, "the key is missing", "add, for example, "+example)
		return
	}
	r.fault(p, fmt.Sprintf("%v is not %s", value, want), "write, for example, "+example)
}

func (r *reader) str(p place, value any) string {
	text, ok := value.(string)
	if !ok {
		r.wrongType(p, value, "a string", p.field+` = "..."`)
	}
	return text
}

func (r *reader) wholeNumber(p place, value any) uint64 {
	n, ok := value.(int64)
	if !ok {
		r.wrongType(p, value, "a whole number", p.field+" = 1")
	}
	if n < 0 {
		r.fault(p, fmt.Sprintf("%d is below 1", n), "write a number from 1")
		return 0
	}
	return uint64(n)
}

func (r *reader) number(p place, value any) float64 {
	switch n := value.(type) {
	case int64:
		return float64(n)
	case float64:
		return n
	}
	r.wrongType(p, value, "a number", p.field+" = 1.0")
	return 0
}

func (r *reader) duration(p place, value any) duration {
	text, ok := value.(string)
	if !ok {
		r.wrongType(p, value, "a duration in quotes", p.field+` = "300ms"`)
		return 0
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		r.fault(p, fmt.Sprintf("%q is not a duration", text), `write, for example, "300ms", "2s" or "5m"`)
	}
	return duration(d)
}
