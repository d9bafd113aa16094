package scenarios

import (
	"fmt"
	"net"
	"regexp"
	"slices"
	"sync"
)

// link forwards TCP connections to a target and can disturb them.
type link struct {
	address string
	target  string

	mu       sync.Mutex
	listener net.Listener
	silent   bool // new connections are accepted and never served
	pairs    []*pair
	late     chan struct{} // closed at the end of mode late, nil in others
	held     []string      // first bytes of the connections in mode late
}

// pair is one forwarded connection.
type pair struct {
	in, out net.Conn
	late    bool // was kept in mode late
	mu      sync.Mutex
	silent  bool
}

func newLink(target string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{address: listener.Addr().String(), target: target, listener: listener}
	go l.accept(listener)
	return l, nil
}

// set changes the mode: pass; refuse resets all connections and refuses new
// ones; reset resets all connections and serves new ones; silence drops the
// bytes of all connections and serves new ones; swallow does so for new ones
// too; late resets all connections and keeps new ones, with what was sent on
// them, until the next mode.
func (l *link) set(mode string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent = mode == "swallow"
	if l.late != nil {
		close(l.late)
		l.late, l.held = nil, nil
	}
	switch mode {
	case "late":
		l.late = make(chan struct{})
		l.reset()
	case "pass":
		return l.listen()
	case "refuse":
		_ = l.listener.Close()
		l.listener = nil
		l.reset()
	case "reset":
		l.reset()
	case "silence", "swallow":
		for _, p := range l.pairs {
			p.silence()
		}
	default:
		return fmt.Errorf("unknown mode %q", mode)
	}
	return nil
}

// retarget sends new connections to another address, that of a process that
// was started again.
func (l *link) retarget(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = target
}

// listen opens the listener again after refuse. The caller holds mu.
func (l *link) listen() error {
	if l.listener != nil {
		return nil
	}
	listener, err := net.Listen("tcp", l.address)
	if err != nil {
		return err
	}
	l.listener = listener
	go l.accept(listener)
	return nil
}

// reset breaks all connections. The caller holds mu.
func (l *link) reset() {
	for _, p := range l.pairs {
		p.reset()
	}
	l.pairs = nil
}

func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.late != nil {
		close(l.late)
		l.late = nil
	}
	if l.listener != nil {
		_ = l.listener.Close()
	}
	l.reset()
}

func (l *link) accept(listener net.Listener) {
	for {
		in, err := listener.Accept()
		if err != nil {
			return
		}
		go l.forward(in)
	}
}

// hold reads the first bytes of a connection in mode late and returns them at
// the end of the mode.
func (l *link) hold(in net.Conn) []byte {
	l.mu.Lock()
	late := l.late
	l.mu.Unlock()
	if late == nil {
		return nil
	}
	b := make([]byte, 32<<10)
	n, _ := in.Read(b) // copy sees the error again
	l.mu.Lock()
	l.held = append(l.held, string(b[:n]))
	l.mu.Unlock()
	<-late
	return b[:n]
}

// holds reports whether a connection that is kept began with a match.
func (l *link) holds(pattern *regexp.Regexp) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(l.held, pattern.MatchString)
}

func (l *link) forward(in net.Conn) {
	first := l.hold(in)
	l.mu.Lock()
	defer l.mu.Unlock()
	out, err := net.Dial("tcp", l.target)
	if err != nil {
		resetConnection(in)
		return
	}
	if _, err := out.Write(first); err != nil {
		resetConnection(in)
		return
	}
	p := &pair{in: in, out: out, late: len(first) > 0, silent: l.silent}
	l.pairs = append(l.pairs, p)
	go p.copy(in, out)
	go p.copy(out, in)
}

// copy forwards in one direction. A silent pair stays open on both sides and
// forwards nothing, not even the end of a connection. The end of a late one
// whose sender gave up is not forwarded ahead of the answer, because a server
// drops a request whose connection has ended.
func (p *pair) copy(from, to net.Conn) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		p.mu.Lock()
		silent := p.silent
		p.mu.Unlock()
		if silent && err == nil {
			continue
		}
		if silent || err != nil && p.late && from == p.in {
			return
		}
		if _, writeErr := to.Write(b[:n]); writeErr != nil || err != nil {
			_ = from.Close()
			_ = to.Close()
			return
		}
	}
}

func (p *pair) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = true
}

func (p *pair) reset() {
	resetConnection(p.in)
	resetConnection(p.out)
}

func resetConnection(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
