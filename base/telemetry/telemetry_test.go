package telemetry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/telemetry"
)

// Guards against log lines of a request without its request id.
func TestRequestLogLinesHaveRequestID(t *testing.T) {
	var out bytes.Buffer
	log := telemetry.NewLogger(&out, zerolog.InfoLevel, "entry", "e1")
	ctx := telemetry.WithRequest(context.Background(), log, "r1")
	telemetry.RequestLogger(ctx).Info().Msg("answered")
	telemetry.RequestLogger(ctx).Debug().Msg("below the level")
	var line map[string]any
	require.NoError(t, json.Unmarshal(out.Bytes(), &line))
	require.Equal(t, "r1", line[telemetry.RequestIDField])
	require.Equal(t, "entry", line["role"])
}

// Guards against an unbounded number of time series, here for 1,100 organisations,
// and against an endpoint without metrics.
func TestMetricLabelsAreBounded(t *testing.T) {
	m := telemetry.NewMetrics("entry", "e1", zerolog.Nop())
	for i := range 1100 {
		r := telemetry.RequestLabels{Organisation: fmt.Sprintf("org-%d", i), Class: "desk", Service: "s"}
		m.ObserveRequest(r, "ok", time.Millisecond)
	}
	m.SetGauge("in_flight", 3)
	require.NoError(t, m.Close())
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	text := w.Body.String()
	require.Equal(t, telemetry.MaxOrganisationLabels+1, strings.Count(text, "filbertmux_request_seconds_count{"))
	require.Contains(t, text, `organisation="other"`)
	require.Contains(t, text, `filbertmux_in_flight{instance="e1",role="entry"} 3`)
	require.Contains(t, text, `outcome="ok"`)
}

// Guards against log lines without a bound while requests are refused.
func TestLineLimiter(t *testing.T) {
	l := telemetry.NewLineLimiter(2)
	now := time.Now()
	require.Equal(t, []bool{true, true, false}, []bool{l.Allow(now), l.Allow(now), l.Allow(now.Add(999 * time.Millisecond))})
	require.True(t, l.Allow(now.Add(time.Second)))
}

// Guards against a counter that doesn't tell its reasons apart.
func TestLabelledCounter(t *testing.T) {
	m := telemetry.NewMetrics("gateway", "g1", zerolog.Nop())
	m.AddToLabelled("refusals", "reason", "slow", 1)
	m.AddToLabelled("refusals", "reason", "no_room", 2)
	require.NoError(t, m.Close())
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	require.Contains(t, w.Body.String(), `filbertmux_refusals{instance="g1",reason="no_room",role="gateway"} 2`)
}
