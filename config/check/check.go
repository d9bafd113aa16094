// Package check checks a configuration of the users' platform, or the table of the own
// interface, before it is sent: what the processes refuse, entries that can never match,
// limits that contradict each other, and what differs from the version in force.
//
// The package does no I/O and is deterministic. Errors are exactly what the processes refuse:
// they come from the functions by which the processes decide. API keys and their hashes
// appear in no finding.
package check

import (
	"cmp"
	"fmt"
	"slices"
)

// Severity says how much a finding matters.
type Severity string

// Severities, the most severe one first.
const (
	// Error is what the processes refuse.
	Error Severity = "error"
	// Warning is what they accept and serve in a way that the operators may not expect.
	Warning Severity = "warning"
	// Difference is what the new version changes.
	Difference Severity = "difference"
)

// Place is where a finding belongs.
type Place struct {
	File string `json:"file"`
	// Path names the entry and its field, in the words of the file.
	Path string `json:"path"`
	// Line and Column count from 1; a column is a byte of the line. They are 0 if the file
	// doesn't hold the entry.
	Line   int `json:"line"`
	Column int `json:"column"`
}

// Finding is one result of a check.
type Finding struct {
	Severity Severity `json:"severity"`
	Code     Code     `json:"code"`
	Place
	// Message is a sentence for operators.
	Message string `json:"message"`
}

// Version names a version of the configuration.
type Version struct {
	// Source is the file or directory that holds it, or InForce.
	Source string `json:"source"`
	// Number is 0 for a table, whose rows have versions of their own.
	Number int64 `json:"version,omitempty"`
}

// InForce is the source of the version that was read from the store.
const InForce = "in force"

// Report is the result of a check.
type Report struct {
	Checked Version `json:"checked"`
	// Against is the version that the checked one replaces, or nil.
	Against     *Version `json:"against,omitempty"`
	Errors      int      `json:"errors"`
	Warnings    int      `json:"warnings"`
	Differences int      `json:"differences"`
	// NotChecked lists what could not be checked, because the settings of the platform
	// aren't known.
	NotChecked []string `json:"not_checked,omitempty"`
	// Findings is sorted by severity, place and code.
	Findings []Finding `json:"findings"`
}

// finish sorts and counts the findings.
func (r *Report) finish(findings []Finding) {
	slices.SortStableFunc(findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(severityRank(a.Severity), severityRank(b.Severity)),
			cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column),
			cmp.Compare(a.Code, b.Code), cmp.Compare(a.Message, b.Message))
	})
	r.Findings = findings
	if findings == nil {
		r.Findings = []Finding{}
	}
	for _, f := range findings {
		switch f.Severity {
		case Error:
			r.Errors++
		case Warning:
			r.Warnings++
		case Difference:
			r.Differences++
		}
	}
}

func severityRank(s Severity) int { return slices.Index([]Severity{Error, Warning, Difference}, s) }

func newFinding(code Code, place Place, format string, args ...any) Finding {
	return Finding{Severity: code.Severity(), Code: code, Place: place, Message: fmt.Sprintf(format, args...)}
}
