// Package eventstream splits a text/event-stream into whole events and tracks
// how far a stream has come, so that it can go on at another backend server.
//
// The package is deterministic and does no I/O. Its types have one owner.
package eventstream

import (
	"bytes"
	"strconv"

	"github.com/filbertmux/filbertmux/base/errkind"
)

// MaxEventBytes bounds one event. Events hold a few tokens; a stream without
// an end of event within this size is broken.
const MaxEventBytes = 1 << 20

// Event is one whole event.
type Event struct {
	// Raw holds the bytes of the event with the empty line at its end. It is
	// valid until the next call of Write.
	Raw []byte
	// ID is the id of the event, or empty.
	ID string
}

// Splitter cuts a stream into events. The zero value is ready to use.
type Splitter struct {
	buffer []byte
	// scanned is the length of the prefix without an end of event.
	scanned int
}

// Write adds bytes of the stream.
func (s *Splitter) Write(p []byte) { s.buffer = append(s.buffer, p...) }

// Next returns the next whole event. It fails if the event under way is larger
// than MaxEventBytes.
func (s *Splitter) Next() (Event, bool, error) {
	end := endOfEvent(s.buffer, s.scanned)
	if end < 0 {
		if len(s.buffer) > MaxEventBytes {
			return Event{}, false, errkind.New(errkind.StreamIncomplete, "event exceeds %d bytes", MaxEventBytes)
		}
		// The last three bytes may begin the separator.
		s.scanned = max(len(s.buffer)-3, 0)
		return Event{}, false, nil
	}
	raw := s.buffer[:end]
	s.buffer = s.buffer[end:]
	s.scanned = 0
	return Event{Raw: raw, ID: eventID(raw)}, true, nil
}

// Buffered returns the number of bytes of an event that has no end yet.
func (s *Splitter) Buffered() int { return len(s.buffer) }

// endOfEvent returns the index behind the first empty line that ends at from
// or later, or -1. Lines end with LF or CRLF.
func endOfEvent(b []byte, from int) int {
	for i := from; i < len(b); i++ {
		if b[i] != '\n' {
			continue
		}
		rest := b[i+1:]
		if len(rest) > 0 && rest[0] == '\n' {
			return i + 2
		}
		if len(rest) > 1 && rest[0] == '\r' && rest[1] == '\n' {
			return i + 3
		}
	}
	return -1
}

// eventID returns the value of the last id field.
func eventID(raw []byte) string {
	id := ""
	for line := range bytes.Lines(raw) {
		field, value, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		if string(field) == "id" {
			id = string(bytes.TrimPrefix(value, []byte(" ")))
		}
	}
	return id
}

// Progress decides which events of a stream go to the caller. A stream that
// continues at another server must neither repeat nor skip an event.
type Progress struct {
	lastID string
	last   int64
	// numbered says that all ids so far were whole numbers, and dense that each
	// one was its predecessor plus one.
	numbered bool
	dense    bool
	events   int
}

// NewProgress returns the progress of a stream whose caller already has the
// events up to lastID, which may be empty.
func NewProgress(lastID string) *Progress {
	p := &Progress{lastID: lastID, numbered: true, dense: true}
	if n, err := strconv.ParseInt(lastID, 10, 64); err == nil {
		p.last = n
	}
	return p
}

// LastID returns the id of the last event that the caller has, or empty.
func (p *Progress) LastID() string { return p.lastID }

// Events returns the number of accepted events.
func (p *Progress) Events() int { return p.events }

// Accept reports whether an event goes to the caller. It returns false for an
// event that the caller has, and an error for one that shows a gap.
func (p *Progress) Accept(e Event) (bool, error) {
	if e.ID == "" {
		p.events++
		return true, nil
	}
	n, err := strconv.ParseInt(e.ID, 10, 64)
	if err != nil {
		p.numbered = false
	}
	if p.numbered && p.lastID != "" {
		if n <= p.last {
			return false, nil
		}
		step := n == p.last+1
		if !step && p.dense && p.events > 1 {
			return false, errkind.New(errkind.StreamIncomplete, "event %d follows event %d", n, p.last)
		}
		p.dense = p.dense && step
	}
	p.lastID, p.last = e.ID, n
	p.events++
	return true, nil
}
