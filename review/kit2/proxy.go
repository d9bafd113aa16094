package kit2

import (
	"net"
	"strings"
	"sync"
	"time"
)

// StorePath is the path of one machine to the store. While it is cut, bytes in either
// direction are dropped, and the channels on which that happened stay silent.
type StorePath struct {
	listener net.Listener
	target   string

	mu  sync.Mutex
	cut bool
	// dropped receives the first line of each call that is dropped.
	dropped chan string
}

// NewStorePath returns a path to the store at an address.
func NewStorePath(target string) (*StorePath, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &StorePath{listener: l, target: target, dropped: make(chan string, 256)}
	go p.accept()
	return p, nil
}

// Address returns the address of the machine's end.
func (p *StorePath) Address() string { return p.listener.Addr().String() }

// SetCut cuts or restores the path.
func (p *StorePath) SetCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
}

func (p *StorePath) isCut() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut
}

// AwaitDropped waits until a call whose first line contains a text is dropped.
func (p *StorePath) AwaitDropped(text string, limit time.Duration) bool {
	for len(p.dropped) > 0 {
		<-p.dropped
	}
	timeout := time.After(limit)
	for {
		select {
		case line := <-p.dropped:
			if strings.Contains(line, text) {
				return true
			}
		case <-timeout:
			return false
		}
	}
}

func (p *StorePath) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn)
	}
}

func (p *StorePath) serve(machine net.Conn) {
	store, err := net.DialTimeout("tcp4", p.target, time.Second)
	if err != nil {
		_ = machine.Close()
		return
	}
	ch := &channel{path: p}
	go ch.copy(machine, store, false)
	ch.copy(store, machine, true)
}

// channel is one connection through the path.
type channel struct {
	path   *StorePath
	mu     sync.Mutex
	silent bool
}

// pass reports whether bytes pass. Once some were dropped, none do.
func (ch *channel) pass() bool {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	ch.silent = ch.silent || ch.path.isCut()
	return !ch.silent
}

func (ch *channel) copy(dst, src net.Conn, toStore bool) {
	defer func() {
		_ = src.Close()
		_ = dst.Close()
	}()
	buffer := make([]byte, 64<<10)
	for {
		n, err := src.Read(buffer)
		if n > 0 && !ch.pass() {
			if toStore {
				line, _, _ := strings.Cut(string(buffer[:n]), "\r\n")
				select {
				case ch.path.dropped <- line:
				default:
				}
			}
			continue
		}
		if n > 0 {
			if _, err := dst.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
