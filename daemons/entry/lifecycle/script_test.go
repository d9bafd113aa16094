package lifecycle

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/chart"
	"github.com/filbertmux/filbertmux/base/errkind"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/internal/charttest"
	"github.com/filbertmux/filbertmux/serve/stream"
)

// scriptRunner runs one request through a script. Each word of a script is an event,
// with ">" and the effects that it must have, or "@" and the state that must be
// reached:
//
//	limit slot>pick picked>call @attempting
type scriptRunner struct {
	now     time.Time
	request *Request
	sender  *stream.Sender // of the current attempt
}

var scriptEvents = map[string]func(*scriptRunner) Event{
	"limit":   func(*scriptRunner) Event { return Event{Kind: LimitPassed} },
	"slot":    func(*scriptRunner) Event { return Event{Kind: SlotGranted} },
	"refused": func(*scriptRunner) Event { return Event{Kind: Refused, Err: errLost} },
	"picked":  func(*scriptRunner) Event { return Event{Kind: Picked} },
	"none":    func(*scriptRunner) Event { return Event{Kind: NoServer, Err: errLost} },
	"granted": func(*scriptRunner) Event { return Event{Kind: RetryGranted, Delay: time.Second} },
	"denied":  func(*scriptRunner) Event { return Event{Kind: RetryRefused} },
	"due":     func(*scriptRunner) Event { return Event{Kind: RetryDue} },
	"left":    func(*scriptRunner) Event { return Event{Kind: CallerGone, Err: errLost} },
	// Results of Deliver and Finish.
	"buffered":  func(*scriptRunner) Event { return Event{Kind: Delivered} },
	"wrote":     func(*scriptRunner) Event { return Event{Kind: Delivered, AnswerStarted: true} },
	"unwritten": func(*scriptRunner) Event { return Event{Kind: Delivered, Err: errLost} },
	"written":   func(*scriptRunner) Event { return Event{Kind: AnswerWritten} },
	"broken":    func(*scriptRunner) Event { return Event{Kind: WriteFailed, Err: errLost} },
	// Chunks in order, and a chunk of another attempt.
	"head":   func(s *scriptRunner) Event { s.sender.Head(&pb.Head{Status: 200}); return s.nextChunk() },
	"data":   func(s *scriptRunner) Event { s.sender.Data([]byte("x")); return s.nextChunk() },
	"end":    func(s *scriptRunner) Event { s.sender.End(nil); return s.nextChunk() },
	"failed": func(s *scriptRunner) Event { s.sender.End(errLost); return s.nextChunk() },
	"notrun": func(s *scriptRunner) Event { s.sender.End(errkind.New(errkind.Leaving, "")); return s.nextChunk() },
	"stale": func(s *scriptRunner) Event {
		return Event{Kind: ChunkReceived, Chunk: &pb.Chunk{Id: &pb.AttemptId{RequestId: "r", Attempt: uint32(s.request.attempt + 1)}, Seq: 1}}
	},
	// Ends of connections: resumable, after a failed dial, not resumable because
	// chunks are missing, and of a connection that was replaced.
	"lost": func(s *scriptRunner) Event {
		return Event{Kind: ConnectionEnded, Connection: s.request.connection, Err: errLost}
	},
	"unreachable": func(s *scriptRunner) Event { return s.connectionEnded(Event{DialFailed: true}) },
	"dropped":     func(s *scriptRunner) Event { return s.connectionEnded(Event{NotResumable: true}) },
	"unsent": func(s *scriptRunner) Event {
		e := s.connectionEnded(Event{NotSent: true})
		e.Err = errkind.New(errkind.Leaving, "evacuated")
		return e
	},
	// Signs of a lost connection to a server that should get no new ones.
	"moved": func(s *scriptRunner) Event { return s.connectionEnded(Event{MoveToOther: true}) },
	"silent-moved": func(s *scriptRunner) Event {
		e := s.deadlineAfter(time.Second)
		e.MoveToOther = true
		return e
	},
	"replaced": func(s *scriptRunner) Event { return Event{Kind: ConnectionEnded, Connection: s.request.connection - 1} },
	"silent":   func(s *scriptRunner) Event { return s.deadlineAfter(time.Second) },
	"stalled":  func(s *scriptRunner) Event { return s.deadlineAfter(time.Hour) },
}

var errLost = errkind.New(errkind.StreamIncomplete, "connection lost")

func (s *scriptRunner) nextChunk() Event { return Event{Kind: ChunkReceived, Chunk: s.sender.Next()} }

