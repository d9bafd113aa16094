package claim

import (
	"time"

	"github.com/filbertmux/filbertmux/base/errkind"
)

// viewError returns the refusal for an identity that another claim holds or
// that the Book can't judge.
func (c *Call) viewError(now time.Time, v View) *errkind.Error {
	switch v.Status {
	case Open:
		if now.Sub(v.Time) > c.settings.MaxInProgressAge {
			return errkind.New(errkind.OutcomeUnknown, "the call with this key left no outcome")
		}
		return errkind.New(errkind.InProgress, "a call with this key is in progress").
			WithRetryAfter(c.settings.RetryAfter)
	case Lost:
		return errkind.New(errkind.OutcomeUnknown, "the call with this key ended without a known result")
	case Done:
		return errkind.New(errkind.AnswerNotStored, "the call is done; its answer of %d bytes was too large to keep, sha256 %s",
			storedSize(v.Answer), storedDigest(v.Answer))
	case Reused:
		return errkind.New(errkind.IdempotencyKeyReused, "this Idempotency-Key belongs to a request with another body")
	case Expired:
		return expired()
	default:
		return errkind.New(errkind.OutcomeUnknown, "records that may hold an earlier call with this key are missing")
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

func (c *Call) logUnavailable() *errkind.Error {
	return errkind.New(errkind.LogUnavailable, "the claim could not be confirmed in the log").
		WithRetryAfter(c.settings.RetryAfter)
}

func (c *Call) tooLate() *errkind.Error {
	return errkind.New(errkind.DeadlineUnreachable, "the claim was confirmed too late for the deadline").
		WithRetryAfter(c.settings.RetryAfter)
}

// canceled returns the reply to a caller that left ahead of the run.
func canceled() *errkind.Error {
	e := errkind.New(errkind.Canceled, "the caller has gone; the call did not run")
	e.Execution = errkind.NotRun
	return e
}

// notRunError returns err as a refusal that proves that nothing ran.
func notRunError(err error) *errkind.Error {
	e := errkind.Of(err)
	if e != nil && e.Execution == errkind.NotRun {
		return e
	}
	return errkind.Wrap(errkind.BackendUnavailable, err, "the backend server did not receive the call")
}
