package entry

import (
	"net"
	"net/http"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/config/settings"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/serve/stream"
)

// Guards against a request that runs although its caller is told that it did not: the
// refusal of an earlier attempt comes once more before its response.
func TestRefusalOfAnotherAttemptIsIgnored(t *testing.T) {
	sidecar := newFakeSidecar(t, "a", func(out *connect.ServerStream[pb.Chunk], s *stream.Sender) {
		earlier := stream.NewSender(&pb.AttemptId{RequestId: "earlier", Attempt: 1, Incarnation: "a"}, 1<<10)
		earlier.End(errkind.New(errkind.LogUnavailable, "log is down"))
		flush(out, earlier)
		s.Head(&pb.Head{Status: 200})
		s.Data([]byte("done"))
		s.End(nil)
		flush(out, s)
	})
	r := newFixture(t, sidecar).createOrder(t)
	require.Equal(t, http.StatusOK, r.status, r.body)
	require.Equal(t, "done", r.body)
	require.Equal(t, 1, sidecar.callCount())
}

// Guards against the response of another sidecar in the middle of a stream that broke
// off, and against a stream that ends as if it were complete after that.
func TestBrokenStreamIsNotContinuedByAnError(t *testing.T) {
	broken := func(out *connect.ServerStream[pb.Chunk], s *stream.Sender) {
		sendEventsHead(s)
		s.Data([]byte("data: one\n\n"))
		s.End(errkind.New(errkind.BackendFailed, "connection reset"))
		flush(out, s)
	}
	a, b := newFakeSidecar(t, "a", broken), newFakeSidecar(t, "b", broken)
	r := newFixture(t, a, b).complete(t)
	require.Equal(t, 1, a.callCount()+b.callCount(), "a response that has begun isn't retried")
	require.Contains(t, r.body, "data: one\n\n")
	require.Contains(t, r.body, "event: error\n")
	require.NotContains(t, r.body, "[DONE]")
}

// Guards against a response with an invalid status that reaches a caller: 000 was written as 200.
func TestInvalidStatusFromSidecar(t *testing.T) {
	for _, status := range []int32{0, 99, 600, 1000, -20} {
		invalid := func(out *connect.ServerStream[pb.Chunk], s *stream.Sender) {
			s.Head(&pb.Head{Status: status})
			s.Data([]byte("bad"))
			s.End(nil)
			flush(out, s)
		}
		r := newFixture(t, newFakeSidecar(t, "a", invalid)).complete(t)
		require.Equal(t, http.StatusBadGateway, r.status, status)
		require.NotContains(t, r.body, "bad", status)
	}
}

// Guards against the head of a response that breaks off and counts as a complete
// response.
func TestTruncatedHeadOfSidecarIsNoResponse(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/connect+proto\r\nContent-Length: 0\r\n\r\n"
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	lengths := make(chan int, 1)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 4096))
			length := <-lengths
			lengths <- length
			_, _ = conn.Write([]byte(head[:length]))
			_ = conn.Close()
		}
	}()
	f := newFixtureWithInstances(t, func(s *settings.Entry) { s.RequestTimeout = 300 * time.Millisecond }, deleteLimits, fixedInstances{{
		ID: "a", Role: infra.RoleBackend, Service: "text-desk", State: infra.StateLive, Address: listener.Addr().String(),
	}})
	for length := 0; length <= len(head); length += 8 {
		lengths <- length
		r := f.complete(t)
		require.GreaterOrEqual(t, r.status, http.StatusInternalServerError, "%q", head[:length])
		<-lengths
	}
}
