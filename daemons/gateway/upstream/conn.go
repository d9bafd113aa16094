// Package upstream is an HTTP/1.1 client for backend servers with its own
// connection pool. Unlike http.Transport it never retries a request by itself,
// reports whether any byte of a request may have been sent, and detects
// unsolicited bytes on a connection.
package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"github.com/filbertmux/filbertmux/internal/proxyhttp"
)

const (
	readBufferSize  = 8 << 10
	writeBufferSize = 4 << 10
	// maxHeaderBytes limits the header of a response, together with the headers of
	// the informational responses before it.
	maxHeaderBytes = 64 << 10
	// maxSkippedBody limits the body of a response to another request.
	maxSkippedBody = 1 << 20
	// maxUnrelatedResponses limits the responses to other requests that are
	// skipped before the expected one.
	maxUnrelatedResponses = 2
)

// Request is a request to a backend server.
type Request struct {
	// ID identifies the request on its connection; see Conn.LastID.
	ID     string
	Method string
	// Target is the path and query exactly as sent by the caller.
	Target string
	Host   string
	// Header contains no Content-Length and no hop-by-hop fields.
	Header http.Header
	// Body is the body in blocks.
	Body [][]byte
}

// Conn is a connection to a backend server. It carries one request at a time and
// must be used by one goroutine only, except for Abort.
type Conn struct {
	address  string
	conn     net.Conn
	limit    *io.LimitedReader
	reader   *bufio.Reader
	writer   *bufio.Writer
	lastUsed time.Time
	// reused means that the connection carried an earlier request.
	reused bool
	sent   bool
	lastID string
	// closed is called once when the connection closes. It may be nil.
	closed     func()
	closedOnce sync.Once
}

func newConn(address string, conn net.Conn) *Conn {
	limit := &io.LimitedReader{R: conn}
	return &Conn{
		address: address,
		conn:    conn,
		limit:   limit,
		reader:  bufio.NewReaderSize(limit, readBufferSize),
		writer:  bufio.NewWriterSize(conn, writeBufferSize),
	}
}

// Close closes the connection after its last response.
func (c *Conn) Close() {
	_ = c.conn.Close()
	c.reportClosed()
}

func (c *Conn) reportClosed() {
	if c.closed != nil {
		c.closedOnce.Do(c.closed)
	}
}

// Abort cancels the current request by resetting the connection. The reset discards
// bytes of the request that were not delivered yet, for example because the
// server's instance is frozen, so that the request doesn't arrive after its caller
// has disconnected.
func (c *Conn) Abort() {
	if tcp, ok := c.conn.(*net.TCPConn); ok {
		// The call fails only on a closed connection.
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

// SetDeadline sets the deadline of all further reads and writes.
func (c *Conn) SetDeadline(t time.Time) {
	// The call fails only on a closed connection, where the next read fails.
	_ = c.conn.SetDeadline(t)
}

// Sent reports whether any byte of the current request may have been sent.
func (c *Conn) Sent() bool { return c.sent }

// Reused reports whether the connection carried an earlier request.
func (c *Conn) Reused() bool { return c.reused }

// LastID returns the ID of the last request on the connection, or an empty string.
func (c *Conn) LastID() string { return c.lastID }

// Send writes a request.
func (c *Conn) Send(r *Request) error {
	c.sent, c.lastID = true, r.ID
	w := c.writer
	// bufio.Writer keeps its first error and returns it from Flush.
	_, _ = w.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if err := r.Header.Write(w); err != nil {
		return errors.Wrap(err, "send request")
	}
	if length := r.bodyLength(); length > 0 || methodHasBody(r.Method) {
		_, _ = w.WriteString("Content-Length: " + itoa(length) + "\r\n")
	}
	_, _ = w.WriteString("\r\n")
	for _, block := range r.Body {
		_, _ = w.Write(block)
	}
	if err := w.Flush(); err != nil {
		return errors.Wrap(err, "send request")
	}
	return nil
}

func (r *Request) bodyLength() int {
	length := 0
	for _, block := range r.Body {
		length += len(block)
	}
	return length
}

func methodHasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// ReadResponse reads the header of the response for which matches returns true.
// Late responses to earlier requests on the connection are skipped. Reading the
// body returns io.EOF only if the body is complete.
func (c *Conn) ReadResponse(method string, matches func(*http.Response) bool) (*http.Response, error) {
	for range maxUnrelatedResponses + 1 {
		resp, err := c.readFinalResponse(method)
		if err != nil {
			return nil, err
		}
		if matches(resp) {
			return resp, nil
		}
		if err := Discard(resp.Body, maxSkippedBody); err != nil {
			return nil, errors.Wrap(err, "skip a response to another request")
		}
		if resp.Close {
			return nil, errors.New("the server closes the connection after a response to another request")
		}
	}
	return nil, errors.New("too many responses to other requests")
}

// Discard reads a body to its end. It fails if the body has more than limit bytes.
func Discard(body io.Reader, limit int64) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, limit+1))
	if err != nil {
		return errors.Wrap(err, "discard a response body")
	}
	if n > limit {
		return errors.Errorf("the response body is larger than %d bytes", limit)
	}
	return nil
}

// readFinalResponse reads the next response header and skips informational (1xx)
// responses. It fails if all these headers together exceed maxHeaderBytes.
func (c *Conn) readFinalResponse(method string) (*http.Response, error) {
	c.limit.N = maxHeaderBytes
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, errors.Wrap(err, "read response")
		}
		if err := checkStatus(resp.StatusCode); err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			c.limit.N = maxInt64
			return resp, nil
		}
	}
}

// checkStatus reports that a status is none that a server may send. net/http accepts any
// three digits. No request asks for another protocol, so no server may switch to one.
func checkStatus(status int) error {
	if !proxyhttp.IsStatus(status) || status == http.StatusSwitchingProtocols {
		return errors.Errorf("response has the invalid status %03d", status)
	}
	return nil
}

const maxInt64 = 1<<63 - 1

// reusable reports whether no bytes have arrived after the last response and the
// server has not closed the connection.
func (c *Conn) reusable() bool {
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
