package gateway

import (
	"io"
	"net/http"

	"github.com/go-faster/errors"

	"github.com/filbertmux/filbertmux/base/clock"
	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/daemons/inbound"
)

const (
	// maxBufferedResponse is the size up to which a response is read completely
	// before it is forwarded, so that a truncated one can be retried.
	maxBufferedResponse = 1 << 20
	// maxResponse limits the size of a response that is forwarded as it arrives.
	maxResponse = 256 << 20
)

// relayBuffered reads the complete response before it forwards any of it. A response that
// is larger than maxBufferedResponse, or than the memory that is free, is forwarded as it
// arrives.
func (x *exchange) relayBuffered(resp *http.Response) error {
	x.out.resumable = false // an earlier attempt may have begun a stream without events
	body, complete, err := x.r.memory.ReadResponse(watchedBody{resp.Body, x.watch}, resp.ContentLength, maxBufferedResponse)
	defer body.Release()
	if err != nil {
		return x.responseTruncated(err)
	}
	if !x.watch.stop() {
		return x.responseTruncated(errServerSilent)
	}
	if x.retryableStatus(resp.StatusCode) {
		return errkind.New(errkind.BackendFailed, "the server failed with status %d", resp.StatusCode)
	}
	x.releaseBody()
	if !complete {
		return x.relayLarge(resp, body)
	}
	x.serverDone(resp)
	length := body.Len()
	if x.r.http.Method == http.MethodHead || resp.StatusCode == http.StatusNoContent {
		length = int(resp.ContentLength)
	}
	x.out.writeHeader(resp.StatusCode, resp.Header, length)
	x.r.trace.status = resp.StatusCode
	return x.out.writeBlocks(body.Blocks())
}

// releaseBody gives the memory of the request's body back, when the request won't be sent
// again. A standby may still be sending it.
func (x *exchange) releaseBody() {
	if newest, _ := x.watch.standbys(); newest == nil {
		x.r.memory.Body().Release()
	}
}

// serverDone gives the connection and the slot back after the response was read completely.
// The caller may read it slowly.
func (x *exchange) serverDone(resp *http.Response) {
	x.recordAnswered(resp)
	x.reuseConnection(resp)
	x.releaseSlot(nil)
}

// recordAnswered records that a complete response shows that the request doesn't crash its
// server. Part of a response shows nothing: the server may crash at any time before the end.
// Nor does an error of the server, which may not have run the request.
func (x *exchange) recordAnswered(resp *http.Response) {
	switch {
	case resp.StatusCode >= http.StatusInternalServerError:
	case !isCloseDelimited(resp):
		x.g.crashes.recordResponse(x.r.features)
	case !x.response.Leaving && x.g.crashes.suspects(x.r.features):
		// The end of the connection may be a crash. A server that leaves may end as well.
		go x.g.crashes.checkAnswered(x.r.lost, x.server)
	}
}

// releaseSlot gives the slot back, with the result of the exchange, unless it was given back
// before.
func (x *exchange) releaseSlot(err error) {
	if !x.released {
		x.released = true
		x.svc.release(clock.Now(), x.result(err))
	}
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
func (x *exchange) relayLarge(resp *http.Response, head *inbound.Buffer) error {
	x.out.writeHeader(resp.StatusCode, resp.Header, int(resp.ContentLength))
	x.r.trace.status = resp.StatusCode
	if err := x.out.writeBlocks(head.Blocks()); err != nil {
		return err
	}
	total := head.Len()
	head.Release()
	buffer := make([]byte, readBufferSize)
	for {
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
