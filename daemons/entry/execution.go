package entry

import (
	"net/http"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/config/table"
	"github.com/filbertmux/filbertmux/daemons/entry/lifecycle"
)

// keyMayHaveRunNote is appended to the error message of a non-idempotent request
// that did not run while an earlier request with the same key may have run.
const keyMayHaveRunNote = "this request did not run; an earlier one with this key may have run"

// entryRefusal returns the error for a request that the entry refused and that did
// not run. For a non-idempotent request the execution status is a statement about
// its idempotency key. Only a sidecar that has read the log can state not_run: an
// earlier request with the key may have run, so the status is unknown.
func entryRefusal(r *request, err error) error {
	if r.callOrNil() == nil || r.call.GetIdempotent() {
		return err
	}
	return refusalForKey(err)
}

// refusalForKey returns err with execution status unknown instead of not_run, unless
// the request itself is at fault.
func refusalForKey(err error) error {
	e := errkind.Of(err)
	if e == nil || isRequestFault(e.Kind) {
		return err
	}
	return withUnknownExecution(e)
}

// attemptError returns the error for a request whose last attempt failed. For a
// non-idempotent request the execution status is a statement about its idempotency
// key, as in entryRefusal.
func attemptError(r *request, f *lifecycle.Failure) error {
	switch {
	case r.call.GetIdempotent(), f.ReportedBySidecar && provesKeyNotRun(f.Err.Kind):
		return f.Err
	case f.ReportedBySidecar:
		return withUnknownExecution(f.Err)
	default:
		return entryRefusal(r, f.Err)
	}
}

// withUnknownExecution returns a not_run error with execution status unknown. The
// kind is unchanged, because the caller decides by it when to retry.
func withUnknownExecution(e *errkind.Error) error {
	if e.Execution != errkind.NotRun {
		return e
	}
	unknown := *e
	unknown.Execution = errkind.Unknown
	unknown.Message = e.Message + "; " + keyMayHaveRunNote
	return &unknown
}

// isRequestFault reports whether a request with this error is always refused,
// regardless of the state of the system. An earlier request with the same content
// and key was refused as well, so it can't have run.
func isRequestFault(k errkind.Kind) bool {
	switch k {
	case errkind.InvalidRequest, errkind.RequestTooLarge, errkind.Unauthenticated, errkind.UnknownService,
		errkind.UnknownRoute, errkind.MissingIdempotencyKey, errkind.InvalidIdempotencyKey:
		return true
	default:
		return false
	}
}

// provesKeyNotRun reports whether a sidecar error of kind k with status not_run
// proves that no request with the idempotency key has run. A sidecar returns these
// kinds as not_run only after it has read the call's own claim from the log, except
// for InvalidIdempotencyKey, which applies to every request with that key. A sidecar
// returns other kinds without reading the log, for example leaving, queue_full, or
// unknown_service after its address was reassigned to another service.
func provesKeyNotRun(k errkind.Kind) bool {
	switch k {
	case errkind.IdempotencyKeyReused, errkind.BackendUnavailable, errkind.DeadlineUnreachable,
		errkind.LogUnavailable, errkind.Canceled, errkind.InvalidIdempotencyKey:
		return true
	default:
		return false
	}
}

// unparsedRefusal returns the error for a request that was refused before it was
// parsed. A request with an idempotency key counts as non-idempotent unless it
// matches an idempotent route of the table in force.
func unparsedRefusal(r *http.Request, view *table.View, err error) error {
	if r.Header.Get("Idempotency-Key") == "" || r.URL.Path == completionsPath {
		return err
	}
	name, rest, splitErr := splitServicePath(r)
	if splitErr != nil {
		return err
	}
	if route, ok := view.MatchRoute(name, r.Method, rest); ok && route.Idempotent {
		return err
	}
	return refusalForKey(err)
}
