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

// State is the state of a Request.
type State string

// States of a Request, as base/chart/charts/entry.yaml names them. Admitted is the
// initial state, Finished the final one.
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

// Events of the chart that Step derives from others.
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

// guards holds one value only for a chunk, of which a stream has many.
func (r *Request) guards(e Event) chart.Guards {
	if e.Kind == ChunkReceived {
		return chart.Guards{guardCurrentAttempt: r.isCurrent(e.Chunk.GetId())}
	}
	return chart.Guards{
		guardTried:         r.worst != nil,
		guardVerified:      r.receiver != nil && r.receiver.Complete(),
		guardAnswerStarted: r.startedBy != 0,
		guardMayHaveRun:    !r.config.Idempotent && !provedNotRun(r.last),
		guardResumable:     !e.DialFailed && !e.NotResumable && r.resumes < r.config.MaxResumes,
	}
}

func (r *Request) isCurrent(id *pb.AttemptId) bool {
	return id.GetRequestId() == r.config.RequestID && int(id.GetAttempt()) == r.attempt
}

func provedNotRun(f *Failure) bool { return f != nil && f.Err.Execution == errkind.NotRun }

// action is what a transition does besides the change of state.
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

// call starts the next attempt. The receiver of an earlier one is dropped.
func (r *Request) call(now time.Time, _ Event) []Effect {
	repeatable := r.worst == nil || r.config.Idempotent || provedNotRun(r.worst)
	if !invariant.Check(repeatable, "second attempt of a non-idempotent call that may have run") {
		return r.abort()
	}
	r.attempt++
	id := &pb.AttemptId{RequestId: r.config.RequestID, Attempt: uint32(r.attempt)}
	r.receiver = stream.NewReceiver(id, r.config.Receiver, now)
	r.settled = r.receiver.NextSeq()
	r.open, r.connection, r.resumes, r.last = true, 1, 0, nil
	return []Effect{{Kind: Call, Attempt: r.attempt, Connection: 1}}
}

// receive passes on the chunks that are now in order.
func (r *Request) receive(now time.Time, e Event) []Effect {
	current := r.isCurrent(e.Chunk.GetId())
	if !invariant.Check(current, "chunk of attempt %d in attempt %d", e.Chunk.GetId().GetAttempt(), r.attempt) {
		return nil
	}
	chunks := r.receiver.Receive(now, e.Chunk)
	if len(chunks) == 0 {
		return nil
	}
	single := r.startedBy == 0 || r.startedBy == r.attempt
	if !invariant.Check(single, "attempts %d and %d stream to the caller", r.startedBy, r.attempt) {
		return r.abort()
	}
	return []Effect{{Kind: Deliver, Chunks: chunks}}
}

func (r *Request) resume(now time.Time, e Event) []Effect {
	r.resumes++
	r.connection++
	r.receiver.Reconnected(now)
	return []Effect{{
		Kind: Resume, AttemptID: r.id(), Connection: r.connection, NextSeq: r.receiver.NextSeq(), Err: e.Err,
	}}
}

// id returns a copy, because the driver passes it to other goroutines and the
// receiver sets the incarnation with the first chunk.
func (r *Request) id() *pb.AttemptId { return proto.CloneOf(r.receiver.ID()) }

func (r *Request) finish(time.Time, Event) []Effect {
	if !invariant.Check(r.receiver.Complete(), "clean end of an answer that was not verified") {
		return r.abort()
	}
	return []Effect{{Kind: Finish}}
}

func (r *Request) askRetry(time.Time, Event) []Effect {
	return append(r.endAttempt(r.last), Effect{Kind: AskRetry, Attempt: r.attempt, Failure: r.last})
}

func (r *Request) fail(time.Time, Event) []Effect {
	effects := r.endAttempt(r.last)
	return append(effects, Effect{Kind: Fail, Failure: r.worst})
}

// endAttempt closes the present attempt, if it is open.
func (r *Request) endAttempt(f *Failure) []Effect {
	if !r.open {
		return nil
	}
	r.open = false
	end := Effect{Kind: EndAttempt, AttemptID: r.id(), Failure: f}
	if f != nil {
		r.worst = worse(r.worst, f)
		end.Cancel = !r.receiver.Finished()
	}
	return []Effect{end}
}

// abort ends a request whose invariant does not hold.
func (r *Request) abort() []Effect {
	r.aborted = true
	r.last = &Failure{Err: errkind.New(errkind.Internal, "the state of the request is wrong")}
	r.worst = r.last
	return r.fail(time.Time{}, Event{})
}
