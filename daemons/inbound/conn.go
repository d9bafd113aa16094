package inbound

import (
	"bytes"
	"context"
	"net"
	"sync"

	"golang.org/x/sys/unix"

	"github.com/filbertmux/filbertmux/serve/connlimit"
)

// lineBytes is what a header line takes beside its text.
const lineBytes = 128

// Conn is a connection of a client. It tells its Connections what it is used for.
type Conn struct {
	net.Conn
	connections *Connections
	entry       *connlimit.Conn[*Conn] // guarded by connections.mu
	closeOnce   sync.Once
	closeErr    error
}

type connKey struct{}

// connOf returns the connection of a request, or nil if it isn't one of a Connections.
func connOf(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.connections.recordRead(c, p, n)
	}
	return n, err
}

// recordRead records what n bytes that were read into p mean for a connection. Connections
// that have to be closed for it are closed in the background, because the reader may be one
// of them.
func (s *Connections) recordRead(c *Conn, p []byte, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := c.entry.State()
	switch {
	case state == connlimit.Idle || state == connlimit.Head:
		c.entry.SetState(connlimit.Head)
		lines := bytes.Count(p[:n], []byte{'\n'})
		c.entry.AddHeadBytes(int64(n + lineBytes*lines))
	case state == connlimit.Busy && len(p) == 1:
		// While a request is in progress and its body is complete, net/http reads a
		// single byte, to learn when the client disconnects.
		c.entry.SetState(connlimit.Pipelined)
	default:
		return
	}
	if excess := s.takeExcess(); len(excess) > 0 {
		go s.closeAll(excess)
	}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.connections.remove(c)
	c.closeOnce.Do(func() { c.closeErr = c.Conn.Close() })
	return c.closeErr
}

// CloseWrite closes the writing side. net/http does so to end a connection on which bytes
// of the client may still arrive.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// setClosing records that the last response of the connection has been sent.
func (c *Conn) setClosing() {
	if c != nil {
		c.connections.setState(c, connlimit.Closing)
	}
}

// setReceiveBuffer bounds what the kernel holds of the bytes that aren't read yet. The
// window of a connection is bounded by its first buffer as well, so a larger buffer has to
// raise it.
func (c *Conn) setReceiveBuffer(size int) {
	if c == nil {
		return
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return
	}
	// The calls fail only on a closed connection.
	_ = tcp.SetReadBuffer(size)
	if size <= smallReceiveBytes {
		return
	}
	if raw, err := tcp.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_WINDOW_CLAMP, size)
		})
	}
}
