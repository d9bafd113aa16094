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

// script steps one request. Its text is a list of events, each with the effects
// that must follow it, or of "@" and the state that must be reached:
//
//	limit slot>pick picked>call @attempting
type script struct {
	now     time.Time
	request *Request
	sender  *stream.Sender // of the present attempt
}

var scriptEvents = map[string]func(*script) Event{
	"limit":   func(*script) Event { return Event{Kind: LimitPassed} },
	"slot":    func(*script) Event { return Event{Kind: SlotGranted} },
	"refused": func(*script) Event { return Event{Kind: Refused, Err: errCut} },
	"picked":  func(*script) Event { return Event{Kind: Picked} },
	"none":    func(*script) Event { return Event{Kind: NoServer, Err: errCut} },
	"granted": func(*script) Event { return Event{Kind: RetryGranted, Delay: time.Second} },
	"denied":  func(*script) Event { return Event{Kind: RetryRefused} },
	"due":     func(*script) Event { return Event{Kind: RetryDue} },
	"left":    func(*script) Event { return Event{Kind: CallerGone, Err: errCut} },
	// Answers to Deliver and Finish.
	"held":      func(*script) Event { return Event{Kind: Delivered} },
	"wrote":     func(*script) Event { return Event{Kind: Delivered, AnswerStarted: true} },
	"unwritten": func(*script) Event { return Event{Kind: Delivered, Err: errCut} },
	"written":   func(*script) Event { return Event{Kind: AnswerWritten} },
	"broken":    func(*script) Event { return Event{Kind: WriteFailed, Err: errCut} },
	// Chunks in order, and one of another attempt.
	"head":   func(s *script) Event { s.sender.Head(&pb.Head{Status: 200}); return s.chunk() },
	"data":   func(s *script) Event { s.sender.Data([]byte("x")); return s.chunk() },
	"end":    func(s *script) Event { s.sender.End(nil); return s.chunk() },
	"failed": func(s *script) Event { s.sender.End(errCut); return s.chunk() },
	"notrun": func(s *script) Event { s.sender.End(errkind.New(errkind.Leaving, "")); return s.chunk() },
	"stale": func(s *script) Event {
		return Event{Kind: ChunkReceived, Chunk: &pb.Chunk{Id: &pb.AttemptId{RequestId: "r", Attempt: uint32(s.request.attempt + 1)}, Seq: 1}}
	},
	// Ends of connections: resumable, by a refused dial, without the missing
	// chunks, and of a connection that was replaced.
	"lost": func(s *script) Event {
		return Event{Kind: ConnectionEnded, Connection: s.request.connection, Err: errCut}
	},
	"unreachable": func(s *script) Event { return s.ended(Event{DialFailed: true}) },
	"dropped":     func(s *script) Event { return s.ended(Event{NotResumable: true}) },
	"replaced":    func(s *script) Event { return Event{Kind: ConnectionEnded, Connection: s.request.connection - 1} },
	"silent":      func(s *script) Event { return s.later(time.Second) },
	"stalled":     func(s *script) Event { return s.later(time.Hour) },
}

var errCut = errkind.New(errkind.StreamIncomplete, "cut")

func (s *script) chunk() Event { return Event{Kind: ChunkReceived, Chunk: s.sender.Next()} }

func (s *script) ended(e Event) Event {
	e.Kind, e.Connection, e.Err = ConnectionEnded, s.request.connection, errCut
	return e
}

func (s *script) later(d time.Duration) Event {
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
		return "whole"
	case e.Kind == EndAttempt && e.Cancel:
		return "canceled"
	default:
		return effectNames[e.Kind]
	}
}

