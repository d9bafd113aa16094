package entry

import (
	"net/http"
	"strconv"
	"time"

	"github.com/filbertmux/filbertmux/base/errkind"
)

// timeoutHeader holds the time in milliseconds after which the caller gives up.
const timeoutHeader = "X-Request-Timeout-Ms"

// callerTimeout returns the time that the caller waits, at most limit.
func callerTimeout(r *http.Request, limit time.Duration) (time.Duration, error) {
	text := r.Header.Get(timeoutHeader)
	if text == "" {
		return limit, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 {
		return limit, errkind.New(errkind.InvalidRequest, "%s %q: want a positive number", timeoutHeader, text)
	}
	if ms >= limit.Milliseconds() {
		return limit, nil
	}
	return time.Duration(ms) * time.Millisecond, nil
}
