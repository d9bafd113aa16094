package daemon_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/filbertmux/filbertmux/daemons/daemon"
	"github.com/filbertmux/filbertmux/serve/drain"
)

// Guards against SIGTERM, or a second one, that cuts off an answer in flight.
func TestSignalsDoNotCutOffRequests(t *testing.T) {
	gate := drain.NewGate()
	started, finish := make(chan struct{}), make(chan struct{})
	listener, err := daemon.Listen(nil, "127.0.0.1:0")
	require.NoError(t, err)
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if gate.Enter() != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		defer gate.Exit()
		_, _ = io.WriteString(w, "first ")
		_ = http.NewResponseController(w).Flush()
		close(started)
		<-finish
		_, _ = io.WriteString(w, "last")
	})
	app := fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Invoke(func(lc fx.Lifecycle) {
			daemon.Serve(lc, zerolog.Nop(), daemon.Server{Name: "test", Listener: listener, Handler: handler, Gate: gate})
		}),
	)
	stopped := make(chan error, 1)
	go func() { stopped <- daemon.Run(context.Background(), app) }()
	answers := make(chan string, 1)
	go func() { answers <- get(listener.Addr().String()) }()
	<-started
	require.NoError(t, syscall.Kill(syscall.Getpid(), syscall.SIGTERM))
	<-gate.Draining()
	require.NoError(t, syscall.Kill(syscall.Getpid(), syscall.SIGTERM))
	require.Error(t, gate.Enter())
	close(finish)
	require.Equal(t, "first last", <-answers)
	require.NoError(t, <-stopped)
}

func get(address string) string {
	resp, err := http.Get("http://" + address)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	return string(body)
}

// Guards against a drain timeout that does not end a process whose request
// never ends.
func TestDrainTimeoutAborts(t *testing.T) {
	gate := drain.NewGate()
	listener, err := daemon.Listen(nil, "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, gate.Enter())
	app := fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Invoke(func(lc fx.Lifecycle) {
			daemon.Serve(lc, zerolog.Nop(), daemon.Server{
				Name: "test", Listener: listener, Handler: http.NotFoundHandler(),
				Gate: gate, DrainTimeout: time.Millisecond, Abort: gate.Exit,
			})
		}),
	)
	require.NoError(t, app.Start(context.Background()))
	require.NoError(t, app.Stop(context.Background()))
	<-gate.Stopped()
}

// Guards against a process outside the system that calls a sidecar.
func TestPeerToken(t *testing.T) {
	ok := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	server := httptest.NewServer(daemon.RequireToken("secret", ok))
	defer server.Close()
	for token, want := range map[string]int{"secret": 200, "other": 401, "": 401} {
		client := http.Client{Transport: daemon.TokenTransport{Token: token, Base: http.DefaultTransport}}
		resp, err := client.Get(server.URL)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, want, resp.StatusCode, token)
	}
}