func (s *script) step(word string) error {
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
	s := &script{now: time.UnixMilli(1_800_000_000_000)}
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

// Beginnings of scripts.
const (
	attempting = "limit slot>pick picked>call "
	streaming  = attempting + "head>deliver held data>deliver wrote @streaming "
	resuming   = attempting + "lost>broken,resume @resuming "
	resumed    = streaming + "lost>broken,resume @resuming "
	again      = "granted>wait due>pick picked>call "
)

var lookups = []string{
	"refused>refuse limit",
	"limit refused>refuse",
	"limit slot>pick none>refuse",
	attempting + "head>deliver held data>deliver wrote end>finish written>whole @finished",
	attempting + "head>deliver held end>finish broken>ended,fail:unknown",
	// The caller saw nothing: another attempt.
	attempting + "failed>ended,ask denied>fail:unknown",
	attempting + "failed>ended,ask granted>wait left>fail:unknown",
	attempting + "failed>ended,ask granted>wait due>pick none>fail:unknown",
	attempting + "failed>ended,ask " + again + "stale head>deliver held end>finish written>whole",
	attempting + "failed>ended,ask " + again + "notrun>ended,ask denied>fail:unknown",
	attempting + "unreachable>broken,canceled,ask denied>fail:not_run",
	attempting + "dropped>broken,canceled,ask",
	attempting + "stalled>canceled,ask",
	attempting + "left>canceled,fail:unknown",
	attempting + "head>deliver unwritten>canceled,fail:unknown",
	attempting + "silent>silent,resume @resuming",
	resuming + "replaced failed>ended,ask",
	resuming + "head>deliver held @attempting failed>ended,ask",
	resuming + "head>deliver held data>deliver wrote @streaming",
	resuming + "lost>broken,resume lost>broken,canceled,ask",
	resuming + "lost>broken,resume head>deliver held lost>broken,resume lost>broken,resume",
	resuming + "unreachable>broken,canceled,ask denied>fail:unknown",
	resuming + "stalled>canceled,ask",
	resuming + "stale left>canceled,fail:unknown",
	resuming + "head>deliver unwritten>canceled,fail:unknown",
	attempting + "head>deliver held lost>broken,resume stale end>finish written>whole",
	// The caller saw a part: no other attempt.
	streaming + "failed>ended,fail:unknown",
	streaming + "stale dropped>broken,canceled,fail:unknown",
	streaming + "stalled>canceled,fail:unknown",
	streaming + "left>canceled,fail:unknown",
	streaming + "data>deliver unwritten>canceled,fail:unknown",
	resumed + "failed>ended,fail:unknown",
	resumed + "dropped>broken,canceled,fail:unknown",
	resumed + "stalled>canceled,fail:unknown",
	resumed + "data>deliver wrote @streaming failed>ended,fail:unknown",
	resumed + "stale end>finish written>whole",
}

var bookings = []string{
	attempting + "failed>ended,fail:unknown",
	attempting + "stalled>canceled,fail:unknown",
	attempting + "dropped>broken,canceled,fail:unknown",
	resuming + "failed>ended,fail:unknown",
	resuming + "stalled>canceled,fail:unknown",
	resuming + "unreachable>broken,canceled,fail:unknown",
	attempting + "notrun>ended,ask " + again + "failed>ended,fail:unknown",
	attempting + "notrun>ended,ask " + again + "head>deliver held end>finish written>whole",
	attempting + "notrun>ended,ask " + again + "notrun>ended,ask denied>fail:not_run",
	attempting + "unreachable>broken,canceled,ask denied>fail:not_run",
	resuming + "notrun>ended,ask denied>fail:not_run",
}

func runScripts(c *chart.Chart, visited map[State]bool) error {
	for _, text := range lookups {
		if err := runScript(c, true, text, visited); err != nil {
			return err
		}
	}
	for _, text := range bookings {
		if err := runScript(c, false, text, visited); err != nil {
			return err
		}
	}
	return nil
}

// Guards against a change of the chart that loses a request, ends it twice,
// repeats what must not be repeated or gives up what may be. Removing any
// transition or dropping any guard fails here.
func TestScripts(t *testing.T) {
	visited := make(map[State]bool)
	require.NoError(t, runScripts(requestChart, visited))
	for state := range requestChart.Definition().States {
		require.True(t, visited[State(state)], state)
	}
	charttest.RequireAllMutantsDetected(t, requestChart, vocabulary, func(c *chart.Chart) error {
		return runScripts(c, make(map[State]bool))
	})
}

// Guards against an id that the receiver changes while the goroutine of a new
// connection sends it.
func TestResumeCarriesACopyOfTheID(t *testing.T) {
	s := &script{now: time.UnixMilli(1_800_000_000_000), request: New(Config{
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
