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
	// maxBufferedResponse is the size up to which a response is read completely
	// before it is forwarded, so that a truncated one can be retried.
	maxBufferedResponse = 1 << 20
	// maxDiscardedBody limits how much of a response that isn't forwarded is read.
	maxDiscardedBody = 64 << 10
	// maxDiscardTime limits the time for that. A new connection costs less than the
	// wait for a slow body.
	maxDiscardTime = 50 * time.Millisecond
	// maxResponse limits the size of a response that is forwarded as it arrives.
	maxResponse = 256 << 20
	// readBufferSize is the size of one read from a backend server.
	readBufferSize = 8 << 10
	// provenEvents is the number of events after which a stream has not crashed its
	// server. A server that crashes when it begins to write may send the first one.
	provenEvents = 3
	// clientWriteTimeout limits a write to a caller that doesn't read.
	clientWriteTimeout = 10 * time.Second
)

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

// relay forwards the response to the caller.
func (x *exchange) relay(resp *http.Response) error {
	if err := x.validate(resp, x.out.started); err != nil {
		return err
	}
	if x.isStream(resp) {
		return x.relayEvents(resp)
	}
	return x.relayBuffered(resp)
}

// validate reports why a response can't be passed on: it isn't signed, or it can't be
// written into a stream that has started.
func (x *exchange) validate(resp *http.Response, started bool) error {
	if isSuccess(resp.StatusCode) && !x.response.Signed {
		return errkind.New(errkind.BackendFailed, "response with status %d has no signature", resp.StatusCode)
	}
	if started && !x.isStream(resp) {
		return errkind.New(errkind.BackendFailed, "status %d with content type %q instead of the rest of a stream",
			resp.StatusCode, resp.Header.Get("Content-Type"))
	}
	return nil
}

func (x *exchange) isStream(resp *http.Response) bool {
	return isSuccess(resp.StatusCode) && x.r.route.Kind == fleet.Streaming && isEventStream(resp.Header)
}

func isSuccess(status int) bool { return status >= 200 && status < 300 }

// isCloseDelimited reports whether the end of the connection is the end of the body. A
// server that crashes ends its connections as well.
func isCloseDelimited(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

func isEventStream(h http.Header) bool {
	media, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && media == "text/event-stream"
}

// relayBuffered reads the complete response before it forwards any of it. A
// response larger than maxBufferedResponse is forwarded as it arrives.
func (x *exchange) relayBuffered(resp *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(watchedBody{resp.Body, x.watch}, maxBufferedResponse+1))
	if err != nil {
		return x.responseTruncated(err)
	}
	if !x.watch.stop() {
		return x.responseTruncated(errServerSilent)
	}
	if x.retryableStatus(resp.StatusCode) {
		return errkind.New(errkind.BackendFailed, "the server failed with status %d", resp.StatusCode)
	}
	if len(body) > maxBufferedResponse {
		return x.relayLarge(resp, body)
	}
	length := len(body)
	if x.r.http.Method == http.MethodHead || resp.StatusCode == http.StatusNoContent {
		length = int(resp.ContentLength)
	}
	x.out.writeHeader(resp.StatusCode, resp.Header, length)
	x.r.trace.status = resp.StatusCode
	if len(body) == 0 {
		return nil
	}
	return x.out.write(body)
}

// retryableStatus reports whether a response with this status is retried at
// another server: it is a 5xx, the request may run again, and attempts and time
// are left.
func (x *exchange) retryableStatus(status int) bool {
	return status >= http.StatusInternalServerError && x.r.route.Retryable() &&
		x.r.trace.sent < x.r.route.MaxAttempts && x.r.timeLeft(clock.Now()) > 0
}

