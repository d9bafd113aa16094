package sidecar

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/filbertmux/filbertmux/base/errkind"
)

const (
	healthPath    = "/health"
	healthTimeout = time.Second
	// healthInterval is the time between periodic health checks.
	healthInterval = time.Second
)

// checkHealth sends a health check on a new connection. Any status below 500
// counts as healthy, because a plain service need not have a health endpoint.
func (b *backendClient) checkHealth(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	u := *b.baseURL
	u.Path = strings.TrimSuffix(u.Path, "/") + healthPath
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), http.NoBody)
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "create the health check request")
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return errkind.Wrap(errkind.BackendUnavailable, err, "health check failed")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusInternalServerError {
		return errkind.New(errkind.BackendUnavailable, "health check: status %d", resp.StatusCode)
	}
	return checkStatus(resp)
}

// isConnectionLost reports whether err shows that the connection was refused or
// broken by the peer. A timeout does not.
func isConnectionLost(err error) bool {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return false
	}
	var opErr *net.OpError
	return errors.As(err, &opErr) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}
