// Package errkind defines the error kinds and the table that maps each kind to its
// HTTP status, connect code, process exit code, execution status and whether a
// Retry-After hint is useful.
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

// Execution is the execution status of the request that an error refers to.
type Execution uint8

// Execution statuses. The zero value is Unknown, so that an unclassified error is
// not taken as proof that the request did not run.
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

// Kind is an error kind.
type Kind uint8

// Error kinds. The list is closed, and Internal is the zero value.
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
	CheckFailed
	CheckNotRun
	MemoryExhausted
	SlowBody

	kindCount
)

// Attributes holds the wire name of a kind, its status codes and its default
// execution status.
type Attributes struct {
	Name        string
	HTTPStatus  int
	ConnectCode connect.Code
	ExitCode    int
	Execution   Execution
	// Retryable means that a Retry-After hint is useful to the caller.
	Retryable bool
}

// Attributes returns the attributes of k. An undefined kind has those of Internal.
func (k Kind) Attributes() Attributes {
	if k >= kindCount {
		return attributes[Internal]
	}
	return attributes[k]
}

// String returns the wire name of k.
func (k Kind) String() string { return k.Attributes().Name }

// Kinds returns all kinds in the order of their values.
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
		if attributes[k].Name == name {
			return k, true
		}
	}
	return Internal, false
}

// Error is an error with a kind. New and Wrap set Execution to that of the kind.
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

// WithRetryAfter returns a copy of e with RetryAfter set to d.
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
