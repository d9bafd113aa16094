package standin

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/go-faster/errors"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/infra"
)

func writeResult(w http.ResponseWriter, value any, err error) {
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, value)
}

func writeError(w http.ResponseWriter, err error) {
	var trimmed *infra.TrimmedError
	if errors.As(err, &trimmed) {
		writeJSON(w, http.StatusGone, infra.TrimmedResponse{Oldest: trimmed.Oldest, End: trimmed.End})
		return
	}
	e := errkind.Of(err)
	status := e.Kind.Attributes().HTTPStatus
	if e.Kind == errkind.PlatformRateLimited {
		status = http.StatusTooManyRequests
		w.Header().Set("Retry-After", strconv.Itoa(max(1, int(e.RetryAfter.Seconds()))))
	}
	writeJSON(w, status, map[string]string{"error": e.Error()})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
