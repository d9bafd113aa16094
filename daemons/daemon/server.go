package daemon

import (
	"context"
	"crypto/subtle"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"github.com/filbertmux/filbertmux/daemons/inbound"
	"github.com/filbertmux/filbertmux/serve/drain"
)

// writeTimeout bounds each write to a client that does not read. Without it, an
// unresponsive client would block its handler until TCP gives up, which takes
// minutes.
const writeTimeout = 30 * time.Second

// idleTimeout is how long a connection stays open without a request. The clients of this
// project close theirs earlier.
const idleTimeout = 2 * time.Minute

// Server is one HTTP server of a daemon.
type Server struct {
	Name     string
	Listener net.Listener
	Handler  http.Handler
	// MaxHeaderBytes and HeaderTimeout bound the size of the request headers and
	// the time to read them.
	MaxHeaderBytes int
	HeaderTimeout  time.Duration
	// Connections bounds the connections. It may be nil.
	Connections *inbound.Connections
	// Gate refuses new requests on stop and reports when the last one in flight
	// has ended. Without a gate, the server shuts down at once.
	Gate *drain.Gate
	// DrainTimeout bounds the wait for requests in flight; 0 means no bound.
	DrainTimeout time.Duration
	// Abort fails the requests that are still in flight after DrainTimeout.
	Abort func()
}

// Serve runs s for the lifetime of the application. On stop, the gate refuses
// new requests, and the server shuts down after the last request in flight.
func Serve(lc fx.Lifecycle, log zerolog.Logger, s Server) {
	server := &http.Server{
		Handler:           withWriteDeadline(s.Handler),
		MaxHeaderBytes:    s.MaxHeaderBytes,
		ReadHeaderTimeout: s.HeaderTimeout,
		IdleTimeout:       idleTimeout,
	}
	address := s.Listener.Addr().String()
	if s.Connections != nil {
		s.Connections.Observe(server)
		s.Listener = s.Connections.Listen(s.Listener)
	}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() {
				if err := server.Serve(s.Listener); !errors.Is(err, http.ErrServerClosed) {
					log.Error().Err(err).Str("server", s.Name).Msg("HTTP server failed")
				}
			}()
			log.Info().Str("server", s.Name).Str("address", address).Msg("listening")
			return nil
		},
		OnStop: func(ctx context.Context) error {
			s.drain(ctx, log)
			return server.Shutdown(ctx)
		},
	})
}

func (s Server) drain(ctx context.Context, log zerolog.Logger) {
	if s.Gate == nil {
		return
	}
	s.Gate.Terminate()
	log.Info().Str("server", s.Name).Int("in_flight", s.Gate.InFlight()).Msg("draining")
	var timeout <-chan time.Time
	if s.DrainTimeout > 0 {
		timer := time.NewTimer(s.DrainTimeout)
		defer timer.Stop()
		timeout = timer.C
	}
	select {
	case <-s.Gate.Stopped():
	case <-ctx.Done():
	case <-timeout:
		log.Warn().Str("server", s.Name).Int("in_flight", s.Gate.InFlight()).Msg("drain timeout exceeded; aborting requests in flight")
		s.Abort()
	}
}

// RequireToken responds with status 401 to requests without the bearer token. An
// empty token disables the check.
func RequireToken(token string, next http.Handler) http.Handler {
	if token == "" {
		return next
	}
	want := []byte("Bearer " + token)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), want) != 1 {
			http.Error(w, "peer token required", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// TokenTransport is an http.RoundTripper that adds the bearer token to each
// request. An empty token leaves requests unchanged.
type TokenTransport struct {
	Token string
	Base  http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t TokenTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if t.Token == "" {
		return t.Base.RoundTrip(r)
	}
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+t.Token)
	return t.Base.RoundTrip(r)
}

func withWriteDeadline(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(&deadlineWriter{ResponseWriter: w, control: http.NewResponseController(w)}, r)
	})
}

// deadlineWriter renews the write deadline on each write and flush.
type deadlineWriter struct {
	http.ResponseWriter
	control *http.ResponseController
}

// Write implements io.Writer.
func (w *deadlineWriter) Write(b []byte) (int, error) {
	w.renewDeadline()
	return w.ResponseWriter.Write(b)
}

// Flush implements http.Flusher.
func (w *deadlineWriter) Flush() {
	w.renewDeadline()
	_ = w.control.Flush()
}

// Unwrap gives http.ResponseController access to the underlying writer.
func (w *deadlineWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *deadlineWriter) renewDeadline() {
	// The error is ignored because httptest.ResponseRecorder has no deadlines.
	_ = w.control.SetWriteDeadline(time.Now().Add(writeTimeout))
}
