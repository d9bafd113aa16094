package standin_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/measure/standin"
)

// Guards against tests that see a call where only a sidecar checks the health of its backend
// server, which it does each second: on a busy machine that is before the test looks.
func TestHealthChecksAreNoCalls(t *testing.T) {
	p := standin.NewPlainService(standin.PlainServiceConfig{Name: "order-book"})
	for _, path := range []string{"/health", "/stock/a"} {
		w := httptest.NewRecorder()
		p.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, http.NoBody))
		require.Equal(t, http.StatusOK, w.Code)
	}
	require.Equal(t, 1, p.Calls())
}
