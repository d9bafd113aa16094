// Package load sends streamed completions to an entry at a fixed average rate
// and checks that each response is complete. It expects stand-in engines, whose
// responses are determined by the prompt.
package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"

	"github.com/filbertmux/filbertmux/measure/standin"
)

// Limits of a run, so that a mistyped flag cannot overload the host.
const (
	maxRate     = 500
	maxDuration = 10 * time.Minute
	maxLatency  = 10 * time.Minute
)

// Cmd is the command filbertmux-bench load. It sends load and prints latencies.
type Cmd struct {
	URL     string        `arg:"" help:"Base URL of the entry, on a loopback address."`
	Key     string        `default:"dev-key-mureseni-desk" help:"API key of the organisation."`
	Service string        `default:"text-desk" help:"Model service."`
	Rate    float64       `default:"5" help:"Requests per second."`
	For     time.Duration `default:"20s" help:"How long to send."`
	Tokens  int           `default:"480" help:"Tokens per answer."`
	Seed    uint64        `default:"1" help:"Seed of arrivals and prompts."`
}

// Validate implements the flag validation of kong.
func (c *Cmd) Validate() error {
	if c.Rate <= 0 || c.Rate > maxRate {
		return errors.Errorf("--rate must be above 0 and at most %d", maxRate)
	}
	if c.For <= 0 || c.For > maxDuration {
		return errors.Errorf("--for must be above 0 and at most %s", maxDuration)
	}
	if c.Tokens <= 0 {
		return errors.New("--tokens must be positive")
	}
	return validateLoopback(c.URL)
}

func validateLoopback(base string) error {
	u, err := url.Parse(base)
	if err != nil {
		return errors.Wrap(err, "url")
	}
	address, err := netip.ParseAddr(u.Hostname())
	if err != nil || !address.IsLoopback() {
		return errors.Errorf("url %q: want a loopback IP address", base)
	}
	return nil
}

// Run implements the kong command. It fails if any response was incomplete.
func (c *Cmd) Run() error {
	rng := rand.New(rand.NewPCG(c.Seed, 1))
	r := newLatencyReport()
	var sends sync.WaitGroup
	end := time.Now().Add(c.For)
	for next := time.Now(); next.Before(end); {
		time.Sleep(time.Until(next))
		prompt := fmt.Sprintf("draft label %d for lot %d", rng.IntN(1000), rng.IntN(1000))
		sends.Go(func() { r.add(c.send(prompt)) })
		next = next.Add(time.Duration(rng.ExpFloat64() / c.Rate * float64(time.Second)))
	}
	sends.Wait()
	r.print()
	if r.failed > 0 {
		return errors.Errorf("%d of %d responses were incomplete, first: %v", r.failed, r.sent, r.firstError)
	}
	return nil
}

// callResult holds the latencies of one call, or its error.
type callResult struct {
	firstToken      time.Duration
	interTokenTimes []time.Duration
	err             error
}

func (c *Cmd) send(prompt string) callResult {
	body, err := json.Marshal(standin.ChatRequest{
		Model: c.Service, Stream: true, MaxTokens: c.Tokens,
		Messages: []standin.ChatMessage{{Role: "user", Content: prompt}},
	})
	if err != nil {
		return callResult{err: err}
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxLatency)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.URL+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return callResult{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	req.Header.Set("Content-Type", "application/json")
	start := time.Now()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return callResult{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 4096))
		return callResult{err: errors.Errorf("%s: %s", resp.Status, text)}
	}
	return readStream(resp.Body, start, standin.ExpectedCompletion(prompt, c.Tokens))
}

func readStream(body io.Reader, start time.Time, want string) callResult {
	var result callResult
	var text strings.Builder
	last := start
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			if text.String() != want {
				result.err = errors.Errorf("answer has %d bytes, want %d", text.Len(), len(want))
			}
			return result
		}
		now := time.Now()
		if text.Len() == 0 {
			result.firstToken = now.Sub(start)
		} else {
			result.interTokenTimes = append(result.interTokenTimes, now.Sub(last))
		}
		last = now
		text.WriteString(chunkContent(data))
	}
	result.err = errors.Wrap(errors.New("stream ended without [DONE]"), fmt.Sprint(lines.Err()))
	return result
}

// content returns the text of one chunk of a streamed completion.
func chunkContent(data string) string {
	var chunk struct {
		Choices []struct {
			Delta standin.ChatMessage `json:"delta"`
		} `json:"choices"`
	}
	if json.Unmarshal([]byte(data), &chunk) != nil || len(chunk.Choices) == 0 {
		return ""
	}
	return chunk.Choices[0].Delta.Content
}

// latencyReport collects the results of all calls. It is safe for concurrent
// use.
type latencyReport struct {
	mu         sync.Mutex
	sent       int
	failed     int
	firstError error
	firstToken *hdrhistogram.Histogram // microseconds
	interToken *hdrhistogram.Histogram // microseconds
}

func newLatencyReport() *latencyReport {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatency.Microseconds(), 3) }
	return &latencyReport{firstToken: histogram(), interToken: histogram()}
}

func (r *latencyReport) add(result callResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	if result.err != nil {
		r.failed++
		if r.firstError == nil {
			r.firstError = result.err
		}
		return
	}
	_ = r.firstToken.RecordValue(result.firstToken.Microseconds())
	for _, d := range result.interTokenTimes {
		_ = r.interToken.RecordValue(d.Microseconds())
	}
}

func (r *latencyReport) print() {
	ms := func(h *hdrhistogram.Histogram, quantile float64) float64 {
		return float64(h.ValueAtQuantile(quantile)) / 1000
	}
	fmt.Printf("%d answers, %d not whole\n", r.sent, r.failed)
	fmt.Printf("first token: p50 %.1f ms, p95 %.1f ms, p99 %.1f ms\n",
		ms(r.firstToken, 50), ms(r.firstToken, 95), ms(r.firstToken, 99))
	fmt.Printf("between tokens: p50 %.2f ms, p95 %.2f ms, p99 %.2f ms\n",
		ms(r.interToken, 50), ms(r.interToken, 95), ms(r.interToken, 99))
}
