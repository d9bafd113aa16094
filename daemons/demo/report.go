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

// Call is the result of one call. SendCount counts how often it was sent; each
// response but the last carried Retry-After. Correct tells whether the response
// was complete and as expected; if not, Detail tells why.
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

// RunCount is the number of times that the backend servers ran the non-idempotent
// request with one idempotency key.
type RunCount struct {
	Key  string `json:"key"`
	Runs int    `json:"runs"`
}

// setOK sets OK to whether each response was correct and each non-idempotent request
// ran exactly once.
func (r *Report) setOK() {
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

// WriteText writes the report as plain text.
func (r *Report) WriteText(w io.Writer) error {
	out := errWriter{w: w}
	out.printf("table offset %d in force at every entry\n", r.TableOffset)
	for _, c := range r.Calls {
		out.printf("%-20s %d  sent %d time(s)  %5d bytes  %8.2f ms  %s\n", c.Kind, c.Status, c.SendCount, c.Bytes, c.Milliseconds, c.verdict())
	}
	for _, b := range r.RunCounts {
		out.printf("booking %s ran %d time(s)\n", b.Key, b.Runs)
	}
	if r.OK {
		out.printf("ok: each answer was whole and each booking ran exactly once\n")
	} else {
		out.printf("FAILED\n")
	}
	return out.err
}

func (c Call) verdict() string {
	if c.Correct {
		return "whole"
	}
	return "NOT WHOLE: " + c.Detail
}

// errWriter formats to w and keeps the first write error; later writes do
// nothing.
type errWriter struct {
	w   io.Writer
	err error
}

func (p *errWriter) printf(format string, args ...any) {
	if p.err != nil {
		return
	}
	if _, err := fmt.Fprintf(p.w, format, args...); err != nil {
		p.err = errors.Wrap(err, "write report")
	}
}
