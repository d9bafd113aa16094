package entry

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/base/telemetry"
	"github.com/filbertmux/filbertmux/daemons/entry/lifecycle"
	"github.com/filbertmux/filbertmux/daemons/entry/servers"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/serve/quarantine"
	"github.com/filbertmux/filbertmux/serve/retry"
)

// maxPendingChunks bounds the chunks of one attempt that wait for a gap or for
// the caller.
const maxPendingChunks = 64

// maxResumes bounds the connections of an attempt that makes no progress.
const maxResumes = 4

// exchange carries out the effects of one request's life cycle. It belongs to
// the goroutine of the request.
type exchange struct {
	*dispatcher
	request     *request
	out         *answer
	life        *lifecycle.Request
	fingerprint quarantine.Fingerprint
	route       servers.Request
	instance    infra.Instance // of the present attempt
	transfer    *transfer      // nil between attempts
	// leaveCopies ends the present attempt among copies of the request.
	leaveCopies func()
	err         error
}

func (d *dispatcher) newExchange(r *request, out *answer) *exchange {
	return &exchange{
		dispatcher: d, request: r, out: out,
		life: lifecycle.New(lifecycle.Config{
			RequestID: r.call.GetId().GetRequestId(), Idempotent: r.call.GetIdempotent(),
			Receiver: d.receiver, MaxResumes: maxResumes,
		}),
		fingerprint: quarantine.FingerprintOf(r.call),
		route:       servers.Request{Service: r.call.GetService(), IdempotencyKey: r.call.GetIdempotencyKey(), Prefix: r.prefix},
	}
}

// limitPassed notes that the request is within the limit of its organisation.
func (x *exchange) limitPassed(ctx context.Context) {
	x.perform(ctx, lifecycle.Event{Kind: lifecycle.LimitPassed})
}

// refused ends a request that was not sent anywhere.
func (x *exchange) refused(ctx context.Context, err error) error {
	x.perform(ctx, lifecycle.Event{Kind: lifecycle.Refused, Err: err})
	return x.err
}

// run returns nil after the whole answer was written to the caller.
func (x *exchange) run(ctx context.Context) error {
	x.retries.firstAttempt(x.route.Service)
	return x.follow(ctx, lifecycle.Event{Kind: lifecycle.SlotGranted})
}

// follow steps the life cycle from an event to the end of the request.
func (x *exchange) follow(ctx context.Context, event lifecycle.Event) error {
	defer x.endTransfer()
	for {
		next, known := x.perform(ctx, event)
		if x.life.Finished() {
			return x.err
		}
		if !known {
			next = x.transfer.await(ctx, x.life.Deadline())
		}
		event = next
	}
}

// perform applies an event and carries out its effects. It returns the event
// that answers the last of them, if that is known at once.
func (x *exchange) perform(ctx context.Context, event lifecycle.Event) (next lifecycle.Event, known bool) {
	for _, effect := range x.life.Step(time.Now(), event) {
		next, known = x.carryOut(ctx, effect)
	}
	return next, known
}

func (x *exchange) carryOut(ctx context.Context, e lifecycle.Effect) (next lifecycle.Event, known bool) {
	switch e.Kind {
	case lifecycle.Pick:
		return x.pick(ctx), true
	case lifecycle.Call:
		x.startTransfer(ctx, e.Attempt)
	case lifecycle.Resume:
		x.transfer.resume(ctx, e)
	case lifecycle.Deliver:
		return x.deliver(e.Chunks), true
	case lifecycle.Finish:
		return x.finish(), true
	case lifecycle.ReportConnectionLost:
		x.transfer.signals.broken(ctx, e.Err)
	case lifecycle.ReportConnectionSilent:
		x.transfer.signals.silent()
	case lifecycle.EndAttempt:
		x.endAttempt(ctx, e)
	case lifecycle.AskRetry:
		return x.askRetry(ctx, e), true
	case lifecycle.Wait:
		return wait(ctx, e.Delay), true
	case lifecycle.Refuse:
		x.err = unproved(x.request, e.Err)
	case lifecycle.Fail:
		x.err = ofKey(x.request, e.Failure)
	}
	return lifecycle.Event{}, false
}

