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
	prompt           = "Draft a note for a client about a blue label order"
	completionTokens = 24
	pollInterval     = 10 * time.Millisecond
	maxSendCount     = 5
)

// demoClient sends the calls of the demo and checks their responses.
type demoClient struct {
	deployment *deployment
	client     *http.Client
}

func newDemoClient(d *deployment) *demoClient {
	return &demoClient{deployment: d, client: &http.Client{}}
}

// awaitTable waits until every entry is ready and has applied the table up to
// offset.
func (c *demoClient) awaitTable(ctx context.Context, offset infra.Offset) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, url := range c.deployment.entryURLs {
		for !c.ready(ctx, url, offset) {
			select {
			case <-time.After(pollInterval):
			case <-ctx.Done():
				return errkind.New(errkind.WaitTimeout, "%s has not applied table offset %d", url, offset)
			}
		}
	}
	return nil
}

func (c *demoClient) ready(ctx context.Context, url string, offset infra.Offset) bool {
	var status entry.Status
	resp, err := c.send(ctx, http.MethodGet, url+"/statusz", "", "")
	if err != nil || json.Unmarshal(resp.body, &status) != nil || status.TableOffset < offset {
		return false
	}
	resp, err = c.send(ctx, http.MethodGet, url+"/readyz", "", "")
	return err == nil && resp.status == http.StatusOK
}

// runAllCalls makes one call of each kind. It sends the non-idempotent request, an
// order, to both entries with the same idempotency key.
func (c *demoClient) runAllCalls(ctx context.Context) Report {
	first, second := c.deployment.entryURLs[0], c.deployment.entryURLs[1]
	key := uuid.Must(uuid.NewV7()).String()
	const order = `{"loom":7,"metres":1200}`
	calls := []Call{
		c.completion(ctx, first),
		c.lookup(ctx, second),
		c.createOrder(ctx, "booking", first, key, order),
		c.createOrder(ctx, "booking sent again", second, key, order),
	}
	return Report{Calls: calls, RunCounts: []RunCount{{Key: key, Runs: c.deployment.runCount(key)}}}
}

func (c *demoClient) completion(ctx context.Context, url string) Call {
	body, err := json.Marshal(standin.ChatRequest{
		Model: modelService, Stream: true, MaxTokens: completionTokens,
		Messages: []standin.ChatMessage{{Role: "user", Content: prompt}},
	})
	if err != nil {
		return Call{Kind: "completion", Detail: err.Error()}
	}
	return c.sendAndCheck(ctx, "completion", http.MethodPost, url+"/v1/chat/completions", "", string(body), func(resp response) string {
		text, done := readEvents(resp.body)
		switch {
		case !done:
			return "the stream ended without [DONE]"
		case text != standin.ExpectedCompletion(prompt, completionTokens):
			return "the text differs from the engine's output"
		default:
			return ""
		}
	})
}

func (c *demoClient) lookup(ctx context.Context, url string) Call {
	return c.sendAndCheck(ctx, "lookup", http.MethodGet, url+"/"+plainService+"/stock/blue-satin", "", "", func(resp response) string {
		return checkPlainResponse(resp, http.MethodGet, "/stock/blue-satin", "", 0)
	})
}

func (c *demoClient) createOrder(ctx context.Context, kind, url, key, order string) Call {
	return c.sendAndCheck(ctx, kind, http.MethodPost, url+"/"+plainService+"/orders", key, order, func(resp response) string {
		return checkPlainResponse(resp, http.MethodPost, "/orders", order, 1)
	})
}

// sendAndCheck makes one call. check returns what is wrong with the response, or
// "" if it is correct.
func (c *demoClient) sendAndCheck(ctx context.Context, kind, method, url, key, body string, check func(response) string) Call {
	start := time.Now()
	resp, sendCount, err := c.sendWithRetries(ctx, method, url, key, body)
	result := Call{
		Kind: kind, URL: url, Status: resp.status, SendCount: sendCount, Bytes: len(resp.body),
		Milliseconds: float64(time.Since(start).Microseconds()) / 1000,
	}
	switch {
	case err != nil:
		result.Detail = err.Error()
	case resp.status != http.StatusOK:
		result.Detail = string(resp.body)
	default:
		result.Detail = check(resp)
	}
	result.Correct = result.Detail == ""
	return result
}

// sendWithRetries retries a call while the response carries Retry-After, as callers
// are expected to do. A duplicate of a non-idempotent request gets an in_progress
// error until the outcome of the request is in the log, which may be after its
// response.
func (c *demoClient) sendWithRetries(ctx context.Context, method, url, key, body string) (resp response, sendCount int, err error) {
	for sendCount = 1; ; sendCount++ {
		resp, err = c.send(ctx, method, url, key, body)
		if err != nil || resp.retryAfter == 0 || sendCount == maxSendCount {
			return resp, sendCount, err
		}
		select {
		case <-time.After(resp.retryAfter):
		case <-ctx.Done():
			return resp, sendCount, errors.Wrap(ctx.Err(), "wait before a retry")
		}
	}
}

type response struct {
	status     int
	retryAfter time.Duration // 0 without a Retry-After header
	body       []byte
}

func (c *demoClient) send(ctx context.Context, method, url, key, body string) (response, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return response{}, errors.Wrap(err, "create the request")
	}
	req.Header.Set("Authorization", "Bearer "+examples.DevKey(organisation))
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return response{}, errors.Wrap(err, "send the request")
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return response{}, errors.Wrap(err, "read the response")
	}
	seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil {
		seconds = 0
	}
	retryAfter := time.Duration(seconds) * time.Second
	return response{status: resp.StatusCode, retryAfter: retryAfter, body: data}, nil
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

func checkPlainResponse(resp response, method, path, body string, run int) string {
	var got standin.PlainResponse
	if err := json.Unmarshal(resp.body, &got); err != nil {
		return "invalid JSON in the response: " + err.Error()
	}
	want := standin.PlainResponse{Service: plainService, Method: method, Path: path, Run: run, Body: body}
	if got != want {
		return "unexpected response of the plain service: " + string(resp.body)
	}
	return ""
}
