// Package memnet provides an in-memory network for HTTP tests in virtual time. The
// clock of a testing/synctest bubble advances only while all its goroutines are
// durably blocked, which a wait on a net.Pipe is and a wait on a socket is not.
package memnet

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"

	"github.com/go-faster/errors"
)

// Network connects dialers to listeners by address. It is safe for concurrent
// use. All goroutines that use a Network must belong to the same synctest bubble.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
}

// New returns a Network without listeners.
func New() *Network { return &Network{listeners: make(map[string]*listener)} }

// Listen returns a listener on an address of the form host:port.
func (n *Network) Listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil {
		return nil, &net.OpError{Op: "listen", Net: "memory", Err: syscall.EADDRINUSE}
	}
	l := &listener{network: n, address: address, incoming: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// DialContext connects to an address. Like TCP, it fails immediately
// with ECONNREFUSED if nothing listens there.
func (n *Network) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	refused := &net.OpError{Op: "dial", Net: "memory", Err: syscall.ECONNREFUSED}
	if l == nil {
		return nil, refused
	}
	client, server := net.Pipe()
	select {
	case l.incoming <- server:
		return client, nil
	case <-l.closed:
		return nil, refused
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "dial "+address)
	}
}

// Transport returns an HTTP/1.1 transport over this network.
func (n *Network) Transport() *http.Transport {
	return &http.Transport{DialContext: n.DialContext}
}

// Serve serves HTTP on an address until stop is called. stop closes the listener
// and all connections, and returns when the server goroutine has ended.
func (n *Network) Serve(address string, h http.Handler) (stop func(), err error) {
	l, err := n.Listen(address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: h}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(l) // always http.ErrServerClosed after Close
	}()
	return func() {
		_ = server.Close()
		<-done
	}, nil
}

// listener implements net.Listener for one address of a Network.
type listener struct {
	network  *Network
	address  string
	incoming chan net.Conn
	once     sync.Once
	closed   chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.incoming:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		delete(l.network.listeners, l.address)
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return address(l.address) }

type address string

// Network implements net.Addr.
func (address) Network() string { return "memory" }

// String implements net.Addr.
func (a address) String() string { return string(a) }
