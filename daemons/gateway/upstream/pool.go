package upstream

import (
	"context"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

func itoa(n int) string { return strconv.Itoa(n) }

const (
	// dialTimeout bounds a new connection. A lost opening packet is sent again
	// after a second, and trying another server takes less than that.
	dialTimeout = 600 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount find a peer that fell
	// silent within three seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// userTimeout ends a connection whose sent bytes are not acknowledged.
	userTimeout = 2 * time.Second
	// defaultIdle is how long a connection is kept if the server states no
	// idle timeout: one that it states has at least a second.
	defaultIdle = 300 * time.Millisecond
	// idleMargin is how long before the server's idle timeout a connection is
	// given up. It covers a request on its way.
	idleMargin = 500 * time.Millisecond
	// maxIdle bounds the time for which any connection is kept.
	maxIdle = 10 * time.Second
	// maxIdlePerServer bounds the unused connections to one server.
	maxIdlePerServer = 8
)

// Pool keeps connections to backend servers. It is safe for concurrent use.
type Pool struct {
	now    func() time.Time
	dialer net.Dialer

	mu   sync.Mutex
	idle map[string][]idleConn
}

type idleConn struct {
	conn    *Conn
	expires time.Time
}

// NewPool returns an empty pool that reads the time from now.
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

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var set error
	err := raw.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return errors.Wrap(err, "socket of a backend connection")
	}
	if set != nil {
		return errors.Wrap(set, "TCP_USER_TIMEOUT")
	}
	return nil
}

// Get returns a kept connection to address that was used within recent, or a
// new one.
func (p *Pool) Get(ctx context.Context, address string, recent time.Duration) (*Conn, error) {
	if c := p.take(address, recent); c != nil {
		return c, nil
	}
	conn, err := p.dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}
	return newConn(address, conn), nil
}

// take returns the kept connection that was used last, because it is the least
// likely to have gone silent.
func (p *Pool) take(address string, recent time.Duration) *Conn {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[address]
	for len(kept) > 0 {
		last := kept[len(kept)-1]
		kept = kept[:len(kept)-1]
		p.idle[address] = kept
		if now.Before(last.expires) && now.Sub(last.conn.lastUsed) <= recent && last.conn.clean() {
			last.conn.reused, last.conn.sent = true, false
			return last.conn
		}
		last.conn.Close()
	}
	return nil
}

// Put takes back a connection whose answer was read to its end. serverIdle is
// the idle timeout that the server stated, or 0.
func (p *Pool) Put(c *Conn, serverIdle time.Duration) {
	keep := defaultIdle
	if serverIdle > 0 {
		keep = min(serverIdle-idleMargin, maxIdle)
	}
	if !c.clean() {
		c.Close()
		return
	}
	c.SetDeadline(time.Time{})
	c.lastUsed = p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[c.address]
	if len(kept) >= maxIdlePerServer {
		kept[0].conn.Close()
		kept = kept[1:]
	}
	p.idle[c.address] = append(kept, idleConn{conn: c, expires: c.lastUsed.Add(keep)})
}

// CloseExpired closes the connections whose time is over.
func (p *Pool) CloseExpired() {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, kept := range p.idle {
		live := kept[:0]
		for _, k := range kept {
			if now.Before(k.expires) {
				live = append(live, k)
			} else {
				k.conn.Close()
			}
		}
		if len(live) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = live
		}
	}
}

// CloseIdle closes the unused connections to a server. After one of them proved
// silent, the others are likely to be so too.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, k := range p.idle[address] {
		k.conn.Close()
	}
	delete(p.idle, address)
}
