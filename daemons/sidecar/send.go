package sidecar

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"github.com/filbertmux/filbertmux/base/telemetry"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/serve/quarantine"
	"github.com/filbertmux/filbertmux/serve/stream"
)

// send writes the chunks of the attempt to one connection.
func (s *Server) send(ctx context.Context, a *attempt, connection uint64, out *connect.ServerStream[pb.Chunk]) error {
	defer s.lost(a, connection)
	heartbeat := time.NewTicker(s.settings.HeartbeatInterval)
	defer heartbeat.Stop()
	leaving := s.gate.Draining()
	for {
		chunk, changed, done := a.next(connection)
		if done {
			s.awaitClose(ctx, a, connection)
			return nil
		}
		if chunk == nil {
			select {
			case <-changed:
				continue
			case <-ctx.Done():
				return ctx.Err()
			case <-leaving:
				leaving = nil // announced once; later chunks carry it too
			case <-heartbeat.C:
			}
			chunk = &pb.Chunk{Id: a.id, Kind: &pb.Chunk_Heartbeat{Heartbeat: &pb.Heartbeat{}}}
		}
		if err := out.Send(s.stamp(s.withReports(chunk, a.fingerprint))); err != nil {
			return err
		}
	}
}

// lost gives the entry the resume window to come back on a new connection.
func (s *Server) lost(a *attempt, connection uint64) {
	if !a.detach(connection) {
		return
	}
	time.AfterFunc(s.settings.ResumeWindow, func() {
		if a.abandoned(connection) {
			a.cancel()
		}
	})
}

// stamp returns a copy of the chunk with the present load. The chunk itself is
// shared with the replay buffer.
func (s *Server) stamp(c *pb.Chunk) *pb.Chunk {
	return &pb.Chunk{Id: c.GetId(), Seq: c.GetSeq(), Kind: c.GetKind(), Load: s.load(), TableOffset: uint64(s.table.Offset())}
}

// withReports adds to an end chunk what is known of the request's fingerprint,
// so that the entry knows it ahead of the log.
func (s *Server) withReports(c *pb.Chunk, f quarantine.Fingerprint) *pb.Chunk {
	if c.GetEnd() == nil {
		return c
	}
	reports := quarantine.ToProto(s.guard.reports(f))
	end := proto.CloneOf(c.GetEnd())
	end.SuspectReports = reports
	return &pb.Chunk{Id: c.GetId(), Seq: c.GetSeq(), Kind: &pb.Chunk_End{End: end}}
}

func (s *Server) refusal(id *pb.AttemptId, err error) *pb.Chunk {
	own := &pb.AttemptId{RequestId: id.GetRequestId(), Attempt: id.GetAttempt(), Incarnation: s.incarnation}
	sender := stream.NewSender(own, s.settings.ReplayBytes)
	sender.End(err)
	s.metrics.AddToCounter("refusals", 1)
	s.log.Info().Str(telemetry.RequestIDField, id.GetRequestId()).Err(err).Msg("attempt refused")
	return s.stamp(sender.Next())
}
