package sidecar

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/config/table"
	"github.com/filbertmux/filbertmux/examples"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/measure/standin"
)

type demoTable struct {
	noTable
	view *table.View
}

func (d demoTable) View() *table.View { return d.view }

func newModelFixture(t *testing.T, engine http.Handler) *fixture {
	t.Helper()
	sheet, err := table.LoadDir(examples.Demo())
	require.NoError(t, err)
	fold := table.NewState()
	for _, office := range sheet.Offices() {
		data, err := table.Diff(fold.View(), sheet, office, "first-"+office).Encode()
		require.NoError(t, err)
		fold.Apply(infra.Record{Offset: fold.Offset() + 1, Data: data})
	}
	f := newFixture(t, engine)
	f.server.settings.Service = "text-desk"
	f.server.table = demoTable{view: fold.View()}
	return f
}

func modelCall() *pb.CallRequest {
	request := prompt("r1", "a long letter")
	request.Service, request.Stream = "text-desk", true
	request.Body = []byte(strings.Replace(string(request.GetBody()), `"max_tokens":4`, `"max_tokens":20`, 1))
	return request
}

// cutWriter breaks the connection after a number of writes, one for each event.
type cutWriter struct {
	http.ResponseWriter
	left int
}

func (w *cutWriter) Write(b []byte) (int, error) {
	if w.left == 0 {
		panic(http.ErrAbortHandler)
	}
	w.left--
	n, err := w.ResponseWriter.Write(b)
	_ = http.NewResponseController(w).Flush()
	return n, err
}

func (w *cutWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Guards against an answer that is lost, or continued with other tokens, when
// only the connection to the engine breaks.
func TestAnswerResumesAtTheEngine(t *testing.T) {
	engine := standin.NewEngine(standin.EngineConfig{TokenInterval: time.Microsecond})
	var posts, resumes atomic.Int32
	f := newModelFixture(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Method == http.MethodPost:
			posts.Add(1)
			w = &cutWriter{w, 5}
		case strings.HasPrefix(r.URL.Path, streamsPath):
			resumes.Add(1)
			w = &cutWriter{w, 7}
		}
		engine.ServeHTTP(w, r)
	}))
	in, err := f.client.Call(context.Background(), connect.NewRequest(modelCall()))
	require.NoError(t, err)
	r := newReceiver("r1")
	var text strings.Builder
	for line := range strings.SplitSeq(read(in, r, all), "\n") {
		var event struct {
			Choices []struct{ Delta standin.ChatMessage }
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if ok && data != "[DONE]" {
			require.NoError(t, json.Unmarshal([]byte(data), &event), line)
			text.WriteString(event.Choices[0].Delta.Content)
		}
	}
	require.NoError(t, in.Close())
	require.NoError(t, r.Err())
	require.Equal(t, standin.ExpectedCompletion("a long letter", 20), text.String())
	require.Equal(t, int32(1), posts.Load(), "the call runs once")
	require.Equal(t, int32(3), resumes.Load())
}

// Guards against an engine that lost the answer and whose new one is mixed in.
func TestForgottenAnswerIsNotContinued(t *testing.T) {
	engine := standin.NewEngine(standin.EngineConfig{TokenInterval: time.Microsecond})
	f := newModelFixture(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Method == http.MethodPost:
			defer engine.Crash()
			engine.ServeHTTP(&cutWriter{w, 5}, r)
		case strings.HasPrefix(r.URL.Path, streamsPath):
			w.Header().Set("Content-Type", "text/event-stream")
			w.WriteHeader(http.StatusNotFound)
			_, _ = io.WriteString(w, "data: another answer\n\ndata: [DONE]\n\n")
		}
	}))
	result := f.attempt(t, modelCall())
	require.True(t, errkind.Is(result.err, errkind.StreamIncomplete), "%v", result.err)
}

// Guards against an engine that generates an answer that no entry wants.
func TestCancelReachesTheEngine(t *testing.T) {
	engine := standin.NewEngine(standin.EngineConfig{TokenInterval: time.Hour})
	deleted := make(chan struct{}, 1)
	f := newModelFixture(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		engine.ServeHTTP(w, r)
		if r.Method == http.MethodDelete {
			deleted <- struct{}{}
		}
	}))
	in, err := f.client.Call(context.Background(), connect.NewRequest(modelCall()))
	require.NoError(t, err)
	r := newReceiver("r1")
	read(in, r, 1)
	require.Equal(t, 1, engine.InFlight())
	_, err = f.client.Cancel(context.Background(), connect.NewRequest(&pb.CancelRequest{Id: r.ID()}))
	require.NoError(t, err)
	read(in, r, all)
	select {
	case <-deleted:
	case <-time.After(20 * time.Second):
		t.Fatal("the engine got no cancel")
	}
	require.NoError(t, in.Close())
}

// Guards against an engine that orders requests by what the caller wrote, and
// against a body that changes otherwise.
func TestClassPriorityReachesTheEngine(t *testing.T) {
	bodies := make(chan []byte, 1)
	f := newModelFixture(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		bodies <- body
	}))
	class := f.server.table.View().Classes()[0]
	request := modelCall()
	request.Class = class.Name
	request.Body = []byte(`{"Priority":-5,"seed":12345678901234567890,"x":{"priority":1,"t":0.10}}`)
	require.NoError(t, f.attempt(t, request).err)
	var fields map[string]json.RawMessage
	require.NoError(t, json.Unmarshal(<-bodies, &fields))
	want := map[string]json.RawMessage{
		"priority": withPriorityValue(t, class.Priority), "seed": json.RawMessage("12345678901234567890"),
		"x": json.RawMessage(`{"priority":1,"t":0.10}`),
	}
	require.Equal(t, want, fields)
}

func withPriorityValue(t *testing.T, priority int) json.RawMessage {
	t.Helper()
	data, err := json.Marshal(priority)
	require.NoError(t, err)
	return data
}