func (x *exchange) pick(ctx context.Context) lifecycle.Event {
	x.out.reset()
	x.prober.ProbeBeforePick(ctx, x.route)
	leave, err := x.copies.enter(ctx, x.fingerprint, x.pickServer)
	if err != nil {
		return lifecycle.Event{Kind: lifecycle.NoServer, Err: err}
	}
	x.leaveCopies = leave
	x.route.Tried = append(x.route.Tried, x.instance.ID)
	return lifecycle.Event{Kind: lifecycle.Picked}
}

// pickServer prefers the server that runs a copy of the request. A suspect goes
// to the same server through all entries.
func (x *exchange) pickServer(running string, suspect bool) (string, error) {
	route := x.route
	route.DuplicateServer = running
	if suspect {
		route.SuspectHash = x.fingerprint.BodyHash
	}
	instance, err := x.servers.Pick(route)
	x.instance = instance
	return instance.ID, err
}

func (x *exchange) startTransfer(ctx context.Context, attempt int) {
	call := proto.CloneOf(x.request.call)
	call.Id.Attempt = uint32(attempt)
	if deadline, ok := ctx.Deadline(); ok {
		call.DeadlineMs = uint64(max(time.Until(deadline).Milliseconds(), 1))
	}
	x.transfer = &transfer{
		client:   x.clients.of(x.instance.Address),
		request:  call,
		messages: make(chan message, maxPendingChunks),
		signals: &watch{
			servers: x.servers, table: x.table, retries: x.retries, instance: x.instance, sent: time.Now(),
		},
	}
	x.transfer.start(ctx)
}

func (x *exchange) deliver(chunks []*pb.Chunk) lifecycle.Event {
	for _, chunk := range chunks {
		if err := x.out.take(chunk); err != nil {
			return lifecycle.Event{Kind: lifecycle.Delivered, AnswerStarted: x.out.committed, Err: err}
		}
	}
	return lifecycle.Event{Kind: lifecycle.Delivered, AnswerStarted: x.out.committed}
}

func (x *exchange) finish() lifecycle.Event {
	if err := x.out.finish(); err != nil {
		return lifecycle.Event{Kind: lifecycle.WriteFailed, Err: err}
	}
	return lifecycle.Event{Kind: lifecycle.AnswerWritten}
}

// endAttempt closes the connection of the attempt and tells the view of the
// backend servers.
func (x *exchange) endAttempt(ctx context.Context, e lifecycle.Effect) {
	if e.Cancel {
		x.transfer.cancel(ctx, e.AttemptID)
	}
	x.endTransfer()
	if e.Failure == nil {
		x.servers.RecordRequestSuccess(x.instance)
		return
	}
	x.servers.RecordRequestFailure(x.instance, e.Failure.Err.Kind)
	switch e.Failure.Err.Kind {
	case errkind.BackendUnavailable:
		x.servers.MarkBackendUnavailable(x.instance)
	case errkind.QueueFull:
		x.retries.overloaded(x.instance.Service)
	}
	telemetry.RequestLogger(ctx).Warn().Err(e.Failure.Err).Uint32("attempt", e.AttemptID.GetAttempt()).
		Str("sidecar", x.instance.ID).Msg("attempt failed")
}

func (x *exchange) endTransfer() {
	if x.transfer == nil {
		return
	}
	x.transfer.disconnect()
	x.transfer = nil
	x.servers.EndAttempt(x.instance)
	x.leaveCopies()
}

// askRetry asks the retry budget. A retry that has no server to go to must not
// use it up.
func (x *exchange) askRetry(ctx context.Context, e lifecycle.Effect) lifecycle.Event {
	refused := lifecycle.Event{Kind: lifecycle.RetryRefused}
	if !x.servers.HasCandidate(x.route) {
		return refused
	}
	deadline, _ := ctx.Deadline()
	decision := x.retries.decide(x.route.Service, retry.Attempt{
		Err: e.Failure.Err, Number: e.Attempt, Idempotent: x.request.call.GetIdempotent(),
		ResponseStarted: x.out.committed, Deadline: deadline,
	})
	if !decision.Retry {
		telemetry.RequestLogger(ctx).Info().Str("reason", string(decision.Reason)).Msg("no retry")
		return refused
	}
	return lifecycle.Event{Kind: lifecycle.RetryGranted, Delay: decision.Delay}
}

func wait(ctx context.Context, delay time.Duration) lifecycle.Event {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return lifecycle.Event{Kind: lifecycle.RetryDue}
	case <-ctx.Done():
		return lifecycle.Event{Kind: lifecycle.CallerGone}
	}
}
