package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
)

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
	// Priority orders waiting requests; a lower number goes first.
	Priority int `json:"priority"`
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
func ExpectedCompletion(prompt string, tokens int) string {
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
	CompletionTokens    int          `json:"completion_tokens"`
	PromptTokensDetails promptDetail `json:"prompt_tokens_details"`
}

// promptDetail counts cached bytes, because a stand-in token is a word.
type promptDetail struct {
	CachedTokens int `json:"cached_tokens"`
}

// answer sends a generation from token number from, as server-sent events or
// as one JSON body. An unfinished generation aborts the connection.
func (e *Engine) answer(w http.ResponseWriter, r *http.Request, g *generation, from int, stream bool) {
	if stream {
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(http.StatusOK)
	}
	for {
		made, ended, failed, changed := g.progress()
		if stream {
			from = e.sendTokens(w, g, from, made)
		}
		if failed {
			panic(http.ErrAbortHandler)
		}
		if ended {
			e.finish(w, g, stream)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// sendTokens sends the tokens from number from up to made and returns the
// next number.
func (e *Engine) sendTokens(w http.ResponseWriter, g *generation, from, made int) int {
	for ; from < made; from++ {
		data, err := json.Marshal(e.delta(token(g.prompt, from)))
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
	}
	_ = http.NewResponseController(w).Flush()
	return from
}

func (e *Engine) finish(w http.ResponseWriter, g *generation, stream bool) {
	if stream {
		_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
		return
	}
	writeJSON(w, http.StatusOK, e.wholeAnswer(g))
}

func (e *Engine) delta(content string) completion {
	return completion{
		Object:  "chat.completion.chunk",
		Model:   e.cfg.Model,
		Choices: []choice{{Delta: &ChatMessage{Role: "assistant", Content: content}}},
	}
}

func (e *Engine) wholeAnswer(g *generation) completion {
	message := ChatMessage{Role: "assistant", Content: ExpectedCompletion(g.prompt, g.tokens)}
	return completion{
		Object:  "chat.completion",
		Model:   e.cfg.Model,
		Choices: []choice{{Message: &message, FinishReason: "stop"}},
		Usage: &usage{
			CompletionTokens:    g.tokens,
			PromptTokensDetails: promptDetail{CachedTokens: g.cached},
		},
	}
}
