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

	"github.com/filbertmux/filbertmux/errkind"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/stream"
)

// hangingTransfer is a transfer whose first connection stays silent. The
// receiver was created age ago, so that its deadlines need no waiting.
type noSignals struct{}

func (noSignals) chunk(*pb.Chunk)               {}
func (noSignals) broken(context.Context, error) {}
func (noSignals) silent()                       {}

func hangingTransfer(t *testing.T, age time.Duration) (*transfer, *fakeSidecar, *httptest.ResponseRecorder) {
	t.Helper()
	release := make(chan struct{})
	sidecar := newFakeSidecar(t, "a", func(*connect.ServerStream[pb.Chunk], *stream.Sender) { <-release })
	t.Cleanup(func() { close(release) })
	id := &pb.AttemptId{RequestId: "r", Attempt: 1}
	sidecar.replay = stream.NewSender(&pb.AttemptId{RequestId: "r", Attempt: 1, Incarnation: "a"}, 1<<20)
	eventsHead(sidecar.replay)
	sidecar.replay.Data([]byte("data: [DONE]\n\n"))
	sidecar.replay.End(nil)
	w := httptest.NewRecorder()
	c, _ := gin.CreateTestContext(w)
	c.Request = httptest.NewRequest(http.MethodPost, completionsPath, http.NoBody)
	cfg := stream.ReceiverConfig{MaxPending: 8, SilenceTimeout: time.Hour, ProgressTimeout: 10 * time.Hour}
	return &transfer{
		client:   newClients("").of(sidecar.server.Listener.Addr().String()),
		request:  &pb.CallRequest{Id: id},
		receiver: stream.NewReceiver(id, cfg, time.Now().Add(-age)),
		messages: make(chan message, 8),
		out:      newAnswer(c, "r", func() {}),
		signals:  noSignals{},
	}, sidecar, w
}

// Guards against a caller who waits for ever on a connection that went silent.
func TestSilentConnectionIsResumed(t *testing.T) {
	transfer, sidecar, w := hangingTransfer(t, 2*time.Hour)
	require.NoError(t, transfer.run(context.Background()))
	require.Equal(t, "data: [DONE]\n\n", w.Body.String())
	require.Equal(t, 1, sidecar.resumes)
}

// Guards against an attempt without progress that is resumed again and again.
func TestStalledAttemptIsGivenUp(t *testing.T) {
	transfer, _, w := hangingTransfer(t, 20*time.Hour)
	err := transfer.run(context.Background())
	require.True(t, errkind.Is(err, errkind.StreamIncomplete))
	require.Equal(t, errkind.Unknown, errkind.Of(err).Execution)
	require.Empty(t, w.Body.String())
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
