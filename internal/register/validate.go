package register

import (
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"

	"golang.org/x/text/cases"
	"golang.org/x/text/unicode/norm"
)

// maxNameLength is the length of the longest name in characters; a service's name travels in the Host header.
const maxNameLength = 63

// validator finds all faults of a content. It is the only one, so that check and the daemons accept the same content.
type validator struct {
	content *content
	locate  func(place) (file string, line int)
	scope   scope
	faults  Faults
	fold    cases.Caser
}

// scope says which parts of a content are whole enough to be validated.
type scope struct {
	targets    bool
	rules      bool
	references bool
}

var everything = scope{targets: true, rules: true, references: true}

// validate returns all faults of the content within the scope.
func validate(c *content, locate func(place) (string, int), s scope) Faults {
	v := &validator{content: c, locate: locate, scope: s, fold: cases.Fold()}
	if s.targets {
		v.checkTargets()
	}
	if s.rules {
		v.checkVersion()
		v.checkRanks()
		v.checkRoutes()
		v.checkLeaving()
	}
	return v.faults
}

func (v *validator) fault(p place, message, remedy string) {
	file, line := v.locate(p)
	v.faults = append(v.faults,
		Fault{file: file, line: line, field: p.field, message: message, remedy: remedy, place: p})
}

func (v *validator) checkVersion() {
	if n := v.content.version; n < 1 || n > MaxVersion {
		v.fault(place{section: sectionRules, field: "version"}, fmt.Sprintf("version %d is out of range", n),
			fmt.Sprintf("write a number from 1 to %d, one above the published one", uint64(MaxVersion)))
	}
}

// checkName reports whether the text is usable as a name.
func (v *validator) checkName(p place, name string) bool {
	message, remedy := nameFault(name)
	if message != "" {
		v.fault(p, message, remedy)
	}
	return message == ""
}

func nameFault(name string) (message, remedy string) {
	const allowed = "use letters, digits, '-', '_' and '.', with a letter or digit first and last"
	if name == "" {
		return "the name is missing", "fill it in"
	}
	if utf8.RuneCountInString(name) > maxNameLength {
		return fmt.Sprintf("the name is longer than %d characters", maxNameLength), "choose a shorter name"
	}
	if !norm.NFC.IsNormalString(name) {
		return fmt.Sprintf("the name %q is not in Unicode form NFC", name), "render it again with this command"
	}
	for _, c := range name {
		if !isLetterOrDigit(c) && !strings.ContainsRune("-_.", c) {
			return fmt.Sprintf("the name %q contains %q", name, c), allowed
		}
	}
	first, _ := utf8.DecodeRuneInString(name)
	last, _ := utf8.DecodeLastRuneInString(name)
	if !isLetterOrDigit(first) || !isLetterOrDigit(last) || unicode.IsMark(first) {
		return fmt.Sprintf("the name %q starts or ends with punctuation", name), allowed
	}
	return "", ""
}

func isLetterOrDigit(c rune) bool {
	return unicode.IsLetter(c) || unicode.IsDigit(c) || unicode.IsMark(c)
}

// names finds names that are used twice or that differ in case only, which callers and operators would mix up.
type names struct {
	v     *validator
	what  string
	first map[string]place
	exact map[string]string
}

func (v *validator) names(what string) *names {
	return &names{v: v, what: what, first: make(map[string]place), exact: make(map[string]string)}
}

// add checks the name within a scope; the same name may appear in two scopes.
func (n *names) add(p place, scope, name string) {
	if !n.v.checkName(p, name) {
		return
	}
	key := scope + "\x00" + n.v.fold.String(name)
	earlier, used := n.first[key]
	if !used {
		n.first[key], n.exact[key] = p, name
		return
	}
	where := n.v.where(earlier)
	if n.exact[key] != name {
		n.v.fault(p, fmt.Sprintf("%s %q and %q%s differ in case only", n.what, name, n.exact[key], where),
			"rename one of them")
		return
	}
	n.v.fault(p, fmt.Sprintf("%s %q is already used%s", n.what, name, where), "rename or remove one of them")
}

// where returns the line of an earlier record as part of a message.
func (v *validator) where(p place) string {
	if _, line := v.locate(p); line > 0 {
		return fmt.Sprintf(" in line %d", line)
	}
	return ""
}
