package entry

import (
	"context"
	"net"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"github.com/filbertmux/filbertmux/errkind"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/stream"
	"github.com/filbertmux/filbertmux/telemetry"
)

const (
	// maxResumes bounds the connections of an attempt that makes no progress.
	maxResumes = 4
	// cancelTimeout bounds the cancel call after a caller left.
	cancelTimeout = 2 * time.Second
)

// message is a chunk or the end of a connection.
type message struct {
	connection int
	chunk      *pb.Chunk
	err        error
	ended      bool
}

// transfer receives the answer of one attempt over one or more connections. One
// goroutine for each connection reads; the goroutine in run owns the rest.
type transfer struct {
	client   *sidecarClient
	request  *pb.CallRequest
	receiver *stream.Receiver
	messages chan message
	out      *answer
	signals  signals

	connection int
	disconnect context.CancelFunc
	resumes    int
}

// run returns nil after the whole answer was written to the caller.
func (t *transfer) run(ctx context.Context) error {
	t.connect(ctx, t.call)
	defer func() { t.disconnect() }()
	for !t.receiver.Finished() {
		if err := t.step(ctx); err != nil {
			t.cancel(ctx)
			return err
		}
	}
	if err := t.receiver.Err(); err != nil {
		return err
	}
	return t.out.finish()
}

func (t *transfer) step(ctx context.Context) error {
	timer := time.NewTimer(time.Until(t.receiver.Deadline()))
	defer timer.Stop()
	select {
	case m := <-t.messages:
		return t.take(ctx, m)
	case <-timer.C:
		return t.checkLiveness(ctx)
	case <-ctx.Done():
		return errkind.Wrap(errkind.Canceled, context.Cause(ctx), "the caller left or the request timed out")
	}
}

func (t *transfer) take(ctx context.Context, m message) error {
	if m.ended {
		if m.connection != t.connection {
			return nil
		}
		t.signals.broken(ctx, m.err)
		return t.reconnect(ctx, m.err)
	}
	t.signals.chunk(m.chunk)
	before := t.receiver.NextSeq()
	for _, chunk := range t.receiver.Receive(time.Now(), m.chunk) {
		if err := t.out.take(chunk); err != nil {
			return err
		}
	}
	if t.receiver.NextSeq() > before {
		t.resumes = 0
	}
	return nil
}

func (t *transfer) checkLiveness(ctx context.Context) error {
	if len(t.messages) > 0 {
		return nil // the caller was slow, not the sidecar
	}
	switch t.receiver.Check(time.Now()) {
	case stream.Stalled:
		return errkind.New(errkind.StreamIncomplete, "the answer made no progress")
	case stream.Silent:
		t.signals.silent()
		return t.reconnect(ctx, errkind.New(errkind.StreamIncomplete, "the connection to the sidecar went silent"))
	default:
		return nil
	}
}

// reconnect resumes after the connection ended with cause.
func (t *transfer) reconnect(ctx context.Context, cause error) error {
	if t.neverSent(cause) {
		return errkind.Wrap(errkind.BackendUnavailable, cause, "the sidecar can't be reached")
	}
	if t.resumes >= maxResumes || isFinal(cause) {
		return errkind.Wrap(errkind.StreamIncomplete, cause, "the connection to the sidecar was lost")
	}
	t.resumes++
	telemetry.Log(ctx).Info().AnErr("cause", cause).Uint64("next_seq", t.receiver.NextSeq()).Msg("resume")
	t.disconnect()
	t.receiver.Reconnected(time.Now())
	// Built here, because the receiver belongs to this goroutine.
	resume := &pb.ResumeRequest{
		Id: t.receiver.ID(), NextSeq: t.receiver.NextSeq(), TableOffset: t.request.GetTableOffset(),
	}
	t.connect(ctx, func(ctx context.Context) (*connect.ServerStreamForClient[pb.Chunk], error) {
		return t.client.resumes.Resume(ctx, connect.NewRequest(resume))
	})
	return nil
}

// neverSent reports whether the call did not reach the sidecar: its first
// connection failed in the dial.
func (t *transfer) neverSent(cause error) bool {
	return t.connection == 1 && isDialError(cause)
}

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// isFinal reports whether resuming can't help: the sidecar is gone, or it does
// not hold the missing chunks.
func isFinal(cause error) bool {
	switch connect.CodeOf(cause) {
	case connect.CodeDataLoss, connect.CodeUnauthenticated, connect.CodePermissionDenied, connect.CodeUnimplemented:
		return true
	default:
		return isDialError(cause)
	}
}

func (t *transfer) call(ctx context.Context) (*connect.ServerStreamForClient[pb.Chunk], error) {
	return t.client.calls.Call(ctx, connect.NewRequest(t.request))
}

func (t *transfer) connect(ctx context.Context, open func(context.Context) (*connect.ServerStreamForClient[pb.Chunk], error)) {
	ctx, t.disconnect = context.WithCancel(ctx)
	t.connection++
	go t.read(ctx, t.connection, open)
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
func (t *transfer) cancel(ctx context.Context) {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	request := &pb.CancelRequest{Id: t.receiver.ID()}
	go func() {
		defer stop()
		_, _ = t.client.calls.Cancel(ctx, connect.NewRequest(request))
	}()
}
