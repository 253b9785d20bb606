// Package register reads the register of targets and the rules, validates them, renders the manifest and the parts that
// are published, and reads those again in the daemons.
package register

import (
	"bytes"
	"unicode/utf8"

	"golang.org/x/text/unicode/norm"
)

// MaxDocumentSize is the length of the longest document that is read, in bytes. It bounds the work on a wrong file.
const MaxDocumentSize = 16 << 20

// Document is a file with its name, which appears in faults.
type Document struct {
	name string
	data []byte
}

// NewDocument returns a document. The caller must not change data afterwards.
func NewDocument(name string, data []byte) Document { return Document{name: name, data: data} }

// Parse reads a register (CSV) and rules (TOML). It returns either a publication or all faults of both documents.
func Parse(register, rules Document) (*Publication, Faults) {
	r := &reader{register: register.name, rules: rules.name, lines: make(map[place]int), scope: everything}
	if text, ok := r.text(register); ok {
		r.readRegister(text)
	} else {
		r.scope.targets = false
	}
	if text, ok := r.text(rules); ok {
		r.readRules(text)
	} else {
		r.scope.rules = false
	}
	r.validateRead()
	if len(r.faults) > 0 {
		return nil, r.faults.sorted(register.name, rules.name)
	}
	r.content.sort()
	p, err := render(&r.content)
	if err != nil {
		return nil, Faults{{file: register.name, message: err.Error(), remedy: "split the service into several services"}}
	}
	return p, nil
}

// reader collects the content of both documents with the line of each field.
type reader struct {
	register string
	rules    string
	content  content
	lines    map[place]int
	faults   Faults
	// scope leaves out what could not be read, so that no fault follows from another one.
	scope scope
}

// place names a field of a record; an empty field means the whole record.
type place struct {
	section string
	index   int
	field   string
}

// locate returns the line of the field or, for a missing field, of its record. Records of an inline list have the line
// of the list.
func (r *reader) locate(p place) (file string, line int) {
	file = r.rules
	if p.section == sectionTarget {
		file = r.register
	}
	if line, ok := r.lines[p]; ok {
		return file, line
	}
	if line, ok := r.lines[place{section: p.section, index: p.index}]; ok {
		return file, line
	}
	return file, r.lines[place{section: sectionRules, field: p.section}]
}

// fault adds a fault of a field. A field has at most one fault, since a second one follows from the first.
func (r *reader) fault(p place, message, remedy string) {
	file, line := r.locate(p)
	r.faults = append(r.faults,
		Fault{file: file, line: line, field: p.field, message: message, remedy: remedy, place: p})
}

func (r *reader) documentFault(file string, line int, field, message, remedy string) {
	r.faults = append(r.faults, Fault{file: file, line: line, field: field, message: message, remedy: remedy})
}

// validateRead adds the validator's faults of the fields that could be read.
func (r *reader) validateRead() {
	seen := make(map[place]bool, len(r.faults))
	for _, f := range r.faults {
		seen[f.place] = true
	}
	for _, f := range validate(&r.content, r.locate, r.scope) {
		if !seen[f.place] {
			r.faults = append(r.faults, f)
		}
	}
}

var (
	markUTF8    = []byte{0xEF, 0xBB, 0xBF}
	markUTF16LE = []byte{0xFF, 0xFE}
	markUTF16BE = []byte{0xFE, 0xFF}
)

// text checks size and encoding of a document and returns it without a byte order mark.
func (r *reader) text(d Document) ([]byte, bool) {
	const remedy = "save the file as UTF-8"
	refuse := func(line int, message, remedy string) ([]byte, bool) {
		r.scope.references = false
		r.documentFault(d.name, line, "", message, remedy)
		return nil, false
	}
	data, _ := bytes.CutPrefix(d.data, markUTF8)
	switch {
	case len(d.data) > MaxDocumentSize:
		return refuse(0, "the file is larger than 16 MB", "check that this is the right file")
	case bytes.HasPrefix(data, markUTF16LE), bytes.HasPrefix(data, markUTF16BE):
		return refuse(1, "the file is encoded as UTF-16", remedy+` (in a spreadsheet: "CSV UTF-8")`)
	case bytes.IndexByte(data, 0) >= 0:
		line := lineOf(data, bytes.IndexByte(data, 0))
		return refuse(line, "the file has a zero byte: it is not text or is encoded as UTF-16", remedy)
	case !utf8.Valid(data):
		return refuse(lineOf(data, invalidOffset(data)), "the line is not valid UTF-8", remedy)
	}
	// Names typed on different systems differ in the form of accented letters, which can't be seen.
	return norm.NFC.Bytes(data), true
}

func invalidOffset(data []byte) int {
	for i := 0; i < len(data); {
		r, size := utf8.DecodeRune(data[i:])
		if r == utf8.RuneError && size <= 1 {
			return i
		}
		i += size
	}
	return len(data)
}

func lineOf(data []byte, offset int) int { return 1 + bytes.Count(data[:offset], []byte("\n")) }
