package untrusted

import (
	"bufio"
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
	// idleClients is the number of clients that keep connections open without a body,
	// which is more than the daemon may have sockets.
	idleClients = 300
	// settleTime is the time without any progress after which a crowd has sent what it
	// can, and settleTimeout bounds the wait for that.
	settleTime    = 2 * time.Second
	settleTimeout = 120 * time.Second
)

// crowd counts what its clients have sent, and holds their connections open.
type crowd struct {
	sent    atomic.Int64
	clients sync.WaitGroup
}

// start lets n clients send concurrently.
func (c *crowd) start(t *testing.T, d *daemonUnderTest, n int, uploadOf func(client int) Upload) {
	t.Helper()
	for i := range n {
		u := uploadOf(i)
		head := d.head(u.Framing())
		conn, err := d.dial(t)
		if err != nil {
			continue // refusing a connection is allowed
		}
		c.clients.Go(func() { u.Send(conn, head, &c.sent) })
	}
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
	uploadOf func(client int) Upload
}{
	{"Whole", func(int) Upload { return Upload{Declared: maxBodyBytes, Chunk: maxBodyBytes, Size: maxBodyBytes} }},
	{"Unfinished", func(i int) Upload {
		return unfinished(i, Upload{Declared: maxBodyBytes, Chunk: LargeChunk, Size: maxBodyBytes})
	}},
	{"LargeChunks", func(i int) Upload {
		return unfinished(i, Upload{Declared: -1, Chunk: LargeChunk, Size: maxBodyBytes})
	}},
	{"SmallChunks", func(i int) Upload {
		return unfinished(i, Upload{Declared: -1, Chunk: SmallChunk, Size: maxBodyBytes})
	}},
	{"OversizedAnnounced", func(int) Upload { return Upload{Declared: 1 << 30, Chunk: LargeChunk, Size: oversizedBytes} }},
	{"OversizedSent", func(int) Upload { return Upload{Declared: -1, Chunk: LargeChunk, Size: oversizedBytes} }},
}

// unfinished drops the end of an upload, except for each completeEvery-th client.
func unfinished(client int, u Upload) Upload {
	if client%completeEvery == 0 {
		u.Complete = true
		return u
	}
	u.Size--
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
