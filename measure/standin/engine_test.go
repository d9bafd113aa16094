package standin_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/measure/standin"
)

func newEngine(t *testing.T, cfg standin.EngineConfig) (*standin.Engine, *httptest.Server) {
	t.Helper()
	e := standin.NewEngine(cfg)
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	t.Cleanup(e.Crash)
	return e, server
}

func post(t *testing.T, server *httptest.Server, path string, body any, id string) (int, string, error) {
	t.Helper()
	data, err := json.Marshal(body)
	require.NoError(t, err)
	req, err := http.NewRequest(http.MethodPost, server.URL+path, strings.NewReader(string(data)))
	require.NoError(t, err)
	if id != "" {
		req.Header.Set(standin.RequestIDHeader, id)
	}
	resp, err := server.Client().Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(answer), err
}

func chat(prompt string, tokens int, stream bool) standin.ChatRequest {
	return standin.ChatRequest{
		Model:     "m",
		Messages:  []standin.ChatMessage{{Role: "user", Content: prompt}},
		MaxTokens: tokens,
		Stream:    stream,
	}
}

// Guards against a resumed stream that repeats or skips tokens.
func TestResumeContinuesFromToken(t *testing.T) {
	_, server := newEngine(t, standin.EngineConfig{})
	_, whole, err := post(t, server, "/v1/chat/completions", chat("a b c", 6, true), "r1")
	require.NoError(t, err)
	resp, err := server.Client().Get(server.URL + "/v1/streams/r1?from=4")
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	rest, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.True(t, strings.HasSuffix(whole, string(rest)))
	require.Equal(t, 3, strings.Count(string(rest), "data: "))
}

// Guards against a crash that ends a stream as if it were whole.
func TestCrashMarkerAbortsWithoutAnswer(t *testing.T) {
	e, server := newEngine(t, standin.EngineConfig{CrashMarker: "boom"})
	_, _, err := post(t, server, "/v1/chat/completions", chat("boom", 2, true), "")
	require.Error(t, err)
	require.Equal(t, 1, e.Crashes())
}

// Guards against an engine that checks fencing tokens and takes a stale one,
// and against one that is told to ignore them and refuses.
func TestCommandFencing(t *testing.T) {
	for _, checks := range []bool{true, false} {
		_, server := newEngine(t, standin.EngineConfig{ChecksFencing: checks})
		command := standin.Command{Kind: standin.LoadModel, Value: "m", FencingToken: 5}
		status, _, err := post(t, server, "/v1/commands", command, "")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
		command.FencingToken = 4
		status, _, err = post(t, server, "/v1/commands", command, "")
		require.NoError(t, err)
		require.Equal(t, checks, status == http.StatusConflict)
	}
}

// Guards against a prefix cache that never hits, and against events without
// the lag and the gaps that real engines have.
func TestPrefixCacheAndEvents(t *testing.T) {
	_, server := newEngine(t, standin.EngineConfig{PrefixCacheBlocks: 8, CacheEventLag: 1, DropEveryNthCacheEvent: 2})
	prompt := strings.Repeat("x", 300)
	_, _, err := post(t, server, "/v1/chat/completions", chat(prompt, 1, false), "")
	require.NoError(t, err)
	_, answer, err := post(t, server, "/v1/chat/completions", chat(prompt, 1, false), "")
	require.NoError(t, err)
	require.Contains(t, answer, `"cached_tokens":256`)
	resp, err := server.Client().Get(server.URL + "/v1/cache_events?after=0")
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	var events []standin.CacheEvent
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&events))
	require.Len(t, events, 1)
}
