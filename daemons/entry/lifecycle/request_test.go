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

// world feeds one request with all events in any order. It only keeps to the
// contract that Delivered follows Deliver.
type world struct {
	rng      *rand.Rand
	now      time.Time
	request  *Request
	booking  bool
	answers  []*answer // of each attempt
	held     []byte    // of the present attempt, not yet written
	streams  bool      // data is written as it arrives
	started  bool
	attempts map[int]bool // that wrote to the caller
	written  []byte
	calls    int
	clean    bool
	// mayHaveRun says that an attempt ended without a proof that it did not run.
	mayHaveRun bool
}

// answer is what the sidecar of one attempt sends.
type answer struct {
	chunks []*pb.Chunk
	data   []byte
	err    *errkind.Error
}

func newWorld(c *chart.Chart, seed uint64) *world {
	rng := rand.New(rand.NewPCG(seed, 4))
	w := &world{
		rng: rng, now: time.UnixMilli(1_800_000_000_000), booking: rng.IntN(2) == 0, streams: rng.IntN(2) == 0,
		attempts: make(map[int]bool),
	}
	w.request = newRequest(c, Config{
		RequestID: "r", Idempotent: !w.booking, MaxResumes: 2,
		Receiver: stream.ReceiverConfig{MaxPending: 8, SilenceTimeout: time.Second, ProgressTimeout: 5 * time.Second},
	})
	return w
}

// newAnswer returns a whole answer, or one that ends with an error.
func (w *world) newAnswer(attempt int) *answer {
	s := stream.NewSender(&pb.AttemptId{RequestId: "r", Attempt: uint32(attempt), Incarnation: "i"}, 1<<20)
	a := &answer{}
	if w.rng.IntN(3) > 0 {
		s.Head(&pb.Head{Status: 200})
		for range w.rng.IntN(3) {
			part := fmt.Appendf(nil, "%d:%d;", attempt, w.rng.IntN(100))
			s.Data(bytes.Clone(part))
			a.data = append(a.data, part...)
		}
	} else {
		a.err = errkind.New(errkind.BackendFailed, "attempt %d", attempt)
	}
	if w.rng.IntN(3) == 0 {
		a.err = errkind.New(errkind.BackendUnavailable, "attempt %d", attempt)
	}
	if a.err == nil {
		s.End(nil)
	} else {
		s.End(a.err)
	}
	for c := s.Next(); c != nil; c = s.Next() {
		a.chunks = append(a.chunks, c)
	}
	return a
}

// chunk returns a chunk of any attempt, mostly the next one of the present
// attempt, sometimes with another content.
func (w *world) chunk() *pb.Chunk {
	if len(w.answers) == 0 {
		return &pb.Chunk{Id: &pb.AttemptId{RequestId: "other", Attempt: 1}, Seq: 1}
	}
	a := w.answers[len(w.answers)-1]
	n := int(w.request.receiver.NextSeq()) - 1
	if w.rng.IntN(4) == 0 {
		a = w.answers[w.rng.IntN(len(w.answers))]
		n = w.rng.IntN(len(a.chunks))
	}
	c := proto.CloneOf(a.chunks[min(n, len(a.chunks)-1)])
	if c.GetData() != nil && w.rng.IntN(20) == 0 {
		c.GetKind().(*pb.Chunk_Data).Data[0]++
	}
	return c
}

// likely lists the events that take a request on. The rest of the events are
// of any kind.
var likely = map[State][]EventKind{
	Admitted: {LimitPassed}, Queued: {SlotGranted}, Selecting: {Picked}, Deciding: {RetryGranted}, Waiting: {RetryDue},
	Attempting: {ChunkReceived, ChunkReceived, ConnectionEnded}, Streaming: {ChunkReceived, ChunkReceived, ConnectionEnded},
	Resuming: {ChunkReceived, ChunkReceived, ConnectionEnded}, Finishing: {AnswerWritten},
}

func (w *world) event() Event {
	kinds := likely[w.request.State()]
	e := Event{Kind: kinds[w.rng.IntN(len(kinds))], Err: errkind.New(errkind.StreamIncomplete, "cut")}
	if w.rng.IntN(4) == 0 {
		e.Kind = EventKind(w.rng.IntN(int(CallerGone) + 1))
	}
	switch e.Kind {
	case ChunkReceived:
		e.Chunk = w.chunk()
	case Delivered:
		e.Err, e.AnswerStarted = nil, w.started
	case ConnectionEnded:
		e.Connection = max(w.request.connection-w.rng.IntN(2), 1)
		e.DialFailed, e.NotResumable = w.rng.IntN(4) == 0, w.rng.IntN(4) == 0
	}
	return e
}