// relayLarge forwards a response that is too large to buffer as it arrives. head
// is the part read so far. No other server can continue such a response, so however long
// its server pauses, it ends only with the connection or the deadline.
func (x *exchange) relayLarge(resp *http.Response, head []byte) error {
	x.out.writeHeader(resp.StatusCode, resp.Header, int(resp.ContentLength))
	x.r.trace.status = resp.StatusCode
	if err := x.out.write(head); err != nil {
		return err
	}
	buffer := make([]byte, readBufferSize)
	for total := len(head); ; {
		n, err := resp.Body.Read(buffer)
		x.watch.progress()
		if total += n; total > maxResponse {
			return errkind.New(errkind.StreamIncomplete, "the response exceeds %d bytes", maxResponse)
		}
		if n > 0 {
			if err := x.out.write(buffer[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return x.responseTruncated(err)
		}
	}
}

// relayEvents forwards the complete events of a stream as they arrive.
func (x *exchange) relayEvents(resp *http.Response) error {
	x.out.resumable = x.r.route.Resumable
	var events eventstream.Splitter
	buffer := make([]byte, readBufferSize)
	for {
		n, err := resp.Body.Read(buffer)
		events.Write(buffer[:n])
		if err := x.forwardEvents(resp, &events); err != nil {
			return err
		}
		if errors.Is(err, io.EOF) {
			return x.finishEventStream(resp, &events)
		}
		if err != nil {
			return x.responseTruncated(err)
		}
	}
}

// forwardEvents writes the complete events that have arrived, in one write. Only
// events count as progress: a server that sends nothing but comments is silent. Events
// that arrived before an error are written as well: they count as passed on, so a stream
// that is resumed goes on after them.
func (x *exchange) forwardEvents(resp *http.Response, events *eventstream.Splitter) error {
	arrived, malformed := takeEvents(events)
	if len(arrived) == 0 {
		return malformed
	}
	x.arrived += len(arrived)
	if !x.watch.beginWrite() {
		return x.responseTruncated(errServerSilent)
	}
	defer x.watch.endWrite()
	batch, accepted := x.acceptEvents(arrived)
	if accepted == 0 {
		return malformed
	}
	now := clock.Now()
	if !x.lastEventAt.IsZero() {
		x.svc.recordEventGap(now, x.server.ID, now.Sub(x.lastEventAt))
	}
	x.lastEventAt = now
	x.r.trace.recordEvents(now, x.out.progress.Events())
	x.recordEvents(accepted)
	x.startEventStream(resp)
	if err := x.out.write(batch); err != nil {
		return err
	}
	return malformed
}

// takeEvents returns the complete events up to the first error.
func takeEvents(events *eventstream.Splitter) ([]eventstream.Event, error) {
	var list []eventstream.Event
	for {
		e, ok, err := events.Next()
		if err != nil || !ok {
			return list, err
		}
		list = append(list, e)
	}
}

// acceptEvents returns the bytes and the number of the events that the caller doesn't have
// yet.
func (x *exchange) acceptEvents(events []eventstream.Event) (batch []byte, accepted int) {
	for _, e := range events {
		if x.out.progress.Accept(e) {
			batch = append(batch, e.Raw...)
			accepted++
		}
	}
	return batch, accepted
}

// recordEvents counts the events of this server. Those that prove that the request
// doesn't crash it are recorded at once, because a long stream ends too late to clear
// other requests that share its features.
func (x *exchange) recordEvents(n int) {
	before := x.events
	x.events += n
	if before < provenEvents && x.events >= provenEvents {
		x.g.crashes.recordResponse(x.r.features)
	}
}

// startEventStream writes the header of the response. A stream that is resumed on
// another server keeps the header of the first one.
func (x *exchange) startEventStream(resp *http.Response) {
	if x.r.trace.timeToFirstEvent == 0 {
		x.r.trace.timeToFirstEvent = clock.Now().Sub(x.r.arrived)
		x.r.trace.serverWait = clock.Now().Sub(x.r.trace.placedAt)
		x.g.metrics.ObserveFirstByte(x.r.labels(), x.r.trace.timeToFirstEvent)
	}
	if x.out.started {
		return
	}
	x.out.writeHeader(resp.StatusCode, resp.Header, -1)
	x.r.trace.status = resp.StatusCode
}

// finishEventStream handles the end of the body.
func (x *exchange) finishEventStream(resp *http.Response, events *eventstream.Splitter) error {
	if events.Buffered() > 0 {
		x.checkForCrash()
		return errkind.New(errkind.StreamIncomplete, "the stream ended within an event")
	}
	if isCloseDelimited(resp) && x.arrived == 0 {
		x.checkForCrash()
		return errkind.New(errkind.StreamIncomplete, "the connection ended before the first event")
	}
	x.startEventStream(resp)
	if len(events.Comments()) == 0 {
		return nil
	}
	return x.out.write(events.Comments())
}

// responseTruncated handles a connection that failed within the response body.
func (x *exchange) responseTruncated(err error) error {
	x.checkForCrash()
	if x.watch.hasMoved() {
		err = errServerSilent
	}
	return errkind.Wrap(errkind.StreamIncomplete, err, "the response was truncated")
}
