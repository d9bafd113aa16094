package kit

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Channel is a channel of a caller to a gateway. It carries one request at a time.
type Channel struct {
	conn   net.Conn
	reader *bufio.Reader
}

// Dial opens a channel.
func Dial(address string) (*Channel, error) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &Channel{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// Close closes the channel.
func (ch *Channel) Close() { _ = ch.conn.Close() }

// Request is a request of a caller.
type Request struct {
	Method string
	Path   string
	ID     string
	// Deadline is how long the caller waits.
	Deadline time.Duration
	Body     string
	// Header holds further header lines.
	Header map[string]string
}

// Answer is what a caller got for a request.
type Answer struct {
	// Status is 0 if no complete header arrived.
	Status int
	Header http.Header
	Body   string
	// Err is why the answer is incomplete, or nil.
	Err error
}

// String describes the answer for the record.
func (a Answer) String() string {
	if a.Status == 0 {
		return fmt.Sprintf("no answer (%v)", a.Err)
	}
	return fmt.Sprintf("status %d, proof %q, %d bytes, error %v", a.Status, a.Header.Get("X-Server-Signature"), len(a.Body), a.Err)
}

// Send writes a request.
func (ch *Channel) Send(r Request) error {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nX-Key: %s\r\n",
		r.Method, r.Path, Host, r.ID, r.Deadline.Milliseconds(), Key)
	for name, value := range r.Header {
		head += name + ": " + value + "\r\n"
	}
	if r.Method == http.MethodPost {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(r.Body))
	}
	_, err := io.WriteString(ch.conn, head+"\r\n"+r.Body)
	return err
}

// Receive reads the answer to a request. It waits a second longer than the caller's time
// limit.
func (ch *Channel) Receive(r Request) Answer {
	_ = ch.conn.SetReadDeadline(time.Now().Add(r.Deadline + time.Second))
	resp, err := http.ReadResponse(ch.reader, &http.Request{Method: r.Method})
	if err != nil {
		return Answer{Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: string(body), Err: err}
}

// Do sends a request and reads its answer.
func (ch *Channel) Do(r Request) Answer {
	if err := ch.Send(r); err != nil {
		return Answer{Err: err}
	}
	return ch.Receive(r)
}

// ReadUntil reads raw bytes until they hold text.
func (ch *Channel) ReadUntil(text string, limit time.Duration) error {
	_ = ch.conn.SetReadDeadline(time.Now().Add(limit))
	var got []byte
	for !strings.Contains(string(got), text) {
		b, err := ch.reader.ReadByte()
		if err != nil {
			return err
		}
		got = append(got, b)
	}
	return nil
}
