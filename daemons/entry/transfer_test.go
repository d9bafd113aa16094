package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/gin-gonic/gin"
	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/daemons/entry/lifecycle"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/serve/stream"
)

// hang returns the life of a request whose first connection stays silent. It was
// opened age ago, so that its deadlines need no waiting.
func hang(t *testing.T, age time.Duration) (finish func() error, a *fakeSidecar, w *httptest.ResponseRecorder) {
	t.Helper()
	release := make(chan struct{})
	sidecar := newFakeSidecar(t, "a", func(*connect.ServerStream[pb.Chunk], *stream.Sender) { <-release })
	t.Cleanup(func() { close(release) })
	id := &pb.AttemptId{RequestId: "r"}
	sidecar.replay = stream.NewSender(&pb.AttemptId{RequestId: "r", Attempt: 1, Incarnation: "a"}, 1<<20)
	eventsHead(sidecar.replay)
	sidecar.replay.Data([]byte("data: [DONE]\n\n"))
	sidecar.replay.End(nil)
	w = httptest.NewRecorder()
	c, _ := gin.CreateTestContext(w)
	c.Request = httptest.NewRequest(http.MethodPost, completionsPath, http.NoBody)
	d := newFixture(t, sidecar).entry.dispatcher
	d.receiver = stream.ReceiverConfig{MaxPending: 8, SilenceTimeout: time.Hour, ProgressTimeout: 10 * time.Hour}
	call := &pb.CallRequest{Id: id, Service: "text-desk", Idempotent: true}
	x := d.newExchange(&request{call: call}, newAnswer(c, "r", func() {}))
	ctx := context.Background()
	x.limitPassed(ctx)
	picked, _ := x.perform(ctx, lifecycle.Event{Kind: lifecycle.SlotGranted})
	for _, effect := range x.life.Step(time.Now().Add(-age), picked) {
		x.carryOut(ctx, effect)
	}
	return func() error { return x.follow(ctx, lifecycle.Event{Kind: lifecycle.DeadlinePassed}) }, sidecar, w
}

// Guards against a caller who waits for ever on a connection that went silent.
func TestSilentConnectionIsResumed(t *testing.T) {
	finish, sidecar, w := hang(t, 2*time.Hour)
	require.NoError(t, finish())
	require.Equal(t, "data: [DONE]\n\n", w.Body.String())
	require.Equal(t, 1, sidecar.resumes)
}

// Guards against an attempt without progress that is resumed again and again.
func TestStalledAttemptIsGivenUp(t *testing.T) {
	finish, sidecar, w := hang(t, 20*time.Hour)
	err := finish()
	require.True(t, errkind.Is(err, errkind.StreamIncomplete))
	require.Equal(t, errkind.Unknown, errkind.Of(err).Execution)
	require.Empty(t, w.Body.String())
	require.Zero(t, sidecar.resumes)
}

// Guards against new work for a sidecar that announced its shutdown while the
// instance list still shows it as live.
func TestLeavingSidecarGetsNoNewCalls(t *testing.T) {
	leaving := newFakeSidecar(t, "a", func(out *connect.ServerStream[pb.Chunk], s *stream.Sender) {
		eventsHead(s)
		s.Data([]byte(wholeEvents))
		s.End(nil)
		for c := s.Next(); c != nil; c = s.Next() {
			// The same incarnation as in the answers to probes: a sidecar that
			// has announced its shutdown stays out until a new one starts.
			c.Load = &pb.Load{Leaving: true, Incarnation: "a"}
			_ = out.Send(c)
		}
	})
	other := newFakeSidecar(t, "b", events)
	f := newFixture(t, leaving, other)
	for range 6 {
		require.Equal(t, wholeEvents, f.complete(t).body)
	}
	require.Equal(t, 1, leaving.count())
	require.Equal(t, 5, other.count())
}
