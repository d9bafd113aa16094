package lifecycle

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/filbertmux/filbertmux/base/chart"
	"github.com/filbertmux/filbertmux/base/errkind"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/internal/charttest"
	"github.com/filbertmux/filbertmux/internal/seeds"
	"github.com/filbertmux/filbertmux/serve/stream"
)

// simulation drives one request with random events in any order. The only order
// that it respects is that Delivered follows Deliver.
type simulation struct {
	rng             *rand.Rand
	now             time.Time
	request         *Request
	nonIdempotent   bool
	responses       []*response // of each attempt
	buffered        []byte      // of the current attempt, not yet written
	unbuffered      bool        // data is written to the caller as it arrives
	responseStarted bool
	writingAttempts map[int]bool // that wrote to the caller
	written         []byte
	calls           int
	finished        bool
	// mayHaveRun is set once an attempt ended without a proof that it did not run.
	mayHaveRun bool
}

// response contains the chunks that the sidecar of one attempt sends.
type response struct {
	chunks []*pb.Chunk
	data   []byte
	err    *errkind.Error
}

func newSimulation(c *chart.Chart, seed uint64) *simulation {
	rng := rand.New(rand.NewPCG(seed, 4))
	s := &simulation{
		rng: rng, now: time.UnixMilli(1_800_000_000_000), nonIdempotent: rng.IntN(2) == 0, unbuffered: rng.IntN(2) == 0,
		writingAttempts: make(map[int]bool),
	}
	s.request = newRequest(c, Config{
		RequestID: "r", Idempotent: !s.nonIdempotent, MaxResumes: 2,
		Receiver: stream.ReceiverConfig{MaxPending: 8, SilenceTimeout: time.Second, ProgressTimeout: 5 * time.Second},
	})
	return s
}

// newResponse returns a complete response, or one that ends with an error.
func (s *simulation) newResponse(attempt int) *response {
	sender := stream.NewSender(&pb.AttemptId{RequestId: "r", Attempt: uint32(attempt), Incarnation: "i"}, 1<<20)
	a := &response{}
	if s.rng.IntN(3) > 0 {
		sender.Head(&pb.Head{Status: 200})
		for range s.rng.IntN(3) {
			part := fmt.Appendf(nil, "%d:%d;", attempt, s.rng.IntN(100))
			sender.Data(bytes.Clone(part))
			a.data = append(a.data, part...)
		}
	} else {
		a.err = errkind.New(errkind.BackendFailed, "attempt %d", attempt)
	}
	if s.rng.IntN(3) == 0 {
		a.err = errkind.New(errkind.BackendUnavailable, "attempt %d", attempt)
	}
	if a.err == nil {
		sender.End(nil)
	} else {
		sender.End(a.err)
	}
	for c := sender.Next(); c != nil; c = sender.Next() {
		a.chunks = append(a.chunks, c)
	}
	return a
}

// nextChunk returns a chunk of any attempt: mostly the next one of the current
// attempt, sometimes with corrupted data.
func (s *simulation) nextChunk() *pb.Chunk {
	if len(s.responses) == 0 {
		return &pb.Chunk{Id: &pb.AttemptId{RequestId: "other", Attempt: 1}, Seq: 1}
	}
	a := s.responses[len(s.responses)-1]
	n := int(s.request.receiver.NextSeq()) - 1
	if s.rng.IntN(4) == 0 {
		a = s.responses[s.rng.IntN(len(s.responses))]
		n = s.rng.IntN(len(a.chunks))
	}
	c := proto.CloneOf(a.chunks[min(n, len(a.chunks)-1)])
	if c.GetData() != nil && s.rng.IntN(20) == 0 {
		c.GetKind().(*pb.Chunk_Data).Data[0]++
	}
	return c
}

// likelyEvents lists the events that make progress in each state. Three of four
// events are chosen from it, the others are of any kind.
var likelyEvents = map[State][]EventKind{
	Admitted: {LimitPassed}, Queued: {SlotGranted}, Selecting: {Picked}, Deciding: {RetryGranted}, Waiting: {RetryDue},
	Attempting: {ChunkReceived, ChunkReceived, ConnectionEnded}, Streaming: {ChunkReceived, ChunkReceived, ConnectionEnded},
	Resuming: {ChunkReceived, ChunkReceived, ConnectionEnded}, Finishing: {AnswerWritten},
}

func (s *simulation) nextEvent() Event {
	kinds := likelyEvents[s.request.State()]
	e := Event{Kind: kinds[s.rng.IntN(len(kinds))], Err: errkind.New(errkind.StreamIncomplete, "connection lost")}
	if s.rng.IntN(4) == 0 {
		e.Kind = EventKind(s.rng.IntN(int(CallerGone) + 1))
	}
	switch e.Kind {
	case ChunkReceived:
		e.Chunk = s.nextChunk()
	case Delivered:
		e.Err, e.AnswerStarted = nil, s.responseStarted
	case ConnectionEnded:
		e.Connection = max(s.request.connection-s.rng.IntN(2), 1)
		e.DialFailed, e.NotResumable = s.rng.IntN(4) == 0, s.rng.IntN(4) == 0
		e.MoveToOther = s.rng.IntN(4) == 0
		if s.rng.IntN(8) == 0 {
			e.NotSent, e.Err = true, errkind.New(errkind.Leaving, "evacuated")
		}
	case DeadlinePassed:
		e.MoveToOther = s.rng.IntN(4) == 0
	}
	return e
}

