package sidecar

import (
	"bufio"
	"io"

	"github.com/filbertmux/filbertmux/internal/proxyhttp"
)

// eventReader splits a stream of server-sent events into whole events, so that
// each chunk holds one event and the last event can be held back until the
// answer is verified. An event above maxBytes is returned in parts.
type eventReader struct {
	in       *bufio.Reader
	maxBytes int
	done     bool
	whole    bool // the last part returned closed its event
	data     bool // that event has a data line
}

// eventProgress counts what was relayed of a stream that may be resumed. An
// event with data is one token.
type eventProgress struct {
	tokens  int
	inEvent bool // a part of an event was relayed, so no token number fits
}

func (p *eventProgress) add(r *eventReader) {
	p.inEvent = !r.whole
	if r.whole && r.data && !r.done {
		p.tokens++
	}
}

func newEventReader(in io.Reader, maxBytes int) *eventReader {
	return &eventReader{in: bufio.NewReaderSize(in, maxBytes), maxBytes: maxBytes}
}

// next returns the next event with its closing empty line. At the end of the
// stream it returns what is left with io.EOF.
func (r *eventReader) next() ([]byte, error) {
	var event []byte
	if r.whole {
		r.data = false
	}
	r.whole = false
	for {
		line, err := r.in.ReadSlice('\n')
		if err == bufio.ErrBufferFull { //nolint:errorlint // bufio returns this value unwrapped
			err = nil
		}
		event = append(event, line...)
		if err != nil {
			return event, err
		}
		r.note(line)
		r.whole = isEmptyLine(line)
		if r.whole || len(event) >= r.maxBytes {
			return event, nil
		}
	}
}

// note remembers whether the event that ends the stream was seen.
func (r *eventReader) note(line []byte) {
	if data, ok := proxyhttp.EventData(line); ok {
		r.data = true
		r.done = proxyhttp.IsDoneMarker(data)
	}
}

func isEmptyLine(line []byte) bool {
	return string(line) == "\n" || string(line) == "\r\n"
}
