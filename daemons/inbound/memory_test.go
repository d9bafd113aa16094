package inbound

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"
	"weak"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/telemetry"
	"github.com/filbertmux/filbertmux/serve/bytebudget"
)

// upload sends a body of which the last byte is missing, except from each fourth client.
func upload(w io.Writer, client, chunk int) {
	size := maxBody
	if client%4 != 0 {
		size--
	}
	framing := fmt.Sprintf("Content-Length: %d", maxBody)
	if chunk > 0 {
		framing = "Transfer-Encoding: chunked"
	}
	if _, err := io.WriteString(w, head("/", framing)); err != nil {
		return
	}
	if chunk == 0 {
		_, _ = w.Write(make([]byte, size))
		return
	}
	var body bytes.Buffer
	piece := strings.Repeat("x", chunk)
	for sent := 0; sent < size; sent += chunk {
		n := min(chunk, size-sent)
		fmt.Fprintf(&body, "%x\r\n%s\r\n", n, piece[:n])
	}
	if size == maxBody {
		body.WriteString("0\r\n\r\n")
	}
	_, _ = w.Write(body.Bytes())
}

// Guards against bodies that take more than the budget together, against unfinished bodies
// that keep an ordinary request out, and against bytes that are never given back.
func TestUploadsStayWithinBudget(t *testing.T) {
	for name, chunk := range map[string]int{"length": 0, "chunks": 8 << 10, "small chunks": 32} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDaemon(t, budgetConfig(), connConfig(100))
				complete := 0
				var uploads []<-chan string
				for i := range 24 {
					conn, responses := d.dial()
					uploads = append(uploads, responses)
					go upload(conn, i, chunk)
				}
				for range 20 {
					time.Sleep(10 * time.Millisecond)
					use := d.memory.takeUse()
					require.LessOrEqual(t, use.held+use.free, d.memory.total)
					require.Equal(t, "200 4 bytes", <-d.post("/"))
				}
				for _, responses := range uploads {
					switch response := <-responses; response {
					case fmt.Sprintf("200 %d bytes", maxBody):
						complete++
					case "503 memory_exhausted", "503 slow_body":
					default:
						require.Fail(t, "unexpected response", response)
					}
				}
				require.Positive(t, complete)
				d.requireNothingHeld()
			})
		})
	}
}

// Guards against a body that stalls or trickles and keeps its bytes, and against the
// end of one that is a little faster.
func TestSlowBodies(t *testing.T) {
	for name, c := range map[string]struct {
		bytesPerSecond int
		response       string
	}{
		"still":   {0, "503 slow_body"},
		"trickle": {minBodyRate / 2, "503 slow_body"},
		"above":   {minBodyRate + minBodyRate/10, fmt.Sprintf("200 %d bytes", 20*minBodyRate)},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDaemon(t, budgetConfig(), connConfig(100))
				conn, responses := d.dial()
				go func() {
					_, _ = io.WriteString(conn, head("/", fmt.Sprintf("Content-Length: %d", 20*minBodyRate)))
					for left := 20 * minBodyRate; left > 0; {
						n, err := conn.Write(make([]byte, min(left, c.bytesPerSecond/10)))
						if err != nil {
							return
						}
						left -= n
						time.Sleep(100 * time.Millisecond)
					}
				}()
				require.Equal(t, c.response, <-responses)
				d.requireNothingHeld()
			})
		})
	}
}

// Guards against a request that waits for memory for longer than its client does, and
// against one that is refused although memory becomes free.
func TestRequestsWaitForMemory(t *testing.T) {
	for name, freed := range map[string]bool{"freed": true, "full": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cfg := budgetConfig()
				cfg.Total, cfg.Reserve = 3*(requestBytes+4)+100, 0
				d := newDaemon(t, cfg, connConfig(100))
				for range 3 {
					d.post("/hold")
				}
				synctest.Wait()
				started := time.Now()
				response := d.post("/")
				time.Sleep(maxWait / 2)
				if freed {
					close(d.hold)
					require.Equal(t, "200 4 bytes", <-response)
					require.Less(t, time.Since(started), maxWait)
				} else {
					require.Equal(t, "503 memory_exhausted", <-response)
					require.Equal(t, maxWait, time.Since(started).Truncate(stepInterval))
					close(d.hold)
				}
				d.requireNothingHeld()
			})
		})
	}
}

