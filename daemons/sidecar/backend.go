package sidecar

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/filbertmux/filbertmux/base/errkind"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/internal/proxyhttp"
)

// backendClient sends calls to the local backend server. It is safe for
// concurrent use.
type backendClient struct {
	baseURL *url.URL
	client  *http.Client
}

func newBackendClient(base string) (*backendClient, error) {
	u, err := url.Parse(base)
	if err != nil {
		return nil, errkind.Wrap(errkind.InvalidSettings, err, "invalid backend URL")
	}
	return &backendClient{baseURL: u, client: newHTTPClient()}, nil
}

// maxResponseHeaderBytes bounds the header of a response, with the informational responses
// before it. A faulty server may send one without end.
const maxResponseHeaderBytes = 64 << 10

// newHTTPClient returns a client that does not follow redirects. Each call uses a new
// connection: http.Transport retries a request with an Idempotency-Key header when a
// reused connection breaks, and a backend server may write the response to an earlier
// call once more, which can't be told from the response to the next call.
func newHTTPClient() *http.Client {
	return &http.Client{
		// DisableKeepAlives would add "Connection: close" to the requests. A server of
		// net/http then doesn't notice the end of a connection while it hasn't read the
		// body, and a cancelled call would go on there.
		Transport: &http.Transport{
			MaxIdleConnsPerHost: -1, DisableCompression: true, MaxResponseHeaderBytes: maxResponseHeaderBytes,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// send sends the call and returns the response with its body open. An error with
// execution status NotRun proves that the backend server did not receive the call.
func (b *backendClient) send(ctx context.Context, call *pb.CallRequest) (*http.Response, error) {
	req, err := b.newRequest(ctx, call)
	if err != nil {
		return nil, err
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return nil, backendError(ctx, err)
	}
	if err := checkStatus(resp); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// checkStatus reports that the status of a response is none that a server may send.
func checkStatus(resp *http.Response) error {
	if !proxyhttp.IsStatus(resp.StatusCode) || resp.StatusCode == http.StatusSwitchingProtocols {
		return errkind.New(errkind.BackendFailed, "response has the invalid status %03d", resp.StatusCode)
	}
	return nil
}

func (b *backendClient) newRequest(ctx context.Context, call *pb.CallRequest) (*http.Request, error) {
	target, err := url.ParseRequestURI(call.GetPath())
	if err != nil {
		return nil, errkind.Wrap(errkind.InvalidRequest, err, "invalid path")
	}
	u := *b.baseURL
	u.Path = strings.TrimSuffix(b.baseURL.Path, "/") + target.Path
	u.RawPath = ""
	if target.RawPath != "" {
		u.RawPath = strings.TrimSuffix(b.baseURL.EscapedPath(), "/") + target.RawPath
	}
	u.RawQuery = target.RawQuery
	req, err := http.NewRequestWithContext(ctx, call.GetMethod(), u.String(), bytes.NewReader(call.GetBody()))
	if err != nil {
		return nil, errkind.Wrap(errkind.InvalidRequest, err, "create the HTTP request")
	}
	// http.Transport does not retry a request that has a body other than
	// http.NoBody and no GetBody. A transparent retry of an idempotent call would
	// hide that the call crashed the backend server.
	req.GetBody = nil
	req.Body = io.NopCloser(bytes.NewReader(call.GetBody()))
	for _, h := range call.GetHeaders() {
		req.Header[http.CanonicalHeaderKey(h.GetName())] = h.GetValues()
	}
	if call.GetIdempotencyKey() != "" {
		req.Header.Set("Idempotency-Key", call.GetIdempotencyKey())
	}
	return req, nil
}

// backendError classifies a failed call. Only a failed dial proves that the
// backend server did not receive the call.
func backendError(ctx context.Context, err error) *errkind.Error {
	switch {
	case proxyhttp.IsDialError(err):
		return errkind.Wrap(errkind.BackendUnavailable, err, "connect to backend server")
	case ctx.Err() != nil:
		return errkind.Wrap(errkind.Canceled, context.Cause(ctx), "call to backend server")
	default:
		return errkind.Wrap(errkind.BackendFailed, err, "call to backend server")
	}
}

// relay appends the response to the attempt.
func relay(ctx context.Context, a *attempt, resp *http.Response, chunkBytes int) error {
	if err := a.appendHead(ctx, headOf(resp)); err != nil {
		return err
	}
	if isEventStream(resp.Header) {
		return relayEvents(ctx, a, resp.Body, chunkBytes, &eventProgress{})
	}
	return relayBytes(ctx, a, resp.Body, chunkBytes)
}

func relayBytes(ctx context.Context, a *attempt, body io.Reader, chunkBytes int) error {
	for {
		b := make([]byte, chunkBytes)
		n, err := io.ReadAtLeast(body, b, 1)
		if err == io.EOF { //nolint:errorlint // io.ReadAtLeast returns io.EOF unwrapped
			return nil
		}
		if err != nil {
			return backendError(ctx, err)
		}
		if err := a.appendData(ctx, b[:n]); err != nil {
			return err
		}
	}
}

// relayEvents relays complete events. An event truncated by the end of the stream
// is dropped.
func relayEvents(ctx context.Context, a *attempt, body io.Reader, chunkBytes int, progress *eventProgress) error {
	events := newEventReader(body, chunkBytes)
	for {
		event, err := events.next()
		if err != nil && err != io.EOF { //nolint:errorlint // a wrapped io.EOF is a failure
			return backendError(ctx, err)
		}
		if len(event) > 0 && (err == nil || events.sawDone) {
			if err := a.appendData(ctx, event); err != nil {
				return err
			}
			progress.recordEvent(events)
		}
		if err != nil {
			break
		}
	}
	if !events.sawDone {
		return errkind.New(errkind.StreamIncomplete, "backend server ended the stream without [DONE]")
	}
	return nil
}

func isEventStream(h http.Header) bool { return proxyhttp.IsEventStream(h.Get("Content-Type")) }

func headOf(resp *http.Response) *pb.Head {
	head := &pb.Head{Status: int32(resp.StatusCode)}
	for name, values := range resp.Header {
		if !proxyhttp.IsHopByHopHeader(name) {
			head.Headers = append(head.Headers, &pb.Header{Name: name, Values: values})
		}
	}
	return head
}
