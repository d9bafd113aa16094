package entry

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/telemetry"
	"github.com/filbertmux/filbertmux/daemons/entry/lifecycle"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/internal/proxyhttp"
)

// cancelTimeout bounds the cancel call after a caller left.
const cancelTimeout = 2 * time.Second

// message is a chunk or the end of a connection.
type message struct {
	connection int
	chunk      *pb.Chunk
	err        error
	ended      bool
}

// transfer is the connections of one attempt. One goroutine for each connection
// reads; the goroutine of the request owns the rest.
type transfer struct {
	client   *sidecarClient
	request  *pb.CallRequest
	messages chan message
	signals  signals

	disconnect context.CancelFunc // ends the present connection
}

// await returns the next event of the attempt.
func (t *transfer) await(ctx context.Context, deadline time.Time) lifecycle.Event {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case m := <-t.messages:
		return t.event(m)
	case <-timer.C:
		return t.overdue()
	case <-ctx.Done():
		err := errkind.Wrap(errkind.Canceled, context.Cause(ctx), "the caller left or the request timed out")
		return lifecycle.Event{Kind: lifecycle.CallerGone, Err: err}
	}
}

// overdue returns what waited while the caller was slow, ahead of the deadline
// that passed meanwhile.
func (t *transfer) overdue() lifecycle.Event {
	select {
	case m := <-t.messages:
		return t.event(m)
	default:
		return lifecycle.Event{Kind: lifecycle.DeadlinePassed}
	}
}

func (t *transfer) event(m message) lifecycle.Event {
	if !m.ended {
		t.signals.chunk(m.chunk)
		return lifecycle.Event{Kind: lifecycle.ChunkReceived, Chunk: m.chunk}
	}
	return lifecycle.Event{
		Kind: lifecycle.ConnectionEnded, Connection: m.connection, Err: m.err,
		DialFailed: proxyhttp.IsDialError(m.err), NotResumable: isFinal(m.err),
	}
}

// start opens the first connection of the attempt.
func (t *transfer) start(ctx context.Context) { t.connect(ctx, 1, t.call) }

// resume opens a further connection.
func (t *transfer) resume(ctx context.Context, e lifecycle.Effect) {
	telemetry.RequestLogger(ctx).Info().AnErr("cause", e.Err).Uint64("next_seq", e.NextSeq).Msg("resume")
	t.disconnect()
	t.connect(ctx, e.Connection, func(ctx context.Context) (*connect.ServerStreamForClient[pb.Chunk], error) {
		return t.client.resumes.Resume(ctx, connect.NewRequest(&pb.ResumeRequest{
			Id: e.AttemptID, NextSeq: e.NextSeq, TableOffset: t.request.GetTableOffset(),
		}))
	})
}

// isFinal reports whether the sidecar said that resuming can't help, for example
// because it does not hold the missing chunks.
func isFinal(cause error) bool {
	switch connect.CodeOf(cause) {
	case connect.CodeDataLoss, connect.CodeUnauthenticated, connect.CodePermissionDenied, connect.CodeUnimplemented:
		return true
	default:
		return false
	}
}

func (t *transfer) call(ctx context.Context) (*connect.ServerStreamForClient[pb.Chunk], error) {
	return t.client.calls.Call(ctx, connect.NewRequest(t.request))
}

func (t *transfer) connect(ctx context.Context, connection int, open func(context.Context) (*connect.ServerStreamForClient[pb.Chunk], error)) {
	ctx, t.disconnect = context.WithCancel(ctx)
	go t.read(ctx, connection, open)
}

func (t *transfer) read(ctx context.Context, connection int, open func(context.Context) (*connect.ServerStreamForClient[pb.Chunk], error)) {
	in, err := open(ctx)
	if err != nil {
		t.post(ctx, message{connection: connection, err: err, ended: true})
		return
	}
	defer func() { _ = in.Close() }()
	for in.Receive() {
		t.post(ctx, message{connection: connection, chunk: in.Msg()})
	}
	t.post(ctx, message{connection: connection, err: in.Err(), ended: true})
}

func (t *transfer) post(ctx context.Context, m message) {
	select {
	case t.messages <- m:
	case <-ctx.Done():
	}
}

// cancel stops the attempt at the sidecar. It is a hint only: the sidecar also
// stops an attempt that no connection wants.
func (t *transfer) cancel(ctx context.Context, id *pb.AttemptId) {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	go func() {
		defer stop()
		_, _ = t.client.calls.Cancel(ctx, connect.NewRequest(&pb.CancelRequest{Id: id}))
	}()
}
