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

// newSilentExchange starts a request whose first connection stays silent. The
// connection was opened the given time ago, so that the test need not wait for its
// deadlines. finish runs the request to its end.
func newSilentExchange(t *testing.T, age time.Duration) (finish func() error, a *fakeSidecar, w *httptest.ResponseRecorder) {
	t.Helper()
	release := make(chan struct{})
	sidecar := newFakeSidecar(t, "a", func(*connect.ServerStream[pb.Chunk], *stream.Sender) { <-release })
	t.Cleanup(func() { close(release) })
	id := &pb.AttemptId{RequestId: "r"}
	sidecar.replay = stream.NewSender(&pb.AttemptId{RequestId: "r", Attempt: 1, Incarnation: "a"}, 1<<20)
	sendEventsHead(sidecar.replay)
	sidecar.replay.Data([]byte("data: [DONE]\n\n"))
	sidecar.replay.End(nil)
	w = httptest.NewRecorder()
	c, _ := gin.CreateTestContext(w)
	c.Request = httptest.NewRequest(http.MethodPost, completionsPath, http.NoBody)
	d := newFixture(t, sidecar).entry.dispatcher
	d.receiver = stream.ReceiverConfig{MaxPending: 8, SilenceTimeout: time.Hour, ProgressTimeout: 10 * time.Hour}
	call := &pb.CallRequest{Id: id, Service: "text-desk", Idempotent: true}
	memory := newMemory(t, c)
	x := d.newExchange(&request{call: call, memory: memory}, newResponseWriter(c, "r", memory, func() {}))
	ctx := context.Background()
	x.limitPassed(ctx)
	picked, _ := x.handle(ctx, lifecycle.Event{Kind: lifecycle.SlotGranted})
	for _, effect := range x.machine.Step(time.Now().Add(-age), picked) {
		x.execute(ctx, effect)
	}
	return func() error { return x.runToEnd(ctx, lifecycle.Event{Kind: lifecycle.DeadlinePassed}) }, sidecar, w
}

// Guards against a request that waits forever on a connection that went silent.
func TestSilentConnectionIsResumed(t *testing.T) {
	finish, sidecar, w := newSilentExchange(t, 2*time.Hour)
	require.NoError(t, finish())
	require.Equal(t, "data: [DONE]\n\n", w.Body.String())
	require.Equal(t, 1, sidecar.resumes)
}

// Guards against an attempt without progress that is resumed indefinitely.
func TestStalledAttemptFails(t *testing.T) {
	finish, sidecar, w := newSilentExchange(t, 20*time.Hour)
	err := finish()
	require.True(t, errkind.Is(err, errkind.StreamIncomplete))
	require.Equal(t, errkind.Unknown, errkind.Of(err).Execution)
	require.Empty(t, w.Body.String())
	require.Zero(t, sidecar.resumes)
}

// Guards against new requests for a sidecar that announced its shutdown while the
// instance list still contains it as live.
func TestLeavingSidecarGetsNoNewCalls(t *testing.T) {
	leaving := newFakeSidecar(t, "a", func(out *connect.ServerStream[pb.Chunk], s *stream.Sender) {
		sendEventsHead(s)
		s.Data([]byte(completeEventStream))
		s.End(nil)
		for c := s.Next(); c != nil; c = s.Next() {
			// This is the incarnation in the probe responses too: a sidecar that
			// announced its shutdown gets no requests until a new incarnation
			// starts.
			c.Load = &pb.Load{Leaving: true, Incarnation: "a"}
			_ = out.Send(c)
		}
	})
	other := newFakeSidecar(t, "b", sendEvents)
	f := newFixture(t, leaving, other)
	for range 6 {
		require.Equal(t, completeEventStream, f.complete(t).body)
	}
	require.Equal(t, 1, leaving.callCount())
	require.Equal(t, 5, other.callCount())
}
