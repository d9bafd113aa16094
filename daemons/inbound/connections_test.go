package inbound

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/filbertmux/filbertmux/base/telemetry"
	"github.com/filbertmux/filbertmux/serve/connlimit"
)

// Guards against connections without a request that use up the descriptors, against the end
// of one with a request in progress, and against ordinary callers that find no place.
func TestConnectionsAreBounded(t *testing.T) {
	const maxConns = 5
	for name, text := range map[string]string{
		"silent": "", "half a head": "POST / HTTP/1.1\r\nHost: h", "idle": head("/", "Content-Length: 4") + "body",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDaemon(t, budgetConfig(), connConfig(maxConns))
				held := d.post("/hold")
				synctest.Wait()
				for range 3 * maxConns {
					conn, _ := d.dial()
					_, _ = io.WriteString(conn, text)
					synctest.Wait()
					require.LessOrEqual(t, d.connections.takeUse().open, maxConns)
				}
				require.Equal(t, "200 4 bytes", <-d.post("/"))
				close(d.hold)
				require.Equal(t, "200 4 bytes", <-held)
			})
		})
	}
}

// Guards against a new connection that takes the place of a request in progress when there is
// no other one, and against a process that goes beyond its descriptors for it.
func TestFullOfRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDaemon(t, budgetConfig(), connConfig(2))
		first, second := d.post("/hold"), d.post("/hold")
		synctest.Wait()
		_, open := <-d.post("/")
		require.False(t, open)
		require.Equal(t, 2, d.connections.takeUse().open)
		close(d.hold)
		require.Equal(t, "200 4 bytes", <-first)
		require.Equal(t, "200 4 bytes", <-second)
	})
}

// Guards against the end of an idle connection on which the head of the next request arrives,
// while others are idle.
func TestNextHeadIsNotIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDaemon(t, budgetConfig(), connConfig(2))
		request := head("/", "Content-Length: 4") + "body"
		var conns []net.Conn
		var responses []<-chan string
		for i := range 2 {
			conn, r := d.dial()
			conns, responses = append(conns, conn), append(responses, r)
			_, _ = io.WriteString(conn, request)
			require.Equal(t, "200 4 bytes", <-responses[i])
		}
		_, _ = io.WriteString(conns[0], request[:10])
		synctest.Wait()
		require.Equal(t, "200 4 bytes", <-d.post("/"))
		_, _ = io.WriteString(conns[0], request[10:])
		require.Equal(t, "200 4 bytes", <-responses[0])
		_, open := <-responses[1]
		require.False(t, open)
	})
}

// Guards against unfinished heads that take the memory: long ones, or ones with many lines.
func TestUnfinishedHeadsAreBounded(t *testing.T) {
	for name, line := range map[string]string{"long": "A: " + strings.Repeat("x", 1000) + "\r\n", "many lines": "A: \r\n"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cfg := connConfig(100)
				d := newDaemon(t, budgetConfig(), cfg)
				perLine := len(line) + lineBytes
				lines := int(cfg.MaxHeadBytes) / perLine / 10
				for range 20 {
					conn, _ := d.dial()
					_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\n"+strings.Repeat(line, lines))
				}
				synctest.Wait()
				require.LessOrEqual(t, d.connections.takeUse().head, 11)
				require.Equal(t, "200 4 bytes", <-d.post("/"))
			})
		})
	}
}

// Guards against a client that fills the buffers of the kernel by sending further requests
// while the first one is in progress.
func TestRequestsSentAheadAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDaemon(t, budgetConfig(), connConfig(100))
		var all []<-chan string
		for range 2 {
			conn, responses := d.dial()
			all = append(all, responses)
			go func() {
				_, _ = io.WriteString(conn, head("/hold", "Content-Length: 4")+"body")
				_, _ = io.WriteString(conn, head("/", "Content-Length: 4")+"body")
			}()
			synctest.Wait()
		}
		close(d.hold)
		_, open := <-all[0]
		require.False(t, open)
		require.Equal(t, "200 4 bytes", <-all[1])
		require.Equal(t, "200 4 bytes", <-all[1])
	})
}

