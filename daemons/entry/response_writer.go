package entry

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/gin-gonic/gin"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/daemons/inbound"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/internal/proxyhttp"
)

// maxBufferedBytes is the size up to which a response that is not an event stream
// is buffered until it is verified. If the attempt fails before that, the caller
// gets a regular error response.
const maxBufferedBytes = 1 << 20

// responseWriter writes the response of one request to its caller. It belongs to the
// goroutine of the request.
//
// Invariant: the last bytes of a response are written only after the complete
// response was verified.
type responseWriter struct {
	c         *gin.Context
	requestID string
	memory    *inbound.Request

	head        *pb.Head
	eventStream bool
	// buffered holds the chunks that haven't been written, and claimed is what of them
	// counts to the memory of the request.
	buffered  [][]byte
	claimed   int
	committed bool
	onCommit  func()
}

func newResponseWriter(c *gin.Context, requestID string, memory *inbound.Request, onCommit func()) *responseWriter {
	return &responseWriter{c: c, requestID: requestID, memory: memory, onCommit: onCommit}
}

// reset discards the buffered response of a failed attempt. It is called only while
// nothing has been written to the caller.
func (a *responseWriter) reset() {
	a.head = nil
	a.eventStream = false
	a.dropBuffered()
}

// dropBuffered empties the buffer.
func (a *responseWriter) dropBuffered() {
	a.buffered = nil
	if a.claimed > 0 {
		a.memory.Shrink(a.claimed)
		a.claimed = 0
	}
}

// writeChunk writes or buffers the next head or data chunk.
func (a *responseWriter) writeChunk(chunk *pb.Chunk) error {
	if head := chunk.GetHead(); head != nil {
		if !proxyhttp.IsStatus(int(head.GetStatus())) {
			return errkind.New(errkind.BackendFailed, "response has the invalid status %03d", head.GetStatus())
		}
		a.head = head
		a.eventStream = isSuccess(int(head.GetStatus())) && isEventStream(head)
		return nil
	}
	if a.eventStream {
		return a.writeEvent(chunk.GetData())
	}
	return a.writeData(chunk.GetData())
}

// writeEvent writes an event without buffering, except for the final [DONE] event,
// which tells the caller that the stream is complete. The [DONE] event is buffered
// until the response is verified.
func (a *responseWriter) writeEvent(data []byte) error {
	if err := a.flush(); err != nil {
		return err
	}
	if isDoneEvent(data) {
		a.buffered = [][]byte{data}
		return nil
	}
	return a.write(data)
}

// writeData buffers the next chunk. It writes the earlier ones if they have no room, or once
// the response has begun. The newest chunk stays in the buffer, so that a long response never
// looks complete to the caller before it is verified.
func (a *responseWriter) writeData(data []byte) error {
	if !a.committed && a.claim(len(data)) {
		a.buffered = append(a.buffered, data)
		return nil
	}
	err := a.flush()
	a.buffered = [][]byte{data}
	return err
}

// claim claims the bytes of a chunk. It returns false if there is no room for it.
func (a *responseWriter) claim(n int) bool {
	if a.claimed+n > maxBufferedBytes || !a.memory.TryGrow(n) {
		return false
	}
	a.claimed += n
	return true
}

// isBuffered reports whether no part of the response has been written.
func (a *responseWriter) isBuffered() bool { return !a.committed }

// finish writes the buffered rest of a verified response.
func (a *responseWriter) finish() error {
	if !a.committed && !a.eventStream && len(a.buffered) > 0 {
		a.c.Header("Content-Length", strconv.Itoa(a.bufferedBytes()))
	}
	a.commit()
	return a.flush()
}

// fail reports to the caller that the response is incomplete: by an error response
// if nothing was written, by an error event in an event stream, and otherwise by
// aborting the connection.
func (a *responseWriter) fail(err error) {
	switch {
	case !a.committed:
		writeError(a.c, a.requestID, err)
	case a.eventStream:
		a.writeErrorEvent(err)
	default:
		panic(http.ErrAbortHandler)
	}
}

func (a *responseWriter) writeErrorEvent(err error) {
	data, encodeErr := json.Marshal(newErrorResponse(a.requestID, errkind.Of(err)))
	if encodeErr != nil {
		panic(http.ErrAbortHandler)
	}
	// The empty line terminates an event that the backend server left incomplete.
	_ = a.write([]byte("\n\nevent: error\ndata: " + string(data) + "\n\n"))
}

func (a *responseWriter) bufferedBytes() int {
	size := 0
	for _, chunk := range a.buffered {
		size += len(chunk)
	}
	return size
}

// flush writes the buffered chunks.
func (a *responseWriter) flush() error {
	for _, chunk := range a.buffered {
		if err := a.write(chunk); err != nil {
			return err
		}
	}
	a.dropBuffered()
	return nil
}

func (a *responseWriter) write(data []byte) error {
	a.commit()
	if _, err := a.c.Writer.Write(data); err != nil {
		return errkind.Wrap(errkind.Canceled, err, "writing the response to the caller failed")
	}
	a.c.Writer.Flush()
	return nil
}

func (a *responseWriter) commit() {
	if a.committed {
		return
	}
	a.committed = true
	for _, h := range a.head.GetHeaders() {
		a.c.Writer.Header()[http.CanonicalHeaderKey(h.GetName())] = h.GetValues()
	}
	a.c.Header(requestIDHeader, a.requestID)
	a.c.Status(int(a.head.GetStatus()))
	a.c.Writer.WriteHeaderNow()
	a.onCommit()
}

func isEventStream(head *pb.Head) bool {
	for _, h := range head.GetHeaders() {
		if h.GetName() != "Content-Type" || len(h.GetValues()) == 0 {
			continue
		}
		return proxyhttp.IsEventStream(h.GetValues()[0])
	}
	return false
}

func isDoneEvent(event []byte) bool {
	data, ok := proxyhttp.EventData(event)
	return ok && proxyhttp.IsDoneMarker(data)
}
