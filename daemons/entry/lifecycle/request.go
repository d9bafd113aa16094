// Package lifecycle implements the state machine of one request at an entry: when
// it is sent to a sidecar, which part of the response is delivered to the caller,
// when an attempt is resumed or retried on another server, and how the request
// ends. Its state chart is base/chart/charts/entry.yaml.
//
// The package is deterministic: Step takes the time and an event and returns
// effects, without goroutines, clock or I/O. A Request belongs to one goroutine.
package lifecycle

import (
	"time"

	"github.com/filbertmux/filbertmux/base/chart"
	"github.com/filbertmux/filbertmux/base/errkind"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/serve/stream"
)

// Config configures a Request.
type Config struct {
	RequestID  string
	Idempotent bool
	Receiver   stream.ReceiverConfig
	// MaxResumes bounds the consecutive resumes of an attempt without progress.
	MaxResumes int
}

// EventKind is the kind of an Event.
type EventKind uint8

// Event kinds.
const (
	// LimitPassed reports that the request is within the limit of its organisation
	// and enters the queue, SlotGranted that it leaves the queue.
	LimitPassed EventKind = iota
	SlotGranted
	// Refused ends a request that was not sent to any sidecar.
	Refused
	// Picked and NoServer are the results of Pick.
	Picked
	NoServer
	// ChunkReceived carries a chunk from any connection of the request.
	ChunkReceived
	// Delivered is the result of Deliver. It must be the next event after that
	// effect.
	Delivered
	// ConnectionEnded reports the end of a connection, with or without an error.
	ConnectionEnded
	// DeadlinePassed reports that the time returned by Deadline has passed.
	DeadlinePassed
	// RetryGranted and RetryRefused are the results of AskRetry, RetryDue is the
	// result of Wait.
	RetryGranted
	RetryRefused
	RetryDue
	// AnswerWritten and WriteFailed are the results of Finish.
	AnswerWritten
	WriteFailed
	// CallerGone reports that the caller disconnected or the request timed out.
	CallerGone
)

// Event is the input of Step.
type Event struct {
	Kind       EventKind
	Chunk      *pb.Chunk // for ChunkReceived
	Connection int       // for ConnectionEnded
	// Err is the cause of Refused, NoServer, ConnectionEnded, WriteFailed,
	// CallerGone, and of a Delivered whose write failed.
	Err error
	// DialFailed is set if the connection could not be established.
	DialFailed bool
	// NotSent is set if the call was not sent although its first connection could be
	// established. Err then has execution status not_run.
	NotSent bool
	// NotResumable is set if a new connection can't provide the missing chunks.
	NotResumable bool
	// MoveToOther is set, for ConnectionEnded and DeadlinePassed, if the server should
	// get no new connection for an idempotent request that another server can take.
	MoveToOther bool
	// AnswerStarted is set if the caller has received a part of the response.
	AnswerStarted bool
	Delay         time.Duration // for RetryGranted
}

// EffectKind is the kind of an Effect.
type EffectKind uint8

// Effect kinds.
const (
	// Pick picks a server on which the request was not tried and discards the
	// buffered response of an earlier attempt.
	Pick EffectKind = iota
	// Call opens the first connection of an attempt, Resume another one.
	Call
	Resume
	// Deliver delivers chunks to the caller, in order.
	Deliver
	// Finish writes the buffered rest of the verified response.
	Finish
	// ReportConnectionLost and ReportConnectionSilent report a connection failure
	// to the membership view of the backend servers.
	ReportConnectionLost
	ReportConnectionSilent
	// EndAttempt ends the attempt. Failure is nil after a complete response.
	EndAttempt
	// AskRetry requests a retry from the retry budget, and Wait waits for Delay
	// before the retry.
	AskRetry
	Wait
	// Refuse ends a request that was not sent to a sidecar, Fail one that was.
	Refuse
	Fail
)

// Effect is an output of Step. The driver executes effects in order.
type Effect struct {
	Kind       EffectKind
	Attempt    int           // for Call and AskRetry, from 1
	AttemptID  *pb.AttemptId // for Resume and EndAttempt
	Connection int           // for Call and Resume, from 1 for each attempt
	NextSeq    uint64        // for Resume
	Chunks     []*pb.Chunk
	Failure    *Failure // for EndAttempt, AskRetry and Fail
	Err        error    // for Resume, ReportConnectionLost and Refuse
	Cancel     bool     // for EndAttempt: cancel the call, which the sidecar may still run
	Delay      time.Duration
}

// Failure is the result of an attempt without a complete response.
type Failure struct {
	Err *errkind.Error
	// ReportedBySidecar is set if the sidecar ended the response with this error.
	ReportedBySidecar bool
	// NotSent is set if the call was not sent, so that there is nothing to cancel.
	NotSent bool
}

// Request is the state machine of one request.
type Request struct {
	config  Config
	machine *chart.Machine

	attempt     int // number of the current attempt, 0 before the first
	attemptOpen bool
	receiver    *stream.Receiver // of the current attempt
	connection  int
	resumes     int
	progressSeq uint64 // next sequence number at the last progress

	startedAttempt  int      // attempt from which the caller received a part of the response, 0 for none
	lastFailure     *Failure // of the current attempt
	reportedFailure *Failure // to report to the caller, merged from all attempts
	aborted         bool
}

