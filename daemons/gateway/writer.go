package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/platform"
	"github.com/filbertmux/filbertmux/serve/eventstream"
)

// clientWriteTimeout limits a write to a caller that doesn't read. A write has one block of
// a response, or the events that have arrived together.
const clientWriteTimeout = 10 * time.Second

// responseWriter writes the response of a request to its caller. A resumed stream
// consists of the responses to several attempts.
type responseWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	// started is set once the header has been written; resumable means that
	// another server may continue the response.
	started   bool
	resumable bool
	progress  *eventstream.Progress
}

func newResponseWriter(w http.ResponseWriter, lastEventID string) *responseWriter {
	return &responseWriter{
		w: w, control: http.NewResponseController(w), progress: eventstream.NewProgress(lastEventID),
	}
}

// writeHeader writes the status and the header. length is -1 if unknown.
func (rw *responseWriter) writeHeader(status int, h http.Header, length int) {
	platform.CopyResponseHeader(rw.w.Header(), h)
	if length >= 0 {
		rw.w.Header().Set("Content-Length", strconv.Itoa(length))
	}
	rw.w.WriteHeader(status)
	rw.started = true
}

// writeBlocks writes a part of the body in blocks.
func (rw *responseWriter) writeBlocks(blocks [][]byte) error {
	for _, block := range blocks {
		if err := rw.write(block); err != nil {
			return err
		}
	}
	return nil
}

// write writes a part of the body and flushes it.
func (rw *responseWriter) write(p []byte) error {
	// httptest.ResponseRecorder doesn't support deadlines.
	_ = rw.control.SetWriteDeadline(time.Now().Add(clientWriteTimeout))
	if _, err := rw.w.Write(p); err != nil {
		return errkind.Wrap(errkind.Canceled, err, "write to the caller")
	}
	if err := rw.control.Flush(); err != nil {
		return errkind.Wrap(errkind.Canceled, err, "write to the caller")
	}
	return nil
}
