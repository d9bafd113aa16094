package table

import (
	"bytes"
	"encoding/csv"
	"fmt"
	"io"
	"io/fs"
	"slices"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// Columns of the CSV files that are not part of a row.
const (
	versionColumn = "version"
	deleteColumn  = "delete"
)

// maxFileBytes is the maximum size of one CSV file.
const maxFileBytes = 8 << 20

// CSVRow is one line of a CSV file.
type CSVRow struct {
	Row Row
	// Version is the row version on which the edit is based; 0 means that the
	// version cell is empty.
	Version Version
	// Delete marks the row for deletion. Rows that are absent from the file
	// are left unchanged, so a partial or filtered file deletes nothing.
	Delete bool
	// Source is the place of the first cell.
	Source Source
	// cells holds the places of the cells by column name.
	cells map[string]Source
}

// SourceOf returns the place of a cell, or that of the row if it has no cell in the column.
func (r CSVRow) SourceOf(column string) Source {
	if source, ok := r.cells[column]; ok {
		return source
	}
	return r.Source
}

// CSVTable is the content of a directory of CSV files.
type CSVTable struct{ Rows []CSVRow }

// FileName returns the name of the CSV file of kind k.
func FileName(k Kind) string {
	switch k {
	case KindClass:
		return "classes.csv"
	case KindCapability:
		return "capabilities.csv"
	default:
		return string(k) + "s.csv"
	}
}

// LoadDir reads the CSV files of a directory; a missing file counts as empty.
// The faults of all files are returned together as one InvalidTable error.
func LoadDir(dir fs.FS) (*CSVTable, error) {
	csvTable, faults, err := ReadDir(dir)
	if err != nil {
		return nil, err
	}
	if err := FaultsError(faults); err != nil {
		return nil, err
	}
	return csvTable, nil
}

// ReadDir is LoadDir for callers that need the faults one by one. The table holds the rows
// without faults. The error says that a file can't be read.
func ReadDir(dir fs.FS) (*CSVTable, []Fault, error) {
	csvTable := &CSVTable{}
	var faults []Fault
	for _, k := range kinds {
		name := FileName(k)
		data, err := fs.ReadFile(dir, name)
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err != nil {
			return nil, nil, errors.Wrap(err, "read table file")
		}
		rows, rowFaults := ParseCSV(k, name, data)
		csvTable.Rows = append(csvTable.Rows, rows...)
		faults = append(faults, rowFaults...)
	}
	return csvTable, append(faults, csvTable.duplicateFaults()...), nil
}

func (t *CSVTable) duplicateFaults() []Fault {
	first := make(map[Key]Source)
	var faults []Fault
	for _, r := range t.Rows {
		key, _ := r.Row.Key()
		if source, ok := first[key]; ok {
			faults = append(faults, Fault{Source: r.Source, Row: key.String(), Column: "key", Value: key.ID, Reason: "the row is also at " + source.String()})
			continue
		}
		first[key] = r.Source
	}
	return faults
}

// Offices returns the offices of the rows in order of first appearance.
func (t *CSVTable) Offices() []string {
	var offices []string
	for _, r := range t.Rows {
		if !slices.Contains(offices, r.Row.Office) {
			offices = append(offices, r.Row.Office)
		}
	}
	return offices
}

// ParseCSV parses the CSV file of one row kind. The first line names the
// columns, in any order. Files separated by semicolons may use a decimal comma,
// because spreadsheets write both in locales such as Romanian.
func ParseCSV(k Kind, name string, data []byte) ([]CSVRow, []Fault) {
	p := csvParser{kind: k, name: name}
	if len(data) > maxFileBytes {
		p.addFault(Source{p.name, 1, 1}, "file", strconv.Itoa(len(data)), fmt.Sprintf("want at most %d bytes", maxFileBytes))
		return nil, p.faults
	}
	data = bytes.TrimPrefix(data, []byte("\xef\xbb\xbf")) // byte order mark
	firstLine, _, _ := bytes.Cut(data, []byte("\n"))
	r := csv.NewReader(bytes.NewReader(data))
	r.FieldsPerRecord = -1
	r.TrimLeadingSpace = true
	if bytes.ContainsRune(firstLine, ';') {
		r.Comma = ';'
		p.decimalComma = true
	}
	p.parse(r)
	return p.rows, p.faults
}

type csvParser struct {
	kind         Kind
	name         string
	decimalComma bool
	header       []string
	rows         []CSVRow
	faults       []Fault
}

func (p *csvParser) addFault(source Source, column, value, reason string) {
	p.faults = append(p.faults, Fault{Source: source, Row: string(p.kind), Column: column, Value: value, Reason: reason})
}

// csvLine is one line of a file with the places of its fields.
type csvLine struct {
	fields  []string
	sources []Source
}

// source returns the place of the line.
func (l csvLine) source() Source { return l.sources[0] }

// readLine reads the next line.
func (p *csvParser) readLine(r *csv.Reader) (csvLine, error) {
	fields, err := r.Read()
	if err != nil {
		return csvLine{}, err
	}
	l := csvLine{fields: fields, sources: make([]Source, len(fields))}
	for i := range fields {
		fields[i] = strings.TrimSpace(fields[i])
		line, column := r.FieldPos(i)
		l.sources[i] = Source{File: p.name, Line: line, Column: column}
	}
	return l, nil
}

// addSyntaxFault reports a CSV syntax error. Parsing ends there, because an
// unclosed quote shifts all later lines.
func (p *csvParser) addSyntaxFault(err error) {
	source := Source{p.name, 1, 1}
	var parseError *csv.ParseError
	if errors.As(err, &parseError) {
		source.Line, source.Column = parseError.Line, max(parseError.Column, 1)
		err = parseError.Err
	}
	p.addFault(source, "line", "", err.Error())
}

func (p *csvParser) parse(r *csv.Reader) {
	for {
		line, err := p.readLine(r)
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			p.addSyntaxFault(err)
			return
		}
		if p.header == nil {
			if !p.readHeader(line) {
				return
			}
			continue
		}
		p.readRow(line)
	}
}

