// Package errkind holds the closed list of error kinds and the one table that
// maps each kind to its answer: HTTP status, connect code, process exit code,
// execution status and whether a retry hint helps.
//
// All values are immutable after package initialisation, so every function is
// safe for concurrent use.
package errkind

import (
	"fmt"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
)

// Execution tells whether the request that an error refers to was executed.
type Execution uint8

// Execution values. The zero value is Unknown, so an error that was never
// classified can't be mistaken for a proof that nothing ran.
const (
	Unknown Execution = iota
	NotRun
	Done
)

// String returns the wire name of e.
func (e Execution) String() string {
	switch e {
	case NotRun:
		return "not_run"
	case Done:
		return "done"
	default:
		return "unknown"
	}
}

// Kind is one entry of the closed list of error kinds.
type Kind uint8

// The closed list of error kinds. Internal is the zero value.
const (
	Internal Kind = iota
	InvalidRequest
	RequestTooLarge
	Unauthenticated
	UnknownService
	UnknownRoute
	MissingIdempotencyKey
	InvalidIdempotencyKey
	IdempotencyKeyExpired
	IdempotencyKeyReused
	InProgress
	OutcomeUnknown
	LimitExceeded
	QueueFull
	DeadlineUnreachable
	NoBackendServer
	Leaving
	SuspectRequest
	LogUnavailable
	BackendUnavailable
	BackendFailed
	BackendTimeout
	StreamIncomplete
	Canceled
	StaleFencingToken
	StaleTable
	InvalidSettings
	InvalidTable
	ChangeConflict
	PlatformUnavailable
	PlatformRateLimited
	RecordsTrimmed
	PublishUnknown
	WaitTimeout
	InvalidCounts
	StaleCounts
	InvalidMap
	AnswerNotStored

	kindCount
)

// Answer is what a kind looks like to each audience.
type Attributes struct {
	Name        string
	HTTPStatus  int
	ConnectCode connect.Code
	ExitCode    int
	Execution   Execution
	// Retryable says that a Retry-After hint helps the caller.
	Retryable bool
}

// Answer returns the table row of k. A value outside the list maps to Internal.
func (k Kind) Attributes() Attributes {
	if k >= kindCount {
		return answers[Internal]
	}
	return answers[k]
}

// String returns the wire name of k.
func (k Kind) String() string { return k.Attributes().Name }

// Kinds returns the whole list in order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, kindCount)
	for k := Internal; k < kindCount; k++ {
		kinds = append(kinds, k)
	}
	return kinds
}

// Parse returns the kind with the given wire name, or Internal and false.
func Parse(name string) (Kind, bool) {
	for k := Internal; k < kindCount; k++ {
		if answers[k].Name == name {
			return k, true
		}
	}
	return Internal, false
}

// Error is an error with a kind. Execution defaults to that of the kind.
type Error struct {
	Kind       Kind
	Message    string
	Execution  Execution
	RetryAfter time.Duration
	Err        error
}

// New returns an error of kind k with a formatted message.
func New(k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, Message: fmt.Sprintf(format, args...), Execution: k.Attributes().Execution}
}

// Wrap returns an error of kind k around err.
func Wrap(k Kind, err error, message string) *Error {
	return &Error{Kind: k, Message: message, Execution: k.Attributes().Execution, Err: err}
}

// WithRetryAfter returns a copy of e that carries a retry hint.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s: %s", e.Kind, e.Message)
	}
	return fmt.Sprintf("%s: %s: %v", e.Kind, e.Message, e.Err)
}

// Unwrap returns the wrapped error.
func (e *Error) Unwrap() error { return e.Err }

// Of returns the outermost *Error in err's chain, or an Internal error around
// err. It returns nil for nil.
func Of(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(Internal, err, "internal error")
}

// Is reports whether err's outermost *Error has kind k.
func Is(err error, k Kind) bool {
	e := Of(err)
	return e != nil && e.Kind == k
}
