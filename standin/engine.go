package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// EngineConfig sets up an Engine. TokenInterval 0 generates without delay.
type EngineConfig struct {
	Model         string
	TokenInterval time.Duration
	// MaxBatch is the number of requests that generate at once; further ones
	// wait. 0 means no bound.
	MaxBatch int
	// DefaultTokens is the answer length when the request has no max_tokens.
	DefaultTokens int
	// CrashMarker makes a request whose prompt contains it crash the engine:
	// all its streams end without an answer and OnCrash is called.
	CrashMarker string
	OnCrash     func()
}

const defaultAnswerTokens = 16

// Engine stands in for a model engine with continuous batching. Token i of an
// answer is a function of prompt and i, so a whole answer can be recognised.
type Engine struct {
	cfg      EngineConfig
	slots    chan struct{}
	inFlight atomic.Int64
	served   atomic.Int64

	mu      sync.Mutex
	crashed chan struct{}
}

var _ http.Handler = (*Engine)(nil)

// NewEngine returns an idle engine.
func NewEngine(cfg EngineConfig) *Engine {
	if cfg.DefaultTokens == 0 {
		cfg.DefaultTokens = defaultAnswerTokens
	}
	e := &Engine{cfg: cfg, crashed: make(chan struct{})}
	if cfg.MaxBatch > 0 {
		e.slots = make(chan struct{}, cfg.MaxBatch)
	}
	return e
}

// InFlight returns the number of requests accepted and not yet answered.
func (e *Engine) InFlight() int { return int(e.inFlight.Load()) }

// Served returns the number of requests answered whole.
func (e *Engine) Served() int { return int(e.served.Load()) }

// ChatMessage is one message of a chat-completions request.
type ChatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest is the part of a chat-completions request that the engine reads.
type ChatRequest struct {
	Model     string        `json:"model"`
	Messages  []ChatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

// Prompt returns all message contents, one a line.
func (r ChatRequest) Prompt() string {
	parts := make([]string, 0, len(r.Messages))
	for _, m := range r.Messages {
		parts = append(parts, m.Content)
	}
	return strings.Join(parts, "\n")
}

// ExpectedAnswer returns the whole answer of an Engine to a prompt.
func ExpectedAnswer(prompt string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(token(prompt, i))
	}
	return b.String()
}

func token(prompt string, i int) string {
	words := strings.Fields(prompt)
	if len(words) == 0 {
		return fmt.Sprintf("t%d ", i)
	}
	return fmt.Sprintf("%s%d ", words[i%len(words)], i)
}

// ServeHTTP implements http.Handler for POST /v1/chat/completions and for
// GET /health.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/health":
		w.WriteHeader(http.StatusOK)
	case r.Method == http.MethodPost && r.URL.Path == "/v1/chat/completions":
		e.complete(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var req ChatRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, "malformed JSON", http.StatusBadRequest)
		return
	}
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	crashed := e.crashSignal()
	if e.cfg.CrashMarker != "" && strings.Contains(req.Prompt(), e.cfg.CrashMarker) {
		e.crash()
	}
	if !e.acquire(r, crashed) {
		panic(http.ErrAbortHandler)
	}
	defer e.release()
	e.generate(w, r, req, crashed)
	e.served.Add(1)
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request, req ChatRequest, crashed <-chan struct{}) {
	tokens := req.MaxTokens
	if tokens <= 0 {
		tokens = e.cfg.DefaultTokens
	}
	prompt := req.Prompt()
	if req.Stream {
		e.stream(w, r, prompt, tokens, crashed)
		return
	}
	for range tokens {
		e.step(r, crashed)
	}
	writeJSON(w, http.StatusOK, e.wholeAnswer(ExpectedAnswer(prompt, tokens), tokens))
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, prompt string, tokens int, crashed <-chan struct{}) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	for i := range tokens {
		e.step(r, crashed)
		data, err := json.Marshal(e.delta(token(prompt, i)))
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
		_ = flusher.Flush()
	}
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

// step waits for one token interval. It aborts the answer when the engine
// crashes or the caller leaves.
func (e *Engine) step(r *http.Request, crashed <-chan struct{}) {
	timer := time.NewTimer(e.cfg.TokenInterval)
	defer timer.Stop()
	select {
	case <-crashed:
		panic(http.ErrAbortHandler)
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	case <-timer.C:
	}
}

func (e *Engine) acquire(r *http.Request, crashed <-chan struct{}) bool {
	if e.slots == nil {
		return true
	}
	select {
	case e.slots <- struct{}{}:
		return true
	case <-crashed:
		return false
	case <-r.Context().Done():
		return false
	}
}

func (e *Engine) release() {
	if e.slots != nil {
		<-e.slots
	}
}

func (e *Engine) crashSignal() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashed
}

// Crash ends all streams in flight without an answer.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.crashed)
	e.crashed = make(chan struct{})
}

func (e *Engine) crash() {
	e.Crash()
	if e.cfg.OnCrash != nil {
		e.cfg.OnCrash()
	}
	panic(http.ErrAbortHandler)
}

type completion struct {
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int          `json:"index"`
	Message      *ChatMessage `json:"message,omitempty"`
	Delta        *ChatMessage `json:"delta,omitempty"`
	FinishReason string       `json:"finish_reason,omitempty"`
}

type usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

func (e *Engine) delta(content string) completion {
	return completion{
		Object:  "chat.completion.chunk",
		Model:   e.cfg.Model,
		Choices: []choice{{Delta: &ChatMessage{Role: "assistant", Content: content}}},
	}
}

func (e *Engine) wholeAnswer(content string, tokens int) completion {
	return completion{
		Object: "chat.completion",
		Model:  e.cfg.Model,
		Choices: []choice{{
			Message:      &ChatMessage{Role: "assistant", Content: content},
			FinishReason: "stop",
		}},
		Usage: &usage{CompletionTokens: tokens},
	}
}
