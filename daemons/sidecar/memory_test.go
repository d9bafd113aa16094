package sidecar

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/daemons/inbound"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/gen/filbertmux/v1/filbertmuxv1connect"
)

// smallMemory is a memory limit with room for one call of the largest size.
const smallMemory = 64 << 20

// answerHandler responds with n bytes, and counts the calls.
func answerHandler(n int, calls *atomic.Int32) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		_, _ = io.WriteString(w, strings.Repeat("x", n))
	})
}

// newSmallFixture starts a sidecar with little memory.
func newSmallFixture(t *testing.T, backend http.Handler) *fixture {
	f := newFixture(t, backend)
	limits := inbound.Divide(smallMemory, 100)
	f.server.memory = inbound.NewMemory(limits.Budget, f.server.metrics)
	server := httptest.NewServer(f.server.Handler())
	t.Cleanup(server.Close)
	f.address = server.Listener.Addr().String()
	f.client = filbertmuxv1connect.NewSidecarServiceClient(server.Client(), server.URL)
	return f
}

// fillMemory takes all memory that large requests may take.
func (f *fixture) fillMemory(t *testing.T) *inbound.Request {
	q, err := f.server.memory.Read(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", http.NoBody), inbound.ReadOptions{})
	require.NoError(t, err)
	for n := 1 << 20; n > 0; n /= 2 {
		for q.TryGrow(n) {
		}
	}
	t.Cleanup(q.Close)
	return q
}

// Guards against calls that take more than the memory, and against unfinished ones that keep
// an ordinary call out.
func TestUnfinishedCalls(t *testing.T) {
	var calls atomic.Int32
	f := newSmallFixture(t, answerHandler(4, &calls))
	for range 6 {
		conn, err := net.Dial("tcp", f.address)
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		size := f.server.maxMessageBytes()
		prefix := string([]byte{0, byte(size >> 24), byte(size >> 16), byte(size >> 8), byte(size)})
		go func() {
			_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nContent-Type: application/connect+proto\r\nContent-Length: %d\r\n\r\n%s%s",
				filbertmuxv1connect.SidecarServiceCallProcedure, size+5, prefix, strings.Repeat("x", size-1))
		}()
	}
	require.Eventually(t, func() bool { return f.server.memory.Held() > callCopies*int64(f.server.settings.MaxBodyBytes) }, 10*time.Second, time.Millisecond)
	for i := range 3 {
		require.NoError(t, f.runToEnd(t, newCall(fmt.Sprint("r", i), true)).Err())
	}
	require.LessOrEqual(t, f.server.memory.Held(), inbound.Divide(smallMemory, 100).Budget.Total)
	require.Equal(t, int32(3), calls.Load())
}

// Guards against a call that is refused for memory and runs nevertheless, and against a
// refusal that looks like a broken connection to the entry.
func TestCallWithoutMemoryIsRefused(t *testing.T) {
	var calls atomic.Int32
	f := newSmallFixture(t, answerHandler(4, &calls))
	q := f.fillMemory(t)
	call := newCall("r1", true)
	call.Body = make([]byte, 1<<20)
	in, err := f.client.Call(context.Background(), connect.NewRequest(call))
	require.NoError(t, err)
	require.False(t, in.Receive())
	require.Equal(t, connect.CodeResourceExhausted, connect.CodeOf(in.Err()))
	require.True(t, connect.IsWireError(in.Err()))
	require.NoError(t, in.Close())
	require.NoError(t, f.runToEnd(t, newCall("r2", true)).Err())
	require.Equal(t, int32(1), calls.Load())
	q.Close()
	require.NoError(t, f.runToEnd(t, call).Err())
}

// Guards against replay buffers of finished attempts that take the memory, and against the loss
// of the newest ones.
func TestRetainedAttemptsAreBounded(t *testing.T) {
	var calls atomic.Int32
	f := newSmallFixture(t, answerHandler(40<<10, &calls))
	f.server.maxRetained = 100 << 10
	var receivers []*pb.AttemptId
	for i := range 5 {
		call := newCall(fmt.Sprint("r", i), true)
		call.Body = make([]byte, 100<<10)
		r := f.runToEnd(t, call)
		require.NoError(t, r.Err())
		receivers = append(receivers, r.ID())
		require.Eventually(t, func() bool { return f.server.isRetained(r.ID()) }, 10*time.Second, time.Millisecond)
		require.Positive(t, f.server.memory.Held())
		require.LessOrEqual(t, f.server.memory.Held(), int64(f.server.maxRetained))
	}
	resume := func(id *pb.AttemptId) error {
		in, err := f.client.Resume(context.Background(), connect.NewRequest(&pb.ResumeRequest{Id: id, NextSeq: 1}))
		require.NoError(t, err)
		defer func() { _ = in.Close() }()
		in.Receive()
		return in.Err()
	}
	require.Equal(t, connect.CodeDataLoss, connect.CodeOf(resume(receivers[0])))
	require.NoError(t, resume(receivers[4]))
}

