package lifecycle

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/filbertmux/filbertmux/base/chart"
	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/invariant"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/serve/stream"
)

// State is a state of a Request.
type State string

// States of a Request, with their names in base/chart/charts/entry.yaml. Admitted
// is the initial state, Finished the final one.
const (
	Admitted   State = "admitted"
	Queued     State = "queued"
	Selecting  State = "selecting"
	Attempting State = "attempting"
	Streaming  State = "streaming"
	Resuming   State = "resuming"
	Deciding   State = "deciding"
	Waiting    State = "waiting"
	Finishing  State = "finishing"
	Finished   State = "finished"
)

// Events of the chart that Step derives from other events.
const (
	eventFirstByte      = "first_byte"
	eventProgressed     = "progressed"
	eventEndReceived    = "end_received"
	eventConnectionLost = "connection_lost"
	eventStalled        = "stalled"
)

var eventNames = map[EventKind]string{
	LimitPassed: "limit_passed", SlotGranted: "slot_granted", Refused: "refused", Picked: "picked",
	NoServer: "no_server", ChunkReceived: "chunk_received", RetryGranted: "retry_granted",
	RetryRefused: "retry_refused", RetryDue: "retry_due", AnswerWritten: "answer_written",
	WriteFailed: "write_failed", CallerGone: "caller_gone",
}

// Guards of the chart.
const (
	guardTried          = "tried"
	guardCurrentAttempt = "current_attempt"
	guardVerified       = "verified"
	guardAnswerStarted  = "answer_started"
	guardMayHaveRun     = "may_have_run"
	guardResumable      = "resumable"
)

// guards returns the values of the guards for an event. For a received chunk it
// evaluates only the guard that the transitions of chunk_received use, because a
// stream has many chunks.
func (r *Request) guards(e Event) chart.Guards {
	if e.Kind == ChunkReceived {
		return chart.Guards{guardCurrentAttempt: r.isCurrentAttempt(e.Chunk.GetId())}
	}
	return chart.Guards{
		guardTried:         r.reportedFailure != nil,
		guardVerified:      r.receiver != nil && r.receiver.Complete(),
		guardAnswerStarted: r.startedAttempt != 0,
		guardMayHaveRun:    !r.config.Idempotent && !isProvedNotRun(r.lastFailure),
		guardResumable:     r.isResumable(e),
	}
}

// isResumable reports whether the attempt may continue on a new connection to its server.
// An idempotent request leaves a server that should get no new connections, unless the
// caller has a part of its response. A non-idempotent one stays, because only its own
// server knows whether it ran.
func (r *Request) isResumable(e Event) bool {
	if e.DialFailed || e.NotSent || e.NotResumable || r.resumes >= r.config.MaxResumes {
		return false
	}
	moves := e.MoveToOther && r.config.Idempotent && r.startedAttempt == 0
	return !moves
}

func (r *Request) isCurrentAttempt(id *pb.AttemptId) bool {
	return id.GetRequestId() == r.config.RequestID && int(id.GetAttempt()) == r.attempt
}

func isProvedNotRun(f *Failure) bool { return f != nil && f.Err.Execution == errkind.NotRun }

// action updates the request for a transition and returns the effects.
type action func(r *Request, now time.Time, e Event) []Effect

var actions = map[string]action{
	"refuse": func(_ *Request, _ time.Time, e Event) []Effect { return []Effect{{Kind: Refuse, Err: e.Err}} },
	"pick":   func(*Request, time.Time, Event) []Effect { return []Effect{{Kind: Pick}} },
	"wait":   func(_ *Request, _ time.Time, e Event) []Effect { return []Effect{{Kind: Wait, Delay: e.Delay}} },
	"end":    func(r *Request, _ time.Time, _ Event) []Effect { return r.endAttempt(nil) },
	"call":   (*Request).call, "receive": (*Request).receive, "resume": (*Request).resume,
	"finish": (*Request).finish, "ask_retry": (*Request).askRetry, "fail": (*Request).fail,
}

var vocabulary = chart.Vocabulary{
	Guards: []string{
		guardTried, guardCurrentAttempt, guardVerified, guardAnswerStarted, guardMayHaveRun, guardResumable,
	},
	Actions: slices.Collect(maps.Keys(actions)),
}