// Guards against a client that gets a reset instead of the refusal, because it writes its
// whole body before it reads, and against a connection that is kept for a body without end.
func TestRestOfBodyIsDropped(t *testing.T) {
	const announced = 2 * maxBody
	for name, c := range map[string]struct {
		framing string
		bytes   int
		written bool
	}{
		"announced":   {fmt.Sprintf("Content-Length: %d", announced), announced, true},
		"far over":    {"Content-Length: 1000000000", 100 << 20, false},
		"stops short": {fmt.Sprintf("Content-Length: %d", announced), 10, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDaemon(t, budgetConfig(), connConfig(100))
				conn, responses := d.dial()
				written := make(chan error, 1)
				go func() {
					_, _ = io.WriteString(conn, head("/", c.framing))
					n, err := conn.Write(make([]byte, c.bytes))
					if err != nil {
						err = fmt.Errorf("%w after %d bytes", err, n)
					}
					written <- err
				}()
				started := time.Now()
				require.Equal(t, "413 request_too_large", <-responses)
				require.Zero(t, time.Since(started))
				if c.written {
					require.NoError(t, <-written)
				} else {
					require.Error(t, <-written)
				}
				_, open := <-responses
				require.False(t, open)
				require.LessOrEqual(t, time.Since(started), drainTime+time.Second)
				d.requireNothingHeld()
			})
		})
	}
}

// Guards against a body that is refused after it was sent in chunks over the limit, and keeps
// its bytes.
func TestOversizedChunkedBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDaemon(t, budgetConfig(), connConfig(100))
		for _, size := range []int{maxBody, maxBody + 1} {
			conn, responses := d.dial()
			go func() {
				_, _ = io.WriteString(conn, head("/", "Transfer-Encoding: chunked"))
				_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n0\r\n\r\n", size, make([]byte, size))
			}()
			want := fmt.Sprintf("200 %d bytes", size)
			if size > maxBody {
				want = "413 request_too_large"
			}
			require.Equal(t, want, <-responses)
		}
		d.requireNothingHeld()
	})
}

// Guards against a connection that is closed after a refusal for which its client isn't to
// blame, and against one that is kept without the rest of a small body.
func TestConnectionAfterRefusal(t *testing.T) {
	for name, c := range map[string]struct {
		sent string
		kept bool
	}{"small body": {"body", true}, "rest missing": {"bo", false}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDaemon(t, budgetConfig(), connConfig(100))
				d.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					Refuse(w, r, errkind.New(errkind.Unauthenticated, ""), func() { w.WriteHeader(http.StatusUnauthorized) })
				})
				conn, responses := d.dial()
				_, _ = io.WriteString(conn, head("/", "Content-Length: 4")+c.sent)
				require.Equal(t, "401 ", <-responses)
				_, err := io.WriteString(conn, head("/", "Content-Length: 4")+"body")
				if !c.kept {
					require.Error(t, err)
					return
				}
				require.Equal(t, "401 ", <-responses)
			})
		})
	}
}

// newTestMemory returns a Memory outside a bubble.
func newTestMemory(t testing.TB, cfg bytebudget.Config) *Memory {
	metrics := telemetry.NewMetrics("test", "t1", zerolog.Nop())
	t.Cleanup(func() { _ = metrics.Close() })
	return NewMemory(cfg, metrics)
}

