// Package proxyhttp holds what entry and sidecar both know of the HTTP messages
// that they pass on. Its functions are pure.
package proxyhttp

import (
	"bytes"
	"mime"
	"net"

	"github.com/go-faster/errors"
)

// hopHeaders concern one connection only (RFC 9110, section 7.6.1).
// Content-Length is set anew for each connection.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

// IsHopHeader reports whether a header of this canonical name must not be
// passed on.
func IsHopByHopHeader(name string) bool { return hopHeaders[name] }

// IsEventStream reports whether a Content-Type is that of server-sent events.
func IsEventStream(contentType string) bool {
	mediaType, _, err := mime.ParseMediaType(contentType)
	return err == nil && mediaType == "text/event-stream"
}

// EventData returns the data of a line of server-sent events, if it has any.
func EventData(line []byte) (data []byte, ok bool) {
	data, ok = bytes.CutPrefix(line, []byte("data:"))
	return bytes.TrimSpace(data), ok
}

// IsDone reports whether the data of an event ends a whole completion stream.
func IsDoneMarker(data []byte) bool { return string(data) == "[DONE]" }

// IsDialError reports whether the connection was never made, which proves that
// nothing was sent on it.
func IsDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
