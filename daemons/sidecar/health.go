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

// health asks the backend server on a new connection. Any answer below 500
// counts, because a plain service need not have a health page.
func (b *backend) health(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	u := *b.base
	u.Path = strings.TrimSuffix(u.Path, "/") + healthPath
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), http.NoBody)
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "health check")
	}
	resp, err := b.once.Do(req)
	if err != nil {
		return errkind.Wrap(errkind.BackendUnavailable, err, "health check")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusInternalServerError {
		return errkind.New(errkind.BackendUnavailable, "health check: status %d", resp.StatusCode)
	}
	return nil
}

// isConnectionLost reports whether err shows that the other side refused or
// broke the connection, which a late answer does not.
func isConnectionLost(err error) bool {
	var network net.Error
	if errors.As(err, &network) && network.Timeout() {
		return false
	}
	var op *net.OpError
	return errors.As(err, &op) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}