func (s *scriptRunner) connectionEnded(e Event) Event {
	e.Kind, e.Connection, e.Err = ConnectionEnded, s.request.connection, errLost
	return e
}

func (s *scriptRunner) deadlineAfter(d time.Duration) Event {
	s.now = s.now.Add(d)
	return Event{Kind: DeadlinePassed}
}

var effectNames = map[EffectKind]string{
	Pick: "pick", Call: "call", Resume: "resume", Deliver: "deliver", Finish: "finish", ReportConnectionLost: "broken",
	ReportConnectionSilent: "silent", AskRetry: "ask", Wait: "wait", Refuse: "refuse", EndAttempt: "ended",
}

func effectName(e Effect) string {
	switch {
	case e.Kind == Fail:
		return "fail:" + e.Failure.Err.Execution.String()
	case e.Kind == EndAttempt && e.Failure == nil:
		return "succeeded"
	case e.Kind == EndAttempt && e.Cancel:
		return "canceled"
	default:
		return effectNames[e.Kind]
	}
}

func (s *scriptRunner) step(word string) error {
	if state, ok := strings.CutPrefix(word, "@"); ok {
		if string(s.request.State()) != state {
			return fmt.Errorf("state %s, want %s", s.request.State(), state)
		}
		return nil
	}
	event, want, _ := strings.Cut(word, ">")
	var got []string
	for _, e := range s.request.Step(s.now, scriptEvents[event](s)) {
		got = append(got, effectName(e))
		if e.Kind == Call {
			id := &pb.AttemptId{RequestId: "r", Attempt: uint32(e.Attempt), Incarnation: "i"}
			s.sender = stream.NewSender(id, 1<<20)
		}
	}
	if strings.Join(got, ",") != want {
		return fmt.Errorf("%s: got %v, want %q", event, got, want)
	}
	return nil
}

func runScript(c *chart.Chart, idempotent bool, text string, visited map[State]bool) error {
	s := &scriptRunner{now: time.UnixMilli(1_800_000_000_000)}
	s.request = newRequest(c, Config{
		RequestID: "r", Idempotent: idempotent, MaxResumes: 2,
		Receiver: stream.ReceiverConfig{MaxPending: 8, SilenceTimeout: time.Second, ProgressTimeout: time.Hour},
	})
	visited[s.request.State()] = true
	for word := range strings.FieldsSeq(text) {
		if err := s.step(word); err != nil {
			return fmt.Errorf("%s: %w", text, err)
		}
		visited[s.request.State()] = true
	}
	return nil
}

// Common prefixes of scripts.
const (
	attempting    = "limit slot>pick picked>call "
	streaming     = attempting + "head>deliver buffered data>deliver wrote @streaming "
	resuming      = attempting + "lost>broken,resume @resuming "
	resumed       = streaming + "lost>broken,resume @resuming "
	secondAttempt = "granted>wait due>pick picked>call "
)

var idempotentScripts = []string{
	"refused>refuse limit",
	"limit refused>refuse",
	"limit slot>pick none>refuse",
	attempting + "head>deliver buffered data>deliver wrote end>finish written>succeeded @finished",
	attempting + "head>deliver buffered end>finish broken>ended,fail:unknown",
	// The caller received nothing, so another attempt is allowed.
	attempting + "failed>ended,ask denied>fail:unknown",
	attempting + "failed>ended,ask granted>wait left>fail:unknown",
	attempting + "failed>ended,ask granted>wait due>pick none>fail:unknown",
	attempting + "failed>ended,ask " + secondAttempt + "stale head>deliver buffered end>finish written>succeeded",
	attempting + "failed>ended,ask " + secondAttempt + "notrun>ended,ask denied>fail:unknown",
	attempting + "unreachable>broken,canceled,ask denied>fail:not_run",
	attempting + "unsent>ended,ask denied>fail:not_run",
	attempting + "unsent>ended,ask " + secondAttempt + "head>deliver buffered end>finish written>succeeded",
	attempting + "dropped>broken,canceled,ask",
	attempting + "moved>broken,canceled,ask",
	attempting + "silent-moved>silent,canceled,ask",
	attempting + "stalled>canceled,ask",
	attempting + "left>canceled,fail:unknown",
	attempting + "head>deliver unwritten>canceled,fail:unknown",
	attempting + "silent>silent,resume @resuming",
	resuming + "replaced failed>ended,ask",
	resuming + "head>deliver buffered @attempting failed>ended,ask",
	resuming + "head>deliver buffered data>deliver wrote @streaming",
	resuming + "lost>broken,resume lost>broken,canceled,ask",
	resuming + "lost>broken,resume head>deliver buffered lost>broken,resume lost>broken,resume",
	resuming + "unreachable>broken,canceled,ask denied>fail:unknown",
	resuming + "moved>broken,canceled,ask",
	resuming + "stalled>canceled,ask",
	resuming + "stale left>canceled,fail:unknown",
	resuming + "head>deliver unwritten>canceled,fail:unknown",
	attempting + "head>deliver buffered lost>broken,resume stale end>finish written>succeeded",
	// The caller received a part of the response, so no other attempt is allowed.
	streaming + "failed>ended,fail:unknown",
	streaming + "stale dropped>broken,canceled,fail:unknown",
	streaming + "moved>broken,resume @resuming moved>broken,resume end>finish written>succeeded",
	streaming + "silent-moved>silent,resume @resuming",
	streaming + "stalled>canceled,fail:unknown",
	streaming + "left>canceled,fail:unknown",
	streaming + "data>deliver unwritten>canceled,fail:unknown",
	resumed + "failed>ended,fail:unknown",
	resumed + "dropped>broken,canceled,fail:unknown",
	resumed + "stalled>canceled,fail:unknown",
	resumed + "data>deliver wrote @streaming failed>ended,fail:unknown",
	resumed + "stale end>finish written>succeeded",
}

