package entry

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/filbertmux/filbertmux/errkind"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/platform"
	"github.com/filbertmux/filbertmux/stream"
	"github.com/filbertmux/filbertmux/telemetry"
)

// maxAttempts bounds the attempts of one request.
const maxAttempts = 3

// maxPendingChunks bounds the chunks of one attempt that wait for a gap or for
// the caller.
const maxPendingChunks = 64

// dispatcher runs requests on sidecars. It is safe for concurrent use.
type dispatcher struct {
	backends *backends
	table    tableSource
	clients  *clients
	receiver stream.ReceiverConfig
}

// run makes attempts until one delivers the whole answer.
func (d *dispatcher) run(ctx context.Context, call *pb.CallRequest, out *answer) error {
	var tried []string
	var failed *errkind.Error
	for n := uint32(1); n <= maxAttempts; n++ {
		instance, err := d.backends.pick(call, tried)
		if err != nil && failed != nil {
			return failed
		}
		if err != nil {
			return err
		}
		tried = append(tried, instance.ID)
		err = d.attempt(ctx, call, n, instance, out)
		if err == nil {
			return nil
		}
		failed = worse(failed, errkind.Of(err))
		telemetry.Log(ctx).Warn().Err(err).Uint32("attempt", n).Str("sidecar", instance.ID).Msg("attempt failed")
		if out.committed || ctx.Err() != nil || !repeatable(call, errkind.Of(err)) {
			break
		}
		out.reset()
	}
	return failed
}

// repeatable reports whether another attempt is allowed. A non-idempotent call
// is repeated only after a proof that it did not run.
func repeatable(call *pb.CallRequest, err *errkind.Error) bool {
	if err.Execution == errkind.NotRun {
		return err.Kind.Answer().Retryable && err.Kind != errkind.LimitExceeded
	}
	if !call.GetIdempotent() {
		return false
	}
	switch err.Kind {
	case errkind.BackendFailed, errkind.StreamIncomplete:
		return true
	default:
		return false
	}
}

// worse returns the newer error, but never claims that nothing ran if an
// earlier attempt may have run.
func worse(earlier, newer *errkind.Error) *errkind.Error {
	if earlier == nil || earlier.Execution == errkind.NotRun || newer.Execution != errkind.NotRun {
		return newer
	}
	return earlier
}

func (d *dispatcher) attempt(ctx context.Context, call *pb.CallRequest, n uint32, instance platform.Instance, out *answer) error {
	request := proto.CloneOf(call)
	request.Id.Attempt = n
	if deadline, ok := ctx.Deadline(); ok {
		request.DeadlineMs = uint64(max(time.Until(deadline).Milliseconds(), 1))
	}
	t := &transfer{
		client:   d.clients.of(instance.Address),
		request:  request,
		receiver: stream.NewReceiver(request.Id, d.receiver, time.Now()),
		messages: make(chan message, maxPendingChunks),
		out:      out,
		onChunk: func(c *pb.Chunk) {
			d.table.Learn(platform.Offset(c.GetTableOffset()))
			if c.GetLoad().GetLeaving() {
				d.backends.hold(instance.ID, leavingHold)
			}
		},
	}
	err := t.run(ctx)
	if errkind.Is(err, errkind.BackendUnavailable) {
		d.backends.hold(instance.ID, failureHold)
	}
	return err
}