// Guards against finished attempts whose replay buffers count for their bound, but not for the
// memory that calls may take.
func TestRetainedAttemptsAreClaimed(t *testing.T) {
	for _, size := range []int{4, 40 << 10} {
		var calls atomic.Int32
		f := newSmallFixture(t, answerHandler(size, &calls))
		for i := range 3 {
			r := f.runToEnd(t, newCall(fmt.Sprint("r", i), true))
			require.NoError(t, r.Err())
			require.Eventually(t, func() bool { return f.server.isRetained(r.ID()) }, 10*time.Second, time.Millisecond)
		}
		f.server.mu.Lock()
		require.Positive(t, f.server.retained)
		require.EqualValues(t, f.server.retained, f.server.memory.Held(), "answers of %d bytes", size)
		f.server.mu.Unlock()
	}
}

// isRetained reports whether an attempt has finished and is kept for replay.
func (s *Server) isRetained(id *pb.AttemptId) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.finished {
		if keyOf(a.id) == keyOf(id) {
			return true
		}
	}
	return false
}

// Guards against a response that stops when there is no memory for its replay.
func TestResponseWithoutMemoryForReplay(t *testing.T) {
	var calls atomic.Int32
	f := newSmallFixture(t, answerHandler(60<<10, &calls))
	f.fillMemory(t)
	r := f.runToEnd(t, newCall("r1", true))
	require.NoError(t, r.Err())
	require.True(t, r.Complete())
	require.Eventually(t, func() bool { return f.server.isRetained(r.ID()) }, 10*time.Second, time.Millisecond)
	a := f.server.findAttempt(r.ID())
	require.Less(t, a.replay, 32<<10)
	require.LessOrEqual(t, a.sender.BufferedBytes(), a.replay)
}

// Guards against a replay buffer that isn't claimed.
func TestReplayStartsSmall(t *testing.T) {
	f := newSmallFixture(t, http.NotFoundHandler())
	a := newAttempt(&pb.AttemptId{RequestId: "r"}, 1<<16, func() {})
	a.useMemory(f.fillMemory(t), 1<<16)
	require.True(t, a.sender.Data(make([]byte, firstReplayBytes/2)))
	require.False(t, a.sender.Data(make([]byte, firstReplayBytes/2)))
}

// Guards against an answer that is cut or counts as complete although it was cut.
func TestReadAnswer(t *testing.T) {
	const limit = 64 << 10
	a := &attempt{}
	read := func(src io.Reader, length int64) (string, error) {
		answer, err := a.readAnswer(t.Context(), src, length, limit)
		return string(answer), err
	}
	for _, size := range []int{0, 1, firstAnswerBytes, firstAnswerBytes + 1, limit - 1, limit, limit + 100} {
		text := strings.Repeat("x", size)
		for _, length := range []int64{-1, int64(size)} {
			got, err := read(iotest.HalfReader(strings.NewReader(text)), length)
			require.NoError(t, err)
			require.Equal(t, text[:min(size, limit)], got)
		}
	}
	_, err := read(io.MultiReader(strings.NewReader("part"), iotest.ErrReader(io.ErrUnexpectedEOF)), 10)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// Guards against a body whose decoding takes many times the memory of its text.
func TestManyMembersAreRefused(t *testing.T) {
	object := func(n int) []byte { return []byte(`{"a0":1` + strings.Repeat(`,"a":1`, n-1) + "}") }
	body, err := withPriority(object(maxMembers), 3)
	require.NoError(t, err)
	require.Contains(t, string(body), `"priority":3`)
	_, err = withPriority(object(maxMembers+1), 3)
	require.True(t, errkind.Is(err, errkind.InvalidRequest))
	require.Equal(t, errkind.NotRun, errkind.Of(err).Execution)
	body, err = withPriority([]byte("[1,2]"), 3)
	require.NoError(t, err)
	require.Equal(t, "[1,2]", string(body))
}
