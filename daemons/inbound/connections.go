package inbound

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/filbertmux/filbertmux/base/telemetry"
	"github.com/filbertmux/filbertmux/serve/connlimit"
)

// Connections keeps the connections of clients within the bounds of a process. New ones are
// accepted all the time, and others are closed for them. It is safe for concurrent use.
type Connections struct {
	max     int
	metrics *telemetry.Metrics

	mu    sync.Mutex
	table *connlimit.Table[*Conn]
	// closed counts the connections that were closed for others since the last report.
	closed int
}

// NewConnections returns Connections without any connection.
func NewConnections(cfg connlimit.Config, metrics *telemetry.Metrics) *Connections {
	return &Connections{max: cfg.Max, metrics: metrics, table: connlimit.New[*Conn](cfg)}
}

// Listen returns a listener whose connections are counted. The server that serves them has
// to be passed to Observe.
func (s *Connections) Listen(l net.Listener) net.Listener {
	return &listener{Listener: l, connections: s}
}

type listener struct {
	net.Listener
	connections *Connections
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.connections.add(conn), nil
}

// Observe makes the server report what its connections are used for.
func (s *Connections) Observe(server *http.Server) {
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		c, ok := conn.(*Conn)
		if !ok {
			return
		}
		switch state {
		case http.StateActive:
			s.setState(c, connlimit.Busy)
		case http.StateIdle:
			s.setState(c, connlimit.Idle)
		case http.StateClosed:
			s.remove(c)
		}
	}
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
}

// add adds a connection and closes those for which there is no place beside it. It returns
// once their descriptors are free.
func (s *Connections) add(conn net.Conn) *Conn {
	c := &Conn{Conn: conn, connections: s}
	c.setReceiveBuffer(smallReceiveBytes)
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(sendBytes) // fails only on a closed connection
	}
	s.mu.Lock()
	c.entry = s.table.Add(c)
	excess := s.takeExcess()
	s.mu.Unlock()
	s.closeAll(excess)
	return c
}

func (s *Connections) setState(c *Conn, state connlimit.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.entry.SetState(state)
}

func (s *Connections) remove(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.entry.Remove()
}

// takeExcess removes the connections that have to be closed from the table. The caller holds
// mu.
func (s *Connections) takeExcess() []*Conn {
	var list []*Conn
	for e := s.table.TakeExcess(); e != nil; e = s.table.TakeExcess() {
		s.metrics.AddToLabelled("connections_closed", "state", e.State().String(), 1)
		list = append(list, e.Value)
	}
	s.closed += len(list)
	return list
}

// closeAll closes connections that were taken from the table.
func (s *Connections) closeAll(list []*Conn) {
	for _, c := range list {
		_ = c.Close() // the client may have closed it
	}
}

// connUse is what the connections of clients are used for at one moment.
type connUse struct {
	open, busy, idle, head int
	// closed counts the connections that were closed for others since the last call.
	closed int
}

// takeUse returns the current use, and starts to count anew.
func (s *Connections) takeUse() connUse {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := connUse{
		open: s.table.Len(), busy: s.table.Count(connlimit.Busy), idle: s.table.Count(connlimit.Idle),
		head: s.table.Count(connlimit.Head), closed: s.closed,
	}
	s.closed = 0
	return u
}
