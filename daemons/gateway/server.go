package gateway

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/filbertmux/filbertmux/config/fleet"
	"github.com/filbertmux/filbertmux/daemons/inbound"
	"github.com/filbertmux/filbertmux/platform"
)

const (
	// headerSlack and idleSlack are added to the configured header and idle
	// timeouts, so that the connection of a caller that just meets a timeout
	// isn't closed.
	headerSlack = 500 * time.Millisecond
	idleSlack   = time.Second
	// defaultMaxHeader (bytes), defaultHeaderTimeout and defaultIdleTimeout apply while
	// there is no configuration, or if it states no limit.
	defaultMaxHeader     = 64 << 10
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = time.Minute
	// readinessPropagation is how long the platform may keep sending new
	// connections after this gateway reports unready: two checks one second
	// apart, plus their delay.
	readinessPropagation = 2600 * time.Millisecond
	// abortMargin is how long before SIGKILL the remaining requests are aborted,
	// so that their callers get an error or see the connections close.
	abortMargin = 500 * time.Millisecond
	// leavingRetryAfter is the Retry-After value of requests that are refused during a
	// shutdown. It is short because another gateway can serve the request at once.
	leavingRetryAfter = 100 * time.Millisecond
	// adminTimeout limits requests for readiness and metrics.
	adminTimeout = 5 * time.Second
)

// frontend accepts the connections of callers. New limits apply only to
// connections that are accepted after their configuration was installed, so each
// set of limits gets an HTTP server of its own.
type frontend struct {
	handler     http.Handler
	listener    net.Listener
	connections *inbound.Connections
	log         zerolog.Logger

	mu      sync.Mutex
	limits  fleet.Limits
	current *connQueue
	servers []*http.Server
	wg      sync.WaitGroup
}

func newFrontend(
	listener net.Listener, connections *inbound.Connections, handler http.Handler, log zerolog.Logger,
) *frontend {
	return &frontend{handler: handler, listener: connections.Listen(listener), connections: connections, log: log}
}

// accept passes connections to the server with the current limits until the
// listener is closed.
func (f *frontend) accept(limits func() fleet.Limits) {
	for {
		conn, err := f.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// Out of file descriptors, or the connection was reset in the
			// accept queue.
			f.log.Warn().Err(err).Msg("accepting a connection failed")
			time.Sleep(minBackoff)
			continue
		}
		f.queueFor(limits()).push(conn)
	}
}

// queueFor returns the connection queue of the current server. It starts a new
// server if the limits have changed.
func (f *frontend) queueFor(limits fleet.Limits) *connQueue {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current != nil && f.limits == limits {
		return f.current
	}
	server := &http.Server{
		Handler:           f.handler,
		MaxHeaderBytes:    cmp.Or(limits.MaxHeaderBytes, defaultMaxHeader),
		ReadHeaderTimeout: cmp.Or(limits.HeaderTimeout, defaultHeaderTimeout) + headerSlack,
		IdleTimeout:       cmp.Or(limits.IdleTimeout, defaultIdleTimeout) + idleSlack,
		ErrorLog:          nil,
		// "OPTIONS *" has no route, like any other request without one.
		DisableGeneralOptionsHandler: true,
	}
	f.connections.Observe(server)
	f.limits, f.current = limits, newConnQueue(f.listener.Addr())
	f.servers = append(f.servers, server)
	queue := f.current
	f.wg.Go(func() {
		if err := server.Serve(queue); !errors.Is(err, http.ErrServerClosed) {
			f.log.Error().Err(err).Msg("HTTP server for callers failed")
		}
	})
	return queue
}

// stopAccepting closes the listener and the idle connections. The others close after their
// next response.
func (f *frontend) stopAccepting() {
	_ = f.listener.Close()
	for _, s := range f.currentServers() {
		s.SetKeepAlivesEnabled(false)
	}
}

// shutdown closes all connections without a request, and waits until the last responses
// have been sent or ctx ends.
func (f *frontend) shutdown(ctx context.Context) error {
	f.stopAccepting()
	servers := f.currentServers()
	var group sync.WaitGroup
	errs := make([]error, len(servers))
	for i, s := range servers {
		group.Go(func() { errs[i] = s.Shutdown(ctx) })
	}
	group.Wait()
	return errors.Join(errs...)
}

func (f *frontend) currentServers() []*http.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.servers)
}

// connQueue is a net.Listener whose connections are passed in by push.
type connQueue struct {
	addr   net.Addr
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newConnQueue(addr net.Addr) *connQueue {
	return &connQueue{addr: addr, conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (q *connQueue) push(conn net.Conn) {
	select {
	case q.conns <- conn:
	case <-q.closed:
		_ = conn.Close()
	}
}

// Accept implements net.Listener.
func (q *connQueue) Accept() (net.Conn, error) {
	select {
	case conn := <-q.conns:
		return conn, nil
	case <-q.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (q *connQueue) Close() error {
	q.once.Do(func() { close(q.closed) })
	return nil
}

// Addr implements net.Listener.
func (q *connQueue) Addr() net.Addr { return q.addr }

// readyHandler serves the platform's readiness check.
func (g *Gateway) readyHandler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	router := gin.New()
	router.GET(platform.ReadyPath, func(c *gin.Context) {
		if ready, reason := g.Ready(); !ready {
			c.String(http.StatusServiceUnavailable, reason)
			return
		}
		c.String(http.StatusOK, "ready")
	})
	return router
}

func adminServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: adminTimeout, WriteTimeout: adminTimeout}
}
