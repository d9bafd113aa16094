// Package proxyhttp holds the rules for forwarded HTTP messages that entry and
// sidecar share. Its functions are pure.
package proxyhttp

import (
	"bytes"
	"mime"
	"net"

	"github.com/go-faster/errors"
)

// hopByHopHeaders apply to a single connection (RFC 9110, section 7.6.1).
// Content-Length is included because it is set anew on each connection.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

// IsHopByHopHeader reports whether a proxy must not forward the header with this
// canonical name.
func IsHopByHopHeader(name string) bool { return hopByHopHeaders[name] }

// IsStatus reports whether a number is a status code of HTTP (RFC 9110, section 15). net/http
// reads others as well, such as 000, and writes a response with status 0 as 200.
func IsStatus(status int) bool { return status >= 100 && status <= 599 }

// IsEventStream reports whether a Content-Type denotes server-sent events.
func IsEventStream(contentType string) bool {
	mediaType, _, err := mime.ParseMediaType(contentType)
	return err == nil && mediaType == "text/event-stream"
}

// EventData returns the value of a data line of a server-sent event. ok is false
// for other lines.
func EventData(line []byte) (data []byte, ok bool) {
	data, ok = bytes.CutPrefix(line, []byte("data:"))
	return bytes.TrimSpace(data), ok
}

// IsDoneMarker reports whether event data is the [DONE] marker that ends a
// complete completion stream.
func IsDoneMarker(data []byte) bool { return string(data) == "[DONE]" }

// IsDialError reports whether the connection was never established, which proves
// that no part of the request was sent.
func IsDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
