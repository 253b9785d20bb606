package register

import (
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"

	"golang.org/x/text/cases"
	"golang.org/x/text/unicode/norm"
)

// maxNameLength is the maximum length of a name, in characters. Names are limited because callers send the name of the
// service in the Host header.
const maxNameLength = 63

// validator finds all faults of a content. The check command and the daemons share it, so that they accept the same
// content.
type validator struct {
	content     *content
	locateField func(fieldRef) (file string, line int)
	scope       scope
	faults      Faults
	caseFolder  cases.Caser
}

// scope selects what is validated, since parts of the content may not have been readable.
type scope struct {
	targets bool
	rules   bool
	// references enables the checks of references between records, and that the register has targets.
	references bool
}

var fullScope = scope{targets: true, rules: true, references: true}

// validate returns all faults of the content within the scope.
func validate(c *content, locateField func(fieldRef) (string, int), s scope) Faults {
	v := &validator{content: c, locateField: locateField, scope: s, caseFolder: cases.Fold()}
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

func (v *validator) addFault(ref fieldRef, message, remedy string) {
	file, line := v.locateField(ref)
	v.faults = append(v.faults,
		Fault{file: file, line: line, field: ref.field, message: message, remedy: remedy, ref: ref})
}

func (v *validator) checkVersion() {
	if n := v.content.version; n < 1 || n > MaxVersion {
		v.addFault(fieldRef{section: sectionRules, field: "version"}, fmt.Sprintf("version %d is out of range", n),
			fmt.Sprintf("write a number from 1 to %d, one above the published one", uint64(MaxVersion)))
	}
}

// checkName reports whether the name is valid, and adds a fault when it isn't.
func (v *validator) checkName(ref fieldRef, name string) bool {
	message, remedy := nameFault(name)
	if message != "" {
		v.addFault(ref, message, remedy)
	}
	return message == ""
}

// nameFault returns what is wrong with the name and how to correct it, or empty texts for a valid name.
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

// uniqueNames finds names that are used twice or that differ only in case, which callers and operators would mix up.
// Its maps are keyed by namespace and case-folded name.
type uniqueNames struct {
	v *validator
	// label is the type of the named records in messages, such as "host".
	label    string
	first    map[string]fieldRef
	spelling map[string]string
}

func (v *validator) newUniqueNames(label string) *uniqueNames {
	return &uniqueNames{v: v, label: label, first: make(map[string]fieldRef), spelling: make(map[string]string)}
}

// add checks that the name is valid and unique within the namespace.
func (n *uniqueNames) add(ref fieldRef, namespace, name string) {
	if !n.v.checkName(ref, name) {
		return
	}
	key := namespace + "\x00" + n.v.caseFolder.String(name)
	earlier, used := n.first[key]
	if !used {
		n.first[key], n.spelling[key] = ref, name
		return
	}
	suffix := n.v.lineSuffix(earlier)
	if n.spelling[key] != name {
		n.v.addFault(ref, fmt.Sprintf("%s %q and %q%s differ in case only", n.label, name, n.spelling[key], suffix),
			"rename one of them")
		return
	}
	n.v.addFault(ref, fmt.Sprintf("%s %q is already used%s", n.label, name, suffix), "rename or remove one of them")
}

// lineSuffix returns " in line N" for use in a message, or "" when the line of the field is unknown.
func (v *validator) lineSuffix(ref fieldRef) string {
	if _, line := v.locateField(ref); line > 0 {
		return fmt.Sprintf(" in line %d", line)
	}
	return ""
}