var nonIdempotentScripts = []string{
	attempting + "failed>ended,fail:unknown",
	attempting + "stalled>canceled,fail:unknown",
	attempting + "dropped>broken,canceled,fail:unknown",
	resuming + "failed>ended,fail:unknown",
	resuming + "stalled>canceled,fail:unknown",
	resuming + "unreachable>broken,canceled,fail:unknown",
	attempting + "notrun>ended,ask " + secondAttempt + "failed>ended,fail:unknown",
	attempting + "notrun>ended,ask " + secondAttempt + "head>deliver buffered end>finish written>succeeded",
	attempting + "notrun>ended,ask " + secondAttempt + "notrun>ended,ask denied>fail:not_run",
	attempting + "unreachable>broken,canceled,ask denied>fail:not_run",
	attempting + "unsent>ended,ask denied>fail:not_run",
	attempting + "unsent>ended,ask " + secondAttempt + "failed>ended,fail:unknown",
	attempting + "moved>broken,resume @resuming moved>broken,resume head>deliver buffered end>finish written>succeeded",
	attempting + "silent-moved>silent,resume @resuming",
	resuming + "notrun>ended,ask denied>fail:not_run",
}

func runScripts(c *chart.Chart, visited map[State]bool) error {
	for _, text := range idempotentScripts {
		if err := runScript(c, true, text, visited); err != nil {
			return err
		}
	}
	for _, text := range nonIdempotentScripts {
		if err := runScript(c, false, text, visited); err != nil {
			return err
		}
	}
	return nil
}

// Guards against a change of the chart that never ends a request, ends it twice,
// retries what must not be retried, or does not retry what may be. Removing any
// transition or any guard fails this test.
func TestTransitionScripts(t *testing.T) {
	visited := make(map[State]bool)
	require.NoError(t, runScripts(requestChart, visited))
	for state := range requestChart.Definition().States {
		require.True(t, visited[State(state)], state)
	}
	charttest.RequireAllMutantsDetected(t, requestChart, vocabulary, func(c *chart.Chart) error {
		return runScripts(c, make(map[State]bool))
	})
}

// Guards against a data race on the attempt id: the receiver changes it while the
// goroutine of a new connection sends it.
func TestResumeCopiesAttemptID(t *testing.T) {
	s := &scriptRunner{now: time.UnixMilli(1_800_000_000_000), request: New(Config{
		RequestID: "r", Idempotent: true, MaxResumes: 2,
		Receiver: stream.ReceiverConfig{MaxPending: 8, SilenceTimeout: time.Second, ProgressTimeout: time.Hour},
	})}
	for word := range strings.FieldsSeq(attempting) {
		require.NoError(t, s.step(word))
	}
	effects := s.request.Step(s.now, scriptEvents["lost"](s))
	resumed := effects[len(effects)-1]
	require.Equal(t, Resume, resumed.Kind)
	require.NoError(t, s.step("head>deliver"))
	require.Equal(t, "i", s.request.receiver.ID().GetIncarnation())
	require.Empty(t, resumed.AttemptID.GetIncarnation())
}
