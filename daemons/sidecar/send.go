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

// sendChunks writes the chunks of the attempt to one connection.
func (s *Server) sendChunks(ctx context.Context, a *attempt, connection uint64, out *connect.ServerStream[pb.Chunk]) error {
	defer s.handleDisconnect(a, connection)
	heartbeat := time.NewTicker(s.settings.HeartbeatInterval)
	defer heartbeat.Stop()
	leaving := s.gate.Draining()
	for {
		chunk, changed, done := a.nextChunk(connection)
		if done {
			s.awaitConnectionClose(ctx, a, connection)
			return nil
		}
		if chunk == nil {
			select {
			case <-changed:
				continue
			case <-ctx.Done():
				return ctx.Err()
			case <-leaving:
				leaving = nil // announced once; all later chunks carry the flag as well
			case <-heartbeat.C:
			}
			chunk = &pb.Chunk{Id: a.id, Kind: &pb.Chunk_Heartbeat{Heartbeat: &pb.Heartbeat{}}}
		}
		if err := out.Send(s.withLoad(s.withSuspectReports(chunk, a.fingerprint))); err != nil {
			return err
		}
	}
}

// handleDisconnect cancels the attempt if no entry resumes it within the resume
// window.
func (s *Server) handleDisconnect(a *attempt, connection uint64) {
	if !a.detach(connection) {
		return
	}
	time.AfterFunc(s.settings.ResumeWindow, func() {
		if a.isAbandoned(connection) {
			a.cancel()
		}
	})
}

// withLoad returns a copy of the chunk with the current load and table offset. The
// original is shared with the replay buffer.
func (s *Server) withLoad(c *pb.Chunk) *pb.Chunk {
	return &pb.Chunk{Id: c.GetId(), Seq: c.GetSeq(), Kind: c.GetKind(), Load: s.load(), TableOffset: uint64(s.table.Offset())}
}

// withSuspectReports returns a copy of an end chunk with the reports on the
// request's fingerprint, so that the entry has them before it reads them from the
// log. Other chunks are returned unchanged.
func (s *Server) withSuspectReports(c *pb.Chunk, f quarantine.Fingerprint) *pb.Chunk {
	if c.GetEnd() == nil {
		return c
	}
	reports := quarantine.ToProto(s.admission.reportsFor(f))
	end := proto.CloneOf(c.GetEnd())
	end.SuspectReports = reports
	return &pb.Chunk{Id: c.GetId(), Seq: c.GetSeq(), Kind: &pb.Chunk_End{End: end}}
}

func (s *Server) refusalChunk(id *pb.AttemptId, err error) *pb.Chunk {
	attemptID := &pb.AttemptId{RequestId: id.GetRequestId(), Attempt: id.GetAttempt(), Incarnation: s.incarnation}
	sender := stream.NewSender(attemptID, s.settings.ReplayBytes)
	sender.End(err)
	s.metrics.AddToCounter("refusals", 1)
	s.log.Info().Str(telemetry.RequestIDField, id.GetRequestId()).Err(err).Msg("attempt refused")
	return s.withLoad(sender.Next())
}
