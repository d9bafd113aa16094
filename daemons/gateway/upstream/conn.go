// Package upstream sends requests to backend servers over connections of its
// own. Unlike http.Transport it never repeats a request by itself, says whether
// any byte of a request left, and detects bytes on a connection that belong to
// no request.
package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

const (
	readBuffer  = 8 << 10
	writeBuffer = 4 << 10
	// maxHeaderBytes bounds the header of an answer.
	maxHeaderBytes = 64 << 10
	// maxForeignAnswers bounds the answers to other requests that are skipped
	// in search of the own one.
	maxForeignAnswers = 2
)

// Request is what goes to a backend server.
type Request struct {
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	// Header holds no field about the connection or the length.
	Header http.Header
	Body   []byte
}

// Conn is a connection to a backend server. It carries one request at a time
// and belongs to one goroutine.
type Conn struct {
	address  string
	conn     net.Conn
	limit    *io.LimitedReader
	reader   *bufio.Reader
	writer   *bufio.Writer
	lastUsed time.Time
	// reused says that the connection carried a request before this one.
	reused bool
	sent   bool
}

func newConn(address string, conn net.Conn) *Conn {
	limit := &io.LimitedReader{R: conn}
	return &Conn{
		address: address,
		conn:    conn,
		limit:   limit,
		reader:  bufio.NewReaderSize(limit, readBuffer),
		writer:  bufio.NewWriterSize(conn, writeBuffer),
	}
}

// Close closes the connection after its last answer.
func (c *Conn) Close() { _ = c.conn.Close() }

// Abort cancels the request under way. It resets the connection: bytes of the
// request that are still on their way, for example to a frozen machine, are
// dropped and don't arrive after the caller has left.
func (c *Conn) Abort() {
	if tcp, ok := c.conn.(*net.TCPConn); ok {
		// The call fails only on a closed connection.
		_ = tcp.SetLinger(0)
	}
	_ = c.conn.Close()
}

// SetDeadline bounds all reads and writes from now on.
func (c *Conn) SetDeadline(t time.Time) {
	// The call fails only on a closed connection, where the next read fails.
	_ = c.conn.SetDeadline(t)
}

// Sent reports whether any byte of the present request may have left.
func (c *Conn) Sent() bool { return c.sent }

// Reused reports whether the connection carried an earlier request.
func (c *Conn) Reused() bool { return c.reused }

// Send writes a request.
func (c *Conn) Send(r *Request) error {
	c.sent = true
	w := c.writer
	// Errors of the buffered writer stick until Flush.
	_, _ = w.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if err := r.Header.Write(w); err != nil {
		return errors.Wrap(err, "send request")
	}
	if len(r.Body) > 0 || methodHasBody(r.Method) {
		_, _ = w.WriteString("Content-Length: " + itoa(len(r.Body)) + "\r\n")
	}
	_, _ = w.WriteString("\r\n")
	_, _ = w.Write(r.Body)
	if err := w.Flush(); err != nil {
		return errors.Wrap(err, "send request")
	}
	return nil
}

func methodHasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// ReadResponse reads the header of the answer for which own returns true. Late
// answers to earlier requests on the connection are skipped. The body ends
// with io.EOF only if it is complete.
func (c *Conn) ReadResponse(method string, own func(*http.Response) bool) (*http.Response, error) {
	for range maxForeignAnswers + 1 {
		resp, err := c.readFinalHeader(method)
		if err != nil {
			return nil, err
		}
		if own(resp) {
			return resp, nil
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, errors.Wrap(err, "skip an answer to another request")
		}
		if resp.Close {
			return nil, errors.New("the connection ended with an answer to another request")
		}
	}
	return nil, errors.New("too many answers to other requests")
}

// readFinalHeader skips informational answers.
func (c *Conn) readFinalHeader(method string) (*http.Response, error) {
	for {
		c.limit.N = maxHeaderBytes
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, errors.Wrap(err, "read answer")
		}
		if resp.StatusCode >= http.StatusOK {
			c.limit.N = maxInt64
			return resp, nil
		}
	}
}

const maxInt64 = 1<<63 - 1

// clean reports whether nothing has arrived beyond the last answer and the
// server has not closed the connection.
func (c *Conn) clean() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := c.conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && idle
}
