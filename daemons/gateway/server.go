package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/filbertmux/filbertmux/config/fleet"
	"github.com/filbertmux/filbertmux/platform"
)

const (
	// headerSlack and idleSlack are added to the limits that callers keep, so
	// that a caller at its limit doesn't meet a closed connection.
	headerSlack = 500 * time.Millisecond
	idleSlack   = time.Second
	// rotationTime is how long the platform still sends new connections after
	// this gateway stopped to be ready: two checks a second apart, and their
	// delay.
	rotationTime = 2600 * time.Millisecond
	// abortMargin is how long before SIGKILL the requests still in flight are
	// ended, so that their connections are seen to break.
	abortMargin = 500 * time.Millisecond
	// adminTimeout bounds the requests for readiness and metrics.
	adminTimeout = 5 * time.Second
)

// front accepts the connections of callers. The limits of the configuration
// apply to the connections that are accepted after it came into force.
type front struct {
	handler  http.Handler
	listener net.Listener
	log      zerolog.Logger

	mu      sync.Mutex
	limits  fleet.Limits
	current *feed
	servers []*http.Server
	wg      sync.WaitGroup
}

func newFront(listener net.Listener, handler http.Handler, log zerolog.Logger) *front {
	return &front{handler: handler, listener: listener, log: log}
}

// accept hands connections to the server with the present limits until the
// listener is closed.
func (f *front) accept(limits func() fleet.Limits) {
	for {
		conn, err := f.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// Out of descriptors, or a connection that broke while it waited.
			f.log.Warn().Err(err).Msg("connection not accepted")
			time.Sleep(minBackoff)
			continue
		}
		f.feedFor(limits()).put(conn)
	}
}

// feedFor returns the queue of the server with these limits.
func (f *front) feedFor(limits fleet.Limits) *feed {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current != nil && f.limits == limits {
		return f.current
	}
	server := &http.Server{
		Handler:        f.handler,
		MaxHeaderBytes: limits.MaxHeaderBytes,
		ErrorLog:       nil,
	}
	if limits.HeaderTimeout > 0 {
		server.ReadHeaderTimeout = limits.HeaderTimeout + headerSlack
	}
	if limits.IdleTimeout > 0 {
		server.IdleTimeout = limits.IdleTimeout + idleSlack
	}
	f.limits, f.current = limits, newFeed(f.listener.Addr())
	f.servers = append(f.servers, server)
	feed := f.current
	f.wg.Go(func() {
		if err := server.Serve(feed); !errors.Is(err, http.ErrServerClosed) {
			f.log.Error().Err(err).Msg("server of callers ended")
		}
	})
	return feed
}

// shutdown closes the listener and the idle connections, and waits for the
// requests in flight until ctx ends.
func (f *front) shutdown(ctx context.Context) error {
	_ = f.listener.Close()
	f.mu.Lock()
	servers := f.servers
	f.mu.Unlock()
	var group sync.WaitGroup
	errs := make([]error, len(servers))
	for i, s := range servers {
		group.Go(func() { errs[i] = s.Shutdown(ctx) })
	}
	group.Wait()
	return errors.Join(errs...)
}

// feed is a listener that is given its connections.
type feed struct {
	addr   net.Addr
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newFeed(addr net.Addr) *feed {
	return &feed{addr: addr, conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (f *feed) put(conn net.Conn) {
	select {
	case f.conns <- conn:
	case <-f.closed:
		_ = conn.Close()
	}
}

// Accept implements net.Listener.
func (f *feed) Accept() (net.Conn, error) {
	select {
	case conn := <-f.conns:
		return conn, nil
	case <-f.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (f *feed) Close() error {
	f.once.Do(func() { close(f.closed) })
	return nil
}

// Addr implements net.Listener.
func (f *feed) Addr() net.Addr { return f.addr }

// readyHandler answers the platform's question whether the gateway is ready.
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
