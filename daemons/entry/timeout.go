package entry

import (
	"net/http"
	"strconv"
	"time"

	"github.com/filbertmux/filbertmux/base/errkind"
)

// timeoutHeader is the request header with the caller's timeout in milliseconds.
const timeoutHeader = "X-Request-Timeout-Ms"

// callerTimeout returns the timeout that the caller requests, at most limit.
// Without the header it is limit.
func callerTimeout(r *http.Request, limit time.Duration) (time.Duration, error) {
	value := r.Header.Get(timeoutHeader)
	if value == "" {
		return limit, nil
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms <= 0 {
		return limit, errkind.New(errkind.InvalidRequest, "%s %q: want a positive number of milliseconds", timeoutHeader, value)
	}
	if ms >= limit.Milliseconds() {
		return limit, nil
	}
	return time.Duration(ms) * time.Millisecond, nil
}
