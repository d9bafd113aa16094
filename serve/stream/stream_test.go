package stream_test

import (
	"bytes"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/filbertmux/filbertmux/base/errkind"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/serve/stream"
)

var (
	start   = time.Unix(1_700_000_000, 0)
	cfg     = stream.ReceiverConfig{MaxPending: 8, SilenceTimeout: time.Second, ProgressTimeout: 10 * time.Second}
	attempt = &pb.AttemptId{RequestId: "r", Attempt: 1, Incarnation: "a"}
)

// lossyLink delivers chunks with loss, duplicates, corruption and reordering.
type lossyLink struct {
	rng     *rand.Rand
	corrupt bool
	queue   []*pb.Chunk
}

func (l *lossyLink) send(c *pb.Chunk) {
	if l.rng.IntN(10) == 0 {
		return
	}
	if l.corrupt && len(c.GetData()) > 0 && l.rng.IntN(20) == 0 {
		c = proto.Clone(c).(*pb.Chunk)
		c.GetData()[0] ^= 1
	}
	l.queue = append(l.queue, c)
	if l.rng.IntN(5) == 0 {
		l.queue = append(l.queue, c)
	}
}

func (l *lossyLink) receive() *pb.Chunk {
	i := min(l.rng.IntN(3), len(l.queue)-1)
	c := l.queue[i]
	l.queue = append(l.queue[:i], l.queue[i+1:]...)
	return c
}

// supersededChunks returns the chunks of an attempt run by another incarnation.
func supersededChunks() []*pb.Chunk {
	s := stream.NewSender(&pb.AttemptId{RequestId: "r", Attempt: 1, Incarnation: "b"}, 10000)
	s.Head(&pb.Head{Status: 500})
	for range 40 {
		s.Data([]byte("stray"))
	}
	var chunks []*pb.Chunk
	for c := s.Next(); c != nil; c = s.Next() {
		chunks = append(chunks, c)
	}
	return chunks
}

// Guards against a response that is reported as complete although bytes are
// missing, duplicated, reordered, altered or from another attempt.
func TestLossyConnections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		link := &lossyLink{rng: rand.New(rand.NewPCG(seed, 1)), corrupt: rapid.Bool().Draw(t, "corrupt")}
		sender := stream.NewSender(attempt, 700)
		receiver := stream.NewReceiver(&pb.AttemptId{RequestId: "r", Attempt: 1}, cfg, start)
		superseded := supersededChunks()
		receiver.Receive(start, sender.Heartbeat())

		var want, got []byte
		sent := 0
		for step := 0; step < 5000 && !receiver.Finished(); step++ {
			if sent == 0 && sender.Head(&pb.Head{Status: 200}) {
				sent = 1
			}
			data := []byte{byte(link.rng.Uint32()), byte(step)}
			if sent > 0 && sent < 40 && sender.Data(data) {
				want = append(want, data...)
				sent++
			}
			if sent == 40 {
				sender.End(nil)
			}
			if c := sender.Next(); c != nil {
				link.send(c)
			} else if len(link.queue) == 0 && sender.Resume(receiver.NextSeq()) != nil {
				break
			}
			if link.rng.IntN(4) == 0 {
				link.queue = append(link.queue, superseded[link.rng.IntN(len(superseded))])
			}
			if len(link.queue) > 0 {
				for _, c := range receiver.Receive(start, link.receive()) {
					got = append(got, c.GetData()...)
				}
			}
		}
		if receiver.Complete() {
			require.True(t, bytes.Equal(want, got), "the complete response differs")
			require.Equal(t, 40, sent)
		} else if receiver.Err() != nil {
			require.True(t, link.corrupt, "failed without corruption: %v", receiver.Err())
		}
	})
}

