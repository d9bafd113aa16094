package inbound

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/errkind"
)

// meter makes the daemon read bodies as a library does.
func (d *daemon) meter(handle func(http.ResponseWriter, *http.Request)) {
	wrap := func(e *errkind.Error) error { return errors.Wrap(e, "read") }
	d.server.Handler = d.memory.Meter(ReadOptions{Organisation: "o", MaxBody: maxBody, Copies: 2}, wrap, http.HandlerFunc(handle))
}

func respond(w http.ResponseWriter, text string) {
	w.Header().Set("Content-Length", fmt.Sprint(len(text)))
	_, _ = io.WriteString(w, text)
}

// Guards against bytes of a library that aren't claimed, against bytes beyond the limit, and
// against a refusal that the library doesn't see or its client doesn't get.
func TestMeteredBodies(t *testing.T) {
	for name, c := range map[string]struct {
		framing string
		body    int
		held    int64
		want    string
	}{
		"small":     {"Content-Length: 1000", 1000, requestBytes + 2*1001, "1000 bytes"},
		"large":     {"Content-Length: 1000000", 1000000, requestBytes + 2*31*BlockBytes, "1000000 bytes"},
		"largest":   {fmt.Sprintf("Content-Length: %d", maxBody), maxBody, requestBytes + 2*maxBody, fmt.Sprintf("%d bytes", maxBody)},
		"one more":  {fmt.Sprintf("Content-Length: %d", maxBody+1), maxBody + 1, 0, "request_too_large"},
		"too large": {fmt.Sprintf("Content-Length: %d", 2*maxBody), 2 * maxBody, 0, "request_too_large"},
		"no room":   {"Content-Length: 1000000", 1000000, 0, "memory_exhausted"},
		"slow":      {"Content-Length: 1000", 10, 0, "slow_body"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cfg := budgetConfig()
				if name == "no room" {
					cfg.Total = maxBody + cfg.Reserve
				}
				d := newDaemon(t, cfg, connConfig(100))
				d.meter(func(w http.ResponseWriter, r *http.Request) {
					data, err := io.ReadAll(r.Body)
					if err != nil {
						_, again := r.Body.Read(make([]byte, 1))
						require.Equal(t, err, again)
						respond(w, errkind.Of(err).Kind.String())
						return
					}
					require.Equal(t, c.held, d.memory.Held())
					RequestOf(r.Context()).ReleaseBody()
					require.Equal(t, int64(requestBytes), d.memory.Held())
					respond(w, fmt.Sprintf("%d bytes", len(data)))
				})
				conn, responses := d.dial()
				written := make(chan error, 1)
				go func() {
					_, err := io.WriteString(conn, head("/", c.framing)+strings.Repeat("x", c.body))
					written <- err
				}()
				require.Equal(t, "200 "+c.want, <-responses)
				require.NoError(t, <-written)
				d.requireNothingHeld()
			})
		})
	}
}

// Guards against memory that is given back while a task of the request still uses it, and
// against a request without room for itself.
func TestTakenRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := budgetConfig()
		cfg.Total = requestBytes + 100
		d := newDaemon(t, cfg, connConfig(100))
		taken := make(chan *Request, 1)
		d.meter(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			q := RequestOf(r.Context())
			q.Take()
			taken <- q
			respond(w, "taken")
		})
		require.Equal(t, "200 taken", <-d.post("/"))
		synctest.Wait()
		require.Equal(t, int64(requestBytes+2*5), d.memory.Held())
		started := time.Now()
		require.Equal(t, "503 memory_exhausted: no memory is left for this request", <-d.post("/"))
		require.GreaterOrEqual(t, time.Since(started), maxWait)
		q := <-taken
		q.ReleaseProgress(7)
		require.Equal(t, int64(2*5+7), d.memory.Held())
		q.Close()
		d.requireNothingHeld()
	})
}
