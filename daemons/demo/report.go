package demo

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/go-faster/errors"

	"github.com/filbertmux/filbertmux/base/infra"
)

// Report is the result of the demo.
type Report struct {
	OK          bool         `json:"ok"`
	TableOffset infra.Offset `json:"table_offset"`
	Calls       []Call       `json:"calls"`
	RunCounts   []RunCount   `json:"bookings"`
}

// Call is the result of one call. Sent counts its sends, of which all but the
// last were refused with a Retry-After. Detail says why an answer is not whole.
type Call struct {
	Kind         string  `json:"kind"`
	URL          string  `json:"url"`
	Status       int     `json:"status"`
	SendCount    int     `json:"sent"`
	Bytes        int     `json:"bytes"`
	Milliseconds float64 `json:"milliseconds"`
	Correct      bool    `json:"whole"`
	Detail       string  `json:"detail,omitempty"`
}

// Booking tells how often the backend servers ran one booking.
type RunCount struct {
	Key  string `json:"key"`
	Runs int    `json:"runs"`
}

// judge sets OK: each answer was whole and each booking ran exactly once.
func (r *Report) judge() {
	r.OK = len(r.Calls) > 0 && len(r.RunCounts) > 0
	for _, c := range r.Calls {
		r.OK = r.OK && c.Correct
	}
	for _, b := range r.RunCounts {
		r.OK = r.OK && b.Runs == 1
	}
}

// WriteJSON writes the report as one JSON object.
func (r *Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(r); err != nil {
		return errors.Wrap(err, "write report")
	}
	return nil
}

// WriteText writes the report for reading.
func (r *Report) WriteText(w io.Writer) error {
	p := printer{w: w}
	p.printf("table offset %d in force at every entry\n", r.TableOffset)
	for _, c := range r.Calls {
		p.printf("%-20s %d  sent %d time(s)  %5d bytes  %8.2f ms  %s\n", c.Kind, c.Status, c.SendCount, c.Bytes, c.Milliseconds, c.verdict())
	}
	for _, b := range r.RunCounts {
		p.printf("booking %s ran %d time(s)\n", b.Key, b.Runs)
	}
	if r.OK {
		p.printf("ok: each answer was whole and each booking ran exactly once\n")
	} else {
		p.printf("FAILED\n")
	}
	return p.err
}

func (c Call) verdict() string {
	if c.Correct {
		return "whole"
	}
	return "NOT WHOLE: " + c.Detail
}

// printer keeps the first write error.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) printf(format string, args ...any) {
	if p.err != nil {
		return
	}
	if _, err := fmt.Fprintf(p.w, format, args...); err != nil {
		p.err = errors.Wrap(err, "write report")
	}
}
