package entry

import (
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/config/settings"
	"github.com/filbertmux/filbertmux/config/table"
	"github.com/filbertmux/filbertmux/examples"
)

func (f *fixture) lookup(t *testing.T) reply {
	t.Helper()
	// A key on an idempotent call means nothing.
	return f.send(t, http.MethodGet, "/order-book/stock/7", examples.DevKey("mureseni-desk"), "key", "")
}

// requireUnknown checks the refusal of a booking that the log knows nothing of.
func requireUnknown(t *testing.T, kind errkind.Kind, r reply) {
	t.Helper()
	refusal := r.refusal(t)
	require.Equal(t, kind.String(), refusal.Kind)
	require.Equal(t, kind.Attributes().HTTPStatus, r.status)
	require.Equal(t, "unknown", refusal.Execution)
	require.Contains(t, refusal.Message, notRunForKey)
	require.NotZero(t, refusal.RetryAfterSeconds)
}

func requireNotRun(t *testing.T, kind errkind.Kind, r reply) {
	t.Helper()
	require.Equal(t, kind.String(), r.refusal(t).Kind)
	require.Equal(t, "not_run", r.refusal(t).Execution)
}

// Guards against "not run" for a booking that the entry refuses by itself: an
// earlier send of its key may have run. Lookups and model calls stay not_run.
func TestEntryRefusesBookingsAsUnknown(t *testing.T) {
	noSettings := func(*settings.Entry) {}
	t.Run("no backend server", func(t *testing.T) {
		f := newFixture(t)
		requireUnknown(t, errkind.NoBackendServer, f.book(t))
		requireNotRun(t, errkind.NoBackendServer, f.lookup(t))
		requireNotRun(t, errkind.NoBackendServer, f.complete(t))
	})
	t.Run("leaving", func(t *testing.T) {
		f := newFixture(t, newFakeSidecar(t, "a", events))
		f.entry.gate.Terminate()
		requireUnknown(t, errkind.Leaving, f.book(t))
		requireNotRun(t, errkind.Leaving, f.lookup(t))
		requireNotRun(t, errkind.Leaving, f.complete(t))
	})
	t.Run("too many requests", func(t *testing.T) {
		f := newFixtureWith(t, func(c *settings.Entry) { c.MaxStreams = 0 }, withoutLimit)
		requireUnknown(t, errkind.QueueFull, f.book(t))
		requireNotRun(t, errkind.QueueFull, f.lookup(t))
	})
	t.Run("limit", func(t *testing.T) {
		started, gate := make(chan struct{}, 1), make(chan struct{})
		release := sync.OnceFunc(func() { close(gate) })
		defer release()
		f := newFixtureWith(t, noSettings, func(r *table.CSVRow) {
			if l := r.Row.Limit; l != nil {
				l.RequestsPerSecond, l.TokensPerSecond, l.InFlight = 0, 0, 1
			}
		}, newFakeSidecar(t, "a", held(started, gate)))
		answers := make(chan reply, 1)
		go func() { answers <- f.complete(t) }()
		<-started
		requireUnknown(t, errkind.LimitExceeded, f.book(t))
		requireNotRun(t, errkind.LimitExceeded, f.lookup(t))
		release()
		<-answers
	})
}

// Guards against "not run" for a booking that a sidecar refused without the
// log, and against a lost proof of one that did read it.
func TestSidecarRefusalsOfBookings(t *testing.T) {
	for kind, proved := range map[errkind.Kind]bool{
		errkind.Leaving: false, errkind.QueueFull: false, errkind.SuspectRequest: false, errkind.UnknownService: false,
		errkind.BackendUnavailable: true, errkind.IdempotencyKeyReused: true, errkind.InvalidIdempotencyKey: true,
	} {
		f := newFixture(t, newFakeSidecar(t, "a", failing(errkind.New(kind, "refused"))))
		refusal := f.book(t).refusal(t)
		require.Equal(t, kind.String(), refusal.Kind)
		require.Equal(t, proved, refusal.Execution == "not_run", kind.String())
		require.Equal(t, "not_run", f.complete(t).refusal(t).Execution, kind.String())
	}
}
