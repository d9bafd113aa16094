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

const (
	// maxPendingChunks bounds the chunks of one attempt that are buffered because an
	// earlier chunk is missing.
	maxPendingChunks = 64
	// maxQueuedChunks bounds the chunks that are buffered because the caller reads slowly.
	// The others stay at the sidecar.
	maxQueuedChunks = 4
)

// maxResumes bounds the consecutive resumes of an attempt without progress.
const maxResumes = 4

// exchange runs one request: it feeds events to the state machine of package
// lifecycle and executes its effects. It belongs to the goroutine of the request.
type exchange struct {
	*dispatcher
	request     *request
	out         *responseWriter
	machine     *lifecycle.Request
	fingerprint quarantine.Fingerprint
	routing     servers.Request
	instance    infra.Instance // of the current attempt
	transfer    *transfer      // nil between attempts
	// releaseDuplicate removes the current attempt from the duplicate tracker.
	releaseDuplicate func()
	// releaseSlot gives the concurrency slot of the request back.
	releaseSlot func()
	err         error
}

func (d *dispatcher) newExchange(r *request, out *responseWriter) *exchange {
	return &exchange{
		dispatcher: d, request: r, out: out, releaseSlot: func() {},
		machine: lifecycle.New(lifecycle.Config{
			RequestID: r.call.GetId().GetRequestId(), Idempotent: r.call.GetIdempotent(),
			Receiver: d.receiver, MaxResumes: maxResumes,
		}),
		fingerprint: quarantine.NewFingerprint(r.call.GetService(), r.call.GetOrganisation(), r.call.GetMethod(), r.call.GetPath(), r.body),
		routing:     servers.Request{Service: r.call.GetService(), IdempotencyKey: r.call.GetIdempotencyKey(), Prefix: r.prefix},
	}
}

// limitPassed records that the request is within the limit of its organisation.
func (x *exchange) limitPassed(ctx context.Context) {
	x.handle(ctx, lifecycle.Event{Kind: lifecycle.LimitPassed})
}

// refuse ends a request that was not sent to any sidecar.
func (x *exchange) refuse(ctx context.Context, err error) error {
	x.handle(ctx, lifecycle.Event{Kind: lifecycle.Refused, Err: err})
	return x.err
}

// run forwards the request. It returns nil once the complete response was written
// to the caller.
func (x *exchange) run(ctx context.Context) error {
	x.retries.recordFirstAttempt(x.routing.Service)
	return x.runToEnd(ctx, lifecycle.Event{Kind: lifecycle.SlotGranted})
}

// runToEnd runs the state machine from an event to the end of the request.
func (x *exchange) runToEnd(ctx context.Context, event lifecycle.Event) error {
	defer x.endTransfer()
	for {
		next, known := x.handle(ctx, event)
		if x.machine.Finished() {
			return x.err
		}
		if !known {
			next = x.transfer.nextEvent(ctx, x.machine.Deadline())
			next.MoveToOther = mayEndConnection(next.Kind) && x.servers.ShouldMove(x.instance, x.routing)
		}
		event = next
	}
}

// mayEndConnection reports whether the request may need another connection after an event
// of this kind.
func mayEndConnection(k lifecycle.EventKind) bool {
	return k == lifecycle.ConnectionEnded || k == lifecycle.DeadlinePassed
}

// handle applies an event and executes its effects. It returns the event that
// results from the last effect. known is false if the next event has to be awaited
// from the connection.
func (x *exchange) handle(ctx context.Context, event lifecycle.Event) (next lifecycle.Event, known bool) {
	for _, effect := range x.machine.Step(time.Now(), event) {
		next, known = x.execute(ctx, effect)
	}
	return next, known
}

func (x *exchange) execute(ctx context.Context, e lifecycle.Effect) (next lifecycle.Event, known bool) {
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
		x.transfer.observer.connectionLost(ctx, e.Err)
	case lifecycle.ReportConnectionSilent:
		x.transfer.observer.connectionSilent()
	case lifecycle.EndAttempt:
		x.endAttempt(ctx, e)
	case lifecycle.AskRetry:
		return x.askRetry(ctx, e), true
	case lifecycle.Wait:
		return waitForRetry(ctx, e.Delay), true
	case lifecycle.Refuse:
		x.err = entryRefusal(x.request, e.Err)
	case lifecycle.Fail:
		x.err = attemptError(x.request, e.Failure)
	}
	return lifecycle.Event{}, false
}

