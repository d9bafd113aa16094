package inbound

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/telemetry"
	"github.com/filbertmux/filbertmux/internal/bubble"
	"github.com/filbertmux/filbertmux/internal/memnet"
	"github.com/filbertmux/filbertmux/serve/bytebudget"
	"github.com/filbertmux/filbertmux/serve/connlimit"
)

func TestMain(m *testing.M) { bubble.Main(m) }

const (
	address = "server:80"
	// maxBody is the largest body that a caller may send.
	maxBody = 1 << 20
)

// daemon is a server that reads requests within bounds. It runs in a bubble of virtual time,
// over connections in memory.
type daemon struct {
	t           *testing.T
	network     *memnet.Network
	server      *http.Server
	memory      *Memory
	connections *Connections
	// hold keeps the requests in progress whose path is /hold until it is closed.
	hold chan struct{}
}

// budgetConfig is a budget in which a few bodies of the largest size have room.
func budgetConfig() bytebudget.Config {
	cfg := Divide(0, 1).Budget
	cfg.Total, cfg.Reserve = 5*maxBody, maxBody
	return cfg
}

func connConfig(n int) connlimit.Config {
	return connlimit.Config{Max: n, MaxPipelined: 1, MaxHeadBytes: 64 << 10}
}

func newDaemon(t *testing.T, b bytebudget.Config, c connlimit.Config) *daemon {
	metrics := telemetry.NewMetrics("test", "t1", zerolog.Nop())
	d := &daemon{
		t: t, network: memnet.New(), hold: make(chan struct{}),
		memory: NewMemory(b, metrics), connections: NewConnections(c, metrics),
	}
	listener, err := d.network.Listen(address)
	require.NoError(t, err)
	d.server = &http.Server{Handler: d}
	d.connections.Observe(d.server)
	go func() { _ = d.server.Serve(d.connections.Listen(listener)) }()
	t.Cleanup(func() {
		_ = d.server.Close()
		_ = metrics.Close()
	})
	return d
}

// ServeHTTP responds with the size of the body. Refusals have the kind of their error as
// their body.
func (d *daemon) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	organisation := r.Header.Get("Organisation")
	q, err := d.memory.Read(w, r, ReadOptions{Organisation: organisation, MaxBody: maxBody})
	if err != nil {
		e := errkind.Of(err)
		Refuse(w, r, e, func() {
			text := e.Kind.String()
			w.Header().Set("Content-Length", strconv.Itoa(len(text)))
			w.WriteHeader(e.Kind.Attributes().HTTPStatus)
			_, _ = io.WriteString(w, text)
		})
		return
	}
	defer q.Close()
	if r.URL.Path == "/hold" {
		<-d.hold
	}
	_, _ = fmt.Fprintf(w, "%d bytes", q.Body().Len())
}

// dial opens a connection whose responses arrive in the channel, as "status body".
func (d *daemon) dial() (net.Conn, <-chan string) {
	conn, err := d.network.DialContext(d.t.Context(), "", address)
	require.NoError(d.t, err)
	d.t.Cleanup(func() { _ = conn.Close() })
	responses := make(chan string, 10)
	go func() {
		defer close(responses)
		for reader := bufio.NewReader(conn); ; {
			resp, err := http.ReadResponse(reader, nil)
			if err != nil {
				return
			}
			body, _ := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			responses <- fmt.Sprintf("%d %s", resp.StatusCode, strings.TrimSpace(string(body)))
		}
	}()
	return conn, responses
}

// head is the head of a request with a body.
func head(path, framing string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: h\r\nOrganisation: o\r\n" + framing + "\r\n\r\n"
}

// post sends a request with a small body on a connection of its own.
func (d *daemon) post(path string) <-chan string {
	conn, responses := d.dial()
	go func() { _, _ = io.WriteString(conn, head(path, "Content-Length: 4")+"body") }()
	return responses
}

// requireNothingHeld waits until the connections have ended and checks that all bytes were
// given back.
func (d *daemon) requireNothingHeld() {
	d.t.Helper()
	time.Sleep(time.Minute)
	synctest.Wait()
	require.Zero(d.t, d.memory.Held())
	require.Zero(d.t, d.memory.budget.WaitingCount())
}
