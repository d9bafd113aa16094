// Package stream transfers the response of one attempt as a sequence of numbered
// chunks. The sender keeps a bounded replay buffer, so that a receiver whose
// connection went silent can resume on a new one. The receiver reassembles the
// sequence and reports it as complete only after verifying totals and checksum.
//
// Sender and Receiver are deterministic: they use no goroutines, clocks or
// sockets. They are not safe for concurrent use.
package stream

import (
	"time"

	"github.com/filbertmux/filbertmux/base/errkind"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
)

// EndFromError returns the End message of a response that failed with err.
func EndFromError(err error) *pb.End {
	e := errkind.Of(err)
	return &pb.End{
		ErrorKind:    e.Kind.String(),
		ErrorMessage: e.Message,
		Execution:    e.Execution.String(),
		RetryAfterMs: uint64(max(e.RetryAfter, 0).Milliseconds()),
	}
}

// ErrorFromEnd returns the error in end, or nil for a complete response. An
// execution status unknown to this version counts as Unknown.
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
