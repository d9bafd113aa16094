package untrusted

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// uploaders is the number of clients that send large bodies. Their bodies together
	// are larger than the memory of the daemon. Each completeEvery-th one sends its body
	// completely.
	uploaders     = 40
	completeEvery = 8
	// oversizedBytes is the size of a body far over the limit.
	oversizedBytes = 8 * maxBodyBytes
	// largeChunk and smallChunk are the sizes of chunks.
	largeChunk = 64 << 10
	smallChunk = 8
	// idleClients is the number of clients that keep connections open without a body,
	// which is more than the daemon may have sockets.
	idleClients = 300
	// settleTime is the time without any progress after which a crowd has sent what it
	// can, and settleTimeout bounds the wait for that.
	settleTime    = 2 * time.Second
	settleTimeout = 120 * time.Second
)

// upload is what a client sends after the head of its request.
type upload struct {
	// declared is the value of Content-Length, or negative for a body in chunks.
	declared int
	// chunk is the size of the chunks, or of the writes of a body with a length.
	chunk int
	// size is the number of bytes of the body that are sent. If it is below the whole
	// body, the client keeps the connection open without sending the rest.
	size int
	// complete ends a chunked body.
	complete bool
}

// crowd counts what its clients have sent, and holds their connections open.
type crowd struct {
	sent    atomic.Int64
	clients sync.WaitGroup
}

// start lets n clients send concurrently.
func (c *crowd) start(t *testing.T, d *daemonUnderTest, n int, uploadOf func(client int) upload) {
	t.Helper()
	for i := range n {
		u := uploadOf(i)
		framing := "Transfer-Encoding: chunked"
		if u.declared >= 0 {
			framing = "Content-Length: " + strconv.Itoa(u.declared)
		}
		head := d.head(framing)
		conn, err := d.dial(t)
		if err != nil {
			continue // refusing a connection is allowed
		}
		c.clients.Go(func() { c.send(conn, head, u) })
	}
}

// send writes an upload until it has been sent or the connection ends. The daemon may
// respond early, so responses are read and dropped.
func (c *crowd) send(conn net.Conn, head string, u upload) {
	go func() { _, _ = io.Copy(io.Discard, conn) }()
	if _, err := io.WriteString(conn, head); err != nil {
		return
	}
	out := bufio.NewWriterSize(conn, largeChunk)
	piece := strings.Repeat("x", u.chunk)
	for sent := 0; sent < u.size; {
		n := min(u.chunk, u.size-sent)
		text := piece[:n]
		if u.declared < 0 {
			text = fmt.Sprintf("%x\r\n%s\r\n", n, text)
		}
		if _, err := out.WriteString(text); err != nil {
			return
		}
		sent += n
		c.sent.Add(int64(n))
	}
	if u.declared < 0 && u.complete {
		_, _ = out.WriteString("0\r\n\r\n")
	}
	_ = out.Flush()
}

// settle waits until all clients have sent their uploads, or none of them gets further.
func (c *crowd) settle(t *testing.T) {
	t.Helper()
	done := make(chan struct{})
	go func() {
		c.clients.Wait()
		close(done)
	}()
	last, at := c.sent.Load(), time.Now()
	for end := time.Now().Add(settleTimeout); time.Now().Before(end) && time.Since(at) < settleTime; {
		select {
		case <-done:
			// The daemon reads what is still on its way.
			time.Sleep(settleTime)
			return
		case <-time.After(pollInterval):
		}
		if now := c.sent.Load(); now != last {
			last, at = now, time.Now()
		}
	}
}

// requireWithinLimits checks that the daemon lives and keeps to its limits, and that it
// serves an ordinary request while the crowd is still connected.
func requireWithinLimits(t *testing.T, d *daemonUnderTest) {
	t.Helper()
	require.True(t, d.alive(), "%s ended: %s", d.name, d.log)
	memory, sockets := d.peakMemoryMB(t), d.sockets(t)
	t.Logf("%s: %d MiB at its peak, %d sockets", d.name, memory, sockets)
	require.LessOrEqual(t, memory, memoryLimitMB, "MiB of resident memory")
	require.LessOrEqual(t, sockets, maxSockets, "open sockets")
	eventually(t, func() bool { return d.request("ordinary request") == http.StatusOK })
	require.True(t, d.alive(), "%s ended: %s", d.name, d.log)
	require.LessOrEqual(t, d.peakMemoryMB(t), memoryLimitMB, "MiB of resident memory after the ordinary request")
}

