// Package register parses and validates the register of targets (CSV) and the rules (TOML) and renders them as the
// manifest and parts that operators publish. Daemons use it to decode and validate what was published.
package register

import (
	"bytes"
	"unicode/utf8"

	"golang.org/x/text/unicode/norm"
)

// MaxDocumentSize is the size limit of a document, in bytes. It bounds the work when the wrong file is given.
const MaxDocumentSize = 16 << 20

// Document is the content of a file with the name by which faults refer to it.
type Document struct {
	name string
	data []byte
}

// NewDocument returns a document. The caller must not change data afterwards.
func NewDocument(name string, data []byte) Document { return Document{name: name, data: data} }

// Parse parses and validates a register (CSV) and rules (TOML). It returns either a publication and no faults, or nil
// and all faults of both documents, sorted by document and line.
func Parse(register, rules Document) (*Publication, Faults) {
	r := &documentReader{register: register.name, rules: rules.name, lines: make(map[fieldRef]int), scope: fullScope}
	if text, ok := r.decodeText(register); ok {
		r.readRegister(text)
	} else {
		r.scope.targets = false
	}
	if text, ok := r.decodeText(rules); ok {
		r.readRules(text)
	} else {
		r.scope.rules = false
	}
	r.addValidationFaults()
	if len(r.faults) > 0 {
		return nil, r.faults.sortByDocument(register.name, rules.name)
	}
	r.content.sort()
	p, err := render(&r.content)
	if err != nil {
		return nil, Faults{{file: register.name, message: err.Error(), remedy: "split the service into several services"}}
	}
	return p, nil
}

// documentReader collects the content of both documents, the line of each field, and the faults.
type documentReader struct {
	register string
	rules    string
	content  content
	lines    map[fieldRef]int
	faults   Faults
	// scope excludes the content that could not be read from validation, so that one fault doesn't cause others.
	scope scope
}

// fieldRef identifies a field of a record by section, index of the record in the section, and name of the field. An
// empty field means the whole record.
type fieldRef struct {
	section string
	index   int
	field   string
}

// locateField returns the file and the line of the field. A missing field has the line of its record, and a record in
// an inline list has the line of the list. The line is 0 when it is unknown.
func (r *documentReader) locateField(ref fieldRef) (file string, line int) {
	file = r.rules
	if ref.section == sectionTarget {
		file = r.register
	}
	if line, ok := r.lines[ref]; ok {
		return file, line
	}
	if line, ok := r.lines[fieldRef{section: ref.section, index: ref.index}]; ok {
		return file, line
	}
	return file, r.lines[fieldRef{section: sectionRules, field: ref.section}]
}

// addFault adds a fault of a field. For a field with a fault, addValidationFaults drops the validator's faults, which
// would only follow from the first one.
func (r *documentReader) addFault(ref fieldRef, message, remedy string) {
	file, line := r.locateField(ref)
	r.faults = append(r.faults,
		Fault{file: file, line: line, field: ref.field, message: message, remedy: remedy, ref: ref})
}

func (r *documentReader) addDocumentFault(file string, line int, field, message, remedy string) {
	r.faults = append(r.faults, Fault{file: file, line: line, field: field, message: message, remedy: remedy})
}

// addValidationFaults validates the content and adds the faults of all fields that have no fault yet.
func (r *documentReader) addValidationFaults() {
	seen := make(map[fieldRef]bool, len(r.faults))
	for _, f := range r.faults {
		seen[f.ref] = true
	}
	for _, f := range validate(&r.content, r.locateField, r.scope) {
		if !seen[f.ref] {
			r.faults = append(r.faults, f)
		}
	}
}

var (
	bomUTF8    = []byte{0xEF, 0xBB, 0xBF}
	bomUTF16LE = []byte{0xFF, 0xFE}
	bomUTF16BE = []byte{0xFE, 0xFF}
)

// decodeText checks the size and encoding of a document and returns its text in Unicode form NFC without a byte order
// mark, or false after adding a fault.
func (r *documentReader) decodeText(d Document) ([]byte, bool) {
	const remedy = "save the file as UTF-8"
	reject := func(line int, message, remedy string) ([]byte, bool) {
		r.scope.references = false
		r.addDocumentFault(d.name, line, "", message, remedy)
		return nil, false
	}
	data, _ := bytes.CutPrefix(d.data, bomUTF8)
	switch {
	case len(d.data) > MaxDocumentSize:
		return reject(0, "the file is larger than 16 MB", "check that this is the right file")
	case bytes.HasPrefix(data, bomUTF16LE), bytes.HasPrefix(data, bomUTF16BE):
		return reject(1, "the file is encoded as UTF-16", remedy+` (in a spreadsheet: "CSV UTF-8")`)
	case bytes.IndexByte(data, 0) >= 0:
		line := lineAtOffset(data, bytes.IndexByte(data, 0))
		return reject(line, "the file has a zero byte: it is not text or is encoded as UTF-16", remedy)
	case !utf8.Valid(data):
		return reject(lineAtOffset(data, firstInvalidUTF8(data)), "the line is not valid UTF-8", remedy)
	}
	// Different systems encode accented letters in different Unicode forms, which look the same to the reader.
	return norm.NFC.Bytes(data), true
}

// firstInvalidUTF8 returns the offset of the first invalid byte sequence, or len(data) when there is none.
func firstInvalidUTF8(data []byte) int {
	for i := 0; i < len(data); {
		r, size := utf8.DecodeRune(data[i:])
		if r == utf8.RuneError && size <= 1 {
			return i
		}
		i += size
	}
	return len(data)
}

func lineAtOffset(data []byte, offset int) int { return 1 + bytes.Count(data[:offset], []byte("\n")) }
