// Package stream carries the answer of one attempt as a numbered sequence of
// chunks. The sender keeps a bounded replay buffer, so that a receiver whose
// connection went silent can resume on a new one. The receiver reassembles the
// sequence and reports it as complete only after its totals and checksum hold.
//
// Sender and Receiver are deterministic: no goroutines, clocks or sockets. One
// goroutine at a time may use a value; the owner provides the locking.
package stream

import (
	"time"

	"github.com/filbertmux/filbertmux/base/errkind"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
)

// EndFromError returns the End message for an answer that failed with err.
func EndFromError(err error) *pb.End {
	e := errkind.Of(err)
	return &pb.End{
		ErrorKind:    e.Kind.String(),
		ErrorMessage: e.Message,
		Execution:    e.Execution.String(),
		RetryAfterMs: uint64(max(e.RetryAfter, 0).Milliseconds()),
	}
}

// ErrorFromEnd returns the error that end carries, or nil for a complete answer.
// An execution status that this version does not know counts as Unknown.
func ErrorFromEnd(end *pb.End) error {
	if end.GetErrorKind() == "" {
		return nil
	}
	kind, _ := errkind.Parse(end.GetErrorKind())
	e := errkind.New(kind, "%s", end.GetErrorMessage())
	e.Execution = parseExecution(end.GetExecution())
	e.RetryAfter = time.Duration(end.GetRetryAfterMs()) * time.Millisecond
	return e
}

func parseExecution(name string) errkind.Execution {
	switch name {
	case errkind.NotRun.String():
		return errkind.NotRun
	case errkind.Done.String():
		return errkind.Done
	default:
		return errkind.Unknown
	}
}
