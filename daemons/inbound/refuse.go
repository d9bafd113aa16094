package inbound

import (
	"io"
	"net/http"
	"time"

	"github.com/filbertmux/filbertmux/base/errkind"
)

const (
	// drainBytes and drainTime bound the rest of a body that is read and dropped after a
	// refusal. A client that writes its whole body before it reads would get a reset
	// instead of the response. The largest body takes 1.2 s on the slowest link.
	drainBytes = 4 << 20
	drainTime  = 1500 * time.Millisecond
	// smallDrainTime is the time for the rest of a small body, whose connection is kept.
	smallDrainTime = 500 * time.Millisecond
)

// Refuse responds to a request whose body wasn't read, by calling write, and drops the rest of
// the body. The response needs a Content-Length, because it is complete before the handler
// ends. The connection is kept only if the body is small and its client didn't cause the
// refusal.
func Refuse(w http.ResponseWriter, r *http.Request, err *errkind.Error, write func()) {
	if r.Body == nil || r.Body == http.NoBody {
		write()
		return
	}
	if r.ContentLength > 0 && r.ContentLength <= BlockBytes && !blamesBody(err.Kind) {
		// net/http reads the rest before it sends the response.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(smallDrainTime))
		write()
		return
	}
	w.Header().Set("Connection", "close")
	write()
	dropRest(w, r)
}

// dropRest sends what has been written of a response, and drops the rest of the body of its
// request.
func dropRest(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Expect") != "" {
		return // the client hasn't sent the body
	}
	control := http.NewResponseController(w)
	_ = control.Flush()
	connOf(r.Context()).setClosing()
	_ = control.SetReadDeadline(time.Now().Add(drainTime))
	_, _ = io.CopyN(io.Discard, r.Body, drainBytes) // ends with the body, or at a bound
}

// blamesBody reports whether the body is why the request was refused.
func blamesBody(k errkind.Kind) bool {
	switch k {
	case errkind.RequestTooLarge, errkind.SlowBody, errkind.MemoryExhausted, errkind.Canceled:
		return true
	default:
		return false
	}
}
