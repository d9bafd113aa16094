package agentconn_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/daemons/rankagent/agentconn"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
)

// service answers with what it was asked, and counts the calls.
type service struct {
	calls   atomic.Int64
	timeout atomic.Int64
	// silent makes the service answer only after the caller's deadline.
	silent atomic.Bool
}

func (s *service) Read(ctx context.Context, m *pb.ReadRankRequest) (*pb.ReadRankResponse, error) {
	s.calls.Add(1)
	deadline, _ := ctx.Deadline()
	s.timeout.Store(int64(time.Until(deadline)))
	if s.silent.Load() {
		<-ctx.Done()
		time.Sleep(100 * time.Millisecond)
	}
	return &pb.ReadRankResponse{Seen: m.GetToken()}, nil
}

func (s *service) Order(_ context.Context, m *pb.OrderRankRequest) (*pb.OrderRankResponse, error) {
	if m.GetVersion() == 0 {
		return nil, errors.New("no version")
	}
	return &pb.OrderRankResponse{Accepted: true}, nil
}

// serve serves an agent at an address and returns a function that stops it.
func serve(t *testing.T, address string, s *service) (at string, stop func()) {
	t.Helper()
	listener, err := net.Listen("tcp4", address)
	require.NoError(t, err)
	calls := agentconn.NewServer(s)
	mux := http.NewServeMux()
	mux.Handle(agentconn.Path, calls)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(listener)
	}()
	return listener.Addr().String(), func() {
		calls.Close()
		_ = server.Close()
		<-done
	}
}

// dialer counts the connections that it opens.
type dialer struct {
	net.Dialer
	opened atomic.Int64
}

func (d *dialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	d.opened.Add(1)
	return d.DialContext(ctx, network, address)
}

func within(t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	return ctx
}

// Guards against a call whose answer belongs to another call, against a connection for each
// call, and against an agent that goes on with a call that its caller has given up.
func TestCalls(t *testing.T) {
	s, d := &service{}, &dialer{}
	address, stop := serve(t, "127.0.0.1:0", s)
	defer stop()
	c := agentconn.NewClient(address, d.dial)
	defer c.Close()
	for token := range int64(5) {
		r, err := c.Read(within(t, time.Minute), &pb.ReadRankRequest{Token: token})
		require.NoError(t, err)
		require.Equal(t, token, r.GetSeen())
		_, err = c.Order(within(t, time.Minute), &pb.OrderRankRequest{})
		require.ErrorContains(t, err, "no version")
		o, err := c.Order(within(t, time.Minute), &pb.OrderRankRequest{Version: 1})
		require.NoError(t, err)
		require.True(t, o.GetAccepted())
	}
	require.EqualValues(t, 1, d.opened.Load())
	require.InDelta(t, time.Minute, time.Duration(s.timeout.Load()), float64(30*time.Second), "the agent knows the deadline")
	_, err := c.Read(t.Context(), &pb.ReadRankRequest{})
	require.ErrorContains(t, err, "deadline")
}

// Guards against an agent that can't be called after it was started again, or after a call
// that it didn't answer. A late answer must not count for the next call.
func TestCallsAfterFailures(t *testing.T) {
	s, d := &service{}, &dialer{}
	address, stop := serve(t, "127.0.0.1:0", s)
	c := agentconn.NewClient(address, d.dial)
	defer c.Close()
	_, err := c.Read(within(t, time.Minute), &pb.ReadRankRequest{Token: 1})
	require.NoError(t, err)
	stop()
	_, err = c.Read(within(t, time.Minute), &pb.ReadRankRequest{Token: 2})
	require.Error(t, err, "the agent is gone, with its open connections")
	_, stop = serve(t, address, s)
	_, err = c.Read(within(t, time.Minute), &pb.ReadRankRequest{Token: 3})
	require.NoError(t, err)
	stop()
	_, stop = serve(t, address, s)
	defer stop()
	calls := s.calls.Load()
	_, err = c.Read(within(t, time.Minute), &pb.ReadRankRequest{Token: 4})
	require.NoError(t, err, "the connection has closed, so the call goes to a new one")
	require.Equal(t, calls+1, s.calls.Load())

	s.silent.Store(true)
	start := time.Now()
	_, err = c.Read(within(t, 50*time.Millisecond), &pb.ReadRankRequest{Token: 5})
	require.Error(t, err)
	require.GreaterOrEqual(t, time.Since(start), 50*time.Millisecond)
	require.Equal(t, calls+2, s.calls.Load(), "a call that timed out isn't repeated")
	s.silent.Store(false)
	r, err := c.Read(within(t, time.Minute), &pb.ReadRankRequest{Token: 6})
	require.NoError(t, err)
	require.EqualValues(t, 6, r.GetSeen())
}

// Guards against a holder that can't call agents of earlier builds, and against a response
// without end of another server that has taken over the address.
func TestOtherServers(t *testing.T) {
	for name, c := range map[string]struct {
		handler   http.HandlerFunc
		notServed bool
	}{
		"earlier build": {http.NotFound, true},
		"endless head": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Filler", strings.Repeat("x", 1<<20))
			w.WriteHeader(http.StatusNotFound)
		}, false},
	} {
		server := httptest.NewServer(c.handler)
		client := agentconn.NewClient(server.Listener.Addr().String(), (&net.Dialer{}).DialContext)
		_, err := client.Read(within(t, time.Minute), &pb.ReadRankRequest{})
		require.Error(t, err, name)
		require.Equal(t, c.notServed, errors.Is(err, agentconn.ErrNotServed), "%s: %v", name, err)
		server.Close()
	}
	s := &service{}
	address, stop := serve(t, "127.0.0.1:0", s)
	defer stop()
	response, err := http.Get("http://" + address + agentconn.Path)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusUpgradeRequired, response.StatusCode)
}
