package entry

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/telemetry"
	"github.com/filbertmux/filbertmux/daemons/entry/lifecycle"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/internal/proxyhttp"
)

// cancelTimeout bounds the Cancel call to a sidecar.
const cancelTimeout = 2 * time.Second

// connectionEvent is a chunk or the end of a connection.
type connectionEvent struct {
	connection int
	chunk      *pb.Chunk
	err        error
	ended      bool
}

// transfer manages the connections of one attempt. Each connection has a goroutine
// that reads from it; the goroutine of the request owns the other state.
type transfer struct {
	client  *sidecarClient
	request *pb.CallRequest
	// checkSend returns an error if the call must not be sent any more.
	checkSend sendCheck
	events    chan connectionEvent
	observer  connectionObserver

	disconnect context.CancelFunc // closes the current connection
}

// nextEvent waits for the next event of the attempt.
func (t *transfer) nextEvent(ctx context.Context, deadline time.Time) lifecycle.Event {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case e := <-t.events:
		return t.lifecycleEvent(e)
	case <-timer.C:
		return t.pendingOrDeadline()
	case <-ctx.Done():
		err := errkind.Wrap(errkind.Canceled, context.Cause(ctx), "the caller disconnected or the request timed out")
		return lifecycle.Event{Kind: lifecycle.CallerGone, Err: err}
	}
}

// pendingOrDeadline returns a pending connection event if there is one, and
// otherwise DeadlinePassed. The deadline may have passed only because the caller
// read slowly, so pending events take precedence.
func (t *transfer) pendingOrDeadline() lifecycle.Event {
	select {
	case e := <-t.events:
		return t.lifecycleEvent(e)
	default:
		return lifecycle.Event{Kind: lifecycle.DeadlinePassed}
	}
}

func (t *transfer) lifecycleEvent(e connectionEvent) lifecycle.Event {
	if !e.ended {
		t.observer.chunkReceived(e.chunk)
		return lifecycle.Event{Kind: lifecycle.ChunkReceived, Chunk: e.chunk}
	}
	var unsent *unsentError
	if errors.As(e.err, &unsent) {
		return lifecycle.Event{Kind: lifecycle.ConnectionEnded, Connection: e.connection, Err: unsent.cause, NotSent: true}
	}
	return lifecycle.Event{
		Kind: lifecycle.ConnectionEnded, Connection: e.connection, Err: e.err,
		DialFailed: proxyhttp.IsDialError(e.err), NotResumable: isNotResumable(e.err),
	}
}

// start opens the first connection of the attempt.
func (t *transfer) start(ctx context.Context) { t.connect(ctx, 1, t.call) }

// resume replaces the connection by a new one that continues the response.
func (t *transfer) resume(ctx context.Context, e lifecycle.Effect) {
	telemetry.RequestLogger(ctx).Info().AnErr("cause", e.Err).Uint64("next_seq", e.NextSeq).Msg("resuming the attempt on a new connection")
	t.disconnect()
	t.connect(ctx, e.Connection, func(ctx context.Context) (*connect.ServerStreamForClient[pb.Chunk], error) {
		return t.client.resumes.Resume(ctx, connect.NewRequest(&pb.ResumeRequest{
			Id: e.AttemptID, NextSeq: e.NextSeq, TableOffset: t.request.GetTableOffset(),
		}))
	})
}

// isNotResumable reports whether the error of the sidecar shows that resuming
// can't help, for example because the sidecar no longer holds the missing chunks.
func isNotResumable(cause error) bool {
	switch connect.CodeOf(cause) {
	case connect.CodeDataLoss, connect.CodeUnauthenticated, connect.CodePermissionDenied, connect.CodeUnimplemented:
		return true
	default:
		return false
	}
}

func (t *transfer) call(ctx context.Context) (*connect.ServerStreamForClient[pb.Chunk], error) {
	return t.client.calls.Call(withSendCheck(ctx, t.checkSend), connect.NewRequest(t.request))
}

func (t *transfer) connect(ctx context.Context, connection int, open func(context.Context) (*connect.ServerStreamForClient[pb.Chunk], error)) {
	ctx, t.disconnect = context.WithCancel(ctx)
	go t.read(ctx, connection, open)
}

func (t *transfer) read(ctx context.Context, connection int, open func(context.Context) (*connect.ServerStreamForClient[pb.Chunk], error)) {
	stream, err := open(ctx)
	if err != nil {
		t.sendEvent(ctx, connectionEvent{connection: connection, err: err, ended: true})
		return
	}
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		t.sendEvent(ctx, connectionEvent{connection: connection, chunk: stream.Msg()})
	}
	t.sendEvent(ctx, connectionEvent{connection: connection, err: stream.Err(), ended: true})
}

func (t *transfer) sendEvent(ctx context.Context, e connectionEvent) {
	select {
	case t.events <- e:
	case <-ctx.Done():
	}
}

// cancel asks the sidecar to stop the attempt. It does not wait and ignores errors,
// because the sidecar also stops an attempt to which no connection is open.
func (t *transfer) cancel(ctx context.Context, id *pb.AttemptId) {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	go func() {
		defer stop()
		_, _ = t.client.calls.Cancel(ctx, connect.NewRequest(&pb.CancelRequest{Id: id}))
	}()
}
