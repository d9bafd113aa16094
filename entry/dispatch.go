package entry

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/filbertmux/filbertmux/entry/servers"
	"github.com/filbertmux/filbertmux/errkind"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/platform"
	"github.com/filbertmux/filbertmux/quarantine"
	"github.com/filbertmux/filbertmux/retry"
	"github.com/filbertmux/filbertmux/stream"
	"github.com/filbertmux/filbertmux/telemetry"
)

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
	retries  *retries
	copies   *copies
}

// run makes attempts until one delivers the whole answer.
func (d *dispatcher) run(ctx context.Context, r *request, out *answer) error {
	route := servers.Request{Service: r.call.GetService(), Key: r.call.GetIdempotencyKey(), Prefix: r.prefix}
	d.retries.firstAttempt(route.Service)
	f := fingerprintOf(r.call)
	var failed *failure
	for n := 1; ; n++ {
		d.prober.BeforePick(ctx, route)
		instance, leave, err := d.pick(ctx, f, route)
		if err != nil && failed != nil {
			return failed.ofKey(r)
		}
		if err != nil {
			return unproved(r, err)
		}
		route.Tried = append(route.Tried, instance.ID)
		last := d.attempt(ctx, r.call, n, instance, out)
		leave()
		if last == nil {
			return nil
		}
		failed = worse(failed, last)
		telemetry.Log(ctx).Warn().Err(last.err).Int("attempt", n).Str("sidecar", instance.ID).Msg("attempt failed")
		// A retry that has no server to go to must not use up the budget.
		if !d.servers.Available(route) || !d.mayRepeat(ctx, r, n, last, out) {
			return failed.ofKey(r)
		}
		out.reset()
	}
}

// pick chooses a server for one attempt. leave ends the attempt.
func (d *dispatcher) pick(ctx context.Context, f quarantine.Fingerprint, route servers.Request) (chosen platform.Instance, leave func(), err error) {
	leave, err = d.copies.enter(ctx, f, func(running string, suspect bool) (string, error) {
		route.Copy = running
		if suspect {
			route.Suspect = f.BodyHash
		}
		var err error
		chosen, err = d.servers.Pick(route)
		return chosen.ID, err
	})
	return chosen, leave, err
}

// mayRepeat asks the retry budget and waits for the delay of the retry.
func (d *dispatcher) mayRepeat(ctx context.Context, r *request, n int, last *failure, out *answer) bool {
	deadline, _ := ctx.Deadline()
	decision := d.retries.decide(r.call.GetService(), retry.Attempt{
		Err: last.err, Number: n, Idempotent: r.call.GetIdempotent(),
		AnswerStarted: out.committed, Deadline: deadline,
	})
	if !decision.Repeat {
		telemetry.Log(ctx).Info().Str("reason", string(decision.Reason)).Msg("no retry")
		return false
	}
	timer := time.NewTimer(decision.Delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// noteRefusal stops retries after the queue refused work for lack of room or
// time.
func (d *dispatcher) noteRefusal(r *request, err error) {
	if errkind.Is(err, errkind.QueueFull) || errkind.Is(err, errkind.DeadlineUnreachable) {
		d.retries.overloaded(r.call.GetService())
	}
}

// failure is the end of an attempt without a whole answer.
type failure struct {
	err *errkind.Error
	// bySidecar says that the sidecar ended the answer with this error.
	bySidecar bool
}

// ofKey returns the error as it holds for the key of a booking.
func (f *failure) ofKey(r *request) error {
	switch {
	case r.call.GetIdempotent(), f.bySidecar && provedBySidecar(f.err.Kind):
		return f.err
	case f.bySidecar:
		return asUnknown(f.err)
	default:
		return unproved(r, f.err)
	}
}

// worse returns the newer failure, but never claims that nothing ran if an
// earlier attempt may have run.
func worse(earlier, newer *failure) *failure {
	if earlier == nil || earlier.err.Execution == errkind.NotRun || newer.err.Execution != errkind.NotRun {
		return newer
	}
	return earlier
}

func (d *dispatcher) attempt(ctx context.Context, call *pb.CallRequest, n int, instance platform.Instance, out *answer) *failure {
	request := proto.CloneOf(call)
	request.Id.Attempt = uint32(n)
	if deadline, ok := ctx.Deadline(); ok {
		request.DeadlineMs = uint64(max(time.Until(deadline).Milliseconds(), 1))
	}
	defer d.servers.Finished(instance)
	w := &watch{servers: d.servers, table: d.table, retries: d.retries, instance: instance, sent: time.Now()}
	t := &transfer{
		client:   d.clients.of(instance.Address),
		request:  request,
		receiver: stream.NewReceiver(request.Id, d.receiver, w.sent),
		messages: make(chan message, maxPendingChunks),
		out:      out,
		signals:  w,
	}
	err := t.run(ctx)
	if err == nil {
		return nil
	}
	f := &failure{err: errkind.Of(err), bySidecar: t.receiver.Err() != nil}
	switch f.err.Kind {
	case errkind.BackendUnavailable:
		d.servers.Unavailable(instance)
	case errkind.QueueFull:
		d.retries.overloaded(instance.Service)
	}
	return f
}
