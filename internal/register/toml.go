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

// rulesDocument is the decoded TOML document. The fields of it and its records have type any so that a value of the
// wrong type is reported together with all other faults; with typed fields, decoding would stop at the first one.
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

// knownKeys lists the valid keys of each section of the rules.
var knownKeys = map[string][]string{
	sectionRules:   {"version", "rank", "route", "leaving"},
	sectionRank:    {"name", "urgency", "target_time", "worth"},
	sectionRoute:   {"name", "service", "method", "path_prefix", "rank", "repeatable", "timeout"},
	sectionLeaving: {"host"},
}

// readRules parses the TOML text of the rules.
func (r *documentReader) readRules(text []byte) {
	decoder := toml.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	var rules rulesDocument
	err := decoder.Decode(&rules)
	var strictErr *toml.StrictMissingError
	var decodeErr *toml.DecodeError
	switch {
	case errors.As(err, &strictErr):
		r.addUnknownKeyFaults(strictErr)
	case errors.As(err, &decodeErr):
		r.scope.rules, r.scope.references = false, false
		line, _ := decodeErr.Position()
		r.addDocumentFault(r.rules, line, strings.Join(decodeErr.Key(), "."), decodeErr.Error(),
			"correct the line; tables are written [[rank]], [[route]] and [[leaving]]")
		return
	case err != nil:
		r.scope.rules, r.scope.references = false, false
		r.addDocumentFault(r.rules, 0, "", err.Error(), "correct the file")
		return
	}
	r.recordKeyLines(text)
	r.content.version = r.integerValue(fieldRef{section: sectionRules, field: "version"}, rules.Version)
	for i, d := range rules.Rank {
		r.content.ranks = append(r.content.ranks, r.readRank(i, d))
	}
	for i, d := range rules.Route {
		r.content.routes = append(r.content.routes, r.readRoute(i, d))
	}
	for i, d := range rules.Leaving {
		host := r.stringValue(fieldRef{section: sectionLeaving, index: i, field: "host"}, d.Host)
		r.content.leaving = append(r.content.leaving, host)
	}
}

func (r *documentReader) addUnknownKeyFaults(err *toml.StrictMissingError) {
	for i := range err.Errors {
		e := &err.Errors[i]
		line, _ := e.Position()
		key := e.Key()
		section := sectionRules
		if len(key) > 1 {
			section = key[0]
		}
		r.addDocumentFault(r.rules, line, strings.Join(key, "."), "unknown key",
			suggest(key[len(key)-1], knownKeys[section], "remove the key"))
	}
}

// recordKeyLines records the line of each table and key. It also adds faults for keys with capital letters, which the
// decoder accepts, and for tables in single brackets.
func (r *documentReader) recordKeyLines(text []byte) {
	parser := unstable.Parser{}
	parser.Reset(text)
	current := fieldRef{section: sectionRules}
	counts := make(map[string]int)
	line, offset := 1, 0
	for parser.NextExpression() {
		expression := parser.Expression()
		var path []string
		for key := expression.Key(); key.Next(); {
			keyOffset := int(key.Node().Raw.Offset)
			line += bytes.Count(text[offset:keyOffset], []byte("\n"))
			offset = keyOffset
			path = append(path, string(key.Node().Data))
		}
		name := strings.ToLower(path[0])
		switch expression.Kind {
		case unstable.ArrayTable, unstable.Table:
			if len(path) == 1 {
				current = fieldRef{section: name, index: counts[name]}
				counts[name]++
				r.lines[current] = line
			}
		case unstable.KeyValue:
			r.lines[fieldRef{section: current.section, index: current.index, field: name}] = line
		}
		if expression.Kind == unstable.Table && name != sectionRules && knownKeys[name] != nil {
			r.addDocumentFault(r.rules, line, name, "the table has single brackets, which allow only one",
				"write [["+name+"]]")
		}
		if path[0] != name && slices.Contains(knownKeys[current.section], name) {
			r.addDocumentFault(r.rules, line, path[0], "the key has capital letters", "write "+name)
		}
	}
}

func (r *documentReader) readRank(i int, d rankDocument) rankRecord {
	ref := func(field string) fieldRef { return fieldRef{section: sectionRank, index: i, field: field} }
	return rankRecord{
		Name:       r.stringValue(ref("name"), d.Name),
		Urgency:    int(r.integerValue(ref("urgency"), d.Urgency)),
		TargetTime: r.durationValue(ref("target_time"), d.TargetTime),
		Worth:      r.floatValue(ref("worth"), d.Worth),
	}
}

func (r *documentReader) readRoute(i int, d routeDocument) routeRecord {
	ref := func(field string) fieldRef { return fieldRef{section: sectionRoute, index: i, field: field} }
	record := routeRecord{
		Name:       r.stringValue(ref("name"), d.Name),
		Service:    r.stringValue(ref("service"), d.Service),
		PathPrefix: r.stringValue(ref("path_prefix"), d.PathPrefix),
		Rank:       r.stringValue(ref("rank"), d.Rank),
		Timeout:    r.durationValue(ref("timeout"), d.Timeout),
	}
	if d.Method != nil {
		record.Method = r.stringValue(ref("method"), d.Method)
	}
	if d.Repeatable != nil {
		value, ok := d.Repeatable.(bool)
		if !ok {
			r.addTypeFault(ref("repeatable"), d.Repeatable, "true or false", "repeatable = true")
		}
		record.Repeatable = value
	}
	return record
}

// addTypeFault adds a fault for a key that is missing (its value is nil) or whose value has the wrong type. The texts
// want and example describe the correct type and show a correct line.
func (r *documentReader) addTypeFault(ref fieldRef, value any, want, example string) {
	if value == nil {
		r.addFault(ref, "the key is missing", "add, for example, "+example)
		return
	}
	r.addFault(ref, fmt.Sprintf("%v is not %s", value, want), "write, for example, "+example)
}

func (r *documentReader) stringValue(ref fieldRef, value any) string {
	text, ok := value.(string)
	if !ok {
		r.addTypeFault(ref, value, "a string", ref.field+` = "..."`)
	}
	return text
}

func (r *documentReader) integerValue(ref fieldRef, value any) uint64 {
	n, ok := value.(int64)
	if !ok {
		r.addTypeFault(ref, value, "a whole number", ref.field+" = 1")
	}
	if n < 0 {
		r.addFault(ref, fmt.Sprintf("%d is below 1", n), "write a number from 1")
		return 0
	}
	return uint64(n)
}

func (r *documentReader) floatValue(ref fieldRef, value any) float64 {
	switch n := value.(type) {
	case int64:
		return float64(n)
	case float64:
		return n
	}
	r.addTypeFault(ref, value, "a number", ref.field+" = 1.0")
	return 0
}

func (r *documentReader) durationValue(ref fieldRef, value any) duration {
	text, ok := value.(string)
	if !ok {
		r.addTypeFault(ref, value, "a duration in quotes", ref.field+` = "300ms"`)
		return 0
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		r.addFault(ref, fmt.Sprintf("%q is not a duration", text), `write, for example, "300ms", "2s" or "5m"`)
	}
	return duration(d)
}
