package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/gin-gonic/gin"
	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/config/settings"
	"github.com/filbertmux/filbertmux/examples"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/serve/stream"
)

const (
	// largestBody is the largest body that the entry of these tests accepts.
	largestBody = 4 << 20
	// smallMemory is a memory limit with room for a body of this size and its copies.
	smallMemory = 96 << 20
	// bufferedBytes is the size of a response that is buffered whole.
	bufferedBytes = 900 << 10
)

func withSmallMemory(s *settings.Entry) {
	s.MemoryLimit, s.MaxBodyBytes = smallMemory, largestBody
}

// sendBody sends a response with a body of n bytes in chunks of 16 KiB.
func sendBody(n int) func(*connect.ServerStream[pb.Chunk], *stream.Sender) {
	return func(out *connect.ServerStream[pb.Chunk], s *stream.Sender) {
		s.Head(&pb.Head{Status: http.StatusOK})
		for left := n; left > 0; left -= 16 << 10 {
			s.Data(make([]byte, min(left, 16<<10)))
		}
		s.End(nil)
		flush(out, s)
	}
}

// orderHead is the head of an order without the line that frames its body.
func orderHead(key string) string {
	return "POST /order-book/orders HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + key +
		"\r\nIdempotency-Key: " + uuid.Must(uuid.NewV7()).String() + "\r\n"
}

// dial opens a connection and sends text on it.
func (f *fixture) dial(t *testing.T, text string) net.Conn {
	conn, err := net.Dial("tcp", f.frontend.Listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	go func() { _, _ = io.WriteString(conn, text) }()
	return conn
}

func readReply(t *testing.T, conn net.Conn) (r reply, closes bool) {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, resp.Header, string(data), err}, resp.Close
}

// Guards against an entry that waits for a body although the head decides, and against a
// client that goes on sending it.
func TestHeadDecidesBeforeBody(t *testing.T) {
	f := newFixtureWith(t, withSmallMemory, deleteLimits)
	for name, c := range map[string]struct {
		head string
		kind string
	}{
		"unknown key": {orderHead("nobody") + "Content-Length: 1000000\r\n\r\n", "unauthenticated"},
		"too large":   {orderHead(examples.DevKey("mureseni-desk")) + "Content-Length: 1000000000\r\n\r\n", "request_too_large"},
		"no key":      {"POST /order-book/orders HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", "unauthenticated"},
	} {
		t.Run(name, func(t *testing.T) {
			r, closes := readReply(t, f.dial(t, c.head))
			require.Equal(t, c.kind, r.errorDetail(t).Kind)
			require.True(t, closes)
			require.Zero(t, f.entry.memory.Held())
		})
	}
}

// Guards against an entry whose bodies take more than its memory, against a refusal without
// the time to come back, and against unfinished bodies that keep an ordinary request out.
func TestBodiesBeyondMemory(t *testing.T) {
	hold := make(chan struct{})
	sidecar := newFakeSidecar(t, "a", func(out *connect.ServerStream[pb.Chunk], s *stream.Sender) {
		<-hold
		sendBody(4)(out, s)
	})
	f := newFixtureWith(t, withSmallMemory, deleteLimits, sidecar)
	key := examples.DevKey("mureseni-desk")
	framing := fmt.Sprintf("Content-Length: %d\r\n\r\n", largestBody)
	body := strings.Repeat("x", largestBody)
	running := f.dial(t, orderHead(key)+framing+body)
	require.Eventually(t, func() bool { return sidecar.callCount() == 1 }, 10*time.Second, time.Millisecond)
	require.GreaterOrEqual(t, f.entry.memory.Held(), int64(bodyCopies*largestBody))
	var unfinished []net.Conn
	for range 6 {
		unfinished = append(unfinished, f.dial(t, orderHead(key)+framing+body[1:]))
	}
	refused, closes := readReply(t, f.dial(t, orderHead(key)+framing+body))
	require.Equal(t, http.StatusServiceUnavailable, refused.status)
	require.Equal(t, "memory_exhausted", refused.errorDetail(t).Kind)
	require.NotEmpty(t, refused.header.Get("Retry-After"))
	require.True(t, closes)
	require.LessOrEqual(t, f.entry.memory.Held(), int64(smallMemory)/4)
	close(hold)
	require.Equal(t, http.StatusOK, f.createOrder(t).status)
	r, _ := readReply(t, running)
	require.Equal(t, http.StatusOK, r.status)
	require.Equal(t, 2, sidecar.callCount())
	for _, conn := range unfinished {
		require.NoError(t, conn.Close())
	}
	require.Eventually(t, func() bool { return f.entry.memory.Held() == 0 }, 10*time.Second, time.Millisecond)
}

