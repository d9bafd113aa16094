package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/clock"
	"github.com/filbertmux/filbertmux/platform/platformtest"
)

// Guards against a refusal from whose log line nobody can tell which belief kept the servers
// from being used, and against a line that names one after its end.
func TestRefusalNamesWhatHeldServersBack(t *testing.T) {
	leaving, paused, full := platformtest.NewServer("s1"), platformtest.NewServer("s2"), platformtest.NewServer("s3")
	for _, s := range []*platformtest.Server{leaving, paused, full} {
		defer s.Close()
	}
	f := newFixture(t, leaving, paused, full)
	svc := f.gateway.services.get(platformtest.PlainService, f.gateway.state)
	now := clock.Now()
	svc.mu.Lock()
	svc.statements.RecordLeaving("s1")
	svc.statements.RecordPause(now, "s2", time.Minute)
	svc.applyStatements("s1")
	svc.applyStatements("s2")
	svc.mu.Unlock()
	require.Equal(t, http.StatusOK, f.send(http.MethodPost, bookingPath, "a").status)
	svc.mu.Lock()
	svc.scheduler.SetPeerLoad(func(string) int { return 1000 })
	svc.mu.Unlock()
	require.Equal(t, http.StatusServiceUnavailable, f.send(http.MethodPost, bookingPath, "b").status)
	require.True(t, f.logs.contains(`"request_id":"b"`, `"held_back":{"leaving":1,"paused":1,"full":3}`))
	require.False(t, f.logs.contains(`"request_id":"a"`, "held_back"))

	f.gateway.services.reportHeldBack(clock.Now(), f.gateway.metrics)
	f.eventually(func() bool { return f.hasMetric(`filbertmux_servers_held_back{`, `reason="full"`, ` 3`) })
	require.True(t, f.hasMetric(`filbertmux_servers_held_back{`, `reason="leaving"`, `service="`+platformtest.PlainService+`"`, ` 1`))
	svc.mu.Lock()
	svc.scheduler.SetPeerLoad(func(string) int { return 0 })
	svc.mu.Unlock()
	f.gateway.services.reportHeldBack(clock.Now(), f.gateway.metrics)
	f.eventually(func() bool { return f.hasMetric(`filbertmux_servers_held_back{`, `reason="full"`, ` 0`) })
}

// hasMetric reports whether a line of the metrics contains all parts.
func (f *fixture) hasMetric(parts ...string) bool {
	w := httptest.NewRecorder()
	f.gateway.metrics.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", http.NoBody))
	text := &logBuffer{}
	_, _ = text.Write(w.Body.Bytes())
	return text.contains(parts...)
}