// Guards against bytes that the kernel holds without a bound, and against a small window for
// a large body.
func TestReceiveBuffers(t *testing.T) {
	metrics := telemetry.NewMetrics("test", "t1", zerolog.Nop())
	defer func() { _ = metrics.Close() }()
	m, connections := NewMemory(budgetConfig(), metrics), NewConnections(connConfig(10), metrics)
	tcp, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	sizes, held := make(chan int, 10), make(chan int64, 1)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := connOf(r.Context())
		sizes <- receiveBuffer(t, conn)
		r.Body = hookedBody{r.Body, func() { sizes <- receiveBuffer(t, conn) }}
		q, err := m.Read(w, r, ReadOptions{MaxBody: maxBody})
		if err == nil {
			held <- m.Held()
			q.Close()
		}
		sizes <- receiveBuffer(t, conn)
	})}
	connections.Observe(server)
	go func() { _ = server.Serve(connections.Listen(tcp)) }()
	defer func() { _ = server.Close() }()
	resp, err := http.Post("http://"+tcp.Addr().String(), "", strings.NewReader(strings.Repeat("x", maxBody)))
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, int64(requestBytes+maxBody), <-held)
	require.Equal(t, []int{2 * smallReceiveBytes, 2 * largeReceiveBytes, 2 * smallReceiveBytes}, []int{<-sizes, <-sizes, <-sizes})
}

// hookedBody calls a function at the end of a body.
type hookedBody struct {
	io.ReadCloser
	atEnd func()
}

// Read implements io.Reader.
func (b hookedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.atEnd()
	}
	return n, err
}

func receiveBuffer(t *testing.T, c *Conn) (size int) {
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(fd uintptr) {
		size, err = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF)
	}))
	require.NoError(t, err)
	return size
}

// Guards against shares that don't fit into the memory of an instance, and against bounds that
// an ordinary burst reaches: four times 40 requests a second of 1 KB that take up to 3 s, and
// whose connections are idle for some seconds more.
func TestDivide(t *testing.T) {
	for _, memory := range []int64{136 << 20, 192 << 20, 536 << 20, 8 << 30} {
		t.Run(fmt.Sprint(memory>>20), func(t *testing.T) {
			l := Divide(memory, 5000)
			kernel := int64(2*smallReceiveBytes) * int64(l.Budget.MaxWaiting+l.Connections.MaxPipelined)
			connections := int64(l.Connections.Max) * connectionBytes
			require.Less(t, baseBytes+l.Budget.Total+l.Connections.MaxHeadBytes+connections+kernel, memory)
			require.LessOrEqual(t, SoftMemoryLimit(memory)+programBytes, memory*9/10)
			const perSecond, seconds = 160, 3
			require.Greater(t, l.Budget.Total-l.Budget.Reserve, int64(perSecond*seconds*(requestBytes+1000)))
			require.Greater(t, l.Connections.Max, perSecond*(seconds+3))
			require.Greater(t, l.Budget.Total-l.Budget.Reserve, int64(4<<20+requestBytes+2*largeReceiveBytes))
		})
	}
	require.Equal(t, 100, Divide(8<<30, 100).Connections.Max)
}

// Guards against an ordinary request that doesn't get memory while others hold all but the
// reserve, because its head has many lines: its body comes in chunks, so a whole block is
// claimed for it.
func TestRequestWithLongHeadIsSmall(t *testing.T) {
	r := httptest.NewRequest(http.MethodPost, "/", io.NopCloser(strings.NewReader("{}")))
	r.ContentLength = -1
	for i := range 32 {
		r.Header.Set(fmt.Sprint("X-Header-", i), strings.Repeat("v", 40))
	}
	claimed := requestBytes + extraHeadBytes(r.Header) + int64(firstBlockSize(r))
	require.LessOrEqual(t, claimed, Divide(136<<20, 1000).Budget.Small)
}

// Guards against log lines without a bound, and against refusals that none of them counts.
func TestReportIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log strings.Builder
		d := newDaemon(t, budgetConfig(), connlimit.Config{Max: 2, MaxHeadBytes: 1 << 20})
		r := &Reporter{Memory: d.memory, Connections: d.connections, Metrics: d.memory.metrics, Log: zerolog.New(&log)}
		go func() { _ = r.Run(t.Context()) }()
		for range 100 {
			d.dial()
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(minLogInterval)
		synctest.Wait()
		require.Equal(t, 2, strings.Count(log.String(), "\n"), log.String())
		require.Contains(t, log.String(), `"connections_max":2`)
		total := 0
		for line := range strings.Lines(log.String()) {
			var fields struct {
				Closed int `json:"connections_closed"`
			}
			require.NoError(t, json.Unmarshal([]byte(line), &fields))
			total += fields.Closed
		}
		require.Equal(t, 98, total)
	})
}