// Guards against a caller that reads its response slowly and keeps a concurrency slot, or the
// memory of its request.
func TestSlowReaderFreesSlot(t *testing.T) {
	sidecar := newFakeSidecar(t, "a", sendBody(bufferedBytes))
	f := newFixtureWith(t, func(s *settings.Entry) {
		withSmallMemory(s)
		s.MaxConcurrent = 1
	}, deleteLimits, sidecar)
	framing := fmt.Sprintf("Content-Length: %d\r\n\r\n", largestBody)
	slow := f.dial(t, orderHead(examples.DevKey("mureseni-desk"))+framing+strings.Repeat("x", largestBody))
	require.Eventually(t, func() bool { return sidecar.callCount() == 1 }, 10*time.Second, time.Millisecond)
	r := f.createOrder(t)
	require.Len(t, r.body, bufferedBytes)
	require.Equal(t, int64(1), f.entry.inFlight.Load())
	require.Less(t, f.entry.memory.Held(), int64(largestBody))
	r, _ = readReply(t, slow)
	require.NoError(t, r.err)
	require.Len(t, r.body, bufferedBytes)
}

// Guards against a response that takes more than the free memory, and against one that looks
// complete before it is verified.
func TestResponseWithoutRoom(t *testing.T) {
	w := httptest.NewRecorder()
	c, _ := gin.CreateTestContext(w)
	c.Request = httptest.NewRequest(http.MethodPost, "/order-book/orders", http.NoBody)
	memory := newMemory(t, c)
	for n := 1 << 20; n > 0; n /= 2 {
		for memory.TryGrow(n) {
		}
	}
	a := newResponseWriter(c, "r", memory, func() {})
	require.NoError(t, a.writeChunk(&pb.Chunk{Kind: &pb.Chunk_Head{Head: &pb.Head{Status: http.StatusOK}}}))
	for _, text := range []string{"one ", "two ", "three"} {
		require.NoError(t, a.writeChunk(&pb.Chunk{Kind: &pb.Chunk_Data{Data: []byte(text)}}))
	}
	require.Equal(t, "one two ", w.Body.String())
	require.NoError(t, a.finish())
	require.Equal(t, "one two three", w.Body.String())
}

// Guards against bodies whose decoding takes many times the memory of their text.
func TestManyJSONElements(t *testing.T) {
	f := newFixtureWith(t, withSmallMemory, deleteLimits, newFakeSidecar(t, "a", sendEvents))
	send := func(body string) reply {
		return f.send(t, http.MethodPost, completionsPath, examples.DevKey("mureseni-desk"), "", body)
	}
	messages := func(n int) string {
		return `{"model":"text-desk","stream":true,"messages":[{}` + strings.Repeat(",{}", n-1) + "]}"
	}
	members := func(n int) string {
		return completionBody[:len(completionBody)-1] + strings.Repeat(`,"a":1`, n-3) + "}"
	}
	require.Equal(t, http.StatusOK, send(messages(maxMessages)).status)
	require.Equal(t, "invalid_request", send(messages(maxMessages+1)).errorDetail(t).Kind)
	require.Equal(t, http.StatusOK, send(members(maxMembers)).status)
	require.Equal(t, "invalid_request", send(members(maxMembers+1)).errorDetail(t).Kind)
	require.Equal(t, "invalid_request", send(`{"model":"text-desk","messages":{"content":"x"}}`).errorDetail(t).Kind)
}

// Guards against an entry with more sockets than the process may have.
func TestDivideSockets(t *testing.T) {
	d := divideSockets(settings.Entry{Common: settings.Common{MaxConnections: 100}})
	require.Equal(t, sockets{callers: 100, peers: 25, idleSidecars: 25}, d)
	d = divideSockets(settings.Entry{})
	require.Greater(t, d.callers, 0)
	require.GreaterOrEqual(t, d.callers, d.peers+d.idleSidecars)
}
