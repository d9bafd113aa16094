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

// backend sends calls to the backend server beside this process. It is safe
// for concurrent use.
type backend struct {
	base       *url.URL
	idempotent *http.Client
	once       *http.Client
}

func newBackend(base string) (*backend, error) {
	u, err := url.Parse(base)
	if err != nil {
		return nil, errkind.Wrap(errkind.InvalidSettings, err, "backend URL")
	}
	return &backend{base: u, idempotent: newClient(false), once: newClient(true)}, nil
}

// newClient returns a client that follows no redirect. With once, each call has
// a connection of its own, because http.Transport repeats a request that has an
// Idempotency-Key header when a reused connection breaks.
func newClient(once bool) *http.Client {
	transport := &http.Transport{
		DisableKeepAlives:   once,
		DisableCompression:  true,
		MaxIdleConnsPerHost: 64,
	}
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// do sends the call and returns the answer with its body open. An error of
// execution status NotRun proves that the backend server did not receive it.
func (b *backend) do(ctx context.Context, call *pb.CallRequest) (*http.Response, error) {
	req, err := b.request(ctx, call)
	if err != nil {
		return nil, err
	}
	client := b.once
	if call.GetIdempotent() {
		client = b.idempotent
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, backendError(ctx, err)
	}
	return resp, nil
}

func (b *backend) request(ctx context.Context, call *pb.CallRequest) (*http.Request, error) {
	target, err := url.ParseRequestURI(call.GetPath())
	if err != nil {
		return nil, errkind.Wrap(errkind.InvalidRequest, err, "path")
	}
	u := *b.base
	u.Path = strings.TrimSuffix(b.base.Path, "/") + target.Path
	u.RawPath = ""
	if target.RawPath != "" {
		u.RawPath = strings.TrimSuffix(b.base.EscapedPath(), "/") + target.RawPath
	}
	u.RawQuery = target.RawQuery
	req, err := http.NewRequestWithContext(ctx, call.GetMethod(), u.String(), bytes.NewReader(call.GetBody()))
	if err != nil {
		return nil, errkind.Wrap(errkind.InvalidRequest, err, "request")
	}
	// Without GetBody and http.NoBody, http.Transport doesn't repeat the request
	// on its own. A repeated lookup would hide that it crashed the backend server.
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
		return errkind.Wrap(errkind.BackendUnavailable, err, "connect to the backend server")
	case ctx.Err() != nil:
		return errkind.Wrap(errkind.Canceled, context.Cause(ctx), "call")
	default:
		return errkind.Wrap(errkind.BackendFailed, err, "backend server")
	}
}

// relay appends the answer to the attempt.
func relay(ctx context.Context, a *attempt, resp *http.Response, chunkBytes int) error {
	if err := a.head(ctx, headOf(resp)); err != nil {
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
		if err := a.data(ctx, b[:n]); err != nil {
			return err
		}
	}
}

// relayEvents does not relay an event that was cut at the end of the stream.
func relayEvents(ctx context.Context, a *attempt, body io.Reader, chunkBytes int, progress *eventProgress) error {
	events := newEventReader(body, chunkBytes)
	for {
		event, err := events.next()
		if err != nil && err != io.EOF { //nolint:errorlint // a wrapped io.EOF is a failure
			return backendError(ctx, err)
		}
		if len(event) > 0 && (err == nil || events.done) {
			if err := a.data(ctx, event); err != nil {
				return err
			}
			progress.add(events)
		}
		if err != nil {
			break
		}
	}
	if !events.done {
		return errkind.New(errkind.StreamIncomplete, "the backend server ended the stream without [DONE]")
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
