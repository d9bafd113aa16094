package gateway

import (
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/filbertmux/filbertmux/base/clock"
	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/config/fleet"
	"github.com/filbertmux/filbertmux/platform"
	"github.com/filbertmux/filbertmux/serve/eventstream"
)

const (
	// maxWholeAnswer is the size up to which an answer is read to its end before
	// the caller gets any of it, so that a broken one can be replaced.
	maxWholeAnswer = 1 << 20
	// maxRefusalBody bounds what is read of an answer that isn't forwarded.
	maxRefusalBody = 64 << 10
	// readChunk is the size of one read of a stream.
	readChunk = 8 << 10
	// clientWriteTimeout bounds a write to a caller that doesn't read.
	clientWriteTimeout = 10 * time.Second
)

// answerWriter writes the one answer of a request to its caller.
type answerWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	// started says that the caller got the header; resumable that the rest may
	// come from another server.
	started   bool
	resumable bool
	progress  *eventstream.Progress
}

func newAnswerWriter(w http.ResponseWriter, lastEventID string) *answerWriter {
	return &answerWriter{
		w: w, control: http.NewResponseController(w), progress: eventstream.NewProgress(lastEventID),
	}
}

// header writes status and header. length is -1 if it is not known.
func (a *answerWriter) header(status int, h http.Header, length int) {
	platform.CopyResponseHeader(a.w.Header(), h)
	if length >= 0 {
		a.w.Header().Set("Content-Length", strconv.Itoa(length))
	}
	a.w.WriteHeader(status)
	a.started = true
}

// write writes a part of the body and passes it on at once.
func (a *answerWriter) write(p []byte) error {
	// A recorder in a test supports no deadline.
	_ = a.control.SetWriteDeadline(time.Now().Add(clientWriteTimeout))
	if _, err := a.w.Write(p); err != nil {
		return errkind.Wrap(errkind.Canceled, err, "write to the caller")
	}
	if err := a.control.Flush(); err != nil {
		return errkind.Wrap(errkind.Canceled, err, "write to the caller")
	}
	return nil
}

// relay passes the answer on to the caller.
func (x *exchange) relay(resp *http.Response, watch *watchdog) error {
	success := resp.StatusCode >= 200 && resp.StatusCode < 300
	if success && !x.answer.Signed {
		return errkind.New(errkind.BackendFailed, "answer %d without a signature", resp.StatusCode)
	}
	if x.out.started && !success {
		_ = drainBody(resp)
		return errkind.New(errkind.BackendFailed, "status %d for the rest of a stream", resp.StatusCode)
	}
	if success && x.r.route.Kind == fleet.Streaming && isEventStream(resp.Header) {
		return x.relayEvents(resp, watch)
	}
	return x.relayWhole(resp, watch)
}

func isEventStream(h http.Header) bool {
	media, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && media == "text/event-stream"
}

// relayWhole reads the answer to its end before the caller gets any of it.
func (x *exchange) relayWhole(resp *http.Response, watch *watchdog) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxWholeAnswer+1))
	if err != nil {
		return x.cutOff(watch, err)
	}
	watch.progress()
	if x.retryFailure(resp.StatusCode) {
		return errkind.New(errkind.BackendFailed, "the server failed with status %d", resp.StatusCode)
	}
	if len(body) > maxWholeAnswer {
		return x.relayLarge(resp, body, watch)
	}
	length := len(body)
	if x.r.http.Method == http.MethodHead || resp.StatusCode == http.StatusNoContent {
		length = int(resp.ContentLength)
	}
	x.out.header(resp.StatusCode, resp.Header, length)
	x.r.trace.status = resp.StatusCode
	if len(body) == 0 {
		return nil
	}
	return x.out.write(body)
}

// retryFailure reports whether a failure that the server itself reports is worth
// another server: the request may run again, and an attempt is left.
func (x *exchange) retryFailure(status int) bool {
	return status >= http.StatusInternalServerError && x.r.route.Repeatable() &&
		x.r.trace.sent < x.r.route.MaxAttempts && x.r.timeLeft(clock.Now()) > 0
}

// relayLarge forwards an answer that doesn't fit into memory as it arrives.
func (x *exchange) relayLarge(resp *http.Response, head []byte, watch *watchdog) error {
	x.out.header(resp.StatusCode, resp.Header, int(resp.ContentLength))
	x.r.trace.status = resp.StatusCode
	if err := x.out.write(head); err != nil {
		return err
	}
	buffer := make([]byte, readChunk)
	for {
		n, err := resp.Body.Read(buffer)
		watch.progress()
		if n > 0 {
			if err := x.out.write(buffer[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return x.cutOff(watch, err)
		}
	}
}

// relayEvents forwards whole events as they arrive.
func (x *exchange) relayEvents(resp *http.Response, watch *watchdog) error {
	x.out.resumable = x.r.route.Resumable
	var events eventstream.Splitter
	buffer := make([]byte, readChunk)
	for {
		n, err := resp.Body.Read(buffer)
		watch.progress()
		events.Write(buffer[:n])
		if err := x.forwardEvents(resp, &events); err != nil {
			return err
		}
		watch.progress()
		if errors.Is(err, io.EOF) {
			return x.endOfEvents(resp, events.Buffered())
		}
		if err != nil {
			return x.cutOff(watch, err)
		}
	}
}

// forwardEvents writes the whole events that have arrived in one piece.
func (x *exchange) forwardEvents(resp *http.Response, events *eventstream.Splitter) error {
	var batch []byte
	for {
		e, ok, err := events.Next()
		if err != nil {
			return err
		}
		if !ok {
			break
		}
		accepted, err := x.out.progress.Accept(e)
		if err != nil {
			return err
		}
		if accepted {
			batch = append(batch, e.Raw...)
		}
	}
	if len(batch) == 0 {
		return nil
	}
	now := clock.Now()
	if !x.lastEvents.IsZero() {
		x.svc.notePause(now, now.Sub(x.lastEvents))
	}
	x.lastEvents = now
	x.startEvents(resp)
	return x.out.write(batch)
}

// startEvents writes the header of the first server. A stream that goes on at
// another server keeps it.
func (x *exchange) startEvents(resp *http.Response) {
	if x.r.trace.firstEvent == 0 {
		x.r.trace.firstEvent = clock.Now().Sub(x.r.arrived)
		x.g.metrics.ObserveFirstByte(x.r.labels(), x.r.trace.firstEvent)
	}
	if x.out.started {
		return
	}
	x.out.header(resp.StatusCode, resp.Header, -1)
	x.r.trace.status = resp.StatusCode
}

// endOfEvents ends a stream that the server ended.
func (x *exchange) endOfEvents(resp *http.Response, rest int) error {
	if rest > 0 {
		return errkind.New(errkind.StreamIncomplete, "the stream ends within an event")
	}
	x.startEvents(resp)
	return nil
}

// cutOff ends an attempt whose answer broke off.
func (x *exchange) cutOff(watch *watchdog, err error) error {
	x.suspectCrash(watch)
	if watch.silent() {
		err = errSilent
	}
	return errkind.Wrap(errkind.StreamIncomplete, err, "the answer broke off")
}

func drainBody(resp *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxRefusalBody+1))
	if err != nil {
		return errors.Wrap(err, "read the rest of an answer")
	}
	if n > maxRefusalBody {
		return errors.New("the answer is too long to skip")
	}
	return nil
}
