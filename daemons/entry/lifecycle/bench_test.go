package lifecycle

import (
	"testing"
	"time"

	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/serve/stream"
)

// BenchmarkChunk is the cost of one chunk of a stream. At the design size an
// entry passes about 2,200 chunks a second.
func BenchmarkChunk(b *testing.B) {
	now := time.UnixMilli(1_800_000_000_000)
	r := New(Config{RequestID: "r", Idempotent: true, Receiver: stream.ReceiverConfig{MaxPending: 8, SilenceTimeout: time.Hour, ProgressTimeout: time.Hour}})
	for _, k := range []EventKind{LimitPassed, SlotGranted, Picked} {
		r.Step(now, Event{Kind: k})
	}
	sender := stream.NewSender(&pb.AttemptId{RequestId: "r", Attempt: 1, Incarnation: "i"}, 1<<10)
	sender.Head(&pb.Head{Status: 200})
	b.ReportAllocs()
	for b.Loop() {
		sender.Data([]byte("data: 0123456789\n\n"))
		r.Step(now, Event{Kind: ChunkReceived, Chunk: sender.Next()})
		r.Step(now, Event{Kind: Delivered, AnswerStarted: true})
	}
}
