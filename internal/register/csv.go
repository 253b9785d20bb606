package register

import (
	"bytes"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
)

// columns lists the required columns of the register, in the order in which asset registers export them.
var columns = []string{
	"service", "target", "host", "region", "availability_zone", "upstream", "peer", "caller", "operator", "slots",
	"connections",
}

// readRegister parses the CSV text of the register.
func (r *documentReader) readRegister(text []byte) {
	rows := csv.NewReader(bytes.NewReader(text))
	rows.FieldsPerRecord = -1
	header, err := rows.Read()
	if err != nil {
		r.scope.targets, r.scope.references = false, false
		if errors.Is(err, io.EOF) {
			r.addDocumentFault(r.register, 1, "", "the register is empty",
				"export it with the header "+strings.Join(columns, ","))
			return
		}
		r.addCSVFault(err)
		return
	}
	if !r.checkHeader(header) {
		r.scope.targets, r.scope.references = false, false
		return
	}
	for {
		row, err := rows.Read()
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			r.scope.references = false
			r.addCSVFault(err)
			continue
		}
		r.readTarget(header, row, func(i int) int {
			line, _ := rows.FieldPos(i)
			return line
		})
	}
}

// addCSVFault adds a fault for a row that is not valid CSV. Parsing continues with the next row.
func (r *documentReader) addCSVFault(err error) {
	line := 0
	var parseErr *csv.ParseError
	if errors.As(err, &parseErr) {
		line, err = parseErr.StartLine, parseErr.Err
	}
	r.addDocumentFault(r.register, line, "", "the row is not valid CSV: "+err.Error(),
		`put cells with quotes or commas in double quotes and write a quote as ""`)
}

// checkHeader trims the column names in place and reports whether the rows can be read.
func (r *documentReader) checkHeader(header []string) bool {
	if len(header) == 1 && strings.ContainsAny(header[0], ";\t") {
		r.addDocumentFault(r.register, 1, "", "the columns are not separated by commas",
			"export the register with commas as separators")
		return false
	}
	valid := true
	reject := func(column, message, remedy string) {
		valid = false
		r.addDocumentFault(r.register, 1, column, message, remedy)
	}
	seen := make(map[string]bool, len(header))
	for i, cell := range header {
		name := strings.TrimSpace(cell)
		header[i] = name
		switch {
		case name == "" && i >= len(columns):
			// Spreadsheets export empty columns at the end.
		case !slices.Contains(columns, name):
			reject(name, "unknown column", suggest(name, columns, "remove the column"))
		case seen[name]:
			reject(name, "the column appears twice", "remove one of them")
		}
		seen[name] = true
	}
	for _, column := range columns {
		if !seen[column] {
			reject(column, "the column is missing", "add the column "+column)
		}
	}
	return valid
}

// readTarget adds the target of one row; lineOfCell returns the line of the cell with the index.
func (r *documentReader) readTarget(header, row []string, lineOfCell func(cell int) int) {
	if !slices.ContainsFunc(row, func(cell string) bool { return strings.TrimSpace(cell) != "" }) {
		return // Spreadsheets export empty rows at the end.
	}
	index := len(r.content.targets)
	r.lines[fieldRef{section: sectionTarget, index: index}] = lineOfCell(0)
	for len(row) > len(header) && strings.TrimSpace(row[len(row)-1]) == "" {
		row = row[:len(row)-1]
	}
	if len(row) != len(header) {
		r.addFault(fieldRef{section: sectionTarget, index: index},
			fmt.Sprintf("the row has %d cells and the header %d", len(row), len(header)),
			"add the missing cells or put cells with commas in double quotes")
		r.scope.references = false
		return
	}
	var t targetRecord
	for i, column := range header {
		ref := fieldRef{section: sectionTarget, index: index, field: column}
		r.lines[ref] = lineOfCell(i)
		r.setTargetField(&t, ref, strings.TrimSpace(row[i]))
	}
	r.content.targets = append(r.content.targets, t)
}

func (r *documentReader) setTargetField(t *targetRecord, ref fieldRef, cell string) {
	integer := func() int {
		n, err := strconv.Atoi(cell)
		if err != nil {
			r.addFault(ref, fmt.Sprintf("%q is not a whole number", cell), "write a number in digits")
		}
		return n
	}
	switch ref.field {
	case "service":
		t.service = cell
	case "target":
		t.Target = cell
	case "host":
		t.Host = cell
	case "region":
		t.Region = cell
	case "availability_zone":
		t.AvailabilityZone = cell
	case "upstream":
		t.Upstream = cell
	case "peer":
		t.Peer = cell
	case "caller":
		t.Caller = cell
	case "operator":
		t.Operator = cell
	case "slots":
		t.Slots = integer()
	case "connections":
		t.Connections = integer()
	}
}
