package sidecar

import (
	"bufio"
	"io"

	"github.com/filbertmux/filbertmux/internal/proxyhttp"
)

// eventReader splits a stream of server-sent events into events, so that each
// chunk holds one event and the last event can be held back until the response
// is verified. An event larger than maxBytes is returned in parts.
type eventReader struct {
	reader   *bufio.Reader
	maxBytes int
	sawDone  bool
	complete bool // the last part returned was the end of its event
	hasData  bool // the current event has a data line
}

// eventProgress tracks how much of a resumable stream was relayed. Each event
// with data is one token.
type eventProgress struct {
	tokens   int
	midEvent bool // only a part of an event was relayed, so the stream can't be resumed
}

func (p *eventProgress) recordEvent(r *eventReader) {
	p.midEvent = !r.complete
	if r.complete && r.hasData && !r.sawDone {
		p.tokens++
	}
}

func newEventReader(in io.Reader, maxBytes int) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(in, maxBytes), maxBytes: maxBytes}
}

// next returns the next event including the empty line that ends it. At the end
// of the stream it returns the remaining bytes and io.EOF.
func (r *eventReader) next() ([]byte, error) {
	var event []byte
	if r.complete {
		r.hasData = false
	}
	r.complete = false
	for {
		line, err := r.reader.ReadSlice('\n')
		if err == bufio.ErrBufferFull { //nolint:errorlint // bufio returns this value unwrapped
			err = nil
		}
		event = append(event, line...)
		if err != nil {
			return event, err
		}
		r.inspectLine(line)
		r.complete = isEmptyLine(line)
		if r.complete || len(event) >= r.maxBytes {
			return event, nil
		}
	}
}

// inspectLine records whether the line holds data and whether that is the [DONE]
// marker.
func (r *eventReader) inspectLine(line []byte) {
	if data, ok := proxyhttp.EventData(line); ok {
		r.hasData = true
		r.sawDone = proxyhttp.IsDoneMarker(data)
	}
}

func isEmptyLine(line []byte) bool {
	return string(line) == "\n" || string(line) == "\r\n"
}
