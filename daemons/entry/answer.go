package entry

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/gin-gonic/gin"

	"github.com/filbertmux/filbertmux/base/errkind"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/internal/proxyhttp"
)

// maxHeldBytes is the size up to which an answer that is not an event stream
// is held back until it is verified. A failure then still gets a clean refusal.
const maxHeldBytes = 1 << 20

// answer writes the answer of one request to its caller. It belongs to the
// goroutine of the request.
//
// Invariant: the last bytes of an answer are written only after the whole
// answer was verified.
type answer struct {
	c         *gin.Context
	requestID string

	head      *pb.Head
	events    bool
	held      []byte
	committed bool
	onCommit  func()
}

func newAnswer(c *gin.Context, requestID string, onCommit func()) *answer {
	return &answer{c: c, requestID: requestID, onCommit: onCommit}
}

// reset forgets an attempt of which the caller has seen nothing.
func (a *answer) reset() {
	a.head = nil
	a.events = false
	a.held = nil
}

// take accepts the next head or data chunk.
func (a *answer) take(chunk *pb.Chunk) error {
	if head := chunk.GetHead(); head != nil {
		a.head = head
		a.events = isSuccess(int(head.GetStatus())) && isEventStream(head)
		return nil
	}
	if a.events {
		return a.takeEvent(chunk.GetData())
	}
	return a.takeBytes(chunk.GetData())
}

// takeEvent passes events on at once, except the one that tells the caller that
// the stream is whole.
func (a *answer) takeEvent(data []byte) error {
	if err := a.release(); err != nil {
		return err
	}
	if isDoneEvent(data) {
		a.held = data
		return nil
	}
	return a.write(data)
}

func (a *answer) takeBytes(data []byte) error {
	a.held = append(a.held, data...)
	if len(a.held) <= maxHeldBytes {
		return nil
	}
	// The newest chunk stays back, so that a long answer never looks whole
	// before it is verified.
	last := a.held[len(a.held)-len(data):]
	if err := a.write(a.held[:len(a.held)-len(data)]); err != nil {
		return err
	}
	a.held = bytes.Clone(last)
	return nil
}

// finish writes what was held back of a verified answer.
func (a *answer) finish() error {
	if !a.committed && !a.events && len(a.held) > 0 {
		a.c.Header("Content-Length", strconv.Itoa(len(a.held)))
	}
	a.commit()
	return a.release()
}

// fail tells the caller that the answer is not whole: by a refusal if nothing
// was written, by an error event in an event stream, otherwise by breaking the
// connection.
func (a *answer) fail(err error) {
	switch {
	case !a.committed:
		refuse(a.c, a.requestID, err)
	case a.events:
		a.errorEvent(err)
	default:
		panic(http.ErrAbortHandler)
	}
}

func (a *answer) errorEvent(err error) {
	data, encodeErr := json.Marshal(newRefusal(a.requestID, errkind.Of(err)))
	if encodeErr != nil {
		panic(http.ErrAbortHandler)
	}
	// The empty line closes an event that the backend server left open.
	_ = a.write([]byte("\n\nevent: error\ndata: " + string(data) + "\n\n"))
}

func (a *answer) release() error {
	held := a.held
	a.held = nil
	if len(held) == 0 {
		return nil
	}
	return a.write(held)
}

func (a *answer) write(data []byte) error {
	a.commit()
	if _, err := a.c.Writer.Write(data); err != nil {
		return errkind.Wrap(errkind.Canceled, err, "write to the caller")
	}
	a.c.Writer.Flush()
	return nil
}

func (a *answer) commit() {
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
