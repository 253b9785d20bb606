package register

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault is one thing that is wrong with a register or with rules.
type Fault struct {
	file    string
	line    int
	field   string
	message string
	remedy  string
	place   place
}

// File returns the name of the document, or the name of the part when the fault is in a published part.
func (f Fault) File() string { return f.file }

// Line returns the line, starting at 1; 0 when the fault has no line.
func (f Fault) Line() int { return f.line }

// Field returns the column or the key; it is empty when the fault is in the whole line or document.
func (f Fault) Field() string { return f.field }

// Message says what is wrong.
func (f Fault) Message() string { return f.message }

// Remedy says what to do.
func (f Fault) Remedy() string { return f.remedy }

// String returns the fault on one line, for example
// "register.csv:3: slots: "x" is not a whole number; write a number from 1 to 10000".
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

// Faults is a list of faults; an empty list means that there are none.
type Faults []Fault

// String returns one fault a line.
func (f Faults) String() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// sorted orders the faults by document, in the given order, and line.
func (f Faults) sorted(files ...string) Faults {
	slices.SortStableFunc(f, func(a, b Fault) int {
		return cmp.Or(
			cmp.Compare(slices.Index(files, a.file), slices.Index(files, b.file)),
			cmp.Compare(a.line, b.line),
		)
	})
	return f
}