// request sends a complete request on a connection of its own and returns the status of
// the response, or 0 if there is none.
func (d *daemonUnderTest) request(body string) int {
	conn, err := net.DialTimeout("tcp4", d.address, startTimeout)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(startTimeout))
	if _, err := io.WriteString(conn, d.head("Content-Length: "+strconv.Itoa(len(body)))+body); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// uploadForms are the ways in which the clients of a crowd send their bodies. Most of the
// legal bodies stop just short of their end.
var uploadForms = []struct {
	name     string
	uploadOf func(client int) upload
}{
	{"Whole", func(int) upload { return upload{declared: maxBodyBytes, chunk: maxBodyBytes, size: maxBodyBytes} }},
	{"Unfinished", func(i int) upload {
		return unfinished(i, upload{declared: maxBodyBytes, chunk: largeChunk, size: maxBodyBytes})
	}},
	{"LargeChunks", func(i int) upload {
		return unfinished(i, upload{declared: -1, chunk: largeChunk, size: maxBodyBytes})
	}},
	{"SmallChunks", func(i int) upload {
		return unfinished(i, upload{declared: -1, chunk: smallChunk, size: maxBodyBytes})
	}},
	{"OversizedAnnounced", func(int) upload { return upload{declared: 1 << 30, chunk: largeChunk, size: oversizedBytes} }},
	{"OversizedSent", func(int) upload { return upload{declared: -1, chunk: largeChunk, size: oversizedBytes} }},
}

// unfinished drops the end of an upload, except for each completeEvery-th client.
func unfinished(client int, u upload) upload {
	if client%completeEvery == 0 {
		u.complete = true
		return u
	}
	u.size--
	return u
}

// testUploads runs the crowd of each form against a daemon of its own.
func testUploads(t *testing.T, start func(*testing.T) *daemonUnderTest) {
	for _, form := range uploadForms {
		t.Run(form.name, func(t *testing.T) {
			d := start(t)
			require.Equal(t, http.StatusOK, d.request(strings.Repeat("x", maxBodyBytes)), "a single body of legal size")
			var c crowd
			c.start(t, d, uploaders, form.uploadOf)
			c.settle(t)
			requireWithinLimits(t, d)
		})
	}
}

// Guards against a gateway that ends because callers send more bytes of bodies at once
// than it has memory, and against unfinished bodies that keep other callers out.
func TestUploadsToGateway(t *testing.T) { testUploads(t, startGateway) }

// Guards against the same faults in an entry.
func TestUploadsToEntry(t *testing.T) { testUploads(t, startEntry) }

// testIdleConnections opens more connections than the daemon may have sockets. Each sends
// what is given and stays open.
func testIdleConnections(t *testing.T, d *daemonUnderTest, textOf func() string) {
	t.Helper()
	for range idleClients {
		text := textOf()
		conn, err := d.dial(t)
		if err != nil {
			continue
		}
		go func() {
			_, _ = io.WriteString(conn, text)
			_, _ = io.Copy(io.Discard, conn)
		}()
	}
	time.Sleep(settleTime)
	requireWithinLimits(t, d)
}

// connectionForms are the ways in which a connection is kept open without a body.
var connectionForms = []struct {
	name   string
	textOf func(*daemonUnderTest) string
}{
	{"Silent", func(*daemonUnderTest) string { return "" }},
	{"HalfHead", func(d *daemonUnderTest) string {
		head := d.head("Content-Length: 1")
		return head[:len(head)/2]
	}},
	{"Idle", func(d *daemonUnderTest) string { return d.head("Content-Length: 4") + "body" }},
}

func testConnections(t *testing.T, start func(*testing.T) *daemonUnderTest) {
	for _, form := range connectionForms {
		t.Run(form.name, func(t *testing.T) {
			d := start(t)
			testIdleConnections(t, d, func() string { return form.textOf(d) })
		})
	}
}

// Guards against a gateway whose descriptors are used up by connections without requests.
func TestConnectionsToGateway(t *testing.T) { testConnections(t, startGateway) }

// Guards against the same fault in an entry.
func TestConnectionsToEntry(t *testing.T) { testConnections(t, startEntry) }