func (p *csvParser) readHeader(line csvLine) bool {
	faultsBefore := len(p.faults)
	known := []string{versionColumn, deleteColumn}
	for _, c := range columnsByKind[p.kind] {
		known = append(known, c.name)
		if !slices.Contains(line.fields, c.name) {
			p.addFault(line.source(), c.name, "", "the column is missing")
		}
	}
	for i, name := range line.fields {
		if !slices.Contains(known, name) {
			p.addFault(line.sources[i], name, "", "unknown column; want "+strings.Join(known, ", "))
		}
		if slices.Contains(line.fields[:i], name) {
			p.addFault(line.sources[i], name, "", "the column appears twice")
		}
	}
	p.header = line.fields
	return len(p.faults) == faultsBefore
}

func (p *csvParser) readRow(line csvLine) {
	fields := line.fields
	if !slices.ContainsFunc(fields, func(s string) bool { return s != "" }) {
		return // spreadsheets may write empty rows
	}
	if len(fields) != len(p.header) {
		p.addFault(line.source(), "line", strings.Join(fields, ","), fmt.Sprintf("want %d cells, found %d", len(p.header), len(fields)))
		return
	}
	faultsBefore := len(p.faults)
	row, _ := newRow(p.kind)
	for _, c := range columnsByKind[p.kind] {
		i := slices.Index(p.header, c.name)
		if err := parseCell(c.cell(&row), fields[i], p.decimalComma); err != nil {
			p.addFault(line.sources[i], c.name, fields[i], err.Error())
			continue
		}
		if err := c.check(c.cell(&row)); err != nil {
			p.addFault(line.sources[i], c.name, fields[i], err.Error())
		}
	}
	csvRow := CSVRow{Row: row, Source: line.source(), cells: make(map[string]Source, len(p.header))}
	for i, name := range p.header {
		csvRow.cells[name] = line.sources[i]
	}
	p.readControlColumns(line, &csvRow)
	if len(p.faults) == faultsBefore {
		p.rows = append(p.rows, csvRow)
	}
}

// readControlColumns parses the optional columns version and delete.
func (p *csvParser) readControlColumns(line csvLine, row *CSVRow) {
	fields := line.fields
	if i := slices.Index(p.header, versionColumn); i >= 0 && fields[i] != "" {
		v, err := strconv.ParseUint(fields[i], 10, 64)
		if err != nil {
			p.addFault(line.sources[i], versionColumn, fields[i], "want the log offset from the export, or an empty cell for a new row")
		}
		row.Version = Version(v)
	}
	if i := slices.Index(p.header, deleteColumn); i >= 0 && fields[i] != "" {
		if err := parseBool(&row.Delete, fields[i]); err != nil {
			p.addFault(line.sources[i], deleteColumn, fields[i], "want yes, or an empty cell")
		}
	}
}

// FormatCSV returns the CSV file of kind k. Entries of other kinds are left
// out.
func FormatCSV(k Kind, entries []Entry) ([]byte, error) {
	var b bytes.Buffer
	w := csv.NewWriter(&b)
	columns := columnsByKind[k]
	header := make([]string, 0, len(columns)+2)
	for _, c := range columns {
		header = append(header, c.name)
	}
	lines := [][]string{append(header, versionColumn, deleteColumn)}
	for _, e := range entries {
		if key, ok := e.Row.Key(); !ok || key.Kind != k {
			continue
		}
		version := ""
		if e.Version != 0 {
			version = formatOffset(e.Version)
		}
		lines = append(lines, append(e.Row.values(), version, ""))
	}
	err := w.WriteAll(lines)
	if err != nil {
		return nil, errors.Wrap(err, "format table file")
	}
	return b.Bytes(), nil
}

// Cell is a column of a row with its formatted value.
type Cell struct {
	Column string
	Value  string
}

// Cells returns the values of r in column order.
func (r Row) Cells() []Cell {
	key, _ := r.Key()
	columns := columnsByKind[key.Kind]
	cells := make([]Cell, 0, len(columns))
	for _, c := range columns {
		cells = append(cells, Cell{Column: c.name, Value: formatCell(c.cell(&r))})
	}
	return cells
}

// values returns the formatted values of r in column order.
func (r Row) values() []string {
	cells := r.Cells()
	values := make([]string, 0, len(cells)+2)
	for _, c := range cells {
		values = append(values, c.Value)
	}
	return values
}

// String returns the row as column=value pairs.
func (r Row) String() string {
	var pairs []string
	for _, c := range r.Cells() {
		pairs = append(pairs, c.Column+"="+c.Value)
	}
	return strings.Join(pairs, " ")
}