var requestChart = chart.MustLoad("entry", vocabulary)

func (r *Request) fire(now time.Time, event string, e Event) []Effect {
	name, err := r.machine.Fire(event, r.guards(e))
	if !invariant.Check(err == nil, "entry: %v", err) {
		return r.abort()
	}
	if name == "" {
		return nil
	}
	return actions[name](r, now, e)
}

// call starts the next attempt with a new receiver.
func (r *Request) call(now time.Time, _ Event) []Effect {
	mayAttempt := r.reportedFailure == nil || r.config.Idempotent || isProvedNotRun(r.reportedFailure)
	if !invariant.Check(mayAttempt, "second attempt of a non-idempotent request that may have run") {
		return r.abort()
	}
	r.attempt++
	id := &pb.AttemptId{RequestId: r.config.RequestID, Attempt: uint32(r.attempt)}
	r.receiver = stream.NewReceiver(id, r.config.Receiver, now)
	r.progressSeq = r.receiver.NextSeq()
	r.attemptOpen, r.connection, r.resumes, r.lastFailure = true, 1, 0, nil
	return []Effect{{Kind: Call, Attempt: r.attempt, Connection: 1}}
}

// receive delivers the chunks that are now in order.
func (r *Request) receive(now time.Time, e Event) []Effect {
	isCurrent := r.isCurrentAttempt(e.Chunk.GetId())
	if !invariant.Check(isCurrent, "chunk of attempt %d was accepted in attempt %d", e.Chunk.GetId().GetAttempt(), r.attempt) {
		return nil
	}
	chunks := r.receiver.Receive(now, e.Chunk)
	if len(chunks) == 0 {
		return nil
	}
	oneWriter := r.startedAttempt == 0 || r.startedAttempt == r.attempt
	if !invariant.Check(oneWriter, "attempts %d and %d both write to the caller", r.startedAttempt, r.attempt) {
		return r.abort()
	}
	return []Effect{{Kind: Deliver, Chunks: chunks}}
}

func (r *Request) resume(now time.Time, e Event) []Effect {
	r.resumes++
	r.connection++
	r.receiver.Reconnected(now)
	return []Effect{{
		Kind: Resume, AttemptID: r.attemptID(), Connection: r.connection, NextSeq: r.receiver.NextSeq(), Err: e.Err,
	}}
}

// attemptID returns a copy of the attempt id, because the driver passes it to other
// goroutines and the receiver sets its incarnation with the first chunk.
func (r *Request) attemptID() *pb.AttemptId { return proto.CloneOf(r.receiver.ID()) }

func (r *Request) finish(time.Time, Event) []Effect {
	if !invariant.Check(r.receiver.Complete(), "regular end of a response that was not verified") {
		return r.abort()
	}
	return []Effect{{Kind: Finish}}
}

func (r *Request) askRetry(time.Time, Event) []Effect {
	return append(r.endAttempt(r.lastFailure), Effect{Kind: AskRetry, Attempt: r.attempt, Failure: r.lastFailure})
}

func (r *Request) fail(time.Time, Event) []Effect {
	effects := r.endAttempt(r.lastFailure)
	return append(effects, Effect{Kind: Fail, Failure: r.reportedFailure})
}

// endAttempt ends the current attempt, if it is open. A nil failure means that the
// response is complete.
func (r *Request) endAttempt(f *Failure) []Effect {
	if !r.attemptOpen {
		return nil
	}
	r.attemptOpen = false
	end := Effect{Kind: EndAttempt, AttemptID: r.attemptID(), Failure: f}
	if f != nil {
		r.reportedFailure = mergeFailures(r.reportedFailure, f)
		end.Cancel = !r.receiver.Finished() && !f.NotSent
	}
	return []Effect{end}
}

// abort fails a request after an invariant violation.
func (r *Request) abort() []Effect {
	r.aborted = true
	r.lastFailure = &Failure{Err: errkind.New(errkind.Internal, "an invariant of the request state is violated")}
	r.reportedFailure = r.lastFailure
	return r.fail(time.Time{}, Event{})
}
