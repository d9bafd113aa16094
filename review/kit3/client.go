package kit3

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Call is a request of a caller, with its answer.
type Call struct {
	Attempt, Gateway, Method, Path, Key, Body string
	Sent, Ended                               time.Time
	// Status is 0 if there was no complete answer.
	Status    int
	Signature string
	Answer    string
	Err       string
}

var attempts atomic.Int64

// NewAttempt returns a new id of an attempt.
func NewAttempt() string {
	return "a" + strconv.FormatInt(attempts.Add(1), 36) + "-" + strconv.FormatInt(time.Now().UnixNano(), 36)
}

// Send sends a request on a new connection and waits for its answer.
func Send(address, host, method, path, key, body string, timeout time.Duration) Call {
	c := Call{Attempt: NewAttempt(), Gateway: address, Method: method, Path: path, Key: key, Body: body, Sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		c.Err = err.Error()
		return c
	}
	req.Close = false
	req.Host = host
	req.Header.Set("X-Attempt-Id", c.Attempt)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	if key != "" {
		req.Header.Set("X-Key", key)
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		c.Ended, c.Err = time.Now(), err.Error()
		return c
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	c.Ended, c.Answer, c.Signature = time.Now(), string(answer), resp.Header.Get("X-Server-Signature")
	if err != nil {
		c.Err = err.Error()
		return c
	}
	c.Status = resp.StatusCode
	return c
}
