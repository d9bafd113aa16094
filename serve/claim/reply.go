package claim

import (
	"time"

	"github.com/filbertmux/filbertmux/base/errkind"
)

// viewError returns the error for an identity that isn't free, because another
// claim holds it or because its state is unknown.
func (c *Call) viewError(now time.Time, v View) *errkind.Error {
	switch v.Status {
	case Open:
		if now.Sub(v.Time) > c.settings.MaxInProgressAge {
			return errkind.New(errkind.OutcomeUnknown, "the outcome of the call with this key was not recorded")
		}
		return errkind.New(errkind.InProgress, "a call with this key is in progress").
			WithRetryAfter(c.settings.RetryAfter)
	case Lost:
		return errkind.New(errkind.OutcomeUnknown, "the call with this key ended without a known result")
	case Done:
		return errkind.New(errkind.AnswerNotStored, "the call is done, but its answer of %d bytes (sha256 %s) was not kept",
			storedSize(v.Answer), storedDigest(v.Answer))
	case Reused:
		return errkind.New(errkind.IdempotencyKeyReused, "this Idempotency-Key was used for a request with another body")
	case Expired:
		return keyExpiredError()
	default:
		return errkind.New(errkind.OutcomeUnknown, "log records that may contain an earlier call with this key are missing")
	}
}

func storedSize(s *StoredAnswer) int {
	if s == nil {
		return 0
	}
	return s.Size
}

func storedDigest(s *StoredAnswer) string {
	if s == nil {
		return "unknown"
	}
	return s.Digest
}

func (c *Call) logUnavailableError() *errkind.Error {
	return errkind.New(errkind.LogUnavailable, "the claim could not be confirmed in the log").
		WithRetryAfter(c.settings.RetryAfter)
}

func (c *Call) tooLateError() *errkind.Error {
	return errkind.New(errkind.DeadlineUnreachable, "the claim was confirmed too late for the deadline").
		WithRetryAfter(c.settings.RetryAfter)
}

// canceledError returns the error for a request that was cancelled before it
// ran.
func canceledError() *errkind.Error {
	e := errkind.New(errkind.Canceled, "the caller cancelled the request; the call did not run")
	e.Execution = errkind.NotRun
	return e
}

// notRunError returns err as an error with execution status NotRun.
func notRunError(err error) *errkind.Error {
	e := errkind.Of(err)
	if e != nil && e.Execution == errkind.NotRun {
		return e
	}
	return errkind.Wrap(errkind.BackendUnavailable, err, "the backend server did not receive the call")
}
