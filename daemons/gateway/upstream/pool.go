package upstream

import (
	"context"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

func itoa(n int) string { return strconv.Itoa(n) }

const (
	// dialTimeout limits connection establishment. A lost SYN is retransmitted
	// only after one second, and trying another server is faster.
	dialTimeout = 600 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount detect an unresponsive
	// peer within three seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// userTimeout (TCP_USER_TIMEOUT) closes a connection whose sent bytes are not
	// acknowledged.
	userTimeout = 2 * time.Second
	// defaultIdleTime is how long an idle connection is kept if the server states
	// no idle timeout. Stated timeouts are at least one second.
	defaultIdleTime = 300 * time.Millisecond
	// idleMargin is how long before the server's idle timeout a connection
	// expires, so that the server doesn't close it while a request is being sent.
	idleMargin = 500 * time.Millisecond
	// maxIdleTime limits how long an idle connection is kept.
	maxIdleTime = 10 * time.Second
	// maxIdlePerServer limits the idle connections to one server.
	maxIdlePerServer = 8
)

// Pool keeps idle connections to backend servers. It is safe for concurrent use.
type Pool struct {
	now    func() time.Time
	dialer net.Dialer
	// open is the number of open connections, in use or idle, and maxOpen its bound, or 0.
	open    atomic.Int64
	maxOpen int64

	mu   sync.Mutex
	idle map[string][]idleConn
}

// ErrFull means that all connections that the pool may have are in use.
var ErrFull = errors.New("all connections to backend servers are in use")

type idleConn struct {
	conn    *Conn
	expires time.Time
}

// NewPool returns an empty pool that uses now as its clock.
func NewPool(now func() time.Time) *Pool {
	return &Pool{
		now: now,
		dialer: net.Dialer{
			Timeout: dialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
			},
			Control: setUserTimeout,
		},
		idle: make(map[string][]idleConn),
	}
}

// SetMaxOpen bounds the number of connections. It is called before the pool is used.
func (p *Pool) SetMaxOpen(n int) { p.maxOpen = int64(n) }

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return errors.Wrap(err, "access the socket of a backend connection")
	}
	if sockErr != nil {
		return errors.Wrap(sockErr, "set TCP_USER_TIMEOUT")
	}
	return nil
}

// Get returns an idle connection to address that was last used at most maxAge
// ago, or a new one.
func (p *Pool) Get(ctx context.Context, address string, maxAge time.Duration) (*Conn, error) {
	if c := p.takeIdle(address, maxAge); c != nil {
		return c, nil
	}
	if err := p.reserve(); err != nil {
		return nil, err
	}
	conn, err := p.dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		p.open.Add(-1)
		return nil, errors.Wrap(err, "connect to the server")
	}
	c := newConn(address, conn)
	c.closed = func() { p.open.Add(-1) }
	return c, nil
}

// reserve counts a new connection. If there are too many, it closes the one that has been
// idle longest.
func (p *Pool) reserve() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.maxOpen > 0 && p.open.Load() >= p.maxOpen && !p.closeOldestIdle() {
		return ErrFull
	}
	p.open.Add(1)
	return nil
}

// closeOldestIdle closes the connection that has been idle longest, if there is one. The
// caller holds mu.
func (p *Pool) closeOldestIdle() bool {
	var oldest []idleConn
	for _, conns := range p.idle {
		if len(conns) > 0 && (oldest == nil || conns[0].conn.lastUsed.Before(oldest[0].conn.lastUsed)) {
			oldest = conns
		}
	}
	if oldest == nil {
		return false
	}
	oldest[0].conn.Close()
	p.idle[oldest[0].conn.address] = oldest[1:]
	return true
}

// takeIdle returns the most recently used idle connection, because it is the
// least likely to be dead.
func (p *Pool) takeIdle(address string, maxAge time.Duration) *Conn {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	for len(conns) > 0 {
		last := conns[len(conns)-1]
		conns = conns[:len(conns)-1]
		p.idle[address] = conns
		if now.Before(last.expires) && now.Sub(last.conn.lastUsed) <= maxAge && last.conn.reusable() {
			last.conn.reused, last.conn.sent = true, false
			return last.conn
		}
		last.conn.Close()
	}
	return nil
}

// Put returns a connection to the pool after its response was read completely.
// serverIdleTimeout is the idle timeout that the server stated, or 0.
func (p *Pool) Put(c *Conn, serverIdleTimeout time.Duration) {
	idleTime := defaultIdleTime
	if serverIdleTimeout > 0 {
		idleTime = min(serverIdleTimeout-idleMargin, maxIdleTime)
	}
	if !c.reusable() {
		c.Close()
		return
	}
	c.SetDeadline(time.Time{})
	c.lastUsed = p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[c.address]
	if len(conns) >= maxIdlePerServer {
		conns[0].conn.Close()
		conns = conns[1:]
	}
	p.idle[c.address] = append(conns, idleConn{conn: c, expires: c.lastUsed.Add(idleTime)})
}

// CloseExpired closes the idle connections that have expired.
func (p *Pool) CloseExpired() {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conns := range p.idle {
		live := conns[:0]
		for _, c := range conns {
			if now.Before(c.expires) {
				live = append(live, c)
			} else {
				c.conn.Close()
			}
		}
		if len(live) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = live
		}
	}
}

// CloseIdle closes the idle connections to a server. If one connection is dead,
// the others are likely to be dead too.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		c.conn.Close()
	}
	delete(p.idle, address)
}