func (s *simulation) run(steps int) error {
	for range steps {
		s.now = s.now.Add(time.Duration(s.rng.IntN(600)) * time.Millisecond)
		if err := s.step(s.nextEvent()); err != nil || s.request.Finished() {
			return err
		}
	}
	return nil
}

func (s *simulation) step(e Event) error {
	for _, effect := range s.request.Step(s.now, e) {
		if err := s.execute(effect); err != nil {
			return err
		}
	}
	return nil
}

func (s *simulation) execute(e Effect) error {
	switch e.Kind {
	case Pick:
		s.buffered = nil
	case Call:
		s.calls++
		if s.nonIdempotent && s.mayHaveRun {
			return fmt.Errorf("call %d of a non-idempotent request that may have run", s.calls)
		}
		s.responses = append(s.responses, s.newResponse(e.Attempt))
	case EndAttempt:
		s.mayHaveRun = s.mayHaveRun || e.Failure == nil || e.Failure.Err.Execution != errkind.NotRun
	case Deliver:
		return s.deliver(e.Chunks)
	case Finish:
		s.write(s.buffered)
		s.buffered = nil
		s.finished = true
		complete := s.responses[len(s.responses)-1]
		if complete.err != nil || !bytes.Equal(s.written, complete.data) {
			return fmt.Errorf("regular end of %q, the response is %q, failed %t", s.written, complete.data, complete.err != nil)
		}
	}
	return nil
}

func (s *simulation) deliver(chunks []*pb.Chunk) error {
	for _, c := range chunks {
		if int(c.GetId().GetAttempt()) != len(s.responses) {
			return fmt.Errorf("chunk of attempt %d in attempt %d", c.GetId().GetAttempt(), len(s.responses))
		}
		s.buffered = append(s.buffered, c.GetData()...)
		if s.unbuffered && c.GetData() != nil {
			s.write(s.buffered)
			s.buffered = nil
		}
	}
	if len(s.writingAttempts) > 1 {
		return fmt.Errorf("attempts %v wrote to the caller", s.writingAttempts)
	}
	return s.step(Event{Kind: Delivered, AnswerStarted: s.responseStarted})
}

func (s *simulation) write(data []byte) {
	s.responseStarted = true
	s.writingAttempts[len(s.responses)] = true
	s.written = append(s.written, data...)
}

const (
	ciSeeds  = 2000
	maxSteps = 60
)

// countViolations runs a chart with many seeds and counts those that violate an
// invariant, either of the program or of the simulation.
func countViolations(t *testing.T, c *chart.Chart) (violations int, first string, calls, finished int) {
	t.Helper()
	for _, seed := range seeds.ForTest(t, ciSeeds) {
		s := newSimulation(c, seed)
		err := s.runRecovered()
		calls += s.calls
		if s.finished {
			finished++
		}
		if err != nil {
			violations++
			if first == "" {
				first = fmt.Sprintf("%v; %s", err, seeds.ReplayCommand(t, "daemons/entry/lifecycle", seed))
			}
		}
	}
	return violations, first, calls, finished
}

func (s *simulation) runRecovered() (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("%v", r)
		}
	}()
	return s.run(maxSteps)
}

// Guards against two attempts that write to one caller, delivered chunks of a
// superseded attempt, a regular end of an incomplete response, and a second attempt
// of a non-idempotent request that may have run, in any order of events.
func TestInvariantsInAnyEventOrder(t *testing.T) {
	violations, first, calls, finished := countViolations(t, requestChart)
	require.Zero(t, violations, first)
	t.Logf("%d calls, %d regular ends, 0 violations", calls, finished)
}

// withoutGuard removes the transitions with a guard, so that the next one is taken.
func withoutGuard(guard string) charttest.TransitionEdit {
	return func(_, _ string, list []chart.Transition) []chart.Transition {
		var kept []chart.Transition
		for _, tr := range list {
			if tr.Guard != guard {
				kept = append(kept, tr)
			}
		}
		return kept
	}
}

// guardAlwaysHolds removes a guard, so that its transition is always taken.
func guardAlwaysHolds(guard string) charttest.TransitionEdit {
	return func(_, _ string, list []chart.Transition) []chart.Transition {
		for i := range list {
			if list[i].Guard == guard {
				list[i].Guard = ""
				return list[:i+1]
			}
		}
		return list
	}
}

// retryAfterFirstByte asks for a retry after a stream has failed.
func retryAfterFirstByte(state, event string, list []chart.Transition) []chart.Transition {
	list = withoutGuard(guardAnswerStarted)(state, event, list)
	last := &list[len(list)-1]
	if State(state) == Streaming && (event == eventEndReceived || event == eventConnectionLost || event == eventStalled) {
		*last = chart.Transition{To: string(Deciding), Action: "ask_retry"}
	}
	return list
}

// Guards against a simulation that can't detect a violation: without one of the
// rules, some order of events must violate an invariant.
func TestDisabledRulesAreDetected(t *testing.T) {
	for name, change := range map[string]charttest.TransitionEdit{
		"no retry after the first byte":                                   retryAfterFirstByte,
		"chunks of a superseded attempt are dropped":                      guardAlwaysHolds(guardCurrentAttempt),
		"a regular end only after total and checksum matched":             guardAlwaysHolds(guardVerified),
		"no second attempt of a non-idempotent request that may have run": withoutGuard(guardMayHaveRun),
	} {
		violations, first, _, _ := countViolations(t, charttest.Mutate(t, requestChart, vocabulary, change))
		t.Logf("without %q: %d of the seeds, first: %s", name, violations, first)
		require.Positive(t, violations, "without %q", name)
	}
}
