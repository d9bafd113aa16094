package scenarios

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/filbertmux/filbertmux/daemons/entry"
	"github.com/filbertmux/filbertmux/measure/standin"
)

// callRequest describes a request of a caller.
type callRequest struct {
	method, url, key, token, body string
	// retryRefused repeats the call while it is refused with a Retry-After header.
	retryRefused bool
	prompt       string
	tokens       int
	// resumeReading, if set, makes the caller stop reading after slowReaderEvents
	// events until the channel is closed.
	resumeReading chan struct{}
}

const (
	slowReaderEvents = 10
	// slowReaderWordBytes is the length of a word in the prompt of a slow caller.
	// Every fourth token of the response repeats it, so that 1,500 tokens, which
	// an engine generates in about 2 s, exceed all buffers on the way to the
	// caller.
	slowReaderWordBytes = 40_000
)

// call is a call in flight or answered. The goroutine of the call sets its
// fields, which may be read after done is closed; events is guarded by mu.
type call struct {
	request            callRequest
	done               chan struct{}
	status             int
	header             http.Header
	body               string
	streamEnd          string // clean, broken or error
	err                error
	sent               time.Time
	duration           time.Duration
	claimedByOneAnswer bool // by an earlier command one-answer

	mu     sync.Mutex
	events int
}

// startCall sends a request in the background.
func (env *environment) startCall(id string, r callRequest) {
	c := &call{request: r, done: make(chan struct{}), sent: time.Now()}
	env.calls[id] = c
	if r.key != "" {
		env.mu.Lock()
		env.bookingKeys[r.key] = true
		env.mu.Unlock()
	}
	go func() {
		defer close(c.done)
		for {
			c.send(env.client)
			env.checkNotRun(id, c)
			c.duration = time.Since(c.sent)
			after, err := strconv.Atoi(c.header.Get("Retry-After"))
			if !r.retryRefused || err != nil || time.Since(c.sent) > pollTimeout {
				break
			}
			time.Sleep(time.Duration(after) * time.Second)
		}
	}()
}

func (c *call) send(client *http.Client) {
	c.status, c.header, c.body, c.streamEnd, c.err = 0, nil, "", "broken", nil
	r := c.request
	req, err := http.NewRequest(r.method, r.url, strings.NewReader(r.body))
	if err != nil {
		c.err = err
		return
	}
	if r.token != "" {
		req.Header.Set("Authorization", "Bearer "+r.token)
	}
	if r.key != "" {
		req.Header.Set("Idempotency-Key", r.key)
	}
	resp, err := client.Do(req)
	if err != nil {
		c.err = err
		return
	}
	defer func() { _ = resp.Body.Close() }()
	c.status, c.header = resp.StatusCode, resp.Header
	c.err = c.read(resp.Body)
	switch {
	case c.err != nil:
	case strings.Contains(c.body, "event: error\n"):
		c.streamEnd = "error"
	default:
		c.streamEnd = "clean"
	}
}

// read reads the whole body and counts its events.
func (c *call) read(body io.Reader) error {
	reader := bufio.NewReader(body)
	var text strings.Builder
	defer func() { c.body = text.String() }()
	for {
		line, err := reader.ReadString('\n')
		text.WriteString(line)
		if strings.HasPrefix(line, "data: ") {
			c.mu.Lock()
			c.events++
			c.mu.Unlock()
			if c.request.resumeReading != nil && c.eventCount() == slowReaderEvents {
				<-c.request.resumeReading
			}
		}
		if err == io.EOF { //nolint:errorlint // bufio returns io.EOF unwrapped
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (c *call) eventCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.events
}

func (c *call) answered() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

func (c *call) refusal() entry.ErrorDetail {
	text := c.body
	if _, event, ok := strings.Cut(c.body, "event: error\ndata: "); ok {
		text, _, _ = strings.Cut(event, "\n")
	}
	var r entry.ErrorResponse
	_ = json.Unmarshal([]byte(text), &r)
	return r.Error
}

// text returns the content of a streamed completion and whether it ended with
// [DONE].
func (c *call) text() (content string, done bool) {
	var out strings.Builder
	for line := range strings.Lines(c.body) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if data == "[DONE]" {
			done = true
		}
		var event struct {
			Choices []struct {
				Delta standin.ChatMessage `json:"delta"`
			} `json:"choices"`
		}
		if ok && json.Unmarshal([]byte(data), &event) == nil && len(event.Choices) > 0 {
			out.WriteString(event.Choices[0].Delta.Content)
		}
	}
	return out.String(), done
}

// check verifies one condition of the command answer.
func (c *call) check(condition string) error {
	if condition == "whole" {
		text, done := c.text()
		if want := standin.ExpectedCompletion(c.request.prompt, c.request.tokens); !done || text != want {
			return fmt.Errorf("[DONE] %t, text %q, want %q", done, text, want)
		}
		return nil
	}
	if pattern, ok := strings.CutPrefix(condition, "body~"); ok {
		matched, err := regexp.MatchString(pattern, c.body)
		if err == nil && !matched {
			err = fmt.Errorf("the body does not match %s", pattern)
		}
		return err
	}
	name, want, _ := strings.Cut(condition, "=")
	got, err := c.field(name)
	if err != nil {
		return err
	}
	for choice := range strings.SplitSeq(want, "|") {
		if got == choice {
			return nil
		}
	}
	return fmt.Errorf("%s is %q, want %q", name, got, want)
}

func (c *call) field(name string) (string, error) {
	switch name {
	case "status":
		return strconv.Itoa(c.status), nil
	case "kind":
		return c.refusal().Kind, nil
	case "execution":
		return c.refusal().Execution, nil
	case "end":
		return c.streamEnd, nil
	case "replayed":
		return strconv.FormatBool(c.header.Get("Idempotency-Replayed") == "true"), nil
	case "retry-after":
		return strconv.FormatBool(c.header.Get("Retry-After") != ""), nil
	default:
		return "", fmt.Errorf("unknown field %q", name)
	}
}

// checkNotRun records a violation if a call was answered not_run although its
// key has run. The refusal of a key that was reused with another body is exempt,
// because it refers to the refused request only.
func (env *environment) checkNotRun(id string, c *call) {
	r := c.refusal()
	if c.request.key == "" || r.Execution != "not_run" || r.Kind == "idempotency_key_reused" {
		return
	}
	if runs := env.runs(c.request.key); runs > 0 {
		env.recordViolation(fmt.Sprintf("call %s was answered not_run (%s), and its key ran %d times", id, r.Kind, runs))
	}
}

func (env *environment) get(url string) (status int, body string, err error) {
	return env.do(http.MethodGet, url, "")
}

// httpTimeout bounds the requests of the test itself, because the process may be
// stopped by SIGSTOP.
const httpTimeout = 5 * time.Second

func (env *environment) do(method, url, text string) (status int, body string, err error) {
	client := http.Client{Transport: env.client.Transport, Timeout: httpTimeout}
	req, err := http.NewRequest(method, url, strings.NewReader(text))
	if err != nil {
		return 0, "", err
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}
