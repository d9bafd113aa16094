// Package lifecycle decides the life of one request at an entry: when it is
// sent to a sidecar, what of the answer reaches the caller, when an attempt is
// resumed or repeated elsewhere, and how the request ends. It runs on
// base/chart/charts/entry.yaml.
//
// The package is deterministic: Step takes the time and an event and returns
// effects, without goroutines, clock or I/O. A Request belongs to one
// goroutine.
package lifecycle

import (
	"time"

	"github.com/filbertmux/filbertmux/base/chart"
	"github.com/filbertmux/filbertmux/base/errkind"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/serve/stream"
)

// Config describes a request.
type Config struct {
	RequestID  string
	Idempotent bool
	Receiver   stream.ReceiverConfig
	// MaxResumes bounds the connections of an attempt that makes no progress.
	MaxResumes int
}

// EventKind says what happened.
type EventKind uint8

// Event kinds.
const (
	// LimitPassed and SlotGranted admit the request to the queue and out of it.
	LimitPassed EventKind = iota
	SlotGranted
	// Refused ends a request that was not sent anywhere.
	Refused
	// Picked and NoServer answer Pick.
	Picked
	NoServer
	// ChunkReceived carries a chunk from any connection of the request.
	ChunkReceived
	// Delivered answers Deliver. It is the next event after that effect.
	Delivered
	// ConnectionEnded reports the end of a connection, with or without error.
	ConnectionEnded
	// DeadlinePassed reports that the time from Deadline has come.
	DeadlinePassed
	// RetryGranted and RetryRefused answer AskRetry, RetryDue answers Wait.
	RetryGranted
	RetryRefused
	RetryDue
	// AnswerWritten and WriteFailed answer Finish.
	AnswerWritten
	WriteFailed
	// CallerGone reports that the caller left or its time is over.
	CallerGone
)

// Event is the input of Step.
type Event struct {
	Kind       EventKind
	Chunk      *pb.Chunk // for ChunkReceived
	Connection int       // for ConnectionEnded
	// Err is the cause of Refused, NoServer, ConnectionEnded, WriteFailed,
	// CallerGone, and of a Delivered that could not write.
	Err error
	// Unreachable says that the dial of the connection failed.
	DialFailed bool
	// Lost says that no new connection can get the missing chunks.
	NotResumable bool
	// Started says that the caller got a part of the answer.
	AnswerStarted bool
	Delay         time.Duration // for RetryGranted
}

// EffectKind says what the driver does.
type EffectKind uint8

// Effect kinds.
const (
	// Pick chooses a server that the request was not tried on and forgets what
	// was held back of the answer of an earlier attempt.
	Pick EffectKind = iota
	// Call opens the first connection of an attempt, Resume a further one.
	Call
	Resume
	// Deliver hands chunks to the answer, in order.
	Deliver
	// Finish writes what is held back of the answer, which is verified.
	Finish
	// ReportBroken and ReportSilent tell the view of the backend servers.
	ReportConnectionLost
	ReportConnectionSilent
	// EndAttempt closes the attempt. Failure is nil after a whole answer.
	EndAttempt
	// AskRetry asks the retry budget, and Wait waits for Delay.
	AskRetry
	Wait
	// Refuse ends a request that was not sent, Fail one that was.
	Refuse
	Fail
)

// Effect is one output of Step. The driver carries effects out in order.
type Effect struct {
	Kind       EffectKind
	Attempt    int           // for Call and AskRetry, from 1
	AttemptID  *pb.AttemptId // for Resume and EndAttempt
	Connection int           // for Call and Resume, from 1 for each attempt
	NextSeq    uint64        // for Resume
	Chunks     []*pb.Chunk
	Failure    *Failure // for EndAttempt, AskRetry and Fail
	Err        error    // for Resume, ReportBroken and Refuse
	Cancel     bool     // for EndAttempt: the sidecar may still run the call
	Delay      time.Duration
}

// Failure is the end of an attempt without a whole answer.
type Failure struct {
	Err *errkind.Error
	// BySidecar says that the sidecar ended the answer with this error.
	ReportedBySidecar bool
}

// Request is the state machine of one request.
type Request struct {
	config  Config
	machine *chart.Machine

	attempt    int // number of the present attempt, 0 before the first
	open       bool
	receiver   *stream.Receiver // of the present attempt
	connection int
	resumes    int
	settled    uint64 // next sequence number at the last progress

	startedBy int      // attempt that the caller has seen a part of, 0 for none
	last      *Failure // of the present attempt
	worst     *Failure // of all attempts
	aborted   bool
}

