// Package telemetry sets up the JSON log lines and the metrics of a daemon.
//
// All exported functions and the methods of Metrics are safe for concurrent
// use.
package telemetry

import (
	"context"
	"io"

	"github.com/rs/zerolog"

	"github.com/filbertmux/filbertmux/base/invariant"
)

// RequestIDField is the name of the field that every log line of a request has.
const RequestIDField = "request_id"

// NewLogger returns a logger that writes one JSON object a line to w.
func NewLogger(w io.Writer, level zerolog.Level, role, instance string) zerolog.Logger {
	return zerolog.New(zerolog.SyncWriter(w)).Level(level).With().
		Timestamp().
		Str("role", role).
		Str("instance", instance).
		Logger()
}

// WithRequest returns a context whose logger adds the request id.
func WithRequest(ctx context.Context, log zerolog.Logger, requestID string) context.Context {
	l := log.With().Str(RequestIDField, requestID).Logger()
	return l.WithContext(ctx)
}

// Log returns the logger of the request in ctx, or a disabled one.
func RequestLogger(ctx context.Context) *zerolog.Logger { return zerolog.Ctx(ctx) }

// LogViolations sends violated invariants of this process to log.
func LogViolations(log zerolog.Logger) {
	invariant.SetHandler(func(message string) {
		log.Error().Str("violation", message).Msg("invariant violated")
	})
}