// New returns the state machine of a request that was parsed and authenticated.
func New(c Config) *Request { return newRequest(requestChart, c) }

func newRequest(c *chart.Chart, config Config) *Request {
	return &Request{config: config, machine: c.NewMachine()}
}

// State returns the current state.
func (r *Request) State() State { return State(r.machine.State()) }

// Finished reports whether the request has ended.
func (r *Request) Finished() bool { return r.aborted || r.machine.Final() }

// Deadline returns the time at which the driver sends DeadlinePassed unless another
// event comes first. It is only valid during an attempt.
func (r *Request) Deadline() time.Time { return r.receiver.Deadline() }

// Step applies an event at time now and returns the effects that the driver has to
// execute. Events that don't apply to the current state are ignored.
func (r *Request) Step(now time.Time, e Event) []Effect {
	if r.Finished() {
		return nil
	}
	switch e.Kind {
	case ChunkReceived:
		return r.handleChunk(now, e)
	case Delivered:
		return r.handleDelivered(now, e)
	case ConnectionEnded:
		return r.handleConnectionEnded(now, e)
	case DeadlinePassed:
		return r.handleDeadline(now, e)
	case CallerGone, WriteFailed:
		if r.attemptOpen {
			r.lastFailure = &Failure{Err: errkind.Of(e.Err)}
		}
	}
	return r.fire(now, eventNames[e.Kind], e)
}

// handleChunk applies a received chunk. If it makes chunks available to deliver,
// the end of the response is only checked after Delivered.
func (r *Request) handleChunk(now time.Time, e Event) []Effect {
	effects := r.fire(now, eventNames[ChunkReceived], e)
	if len(effects) > 0 || !r.attemptOpen {
		return effects
	}
	return r.checkReceiver(now)
}

// handleDelivered continues after the driver has delivered chunks to the caller.
func (r *Request) handleDelivered(now time.Time, e Event) []Effect {
	if !r.attemptOpen {
		return nil
	}
	if e.AnswerStarted && r.startedAttempt == 0 {
		r.startedAttempt = r.attempt
		r.fire(now, eventFirstByte, e)
	}
	if e.Err != nil {
		r.lastFailure = &Failure{Err: errkind.Of(e.Err)}
		return r.fire(now, eventNames[WriteFailed], e)
	}
	return r.checkReceiver(now)
}

// checkReceiver checks whether the response has ended, and whether the first progress
// since a resume was made.
func (r *Request) checkReceiver(now time.Time) []Effect {
	if r.receiver.Finished() {
		if err := r.receiver.Err(); err != nil {
			r.lastFailure = &Failure{Err: errkind.Of(err), ReportedBySidecar: true}
		}
		return r.fire(now, eventEndReceived, Event{})
	}
	progressed := r.receiver.NextSeq() > r.progressSeq
	r.progressSeq = r.receiver.NextSeq()
	if !progressed || r.resumes == 0 {
		return nil // the common case: a chunk of a stream that was not resumed
	}
	r.resumes = 0
	return r.fire(now, eventProgressed, Event{})
}

// handleConnectionEnded resumes or ends the attempt. If the dial of the first
// connection failed or the call was not sent, it did not reach the sidecar. The latter
// says nothing about the sidecar and is not reported as a connection failure.
func (r *Request) handleConnectionEnded(now time.Time, e Event) []Effect {
	if !r.attemptOpen || e.Connection != r.connection || r.State() == Finishing {
		return nil
	}
	if r.connection == 1 && e.NotSent {
		r.lastFailure = &Failure{Err: errkind.Of(e.Err), NotSent: true}
		return r.fire(now, eventConnectionLost, e)
	}
	r.lastFailure = &Failure{Err: errkind.Wrap(errkind.StreamIncomplete, e.Err, "the connection to the sidecar was lost")}
	if r.connection == 1 && e.DialFailed {
		r.lastFailure = &Failure{Err: errkind.Wrap(errkind.BackendUnavailable, e.Err, "the sidecar is unreachable")}
	}
	return append([]Effect{{Kind: ReportConnectionLost, Err: e.Err}}, r.fire(now, eventConnectionLost, e)...)
}

func (r *Request) handleDeadline(now time.Time, e Event) []Effect {
	if !r.attemptOpen || r.State() == Finishing {
		return nil
	}
	switch r.receiver.Liveness(now) {
	case stream.Stalled:
		r.lastFailure = &Failure{Err: errkind.New(errkind.StreamIncomplete, "the response made no progress within the progress timeout")}
		return r.fire(now, eventStalled, Event{})
	case stream.Silent:
		cause := errkind.New(errkind.StreamIncomplete, "neither data nor heartbeats arrived from the sidecar within the silence timeout")
		r.lastFailure = &Failure{Err: errkind.Wrap(errkind.StreamIncomplete, cause, "the connection to the sidecar was lost")}
		return append([]Effect{{Kind: ReportConnectionSilent}}, r.fire(now, eventConnectionLost, Event{Err: cause, MoveToOther: e.MoveToOther})...)
	default:
		return nil
	}
}

// mergeFailures returns the failure to report after two attempts. It is the newer
// one, unless that one is not_run although the earlier attempt may have run.
func mergeFailures(earlier, newer *Failure) *Failure {
	if earlier == nil || earlier.Err.Execution == errkind.NotRun || newer.Err.Execution != errkind.NotRun {
		return newer
	}
	return earlier
}