// New returns a request that was read and authenticated.
func New(c Config) *Request { return newRequest(requestChart, c) }

func newRequest(c *chart.Chart, config Config) *Request {
	return &Request{config: config, machine: c.NewMachine()}
}

// State returns the present state.
func (r *Request) State() State { return State(r.machine.State()) }

// Finished reports whether the request has ended.
func (r *Request) Finished() bool { return r.aborted || r.machine.Final() }

// Deadline returns when the driver sends DeadlinePassed during an attempt.
func (r *Request) Deadline() time.Time { return r.receiver.Deadline() }

// Step takes one event at time now and returns what the driver has to do.
// Events that don't apply to the present state have no effect.
func (r *Request) Step(now time.Time, e Event) []Effect {
	if r.Finished() {
		return nil
	}
	switch e.Kind {
	case ChunkReceived:
		return r.received(now, e)
	case Delivered:
		return r.delivered(now, e)
	case ConnectionEnded:
		return r.connectionEnded(now, e)
	case DeadlinePassed:
		return r.deadlinePassed(now)
	case CallerGone, WriteFailed:
		if r.open {
			r.last = &Failure{Err: errkind.Of(e.Err)}
		}
	}
	return r.fire(now, eventNames[e.Kind], e)
}

// received takes a chunk. The end is taken after the driver has delivered what
// came before it.
func (r *Request) received(now time.Time, e Event) []Effect {
	effects := r.fire(now, eventNames[ChunkReceived], e)
	if len(effects) > 0 || !r.open {
		return effects
	}
	return r.settle(now)
}

// delivered goes on after the caller was offered chunks.
func (r *Request) delivered(now time.Time, e Event) []Effect {
	if !r.open {
		return nil
	}
	if e.AnswerStarted && r.startedBy == 0 {
		r.startedBy = r.attempt
		r.fire(now, eventFirstByte, e)
	}
	if e.Err != nil {
		r.last = &Failure{Err: errkind.Of(e.Err)}
		return r.fire(now, eventNames[WriteFailed], e)
	}
	return r.settle(now)
}

// settle takes what the receiver says of the chunks that were delivered.
func (r *Request) settle(now time.Time) []Effect {
	if r.receiver.Finished() {
		if err := r.receiver.Err(); err != nil {
			r.last = &Failure{Err: errkind.Of(err), ReportedBySidecar: true}
		}
		return r.fire(now, eventEndReceived, Event{})
	}
	progressed := r.receiver.NextSeq() > r.settled
	r.settled = r.receiver.NextSeq()
	if !progressed || r.resumes == 0 {
		return nil // the usual chunk of a stream
	}
	r.resumes = 0
	return r.fire(now, eventProgressed, Event{})
}

// connectionEnded resumes or ends the attempt. The call did not reach the
// sidecar if its first connection failed in the dial.
func (r *Request) connectionEnded(now time.Time, e Event) []Effect {
	if !r.open || e.Connection != r.connection || r.State() == Finishing {
		return nil
	}
	r.last = &Failure{Err: errkind.Wrap(errkind.StreamIncomplete, e.Err, "the connection to the sidecar was lost")}
	if r.connection == 1 && e.DialFailed {
		r.last = &Failure{Err: errkind.Wrap(errkind.BackendUnavailable, e.Err, "the sidecar can't be reached")}
	}
	return append([]Effect{{Kind: ReportConnectionLost, Err: e.Err}}, r.fire(now, eventConnectionLost, e)...)
}

func (r *Request) deadlinePassed(now time.Time) []Effect {
	if !r.open || r.State() == Finishing {
		return nil
	}
	switch r.receiver.Liveness(now) {
	case stream.Stalled:
		r.last = &Failure{Err: errkind.New(errkind.StreamIncomplete, "the answer made no progress")}
		return r.fire(now, eventStalled, Event{})
	case stream.Silent:
		cause := errkind.New(errkind.StreamIncomplete, "the connection to the sidecar went silent")
		r.last = &Failure{Err: errkind.Wrap(errkind.StreamIncomplete, cause, "the connection to the sidecar was lost")}
		return append([]Effect{{Kind: ReportConnectionSilent}}, r.fire(now, eventConnectionLost, Event{Err: cause})...)
	default:
		return nil
	}
}

// worse returns the newer failure, but never claims that nothing ran if an
// earlier attempt may have run.
func worse(earlier, newer *Failure) *Failure {
	if earlier == nil || earlier.Err.Execution == errkind.NotRun || newer.Err.Execution != errkind.NotRun {
		return newer
	}
	return earlier
}
