package entry

import (
	"net/http"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/config/table"
	"github.com/filbertmux/filbertmux/daemons/entry/lifecycle"
)

// notRunForKey says what the entry knows about a booking that it refused.
const notRunForKey = "this request did not run; an earlier one with this key may have run"

// unproved returns the refusal of a request that did not run. For a booking,
// not_run is a statement about its key, which only a sidecar can make that read
// the log: an earlier send of the key may have run, so the status is unknown.
func unproved(r *request, err error) error {
	if r.callOrNil() == nil || r.call.GetIdempotent() {
		return err
	}
	return unknownForKey(err)
}

// unknownForKey is asUnknown but for faults of the request itself.
func unknownForKey(err error) error {
	e := errkind.Of(err)
	if e == nil || isFaultOfRequest(e.Kind) {
		return err
	}
	return asUnknown(e)
}

// ofKey returns a failure as it holds for the key of a booking.
func ofKey(r *request, f *lifecycle.Failure) error {
	switch {
	case r.call.GetIdempotent(), f.ReportedBySidecar && provedBySidecar(f.Err.Kind):
		return f.Err
	case f.ReportedBySidecar:
		return asUnknown(f.Err)
	default:
		return unproved(r, f.Err)
	}
}

// asUnknown keeps the kind, by which the caller decides when to send again.
func asUnknown(e *errkind.Error) error {
	if e.Execution != errkind.NotRun {
		return e
	}
	unknown := *e
	unknown.Execution = errkind.Unknown
	unknown.Message = e.Message + "; " + notRunForKey
	return &unknown
}

// isFaultOfRequest lists the kinds by which a request is refused whatever the
// state of the system, so that no send of it has run.
func isFaultOfRequest(k errkind.Kind) bool {
	switch k {
	case errkind.InvalidRequest, errkind.RequestTooLarge, errkind.Unauthenticated, errkind.UnknownService,
		errkind.UnknownRoute, errkind.MissingIdempotencyKey, errkind.InvalidIdempotencyKey:
		return true
	default:
		return false
	}
}

// provedBySidecar lists the kinds that a sidecar answers to a booking as not_run
// only after it read the call's own claim, and the one that no key with this
// text can escape. It refuses others without the log, such as leaving,
// queue_full, or unknown_service after its address went to another service.
func provedBySidecar(k errkind.Kind) bool {
	switch k {
	case errkind.IdempotencyKeyReused, errkind.BackendUnavailable, errkind.DeadlineUnreachable,
		errkind.LogUnavailable, errkind.Canceled, errkind.InvalidIdempotencyKey:
		return true
	default:
		return false
	}
}

// ofUnread returns the refusal of a request that was not parsed. Without a
// route of the table in force it may be a booking if it carries a key.
func ofUnread(r *http.Request, view *table.View, err error) error {
	if r.Header.Get("Idempotency-Key") == "" || r.URL.Path == completionsPath {
		return err
	}
	name, rest, splitErr := splitService(r)
	if splitErr != nil {
		return err
	}
	if route, ok := view.MatchRoute(name, r.Method, rest); ok && route.Idempotent {
		return err
	}
	return unknownForKey(err)
}
