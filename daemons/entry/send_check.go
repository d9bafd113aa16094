package entry

import (
	"context"
	"io"
	"net/http"
)

// sendCheck returns an error if a request must not be sent any more.
type sendCheck func() error

type sendCheckKey struct{}

// withSendCheck returns a context for one HTTP request. The request is checked again when
// its connection is ready, because the wait for a connection may take seconds.
func withSendCheck(ctx context.Context, check sendCheck) context.Context {
	return context.WithValue(ctx, sendCheckKey{}, check)
}

// unsentError is the error of a request that failed its check. It proves that no part of
// the body was sent.
type unsentError struct{ cause error }

// Error implements error.
func (e *unsentError) Error() string { return "request not sent: " + e.cause.Error() }

// Unwrap returns the error of the check.
func (e *unsentError) Unwrap() error { return e.cause }

// sendCheckTransport applies the checks of withSendCheck.
type sendCheckTransport struct{ base http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t sendCheckTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	check, ok := r.Context().Value(sendCheckKey{}).(sendCheck)
	if !ok || r.Body == nil {
		return t.base.RoundTrip(r)
	}
	checked := r.WithContext(r.Context())
	checked.Body = &checkedBody{ReadCloser: r.Body, check: check}
	if r.GetBody != nil {
		checked.GetBody = func() (io.ReadCloser, error) {
			body, err := r.GetBody()
			if err != nil {
				return nil, err
			}
			return &checkedBody{ReadCloser: body, check: check}, nil
		}
	}
	return t.base.RoundTrip(checked)
}

// checkedBody checks before the first read. The transport reads a body of known length
// when it writes the request to its connection.
type checkedBody struct {
	io.ReadCloser
	check  sendCheck
	passed bool
}

// Read implements io.Reader.
func (b *checkedBody) Read(p []byte) (int, error) {
	if !b.passed {
		if err := b.check(); err != nil {
			return 0, &unsentError{cause: err}
		}
		b.passed = true
	}
	return b.ReadCloser.Read(p)
}
