package entry

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/config/settings"
	"github.com/filbertmux/filbertmux/config/table"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/serve/retry"
	"github.com/filbertmux/filbertmux/serve/stream"
)

// held returns a script whose calls wait, after a message on started, until
// gate is closed.
func held(started chan<- struct{}, gate <-chan struct{}) func(*connect.ServerStream[pb.Chunk], *stream.Sender) {
	return func(out *connect.ServerStream[pb.Chunk], s *stream.Sender) {
		started <- struct{}{}
		<-gate
		events(out, s)
	}
}

// Guards against requests beyond the bound toward the backend servers, against
// a queue that isn't bounded, against a wait that no histogram shows, and against
// retries while the queue is full.
func TestQueueBoundsTheRequestsTowardServers(t *testing.T) {
	started, gate := make(chan struct{}, 10), make(chan struct{})
	release := sync.OnceFunc(func() { close(gate) })
	defer release() // a failed test must not wait for its sidecar
	sidecar := newFakeSidecar(t, "a", held(started, gate))
	f := newFixtureWith(t, func(c *settings.Entry) { c.MaxConcurrent, c.QueueSize = 1, 1 }, withoutLimit, sidecar)
	now := time.Now()
	f.entry.dispatcher.retries.now = func() time.Time { return now }
	answers := make(chan reply, 2)
	go func() { answers <- f.complete(t) }()
	<-started
	go func() { answers <- f.complete(t) }()
	require.Eventually(t, func() bool { return f.entry.admission.QueueLength() == 1 }, 10*time.Second, time.Millisecond)
	refused := f.complete(t).refusal(t)
	require.Equal(t, "queue_full", refused.Kind)
	require.Equal(t, "not_run", refused.Execution)
	require.NotZero(t, refused.RetryAfterSeconds)
	failed := retry.Attempt{Err: errkind.New(errkind.BackendFailed, ""), Number: 1, Idempotent: true}
	require.Equal(t, retry.ServiceOverload, f.entry.dispatcher.retries.decide("text-desk", failed).Reason)
	require.Equal(t, 1, sidecar.count())
	release()
	require.Equal(t, wholeEvents, (<-answers).body)
	require.Equal(t, wholeEvents, (<-answers).body)
	require.NoError(t, f.entry.metrics.Close())
	text := f.send(t, http.MethodGet, "/metrics", "", "", "").body
	require.Contains(t, text, `filbertmux_queue_wait_seconds_count{class="desk"`)
}

// Guards against a limit that the entry doesn't apply, against a refusal that
// takes a place in the queue, and against a place in flight that is never freed.
func TestLimitBoundsTheConcurrentStreamsOfACaller(t *testing.T) {
	started, gate := make(chan struct{}, 10), make(chan struct{})
	release := sync.OnceFunc(func() { close(gate) })
	defer release() // a failed test must not wait for its sidecar
	sidecar := newFakeSidecar(t, "a", held(started, gate))
	f := newFixtureWith(t, func(*settings.Entry) {}, func(r *table.CSVRow) {
		if l := r.Row.Limit; l != nil {
			l.RequestsPerSecond, l.TokensPerSecond, l.InFlight = 0, 0, 1
		}
	}, sidecar)
	answers := make(chan reply, 1)
	go func() { answers <- f.complete(t) }()
	<-started
	refused := f.complete(t)
	require.Equal(t, http.StatusTooManyRequests, refused.status)
	require.Equal(t, "limit_exceeded", refused.refusal(t).Kind)
	require.Equal(t, "not_run", refused.refusal(t).Execution)
	require.NotEmpty(t, refused.header.Get("Retry-After"))
	require.Equal(t, 1, sidecar.count())
	release()
	require.Equal(t, wholeEvents, (<-answers).body)
	require.Eventually(t, func() bool { return f.complete(t).status == http.StatusOK }, 10*time.Second, time.Millisecond)
}

// Guards against a caller's deadline that has no effect, and against a bad one
// that is ignored.
func TestCallerTimeout(t *testing.T) {
	r, err := http.NewRequest(http.MethodGet, "/", http.NoBody)
	require.NoError(t, err)
	for text, want := range map[string]time.Duration{
		"": time.Minute, "1500": 1500 * time.Millisecond, "99999999": time.Minute, "x": 0, "0": 0, "-1": 0,
	} {
		r.Header.Set(timeoutHeader, text)
		got, err := callerTimeout(r, time.Minute)
		require.Equal(t, want == 0, err != nil, text)
		if err == nil {
			require.Equal(t, want, got, text)
		}
	}
}

// Guards against an estimate that ignores the answer or that a caller can set
// without bound.
func TestEstimateOfTokens(t *testing.T) {
	require.InDelta(t, 100+480, estimateTokens(400, completionRequest{}.answerTokens()), 0)
	require.InDelta(t, 100+50, estimateTokens(400, completionRequest{MaxTokens: 20, MaxCompletionTokens: 50}.answerTokens()), 0)
	require.Equal(t, maxAnswerTokens, completionRequest{MaxTokens: 1 << 40}.answerTokens())
}
