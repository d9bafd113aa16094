package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/serve/stream"
)

// rawBackend is a backend server that writes arbitrary bytes: the responses to the
// requests of a connection, in order. It closes the connection after the last one.
func rawBackend(t *testing.T, responses ...string) (url string) {
	t.Helper()
	return serveConnections(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for _, response := range responses {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = fmt.Fprint(conn, response)
		}
	})
}

// serveConnections calls serve with each connection to a backend server until the test ends,
// and closes the connection afterwards.
func serveConnections(t *testing.T, serve func(net.Conn)) (url string) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				serve(conn)
			}()
		}
	}()
	return "http://" + listener.Addr().String()
}

// answer runs a call and returns the status and the body of its response.
func (f *fixture) answer(t *testing.T, call *pb.CallRequest) (status int32, body string, r *stream.Receiver) {
	t.Helper()
	in, err := f.client.Call(t.Context(), connect.NewRequest(call))
	require.NoError(t, err)
	defer func() { _ = in.Close() }()
	r = newReceiver(call.GetId().GetRequestId())
	for !r.Finished() && in.Receive() {
		for _, c := range r.Receive(time.Now(), in.Msg()) {
			if c.GetHead() != nil {
				status = c.GetHead().GetStatus()
			}
			body += string(c.GetData())
		}
	}
	return status, body, r
}

// Guards against a caller that gets the refusal of an earlier call, which the backend
// server wrote once more on a kept connection, while its own call runs.
func TestRepeatedRefusalReachesNoOtherCall(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 7\r\n\r\nrefused"
	const response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	f := newFixtureAt(t, rawBackend(t, response, refusal+response))
	for _, id := range []string{"r1", "r2", "r3"} {
		status, body, _ := f.answer(t, newCall(id, true))
		require.EqualValues(t, 200, status, id)
		require.Equal(t, "ok", body, id)
	}
}

// Guards against a response head that breaks off and counts as a complete response.
func TestTruncatedHeadIsNoResponse(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nContent-Type: text/plain\r\n\r\n"
	for length := range len(head) {
		f := newFixtureAt(t, rawBackend(t, head[:length]))
		status, _, r := f.answer(t, newCall("r1", true))
		require.Zero(t, status, "%q", head[:length])
		require.Error(t, r.Err(), "%q", head[:length])
	}
}

// Guards against a status that no server may send: a response with status 000 reached callers
// as 200.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		head := "HTTP/1.1 " + status + " x\r\nContent-Length: 2\r\n\r\nok"
		for _, idempotent := range []bool{true, false} {
			f := newFixtureAt(t, rawBackend(t, head))
			got, body, r := f.answer(t, newCall("r1", idempotent))
			require.Zero(t, got, status)
			require.Empty(t, body, status)
			require.Error(t, r.Err(), status)
		}
	}
}

// Guards against a server that counts as healthy by a response that is none.
func TestInvalidStatusIsNotHealthy(t *testing.T) {
	for status, healthy := range map[string]bool{"000": false, "999": false, "200": true, "404": true} {
		b, err := newBackendClient(rawBackend(t, "HTTP/1.1 "+status+" x\r\nContent-Length: 0\r\n\r\n"))
		require.NoError(t, err)
		require.Equal(t, healthy, b.checkHealth(t.Context()) == nil, status)
	}
}

// Guards against a server that sends the head of a response without end, which the sidecar
// would hold for each of the calls in flight.
func TestEndlessHeadIsBounded(t *testing.T) {
	const (
		// maxWritten bounds what the server can send before the sidecar gives up: the limit
		// of the head and the buffers of the sockets.
		maxWritten = 4 << 20
		calls      = 4
	)
	for name, bytes := range map[string]struct{ start, repeated string }{
		"header lines":            {"HTTP/1.1 200 OK\r\n", "X-More: value\r\n"},
		"header line":             {"HTTP/1.1 200 OK\r\nX-More: ", "value"},
		"informational responses": {"", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
		"bytes without a line":    {"", "no response"},
	} {
		t.Run(name, func(t *testing.T) {
			url, written := endlessBackend(t, bytes.start, bytes.repeated)
			f := newFixtureAt(t, url)
			var group sync.WaitGroup
			for n := range calls {
				group.Go(func() {
					status, _, r := f.answer(t, newCall(fmt.Sprintf("r%d", n), true))
					assert.Zero(t, status)
					assert.Error(t, r.Err())
				})
			}
			group.Wait()
			require.Less(t, written(), calls*maxWritten)
		})
	}
}

// endlessBackend is a backend server that writes start and then repeated to each connection
// until the connection ends. written returns the number of bytes so far.
func endlessBackend(t *testing.T, start, repeated string) (url string, written func() int) {
	t.Helper()
	var total atomic.Int64
	url = serveConnections(t, func(conn net.Conn) {
		_ = conn.(*net.TCPConn).SetWriteBuffer(64 << 10)
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		_, err := io.WriteString(conn, start)
		for block := strings.Repeat(repeated, 1000); err == nil; {
			var n int
			n, err = io.WriteString(conn, block)
			total.Add(int64(n))
		}
	})
	return url, func() int { return int(total.Load()) }
}
