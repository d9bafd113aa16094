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

// request is what a caller sends.
type request struct {
	method, url, key, token, body string
	// again repeats the call as long as it is refused with a Retry-After.
	again  bool
	prompt string
	tokens int
	// slow, if set, makes the caller stop reading after slowAfter events until
	// it is closed.
	slow chan struct{}
}

const (
	slowAfter = 10
	// slowWordBytes is the length of a word in the prompt of a slow caller. Each
	// fourth token of the answer repeats it, so that 1,500 tokens, which an engine
	// generates in about 2 s, exceed all buffers on the way to the caller.
	slowWordBytes = 40_000
)

// call is one call in flight or answered. done guards the fields set by the
// goroutine of the call, except events, which mu guards.
type call struct {
	request  request
	done     chan struct{}
	status   int
	header   http.Header
	body     string
	end      string // clean, broken or error
	err      error
	sent     time.Time
	duration time.Duration
	taken    bool // by one-answer

	mu     sync.Mutex
	events int
}

// begin sends the request in the background.
func (w *world) begin(id string, r request) {
	c := &call{request: r, done: make(chan struct{}), sent: time.Now()}
	w.calls[id] = c
	if r.key != "" {
		w.mu.Lock()
		w.keys[r.key] = true
		w.mu.Unlock()
	}
	go func() {
		defer close(c.done)
		for {
			c.send(w.client)
			w.checkNotRun(id, c)
			c.duration = time.Since(c.sent)
			after, err := strconv.Atoi(c.header.Get("Retry-After"))
			if !r.again || err != nil || time.Since(c.sent) > patience {
				break
			}
			time.Sleep(time.Duration(after) * time.Second)
		}
	}()
}

func (c *call) send(client *http.Client) {
	c.status, c.header, c.body, c.end, c.err = 0, nil, "", "broken", nil
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
		c.end = "error"
	default:
		c.end = "clean"
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
			if c.request.slow != nil && c.eventCount() == slowAfter {
				<-c.request.slow
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

// text returns the content of a streamed completion and whether [DONE] ended
// it.
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

// check compares the answer with one condition of the answer command.
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
		return c.end, nil
	case "replayed":
		return strconv.FormatBool(c.header.Get("Idempotency-Replayed") == "true"), nil
	case "retry-after":
		return strconv.FormatBool(c.header.Get("Retry-After") != ""), nil
	default:
		return "", fmt.Errorf("unknown field %q", name)
	}
}

// checkNotRun records a not_run answer for a key that has run. The refusal of
// a key that was used with another body is about its own request only.
func (w *world) checkNotRun(id string, c *call) {
	r := c.refusal()
	if c.request.key == "" || r.Execution != "not_run" || r.Kind == "idempotency_key_reused" {
		return
	}
	if runs := w.runs(c.request.key); runs > 0 {
		w.fault(fmt.Sprintf("call %s was answered not_run (%s), and its key ran %d times", id, r.Kind, runs))
	}
}

func (w *world) get(url string) (status int, body string, err error) {
	return w.do(http.MethodGet, url, "")
}

// httpTimeout bounds a request of the test itself, because the process may be
// frozen.
const httpTimeout = 5 * time.Second

func (w *world) do(method, url, text string) (status int, body string, err error) {
	client := http.Client{Transport: w.client.Transport, Timeout: httpTimeout}
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
