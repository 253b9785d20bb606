package register

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault is one error in a register or in rules.
type Fault struct {
	file    string
	line    int
	field   string
	message string
	remedy  string
	ref     fieldRef
}

// File returns the name of the document, or of the part when the fault is in a published part.
func (f Fault) File() string { return f.file }

// Line returns the line number, starting at 1, or 0 when the fault has no line.
func (f Fault) Line() int { return f.line }

// Field returns the column or key, or "" when the fault concerns a whole line or document.
func (f Fault) Field() string { return f.field }

// Message returns the description of the fault.
func (f Fault) Message() string { return f.message }

// Remedy returns the suggested correction.
func (f Fault) Remedy() string { return f.remedy }

// String returns the fault on one line, for example
// `register.csv:3: slots: "x" is not a whole number; write a number in digits`.
func (f Fault) String() string {
	var b strings.Builder
	b.WriteString(f.file)
	if f.line > 0 {
		fmt.Fprintf(&b, ":%d", f.line)
	}
	if f.field != "" {
		b.WriteString(": " + f.field)
	}
	b.WriteString(": " + f.message)
	if f.remedy != "" {
		b.WriteString("; " + f.remedy)
	}
	return b.String()
}

// Faults is a list of faults.
type Faults []Fault

// String returns the faults, one per line, or "" when there are none.
func (f Faults) String() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// sortByDocument sorts the faults in place by document, in the order of files, and then by line. It returns f.
func (f Faults) sortByDocument(files ...string) Faults {
	slices.SortStableFunc(f, func(a, b Fault) int {
		return cmp.Or(
			cmp.Compare(slices.Index(files, a.file), slices.Index(files, b.file)),
			cmp.Compare(a.line, b.line),
		)
	})
	return f
}
