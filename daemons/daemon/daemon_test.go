package daemon_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/signal"
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

// Guards against a first or second SIGTERM that aborts a response in flight.
func TestSignalsDoNotAbortRequests(t *testing.T) {
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
	module := fx.Options(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Invoke(func(lc fx.Lifecycle) {
			daemon.Serve(lc, zerolog.Nop(), daemon.Server{Name: "test", Listener: listener, Handler: handler, Gate: gate})
		}),
	)
	stopped := make(chan error, 1)
	go func() { stopped <- daemon.Process{Log: zerolog.Nop()}.Run(context.Background(), module) }()
	bodies := make(chan string, 1)
	go func() { bodies <- getBody(listener.Addr().String()) }()
	<-started
	sendSignal(t, syscall.SIGTERM)
	<-gate.Draining()
	sendSignal(t, syscall.SIGTERM)
	require.Error(t, gate.Enter())
	close(finish)
	require.Equal(t, "first last", <-bodies)
	require.NoError(t, <-stopped)
}

// Guards against SIGHUP that ends the process or isn't passed on, and against a late
// SIGTERM that ends the process with its default action while it exits.
func TestHangupsAndLateSignals(t *testing.T) {
	reloads := make(chan struct{}, 10)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	process := daemon.Process{Log: zerolog.Nop(), Reload: func() { reloads <- struct{}{} }}
	go func() {
		stopped <- process.Run(ctx, fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
			fx.Invoke(func() error { return syscall.Kill(syscall.Getpid(), syscall.SIGHUP) }))
	}()
	<-reloads
	for range 3 {
		sendSignal(t, syscall.SIGHUP)
		<-reloads
	}
	cancel()
	require.NoError(t, <-stopped)
	for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP} {
		// The default action would end the process.
		require.NoError(t, syscall.Kill(syscall.Getpid(), s))
		time.Sleep(50 * time.Millisecond)
	}
}

// sendSignal sends a signal to this process and waits for its delivery, so that it
// doesn't reach a daemon that a later test starts.
func sendSignal(t *testing.T, s syscall.Signal) {
	t.Helper()
	delivered := make(chan os.Signal, 1)
	signal.Notify(delivered, s)
	defer signal.Stop(delivered)
	require.NoError(t, syscall.Kill(syscall.Getpid(), s))
	<-delivered
}

func getBody(address string) string {
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

// Guards against a drain timeout that does not stop a process whose request
// never finishes.
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

// Guards against calls from processes without the peer token.
func TestRequireTokenRejectsOtherTokens(t *testing.T) {
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