// Guards against blocks that are allocated anew for each body, and against free blocks that
// take more than the budget leaves.
func TestBlocksAreUsedAgain(t *testing.T) {
	m := newTestMemory(t, budgetConfig())
	read := func() *Request {
		r := httptest.NewRequest(http.MethodPost, "/", bytes.NewReader(make([]byte, maxBody)))
		q, err := m.Read(httptest.NewRecorder(), r, ReadOptions{MaxBody: maxBody})
		require.NoError(t, err)
		return q
	}
	first := read()
	block := &first.Body().Blocks()[0][0]
	require.Equal(t, maxBody, first.Body().Len())
	first.Close()
	first.Close()
	require.Equal(t, int64(maxBody), m.takeUse().free)
	second := read()
	require.Zero(t, m.takeUse().free)
	require.Contains(t, []*byte{&second.Body().Blocks()[0][0], &second.Body().Blocks()[maxBody/BlockBytes-1][0]}, block)
	third := read()
	second.Close()
	third.Close()
	require.Equal(t, int64(2*maxBody), m.takeUse().free)
	q, err := m.Read(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", http.NoBody), ReadOptions{})
	require.NoError(t, err)
	require.True(t, q.TryGrow(4*maxBody-requestBytes))
	require.Equal(t, int64(maxBody), m.takeUse().free)
}

// Guards against a request that keeps the block of a body that was given back: it would take
// memory that nobody counts for as long as its response runs.
func TestReleasedBlockIsNotKept(t *testing.T) {
	cfg := budgetConfig()
	cfg.Total, cfg.Reserve = requestBytes+BlockBytes, 0
	m := newTestMemory(t, cfg)
	r := httptest.NewRequest(http.MethodPost, "/", bytes.NewReader(make([]byte, BlockBytes)))
	q, err := m.Read(httptest.NewRecorder(), r, ReadOptions{MaxBody: maxBody})
	require.NoError(t, err)
	block := weak.Make(&q.Body().Blocks()[0][0])
	q.Body().Release()
	require.True(t, q.TryGrow(BlockBytes), "another part of the process uses the bytes")
	require.Zero(t, m.takeUse().free)
	runtime.GC()
	require.Nil(t, block.Value())
	q.Close()
}

// Guards against a body whose end needs another block.
func TestBodyOfOneBlock(t *testing.T) {
	m := newTestMemory(t, budgetConfig())
	r := httptest.NewRequest(http.MethodPost, "/", bytes.NewReader(make([]byte, BlockBytes)))
	q, err := m.Read(httptest.NewRecorder(), r, ReadOptions{MaxBody: maxBody})
	require.NoError(t, err)
	require.Equal(t, int64(requestBytes+BlockBytes), m.Held())
	q.Close()
}

// Guards against a response that takes more than the free memory, and against one that is cut
// then: what was read is forwarded, and the rest as it arrives.
func TestResponseWithoutRoom(t *testing.T) {
	m := newTestMemory(t, budgetConfig())
	r := httptest.NewRequest(http.MethodGet, "/", http.NoBody)
	q, err := m.Read(httptest.NewRecorder(), r, ReadOptions{})
	require.NoError(t, err)
	defer q.Close()
	body, complete, err := q.ReadResponse(strings.NewReader("answer"), 6, maxBody)
	require.NoError(t, err)
	require.True(t, complete)
	require.Equal(t, "answer", string(body.Blocks()[0]))
	body.Release()
	require.True(t, q.TryGrow(4*maxBody-requestBytes-2*BlockBytes))
	rest := strings.NewReader(strings.Repeat("x", maxBody))
	body, complete, err = q.ReadResponse(rest, maxBody, maxBody)
	require.NoError(t, err)
	require.False(t, complete)
	require.Equal(t, 2*BlockBytes, body.Len())
	require.Equal(t, maxBody-2*BlockBytes, rest.Len())
}

// Guards against a joined body that changes when its blocks are used again.
func TestJoinedBodyStaysValid(t *testing.T) {
	m := newTestMemory(t, budgetConfig())
	for _, size := range []int{1, 1000, BlockBytes, BlockBytes + 1} {
		text := strings.Repeat("x", size)
		r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(text))
		q, err := m.Read(httptest.NewRecorder(), r, ReadOptions{MaxBody: maxBody, Copies: 2})
		require.NoError(t, err)
		require.Equal(t, int64(requestBytes+2*size), m.Held())
		q.Close()
		other, err := m.Read(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/", bytes.NewReader(make([]byte, maxBody))), ReadOptions{MaxBody: maxBody})
		require.NoError(t, err)
		require.Equal(t, text, string(q.Joined()))
		other.Close()
	}
}

// BenchmarkRead is what reading an ordinary request of 1 KB takes: as it is read within the
// budget, and by io.ReadAll.
func BenchmarkRead(b *testing.B) {
	body := make([]byte, 1000)
	run := func(name string, read func(http.ResponseWriter, *http.Request) int) {
		b.Run(name, func(b *testing.B) {
			w := httptest.NewRecorder()
			r := httptest.NewRequest(http.MethodPost, "/", http.NoBody)
			r.ContentLength = int64(len(body))
			reader := bytes.NewReader(body)
			r.Body = io.NopCloser(reader)
			b.ReportAllocs()
			for b.Loop() {
				reader.Reset(body)
				if read(w, r) != len(body) {
					b.Fatal("short body")
				}
			}
		})
	}
	m := newTestMemory(b, budgetConfig())
	run("budget", func(w http.ResponseWriter, r *http.Request) int {
		q, err := m.Read(w, r, ReadOptions{Organisation: "o", MaxBody: maxBody})
		if err != nil {
			return 0
		}
		defer q.Close()
		return q.Body().Len()
	})
	run("readall", func(w http.ResponseWriter, r *http.Request) int {
		data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
		if err != nil {
			return 0
		}
		return len(data)
	})
}
