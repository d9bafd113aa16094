package check

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/go-faster/errors"

	"github.com/filbertmux/filbertmux/base/errkind"
)

// Text returns the report with a line for each finding, as compilers print them, and a
// summary.
func (r Report) Text() string {
	var b strings.Builder
	for _, f := range r.Findings {
		fmt.Fprintf(&b, "%s: %s: %s [%s]\n", f.Place, f.Severity, f.Message, f.Code)
	}
	if len(r.NotChecked) > 0 {
		fmt.Fprintf(&b, "not checked without the settings of the platform: %s\n", strings.Join(r.NotChecked, ", "))
	}
	fmt.Fprintf(&b, "%s: %s, %s", r.Checked, plural(r.Errors, "error"), plural(r.Warnings, "warning"))
	if r.Against != nil {
		fmt.Fprintf(&b, ", %s to %s", plural(r.Differences, "difference"), r.Against)
	}
	b.WriteString("\n")
	return b.String()
}

// Format returns the report as JSON or as text.
func (r Report) Format(asJSON bool) ([]byte, error) {
	if asJSON {
		return r.JSON()
	}
	return []byte(r.Text()), nil
}

// Err returns an error if the processes refuse what was checked.
func (r Report) Err() error {
	if r.Errors == 0 {
		return nil
	}
	return errkind.New(errkind.CheckFailed, "%s in %s", plural(r.Errors, "error"), r.Checked.Source)
}

// JSON returns the report as one JSON object.
func (r Report) JSON() ([]byte, error) {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return nil, errors.Wrap(err, "encode report")
	}
	return append(data, '\n'), nil
}

// String returns the place as FILE:LINE:COLUMN: PATH. A part that isn't known is left out.
func (p Place) String() string {
	text := p.File
	if p.Line > 0 {
		text = fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
	}
	if p.Path != "" {
		text += ": " + p.Path
	}
	return text
}

// String returns the version as it stands in the summary.
func (v Version) String() string {
	switch {
	case v.Number == 0:
		return v.Source
	case v.Source == InForce:
		return fmt.Sprintf("version %d, which is in force", v.Number)
	default:
		return fmt.Sprintf("%s (version %d)", v.Source, v.Number)
	}
}
