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

func (f *fixture) getStock(t *testing.T) reply {
	t.Helper()
	// The key of an idempotent request is ignored.
	return f.send(t, http.MethodGet, "/order-book/stock/7", examples.DevKey("mureseni-desk"), "key", "")
}

// requireUnknownExecution checks the refusal of a non-idempotent request whose key
// was not looked up in the log.
func requireUnknownExecution(t *testing.T, kind errkind.Kind, r reply) {
	t.Helper()
	refusal := r.errorDetail(t)
	require.Equal(t, kind.String(), refusal.Kind)
	require.Equal(t, kind.Attributes().HTTPStatus, r.status)
	require.Equal(t, "unknown", refusal.Execution)
	require.Contains(t, refusal.Message, keyMayHaveRunNote)
	require.NotZero(t, refusal.RetryAfterSeconds)
}

func requireNotRun(t *testing.T, kind errkind.Kind, r reply) {
	t.Helper()
	require.Equal(t, kind.String(), r.errorDetail(t).Kind)
	require.Equal(t, "not_run", r.errorDetail(t).Execution)
}

// Guards against not_run for a non-idempotent request that the entry itself
// refuses: an earlier request with its key may have run. Idempotent requests and
// model calls remain not_run.
func TestEntryRefusalsOfNonIdempotentRequests(t *testing.T) {
	noSettings := func(*settings.Entry) {}
	t.Run("no backend server", func(t *testing.T) {
		f := newFixture(t)
		requireUnknownExecution(t, errkind.NoBackendServer, f.createOrder(t))
		requireNotRun(t, errkind.NoBackendServer, f.getStock(t))
		requireNotRun(t, errkind.NoBackendServer, f.complete(t))
	})
	t.Run("leaving", func(t *testing.T) {
		f := newFixture(t, newFakeSidecar(t, "a", sendEvents))
		f.entry.gate.Terminate()
		requireUnknownExecution(t, errkind.Leaving, f.createOrder(t))
		requireNotRun(t, errkind.Leaving, f.getStock(t))
		requireNotRun(t, errkind.Leaving, f.complete(t))
	})
	t.Run("too many requests", func(t *testing.T) {
		f := newFixtureWith(t, func(c *settings.Entry) { c.MaxStreams = 0 }, deleteLimits)
		requireUnknownExecution(t, errkind.QueueFull, f.createOrder(t))
		requireNotRun(t, errkind.QueueFull, f.getStock(t))
	})
	t.Run("limit", func(t *testing.T) {
		started, unblock := make(chan struct{}, 1), make(chan struct{})
		release := sync.OnceFunc(func() { close(unblock) })
		defer release()
		f := newFixtureWith(t, noSettings, func(r *table.CSVRow) {
			if l := r.Row.Limit; l != nil {
				l.RequestsPerSecond, l.TokensPerSecond, l.InFlight = 0, 0, 1
			}
		}, newFakeSidecar(t, "a", blockingScript(started, unblock)))
		replies := make(chan reply, 1)
		go func() { replies <- f.complete(t) }()
		<-started
		requireUnknownExecution(t, errkind.LimitExceeded, f.createOrder(t))
		requireNotRun(t, errkind.LimitExceeded, f.getStock(t))
		release()
		<-replies
	})
}

// Guards against not_run for a non-idempotent request that a sidecar refused
// without reading the log, and against unknown for one that a sidecar refused
// after reading it.
func TestSidecarRefusalsOfNonIdempotentRequests(t *testing.T) {
	for kind, proved := range map[errkind.Kind]bool{
		errkind.Leaving: false, errkind.QueueFull: false, errkind.SuspectRequest: false, errkind.UnknownService: false,
		errkind.BackendUnavailable: true, errkind.IdempotencyKeyReused: true, errkind.InvalidIdempotencyKey: true,
	} {
		f := newFixture(t, newFakeSidecar(t, "a", failingScript(errkind.New(kind, "refused"))))
		refusal := f.createOrder(t).errorDetail(t)
		require.Equal(t, kind.String(), refusal.Kind)
		require.Equal(t, proved, refusal.Execution == "not_run", kind.String())
		require.Equal(t, "not_run", f.complete(t).errorDetail(t).Execution, kind.String())
	}
}
