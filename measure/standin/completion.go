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

// ChatRequest holds the fields of a chat-completions request that the engine
// reads.
type ChatRequest struct {
	Model     string        `json:"model"`
	Messages  []ChatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
	// Priority orders queued requests; a lower number goes first.
	Priority int `json:"priority"`
}

// Prompt returns the contents of all messages, joined by newlines.
func (r ChatRequest) Prompt() string {
	parts := make([]string, 0, len(r.Messages))
	for _, m := range r.Messages {
		parts = append(parts, m.Content)
	}
	return strings.Join(parts, "\n")
}

// ExpectedCompletion returns the complete text that an Engine generates for a
// prompt.
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

// promptDetail counts cached bytes instead of tokens, because the stand-in's
// tokens are words of any length.
type promptDetail struct {
	CachedTokens int `json:"cached_tokens"`
}

// writeGeneration writes the response of a generation: server-sent events from
// token index from on, or one JSON body. If the generation is aborted, it aborts
// the connection.
func (e *Engine) writeGeneration(w http.ResponseWriter, r *http.Request, g *generation, from int, stream bool) {
	if stream {
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(http.StatusOK)
	}
	for {
		generated, ended, aborted, changed := g.progress()
		if stream {
			from = e.writeTokens(w, g, from, generated)
		}
		if aborted {
			panic(http.ErrAbortHandler)
		}
		if ended {
			e.writeEnd(w, g, stream)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// writeTokens writes the tokens with index from up to generated, exclusive, and
// returns the next index.
func (e *Engine) writeTokens(w http.ResponseWriter, g *generation, from, generated int) int {
	for ; from < generated; from++ {
		data, err := json.Marshal(e.chunk(token(g.prompt, from)))
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
	}
	_ = http.NewResponseController(w).Flush()
	return from
}

func (e *Engine) writeEnd(w http.ResponseWriter, g *generation, stream bool) {
	if stream {
		_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
		return
	}
	writeJSON(w, http.StatusOK, e.completeResponse(g))
}

func (e *Engine) chunk(content string) completion {
	return completion{
		Object:  "chat.completion.chunk",
		Model:   e.cfg.Model,
		Choices: []choice{{Delta: &ChatMessage{Role: "assistant", Content: content}}},
	}
}

func (e *Engine) completeResponse(g *generation) completion {
	message := ChatMessage{Role: "assistant", Content: ExpectedCompletion(g.prompt, g.tokenCount)}
	return completion{
		Object:  "chat.completion",
		Model:   e.cfg.Model,
		Choices: []choice{{Message: &message, FinishReason: "stop"}},
		Usage: &usage{
			CompletionTokens:    g.tokenCount,
			PromptTokensDetails: promptDetail{CachedTokens: g.cachedBytes},
		},
	}
}
