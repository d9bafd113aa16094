// Package eventstream splits a text/event-stream (server-sent events) into events
// and tracks its position, so that the stream can be resumed at another backend
// server.
//
// The package is deterministic and does no I/O. Its types are not safe for
// concurrent use.
package eventstream

import (
	"bytes"
	"strconv"

	"github.com/filbertmux/filbertmux/base/errkind"
)

// MaxEventBytes bounds the bytes up to the end of the next event, with the comments
// before it. Events hold a few tokens, so a stream without the end of an event within
// this size is malformed.
const MaxEventBytes = 1 << 20

// Event is a complete event.
type Event struct {
	// Raw holds the bytes of the event including the empty line at its end. It is
	// valid until the next call of Splitter.Write.
	Raw []byte
	// ID is the id of the event, or empty.
	ID string
}

// Splitter splits a stream into events. The zero value is ready to use.
type Splitter struct {
	buffer []byte
	// scanned is the length of the prefix that contains no end of an event.
	scanned int
	// comments is the length of the prefix that holds only comments.
	comments int
}

// Write adds bytes of the stream.
func (s *Splitter) Write(p []byte) { s.buffer = append(s.buffer, p...) }

// Next returns the next complete event, or false if more bytes are needed. The event
// includes the comments before it, which servers send as keep-alives. Next fails if
// there is no end of an event within MaxEventBytes.
func (s *Splitter) Next() (Event, bool, error) {
	for {
		end := endOfEvent(s.buffer, s.scanned)
		if end < 0 {
			if len(s.buffer) > MaxEventBytes {
				return Event{}, false, errkind.New(errkind.StreamIncomplete, "no end of an event within %d bytes", MaxEventBytes)
			}
			// The last three bytes may be the start of the separator.
			s.scanned = max(len(s.buffer)-3, s.comments)
			return Event{}, false, nil
		}
		s.scanned = end
		if !hasField(s.buffer[s.comments:end]) {
			s.comments = end
			continue
		}
		raw := s.buffer[:end]
		s.buffer = s.buffer[end:]
		s.scanned, s.comments = 0, 0
		return Event{Raw: raw, ID: eventID(raw)}, true, nil
	}
}

// Comments returns the comments after the last event.
func (s *Splitter) Comments() []byte { return s.buffer[:s.comments] }

// Buffered returns the number of bytes of an incomplete event.
func (s *Splitter) Buffered() int { return len(s.buffer) - s.comments }

// hasField reports whether a block contains a field, not only comments.
func hasField(raw []byte) bool {
	for line := range bytes.Lines(raw) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) > 0 && line[0] != ':' {
			return true
		}
	}
	return false
}

// endOfEvent returns the index after the first empty line that ends at or after
// from, or -1. Lines end with LF or CRLF.
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

// Progress decides which events of a stream are passed to the caller. A stream
// that is resumed at another server must not repeat an event.
type Progress struct {
	lastID     string
	lastNumber int64
	// numericIDs is set while all ids were integers.
	numericIDs bool
	events     int
}

// NewProgress returns the progress of a stream of which the caller already has
// the events up to lastID, which may be empty.
func NewProgress(lastID string) *Progress {
	p := &Progress{lastID: lastID, numericIDs: true}
	if n, err := strconv.ParseInt(lastID, 10, 64); err == nil {
		p.lastNumber = n
	}
	return p
}

// LastID returns the id of the last event that the caller has, or an empty
// string.
func (p *Progress) LastID() string { return p.lastID }

// Events returns the number of accepted events.
func (p *Progress) Events() int { return p.events }

// Accept reports whether an event is passed to the caller. It returns false for
// an event that the caller already has. The ids of a stream increase, but not by one
// each: an event may hold several tokens, so a jump doesn't mean that an event is
// missing.
func (p *Progress) Accept(e Event) bool {
	if e.ID == "" {
		p.events++
		return true
	}
	n, err := strconv.ParseInt(e.ID, 10, 64)
	p.numericIDs = p.numericIDs && err == nil
	if p.numericIDs && p.lastID != "" && n <= p.lastNumber {
		return false
	}
	p.lastID, p.lastNumber = e.ID, n
	p.events++
	return true
}
