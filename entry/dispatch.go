package entry

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/filbertmux/filbertmux/entry/servers"
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
	servers  *servers.Servers
	prober   *servers.Prober
	table    tableSource
	clients  *clients
	receiver stream.ReceiverConfig
}

// run makes attempts until one delivers the whole answer.
func (d *dispatcher) run(ctx context.Context, r *request, out *answer) error {
	route := servers.Request{Service: r.call.GetService(), Key: r.call.GetIdempotencyKey(), Prefix: r.prefix}
	var failed *errkind.Error
	for n := uint32(1); n <= maxAttempts; n++ {
		d.prober.BeforePick(ctx, route)
		instance, err := d.servers.Pick(route)
		if err != nil && failed != nil {
			return failed
		}
		if err != nil {
			return err
		}
		route.Tried = append(route.Tried, instance.ID)
		err = d.attempt(ctx, r.call, n, instance, out)
		if err == nil {
			return nil
		}
		failed = worse(failed, errkind.Of(err))
		telemetry.Log(ctx).Warn().Err(err).Uint32("attempt", n).Str("sidecar", instance.ID).Msg("attempt failed")
		if out.committed || ctx.Err() != nil || !repeatable(r.call, errkind.Of(err)) {
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
	defer d.servers.Finished(instance)
	w := &watch{servers: d.servers, table: d.table, instance: instance, sent: time.Now()}
	t := &transfer{
		client:   d.clients.of(instance.Address),
		request:  request,
		receiver: stream.NewReceiver(request.Id, d.receiver, w.sent),
		messages: make(chan message, maxPendingChunks),
		out:      out,
		signals:  w,
	}
	err := t.run(ctx)
	if errkind.Is(err, errkind.BackendUnavailable) {
		d.servers.Unavailable(instance)
	}
	return err
}