// Guards against a response that counts as complete although its end chunk has
// wrong totals, a wrong checksum or an unknown error.
func TestEndChunkIsVerified(t *testing.T) {
	for name, change := range map[string]func(*pb.End){
		"chunks":   func(e *pb.End) { e.TotalChunks++ },
		"bytes":    func(e *pb.End) { e.TotalBytes++ },
		"checksum": func(e *pb.End) { e.Checksum++ },
		"error": func(e *pb.End) {
			e.ErrorKind = "from_a_newer_version"
		},
	} {
		s := stream.NewSender(attempt, 1000)
		r := stream.NewReceiver(attempt, cfg, start)
		require.True(t, s.Head(&pb.Head{Status: 200}))
		require.True(t, s.Data([]byte("answer")))
		s.End(nil)
		for c := s.Next(); c != nil; c = s.Next() {
			if c.GetEnd() != nil {
				change(c.GetEnd())
			}
			r.Receive(start, c)
		}
		require.False(t, r.Complete(), name)
		require.Equal(t, errkind.Unknown, errkind.Of(r.Err()).Execution, name)
	}
}

// Guards against a sender that drops unsent chunks from its buffer and against a
// resume that silently skips dropped chunks.
func TestReplayBufferIsBounded(t *testing.T) {
	s := stream.NewSender(attempt, 300)
	require.True(t, s.Head(&pb.Head{Status: 200}))
	for s.Data(make([]byte, 36)) {
		continue
	}
	require.NotNil(t, s.Next())
	require.NotNil(t, s.Next())
	require.True(t, s.Data(make([]byte, 36)), "sent chunks are dropped to make room")
	require.Error(t, s.Resume(1))
	require.NoError(t, s.Resume(3))
	require.Equal(t, uint64(3), s.Next().GetSeq())
}

// Guards against a stalled response that isn't detected because of heartbeats and
// against a silent connection that isn't detected.
func TestLiveness(t *testing.T) {
	s := stream.NewSender(attempt, 300)
	r := stream.NewReceiver(attempt, cfg, start)
	require.Equal(t, stream.Alive, r.Liveness(start.Add(cfg.SilenceTimeout-1)))
	require.Equal(t, stream.Silent, r.Liveness(start.Add(cfg.SilenceTimeout)))
	for now := start; now.Before(start.Add(cfg.ProgressTimeout)); now = now.Add(cfg.SilenceTimeout / 2) {
		r.Receive(now, s.Heartbeat())
		require.Equal(t, stream.Alive, r.Liveness(now))
	}
	require.Equal(t, stream.Stalled, r.Liveness(start.Add(cfg.ProgressTimeout)))
}

// Guards against an error that is changed by the conversion to an End message and
// back.
func TestErrorRoundTrip(t *testing.T) {
	sent := errkind.New(errkind.Leaving, "leaving").WithRetryAfter(time.Second)
	got := errkind.Of(stream.ErrorFromEnd(stream.EndFromError(sent)))
	require.Equal(t, sent, got)
}

// Guards against a data race on the id of a resume request: a late chunk of an
// earlier connection sets the incarnation while another goroutine sends the id.
func TestIDIsACopy(t *testing.T) {
	r := stream.NewReceiver(&pb.AttemptId{RequestId: "r", Attempt: 1}, cfg, start)
	sent := r.ID()
	s := stream.NewSender(attempt, 1<<10)
	s.Head(&pb.Head{Status: 200})
	r.Receive(start, s.Next())
	require.Empty(t, sent.GetIncarnation())
	require.Equal(t, attempt.GetIncarnation(), r.ID().GetIncarnation())
}

// Guards against a repeated chunk that is handled as a new one: the caller would
// get it twice, or it would be counted as beyond a gap.
func TestRepeatedChunksAreDropped(t *testing.T) {
	sender := stream.NewSender(attempt, 1<<10)
	sender.Head(&pb.Head{Status: 200})
	sender.Data([]byte("one"))
	sender.Data([]byte("two"))
	head, one, two := sender.Next(), sender.Next(), sender.Next()
	receiver := stream.NewReceiver(&pb.AttemptId{RequestId: "r", Attempt: 1}, cfg, start)
	var got []byte
	for _, c := range []*pb.Chunk{head, head, two, two, one, one, two} {
		for _, ready := range receiver.Receive(start, c) {
			got = append(got, ready.GetData()...)
		}
	}
	require.Equal(t, "onetwo", string(got))
	require.EqualValues(t, 4, receiver.Stats().Duplicates)
	require.Zero(t, receiver.Stats().BeyondGap)
}