func (x *exchange) pick(ctx context.Context) lifecycle.Event {
	x.out.reset()
	x.prober.ProbeBeforePick(ctx, x.routing)
	release, err := x.duplicates.acquire(ctx, x.fingerprint, x.pickServer)
	if err != nil {
		return lifecycle.Event{Kind: lifecycle.NoServer, Err: err}
	}
	x.releaseDuplicate = release
	x.routing.Tried = append(x.routing.Tried, x.instance.ID)
	return lifecycle.Event{Kind: lifecycle.Picked}
}

// pickServer picks the server of an attempt. It prefers the server that already
// runs a duplicate of the request. All entries send a suspect request to the same
// server.
func (x *exchange) pickServer(preferred string, suspect bool) (string, error) {
	request := x.routing
	request.DuplicateServer = preferred
	if suspect {
		request.SuspectHash = x.fingerprint.BodyHash
	}
	instance, err := x.servers.Pick(request)
	x.instance = instance
	return instance.ID, err
}

func (x *exchange) startTransfer(ctx context.Context, attempt int) {
	call := proto.CloneOf(x.request.call)
	call.Body = x.request.body
	call.Id.Attempt = uint32(attempt)
	if deadline, ok := ctx.Deadline(); ok {
		call.DeadlineMs = uint64(max(time.Until(deadline).Milliseconds(), 1))
	}
	instance := x.instance
	x.transfer = &transfer{
		client:    x.clients.forAddress(instance.Address),
		request:   call,
		checkSend: func() error { return x.servers.CheckSend(instance) },
		events:    make(chan connectionEvent, maxQueuedChunks),
		observer: &serverObserver{
			servers: x.servers, table: x.table, retries: x.retries, instance: instance, sent: time.Now(),
		},
	}
	x.transfer.start(ctx)
}

func (x *exchange) deliver(chunks []*pb.Chunk) lifecycle.Event {
	for _, chunk := range chunks {
		if err := x.out.writeChunk(chunk); err != nil {
			return lifecycle.Event{Kind: lifecycle.Delivered, AnswerStarted: x.out.committed, Err: err}
		}
	}
	return lifecycle.Event{Kind: lifecycle.Delivered, AnswerStarted: x.out.committed}
}

func (x *exchange) finish() lifecycle.Event {
	if x.out.isBuffered() {
		x.allReceived()
	}
	if err := x.out.finish(); err != nil {
		return lifecycle.Event{Kind: lifecycle.WriteFailed, Err: err}
	}
	return lifecycle.Event{Kind: lifecycle.AnswerWritten}
}

// allReceived gives the connection, the slot and the memory of the body back before a response
// is written that was buffered whole, because the caller may read it slowly.
func (x *exchange) allReceived() {
	x.endTransfer()
	x.releaseSlot()
	x.request.body = nil
	x.request.memory.ReleaseJoined()
}

// endAttempt closes the connection of the attempt and records its result for the
// server.
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
		x.retries.recordOverload(x.instance.Service)
	}
	telemetry.RequestLogger(ctx).Warn().Err(e.Failure.Err).Uint32("attempt", e.AttemptID.GetAttempt()).
		Str("sidecar", x.instance.ID).Msg("attempt at the sidecar failed")
}

func (x *exchange) endTransfer() {
	if x.transfer == nil {
		return
	}
	x.transfer.disconnect()
	x.transfer = nil
	x.servers.EndAttempt(x.instance)
	x.releaseDuplicate()
}

// askRetry requests a retry from the retry budget. If no server is left it refuses
// the retry without using the budget, because a retry that can't be sent must not
// use it up.
func (x *exchange) askRetry(ctx context.Context, e lifecycle.Effect) lifecycle.Event {
	refused := lifecycle.Event{Kind: lifecycle.RetryRefused}
	if !x.servers.HasCandidate(x.routing) {
		return refused
	}
	deadline, _ := ctx.Deadline()
	decision := x.retries.decide(x.routing.Service, retry.Attempt{
		Err: e.Failure.Err, Number: e.Attempt, Idempotent: x.request.call.GetIdempotent(),
		ResponseStarted: x.out.committed, Deadline: deadline,
	})
	if !decision.Retry {
		telemetry.RequestLogger(ctx).Info().Str("reason", string(decision.Reason)).Msg("attempt not retried")
		return refused
	}
	return lifecycle.Event{Kind: lifecycle.RetryGranted, Delay: decision.Delay}
}

func waitForRetry(ctx context.Context, delay time.Duration) lifecycle.Event {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return lifecycle.Event{Kind: lifecycle.RetryDue}
	case <-ctx.Done():
		return lifecycle.Event{Kind: lifecycle.CallerGone}
	}
}