func (w *world) run(steps int) error {
	for range steps {
		w.now = w.now.Add(time.Duration(w.rng.IntN(600)) * time.Millisecond)
		if err := w.step(w.event()); err != nil || w.request.Finished() {
			return err
		}
	}
	return nil
}

func (w *world) step(e Event) error {
	for _, effect := range w.request.Step(w.now, e) {
		if err := w.carryOut(effect); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) carryOut(e Effect) error {
	switch e.Kind {
	case Pick:
		w.held = nil
	case Call:
		w.calls++
		if w.booking && w.mayHaveRun {
			return fmt.Errorf("call %d of a booking that may have run", w.calls)
		}
		w.answers = append(w.answers, w.newAnswer(e.Attempt))
	case EndAttempt:
		w.mayHaveRun = w.mayHaveRun || e.Failure == nil || e.Failure.Err.Execution != errkind.NotRun
	case Deliver:
		return w.deliver(e.Chunks)
	case Finish:
		w.write(w.held)
		w.held = nil
		w.clean = true
		whole := w.answers[len(w.answers)-1]
		if whole.err != nil || !bytes.Equal(w.written, whole.data) {
			return fmt.Errorf("clean end of %q, the answer is %q, failed %t", w.written, whole.data, whole.err != nil)
		}
	}
	return nil
}

func (w *world) deliver(chunks []*pb.Chunk) error {
	for _, c := range chunks {
		if int(c.GetId().GetAttempt()) != len(w.answers) {
			return fmt.Errorf("chunk of attempt %d in attempt %d", c.GetId().GetAttempt(), len(w.answers))
		}
		w.held = append(w.held, c.GetData()...)
		if w.streams && c.GetData() != nil {
			w.write(w.held)
			w.held = nil
		}
	}
	if len(w.attempts) > 1 {
		return fmt.Errorf("attempts %v wrote to the caller", w.attempts)
	}
	return w.step(Event{Kind: Delivered, AnswerStarted: w.started})
}

func (w *world) write(data []byte) {
	w.started = true
	w.attempts[len(w.answers)] = true
	w.written = append(w.written, data...)
}

const (
	seedsInCI = 2000
	steps     = 60
)

// violations runs a chart with many seeds and counts those that break an
// invariant, inside the program or in the world.
func violations(t *testing.T, c *chart.Chart) (broken int, first string, calls, clean int) {
	t.Helper()
	for _, seed := range seeds.ForTest(t, seedsInCI) {
		w := newWorld(c, seed)
		err := w.runSafely()
		calls += w.calls
		if w.clean {
			clean++
		}
		if err != nil {
			broken++
			if first == "" {
				first = fmt.Sprintf("%v; %s", err, seeds.ReplayCommand(t, "daemons/entry/lifecycle", seed))
			}
		}
	}
	return broken, first, calls, clean
}

func (w *world) runSafely() (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("%v", r)
		}
	}()
	return w.run(steps)
}

// Guards against two attempts that stream to one caller, against chunks of a
// superseded attempt, a clean end of an answer that is not whole, and a second
// attempt of a booking that may have run, whatever the order of events.
func TestAnyOrderOfEvents(t *testing.T) {
	broken, first, calls, clean := violations(t, requestChart)
	require.Zero(t, broken, first)
	t.Logf("%d calls, %d clean ends, 0 violations", calls, clean)
}

// without drops the transitions with a guard, so that the next one is taken.
func without(guard string) charttest.TransitionEdit {
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

// always lets a guarded transition hold.
func always(guard string) charttest.TransitionEdit {
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

// retryAfterFirstByte asks for a retry where a stream fails.
func retryAfterFirstByte(state, event string, list []chart.Transition) []chart.Transition {
	list = without(guardAnswerStarted)(state, event, list)
	last := &list[len(list)-1]
	if State(state) == Streaming && (event == eventEndReceived || event == eventConnectionLost || event == eventStalled) {
		*last = chart.Transition{To: string(Deciding), Action: "ask_retry"}
	}
	return list
}

// Guards against invariants that no order of events can break.
func TestRulesOffAreFound(t *testing.T) {
	for name, change := range map[string]charttest.TransitionEdit{
		"no retry after the first byte":                     retryAfterFirstByte,
		"chunks of a superseded attempt are dropped":        always(guardCurrentAttempt),
		"a clean end only after total and checksum matched": always(guardVerified),
		"no second attempt of a booking that may have run":  without(guardMayHaveRun),
	} {
		broken, first, _, _ := violations(t, charttest.Mutate(t, requestChart, vocabulary, change))
		t.Logf("without %q: %d of the seeds, first: %s", name, broken, first)
		require.Positive(t, broken, "without %q", name)
	}
}
