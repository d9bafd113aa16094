package gateway

import (
	"io"
	"mime"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/filbertmux/filbertmux/base/clock"
	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/config/fleet"
	"github.com/filbertmux/filbertmux/serve/eventstream"
)

const (
	// maxDiscardedBody limits how much of a response that isn't forwarded is read.
	maxDiscardedBody = 64 << 10
	// maxDiscardTime limits the time for that. A new connection costs less than the
	// wait for a slow body.
	maxDiscardTime = 50 * time.Millisecond
	// readBufferSize is the size of one read from a backend server.
	readBufferSize = 8 << 10
	// partialEventStep is the step in which the bytes of an event that hasn't arrived
	// completely are claimed.
	partialEventStep = 32 << 10
)

// relay forwards the response to the caller.
func (x *exchange) relay(resp *http.Response) error {
	if err := x.validate(resp, x.out.started); err != nil {
		return err
	}
	if x.isStream(resp) {
		return x.relayEvents(resp)
	}
	if resp.StatusCode < http.StatusInternalServerError {
		x.watch.recordFirstOutput()
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

// relayEvents forwards the complete events of a stream as they arrive.
func (x *exchange) relayEvents(resp *http.Response) error {
	x.out.resumable = x.r.route.Resumable
	var events eventstream.Splitter
	defer x.claimPartialEvent(0)
	buffer := make([]byte, readBufferSize)
	for {
		n, err := resp.Body.Read(buffer)
		events.Write(buffer[:n])
		if err := x.forwardEvents(resp, &events); err != nil {
			return err
		}
		if !x.claimPartialEvent(events.Buffered()) {
			return errkind.New(errkind.StreamIncomplete, "no memory for an event of more than %d bytes", events.Buffered())
		}
		if errors.Is(err, io.EOF) {
			return x.finishEventStream(resp, &events)
		}
		if err != nil {
			return x.responseTruncated(err)
		}
	}
}

// claimPartialEvent claims the bytes of an event that hasn't arrived completely, beyond those
// of a read buffer. It returns false if there is no memory for them.
func (x *exchange) claimPartialEvent(buffered int) bool {
	steps := 0
	if buffered > readBufferSize {
		steps = (buffered + partialEventStep - 1) / partialEventStep
	}
	diff := steps*partialEventStep - x.partialEvent
	if diff > 0 && !x.r.memory.TryGrow(diff) {
		return false
	}
	if diff < 0 {
		x.r.memory.Shrink(-diff)
	}
	x.partialEvent += diff
	return true
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
	x.events += accepted
	x.g.crashes.recordProgress(x.r.features, x.events)
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
	if !x.r.route.Resumable {
		x.releaseBody()
	}
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
		err = x.watch.moveCause()
	}
	return errkind.Wrap(errkind.StreamIncomplete, err, "the response was truncated")
}
