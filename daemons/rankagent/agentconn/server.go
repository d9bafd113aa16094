package agentconn

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
)

// Service answers the calls of other agents. It must be safe for concurrent use.
type Service interface {
	Read(ctx context.Context, m *pb.ReadRankRequest) (*pb.ReadRankResponse, error)
	Order(ctx context.Context, m *pb.OrderRankRequest) (*pb.OrderRankResponse, error)
}

// Server serves calls on the connections that other agents open. It is an http.Handler for
// Path and safe for concurrent use.
type Server struct {
	service Service

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

// NewServer returns a server for a service.
func NewServer(service Service) *Server {
	return &Server{service: service, conns: make(map[net.Conn]struct{})}
}

// ServeHTTP upgrades a request to a connection for calls, and serves them until the
// connection ends.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Upgrade") != protocol {
		w.Header().Set("Upgrade", protocol)
		w.WriteHeader(http.StatusUpgradeRequired)
		return
	}
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	defer func() { _ = conn.Close() }()
	if !s.add(conn) {
		return
	}
	defer s.remove(conn)
	_, err = conn.Write([]byte("HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + protocol + "\r\n\r\n"))
	if err == nil {
		s.serve(conn, buffered.Reader)
	}
}

// serve answers calls until the connection ends or is idle for serverIdleTimeout.
func (s *Server) serve(conn net.Conn, r *bufio.Reader) {
	w := messageWriter{w: conn}
	for {
		call := &pb.AgentCall{}
		if conn.SetDeadline(time.Now().Add(serverIdleTimeout)) != nil || readMessage(r, call) != nil {
			return
		}
		if w.write(s.answer(call)) != nil {
			return
		}
	}
}

// answer carries out a call.
func (s *Server) answer(call *pb.AgentCall) *pb.AgentAnswer {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(call.GetTimeoutMs())*time.Millisecond)
	defer cancel()
	var answer pb.AgentAnswer
	var err error
	switch m := call.GetCall().(type) {
	case *pb.AgentCall_Read:
		var r *pb.ReadRankResponse
		r, err = s.service.Read(ctx, m.Read)
		answer.Answer = &pb.AgentAnswer_Read{Read: r}
	case *pb.AgentCall_Order:
		var r *pb.OrderRankResponse
		r, err = s.service.Order(ctx, m.Order)
		answer.Answer = &pb.AgentAnswer_Order{Order: r}
	default:
		return &pb.AgentAnswer{Error: "unknown call"}
	}
	if err != nil {
		return &pb.AgentAnswer{Error: err.Error()}
	}
	return &answer
}

func (s *Server) add(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

func (s *Server) remove(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// Close ends all connections. Later ones are refused.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for conn := range s.conns {
		_ = conn.Close()
	}
}
