package demo

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/daemons/entry"
	"github.com/filbertmux/filbertmux/examples"
	"github.com/filbertmux/filbertmux/measure/standin"
)

const (
	prompt       = "Draft a note for a client about a blue label order"
	answerTokens = 24
	pollInterval = 10 * time.Millisecond
	maxSends     = 5
)

// caller makes the calls of the demo.
type caller struct {
	d      *deployment
	client *http.Client
}

func newCaller(d *deployment) *caller { return &caller{d: d, client: &http.Client{}} }

// awaitTable waits until every entry is ready with the table at offset.
func (c *caller) awaitTable(ctx context.Context, offset infra.Offset) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, url := range c.d.entries {
		for !c.ready(ctx, url, offset) {
			select {
			case <-time.After(pollInterval):
			case <-ctx.Done():
				return errkind.New(errkind.WaitTimeout, "%s does not have table offset %d", url, offset)
			}
		}
	}
	return nil
}

func (c *caller) ready(ctx context.Context, url string, offset infra.Offset) bool {
	var status entry.Status
	a, err := c.send(ctx, http.MethodGet, url+"/statusz", "", "")
	if err != nil || json.Unmarshal(a.body, &status) != nil || status.TableOffset < offset {
		return false
	}
	a, err = c.send(ctx, http.MethodGet, url+"/readyz", "", "")
	return err == nil && a.status == http.StatusOK
}

// calls makes one call of each kind; the booking goes to both entries.
func (c *caller) calls(ctx context.Context) Report {
	first, second := c.d.entries[0], c.d.entries[1]
	key := uuid.Must(uuid.NewV7()).String()
	const order = `{"loom":7,"metres":1200}`
	calls := []Call{
		c.completion(ctx, first),
		c.lookup(ctx, second),
		c.booking(ctx, "booking", first, key, order),
		c.booking(ctx, "booking sent again", second, key, order),
	}
	return Report{Calls: calls, RunCounts: []RunCount{{Key: key, Runs: c.d.runs(key)}}}
}

func (c *caller) completion(ctx context.Context, url string) Call {
	body, err := json.Marshal(standin.ChatRequest{
		Model: modelService, Stream: true, MaxTokens: answerTokens,
		Messages: []standin.ChatMessage{{Role: "user", Content: prompt}},
	})
	if err != nil {
		return Call{Kind: "completion", Detail: err.Error()}
	}
	return c.call(ctx, "completion", http.MethodPost, url+"/v1/chat/completions", "", string(body), func(a answer) string {
		text, done := readEvents(a.body)
		switch {
		case !done:
			return "the stream has no [DONE]"
		case text != standin.ExpectedCompletion(prompt, answerTokens):
			return "the text differs from the engine's"
		default:
			return ""
		}
	})
}

func (c *caller) lookup(ctx context.Context, url string) Call {
	return c.call(ctx, "lookup", http.MethodGet, url+"/"+plainService+"/stock/blue-satin", "", "", func(a answer) string {
		return checkPlain(a, http.MethodGet, "/stock/blue-satin", "", 0)
	})
}

func (c *caller) booking(ctx context.Context, kind, url, key, order string) Call {
	return c.call(ctx, kind, http.MethodPost, url+"/"+plainService+"/orders", key, order, func(a answer) string {
		return checkPlain(a, http.MethodPost, "/orders", order, 1)
	})
}

// call sends one call; check returns what is wrong with its answer, or "".
func (c *caller) call(ctx context.Context, kind, method, url, key, body string, check func(answer) string) Call {
	start := time.Now()
	a, sent, err := c.sendAgain(ctx, method, url, key, body)
	result := Call{
		Kind: kind, URL: url, Status: a.status, SendCount: sent, Bytes: len(a.body),
		Milliseconds: float64(time.Since(start).Microseconds()) / 1000,
	}
	switch {
	case err != nil:
		result.Detail = err.Error()
	case a.status != http.StatusOK:
		result.Detail = string(a.body)
	default:
		result.Detail = check(a)
	}
	result.Correct = result.Detail == ""
	return result
}

// sendAgain repeats a call as long as it is refused with a Retry-After, as a
// caller does. A booking that was just answered is "in progress" until its
// outcome is in the log.
func (c *caller) sendAgain(ctx context.Context, method, url, key, body string) (a answer, sent int, err error) {
	for sent = 1; ; sent++ {
		a, err = c.send(ctx, method, url, key, body)
		if err != nil || a.retryAfter == 0 || sent == maxSends {
			return a, sent, err
		}
		select {
		case <-time.After(a.retryAfter):
		case <-ctx.Done():
			return a, sent, errors.Wrap(ctx.Err(), "wait")
		}
	}
}

type answer struct {
	status     int
	retryAfter time.Duration // 0 without the header
	body       []byte
}

func (c *caller) send(ctx context.Context, method, url, key, body string) (answer, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return answer{}, errors.Wrap(err, "request")
	}
	req.Header.Set("Authorization", "Bearer "+examples.DevKey(organisation))
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return answer{}, errors.Wrap(err, "call")
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{}, errors.Wrap(err, "read the answer")
	}
	seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil {
		seconds = 0
	}
	retryAfter := time.Duration(seconds) * time.Second
	return answer{status: resp.StatusCode, retryAfter: retryAfter, body: data}, nil
}

// readEvents returns the text of a streamed completion and whether it ended
// with [DONE].
func readEvents(body []byte) (text string, done bool) {
	var out strings.Builder
	lines := bufio.NewScanner(strings.NewReader(string(body)))
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		var event struct {
			Choices []struct {
				Delta standin.ChatMessage `json:"delta"`
			} `json:"choices"`
		}
		if json.Unmarshal([]byte(data), &event) == nil && len(event.Choices) > 0 {
			out.WriteString(event.Choices[0].Delta.Content)
		}
	}
	return out.String(), done
}

func checkPlain(a answer, method, path, body string, run int) string {
	var got standin.PlainResponse
	if err := json.Unmarshal(a.body, &got); err != nil {
		return "the answer is not whole: " + err.Error()
	}
	want := standin.PlainResponse{Service: plainService, Method: method, Path: path, Run: run, Body: body}
	if got != want {
		return "the answer differs from the service's: " + string(a.body)
	}
	return ""
}
