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

// Columns that are not part of a row.
const (
	versionColumn = "version"
	deleteColumn  = "delete"
)

// maxFileBytes bounds one CSV file.
const maxFileBytes = 8 << 20

// SheetRow is one line of a CSV file.
type CSVRow struct {
	Row Row
	// Version is the version on which the edit is based; 0 means that the
	// cell was empty.
	Version Version
	// Delete marks the row for deletion. A row that is absent from the file
	// is left as it is, so a partial or filtered file deletes nothing.
	Delete bool
	// Source is the file and line.
	Source string
}

// Sheet is the content of a directory of CSV files.
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

// LoadDir reads the CSV files of a directory; a missing file is an empty one.
// It reports all faults of all files at once as one InvalidTable error.
func LoadDir(dir fs.FS) (*CSVTable, error) {
	sheet := &CSVTable{}
	var faults []Fault
	for _, k := range kinds {
		name := FileName(k)
		data, err := fs.ReadFile(dir, name)
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err != nil {
			return nil, errors.Wrap(err, "read table file")
		}
		rows, rowFaults := ParseCSV(k, name, data)
		sheet.Rows = append(sheet.Rows, rows...)
		faults = append(faults, rowFaults...)
	}
	faults = append(faults, sheet.duplicates()...)
	if err := FaultsError(faults); err != nil {
		return nil, err
	}
	return sheet, nil
}

func (s *CSVTable) duplicates() []Fault {
	first := make(map[Key]string)
	var faults []Fault
	for _, r := range s.Rows {
		key, _ := r.Row.Key()
		if source, ok := first[key]; ok {
			faults = append(faults, Fault{Source: r.Source, Row: key.String(), Column: "key", Value: key.ID, Reason: "the row is also at " + source})
			continue
		}
		first[key] = r.Source
	}
	return faults
}

// Offices returns the offices of the rows in order of first appearance.
func (s *CSVTable) Offices() []string {
	var offices []string
	for _, r := range s.Rows {
		if !slices.Contains(offices, r.Row.Office) {
			offices = append(offices, r.Row.Office)
		}
	}
	return offices
}

// ParseCSV reads the file of one kind. The first line names the columns, in
// any order. Files with semicolons may use a decimal comma, because
// spreadsheets write both in locales such as Romanian.
func ParseCSV(k Kind, name string, data []byte) ([]CSVRow, []Fault) {
	p := csvParser{kind: k, name: name}
	if len(data) > maxFileBytes {
		p.fault(1, "file", strconv.Itoa(len(data)), fmt.Sprintf("want at most %d bytes", maxFileBytes))
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

func (p *csvParser) fault(line int, column, value, reason string) {
	source := p.name + ":" + strconv.Itoa(line)
	p.faults = append(p.faults, Fault{Source: source, Row: string(p.kind), Column: column, Value: value, Reason: reason})
}

// faultCSV reports a line that is not CSV. The rest of the file is not read,
// because an open quote shifts all later lines.
func (p *csvParser) faultCSV(err error) {
	line := 1
	var parseError *csv.ParseError
	if errors.As(err, &parseError) {
		line = parseError.Line
		err = parseError.Err
	}
	p.fault(line, "line", "", err.Error())
}

func (p *csvParser) parse(r *csv.Reader) {
	for {
		fields, err := r.Read()
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			p.faultCSV(err)
			return
		}
		line, _ := r.FieldPos(0)
		for i := range fields {
			fields[i] = strings.TrimSpace(fields[i])
		}
		if p.header == nil {
			if !p.readHeader(line, fields) {
				return
			}
			continue
		}
		p.readRow(line, fields)
	}
}

func (p *csvParser) readHeader(line int, fields []string) bool {
	before := len(p.faults)
	wanted := []string{versionColumn, deleteColumn}
	for _, c := range columnsByKind[p.kind] {
		wanted = append(wanted, c.name)
		if !slices.Contains(fields, c.name) {
			p.fault(line, c.name, "", "the column is missing")
		}
	}
	for i, name := range fields {
		if !slices.Contains(wanted, name) {
			p.fault(line, name, "", "unknown column; want "+strings.Join(wanted, ", "))
		}
		if slices.Contains(fields[:i], name) {
			p.fault(line, name, "", "the column appears twice")
		}
	}
	p.header = fields
	return len(p.faults) == before
}

func (p *csvParser) readRow(line int, fields []string) {
	if !slices.ContainsFunc(fields, func(s string) bool { return s != "" }) {
		return // spreadsheets leave empty lines behind
	}
	if len(fields) != len(p.header) {
		p.fault(line, "line", strings.Join(fields, ","), fmt.Sprintf("want %d cells, found %d", len(p.header), len(fields)))
		return
	}
	before := len(p.faults)
	row, _ := newRow(p.kind)
	for _, c := range columnsByKind[p.kind] {
		value := fields[slices.Index(p.header, c.name)]
		if err := parseCell(c.cell(&row), value, p.decimalComma); err != nil {
			p.fault(line, c.name, value, err.Error())
			continue
		}
		if err := c.check(c.cell(&row)); err != nil {
			p.fault(line, c.name, value, err.Error())
		}
	}
	sheetRow := CSVRow{Row: row, Source: p.name + ":" + strconv.Itoa(line)}
	p.readControl(line, fields, &sheetRow)
	if len(p.faults) == before {
		p.rows = append(p.rows, sheetRow)
	}
}

// readControl reads the optional columns version and delete.
func (p *csvParser) readControl(line int, fields []string, row *CSVRow) {
	if i := slices.Index(p.header, versionColumn); i >= 0 && fields[i] != "" {
		v, err := strconv.ParseUint(fields[i], 10, 64)
		if err != nil {
			p.fault(line, versionColumn, fields[i], "want the log offset from the export, or an empty cell for a new row")
		}
		row.Version = Version(v)
	}
	if i := slices.Index(p.header, deleteColumn); i >= 0 && fields[i] != "" {
		if err := parseBool(&row.Delete, fields[i]); err != nil {
			p.fault(line, deleteColumn, fields[i], "want yes, or an empty cell")
		}
	}
}

// FormatCSV returns the file of kind k with the given entries.
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
		lines = append(lines, append(e.Row.cells(), version, ""))
	}
	err := w.WriteAll(lines)
	if err != nil {
		return nil, errors.Wrap(err, "format table file")
	}
	return b.Bytes(), nil
}

// cells returns the cells of r in column order.
func (r Row) cells() []string {
	key, _ := r.Key()
	columns := columnsByKind[key.Kind]
	cells := make([]string, 0, len(columns))
	for _, c := range columns {
		cells = append(cells, formatCell(c.cell(&r)))
	}
	return cells
}

// String returns the row as column=value pairs.
func (r Row) String() string {
	key, _ := r.Key()
	var pairs []string
	for _, c := range columnsByKind[key.Kind] {
		pairs = append(pairs, c.name+"="+formatCell(c.cell(&r)))
	}
	return strings.Join(pairs, " ")
}
