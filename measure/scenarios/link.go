package scenarios

import (
	"fmt"
	"net"
	"regexp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/filbertmux/filbertmux/platform/platformtest"
)

// link forwards TCP connections to a target and can inject network faults.
type link struct {
	address string
	target  string
	delay   atomic.Int64 // time.Duration by which bytes are held back

	mu           sync.Mutex
	listener     net.Listener
	dropNew      bool // new connections are accepted and their bytes are dropped
	oneWayNew    bool // the bytes from the target on new connections are dropped
	connections  []*forwardedConnection
	lateEnded    chan struct{} // closed at the end of mode late, nil in other modes
	heldPrefixes []string      // first bytes of the connections held back in mode late
}

// forwardedConnection is a connection of a client and the one to its target.
type forwardedConnection struct {
	client, server net.Conn
	heldLate       bool          // was held back in mode late
	delay          *atomic.Int64 // that of the link
	mu             sync.Mutex
	dropping       bool
	oneWay         bool // bytes from the target are dropped
}

// linkHosts is the number of loopback addresses for links.
const linkHosts = 200

// linkDelay is the time by which mode delay holds back bytes in each direction. With it,
// a round trip takes most of the shortest silence timeout of a run.
const linkDelay = 150 * time.Millisecond

// linksStarted counts the links of this process.
var linksStarted atomic.Int32

// newLink returns a link in mode pass. It has a loopback address of its own: in mode
// refuse its port is free, and on the common address another socket could take it.
func newLink(target string) (*link, error) {
	host := platformtest.LoopbackHost(2 + int(linksStarted.Add(1))%linkHosts)
	listener, err := net.Listen("tcp4", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	l := &link{address: listener.Addr().String(), target: target, listener: listener}
	go l.accept(listener)
	return l, nil
}

// setMode changes the mode:
//
//   - pass forwards new connections;
//   - refuse resets all connections and refuses new ones;
//   - reset resets all connections and forwards new ones;
//   - silence drops the bytes of all connections and forwards new ones;
//   - swallow drops the bytes of all connections and of new ones;
//   - one-way drops the bytes that the target sends on all connections and on new
//     ones, and forwards those to it;
//   - delay forwards all bytes linkDelay later;
//   - late resets all connections and holds new ones back, with the bytes sent on
//     them, until the next change of mode.
func (l *link) setMode(mode string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropNew, l.oneWayNew = mode == "swallow", mode == "one-way"
	l.delay.Store(0)
	if l.lateEnded != nil {
		close(l.lateEnded)
		l.lateEnded, l.heldPrefixes = nil, nil
	}
	switch mode {
	case "late":
		l.lateEnded = make(chan struct{})
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
		for _, p := range l.connections {
			p.dropBytes()
		}
	case "one-way":
		for _, p := range l.connections {
			p.dropReplies()
		}
	case "delay":
		l.delay.Store(int64(linkDelay))
	default:
		return fmt.Errorf("unknown mode %q", mode)
	}
	return nil
}

// retarget forwards new connections to another address, such as that of a
// restarted process.
func (l *link) retarget(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = target
}

// listen opens the listener again after mode refuse. The caller must hold mu.
func (l *link) listen() error {
	if l.listener != nil {
		return nil
	}
	listener, err := net.Listen("tcp4", l.address)
	if err != nil {
		return err
	}
	l.listener = listener
	go l.accept(listener)
	return nil
}

// reset resets all connections. The caller must hold mu.
func (l *link) reset() {
	for _, p := range l.connections {
		p.reset()
	}
	l.connections = nil
}

func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lateEnded != nil {
		close(l.lateEnded)
		l.lateEnded = nil
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

// holdConnection reads the first bytes of a connection in mode late and returns
// them when the mode ends. In other modes it returns nil at once.
func (l *link) holdConnection(in net.Conn) []byte {
	l.mu.Lock()
	lateEnded := l.lateEnded
	l.mu.Unlock()
	if lateEnded == nil {
		return nil
	}
	b := make([]byte, 32<<10)
	n, _ := in.Read(b) // copy gets the same error from its next read
	l.mu.Lock()
	l.heldPrefixes = append(l.heldPrefixes, string(b[:n]))
	l.mu.Unlock()
	<-lateEnded
	return b[:n]
}

// holdsMatch reports whether the first bytes of a connection that is held back
// match.
func (l *link) holdsMatch(pattern *regexp.Regexp) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(l.heldPrefixes, pattern.MatchString)
}

func (l *link) forward(in net.Conn) {
	prefix := l.holdConnection(in)
	l.mu.Lock()
	defer l.mu.Unlock()
	out, err := net.Dial("tcp", l.target)
	if err != nil {
		resetConnection(in)
		return
	}
	if _, err := out.Write(prefix); err != nil {
		resetConnection(in)
		return
	}
	p := &forwardedConnection{
		delay: &l.delay, client: in, server: out, heldLate: len(prefix) > 0, dropping: l.dropNew, oneWay: l.oneWayNew,
	}
	l.connections = append(l.connections, p)
	go p.copy(in, out)
	go p.copy(out, in)
}

// copy forwards in one direction. A connection that drops bytes stays open on
// both sides and forwards nothing, not even its end. If the client of a
// connection that was held back has given up, the end of the connection is not
// forwarded, because the target would drop the request.
func (p *forwardedConnection) copy(from, to net.Conn) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		p.mu.Lock()
		silent := p.dropping || p.oneWay && from == p.server
		p.mu.Unlock()
		if silent && err == nil {
			continue
		}
		if silent || err != nil && p.heldLate && from == p.client {
			return
		}
		time.Sleep(time.Duration(p.delay.Load()))
		if _, writeErr := to.Write(b[:n]); writeErr != nil || err != nil {
			_ = from.Close()
			_ = to.Close()
			return
		}
	}
}

func (p *forwardedConnection) dropBytes() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropping = true
}

func (p *forwardedConnection) dropReplies() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.oneWay = true
}

func (p *forwardedConnection) reset() {
	resetConnection(p.client)
	resetConnection(p.server)
}

func resetConnection(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
