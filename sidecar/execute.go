package sidecar

import (
	"context"
	"io"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"github.com/filbertmux/filbertmux/claim"
	"github.com/filbertmux/filbertmux/errkind"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/quarantine"
	"github.com/filbertmux/filbertmux/stream"
	"github.com/filbertmux/filbertmux/telemetry"
)

// admit registers the attempt, attaches the first connection and starts the
// call. An error proves that this attempt did not run.
func (s *Server) admit(call *pb.CallRequest) (*attempt, uint64, error) {
	if err := s.check(call); err != nil {
		return nil, 0, err
	}
	if err := s.gate.Enter(); err != nil {
		return nil, 0, errkind.Of(err).WithRetryAfter(retryHint)
	}
	ctx, cancel := s.callContext(call)
	id := &pb.AttemptId{
		RequestId: call.GetId().GetRequestId(), Attempt: call.GetId().GetAttempt(), Incarnation: s.incarnation,
	}
	a := newAttempt(id, s.settings.ReplayBytes, cancel)
	a.fingerprint = fingerprintOf(call)
	s.guard.apply(quarantine.FromMessages(call.GetSuspectReports()))
	if err := s.register(a); err != nil {
		cancel()
		s.gate.Exit()
		return nil, 0, err
	}
	connection, err := a.attach(1)
	if err != nil {
		return nil, 0, errkind.Wrap(errkind.Internal, err, "attach the first connection")
	}
	go s.execute(ctx, a, call)
	return a, connection, nil
}

func (s *Server) check(call *pb.CallRequest) error {
	if call.GetId().GetRequestId() == "" {
		return errkind.New(errkind.InvalidRequest, "attempt without request id")
	}
	if call.GetService() != s.settings.Service {
		return errkind.New(errkind.UnknownService, "service %q is not served here", call.GetService())
	}
	if len(call.GetBody()) > s.settings.MaxBodyBytes {
		return errkind.New(errkind.RequestTooLarge, "body above %d bytes", s.settings.MaxBodyBytes)
	}
	return nil
}

// callContext belongs to the call and not to a connection, so that the answer
// survives the loss of a connection.
func (s *Server) callContext(call *pb.CallRequest) (context.Context, context.CancelFunc) {
	timeout := s.settings.BackendTimeout
	if ms := call.GetDeadlineMs(); ms > 0 {
		timeout = min(timeout, time.Duration(ms)*time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(s.ctx, timeout)
	return telemetry.WithRequest(ctx, s.log, call.GetId().GetRequestId()), cancel
}

func (s *Server) register(a *attempt) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.attempts[keyOf(a.id)] != nil {
		return errkind.New(errkind.InProgress, "attempt %d was sent twice", a.id.GetAttempt())
	}
	if s.running >= s.settings.MaxInFlight {
		return errkind.New(errkind.QueueFull, "%d attempts in flight", s.running).WithRetryAfter(retryHint)
	}
	s.attempts[keyOf(a.id)] = a
	s.running++
	return nil
}

// execute runs the call, waits until its answer was sent, and keeps it for
// replay for the resume window.
func (s *Server) execute(ctx context.Context, a *attempt, call *pb.CallRequest) {
	defer s.gate.Exit()
	err := s.run(ctx, a, call)
	a.end(err)
	s.leaveRunning()
	if err != nil {
		telemetry.Log(ctx).Warn().Err(err).Uint32("attempt", a.id.GetAttempt()).Msg("attempt failed")
	}
	s.awaitSent(ctx, a)
	a.cancel()
	time.AfterFunc(s.settings.ResumeWindow, func() { s.forget(a) })
}

func (s *Server) run(ctx context.Context, a *attempt, call *pb.CallRequest) error {
	if !call.GetIdempotent() {
		return s.runOnce(ctx, a, call)
	}
	return s.guarded(ctx, a, func(ctx context.Context) error {
		if s.isModel(call) {
			return s.runModel(ctx, a, call)
		}
		start := time.Now()
		resp, err := s.backend.do(ctx, call)
		if err != nil {
			return err
		}
		defer func() { _ = resp.Body.Close() }()
		s.latency.add(time.Since(start))
		return relay(ctx, a, resp, s.settings.ChunkBytes)
	})
}

// guarded sends a request to the backend server in its turn. If the backend
// server dies meanwhile, the requests in flight become suspects.
func (s *Server) guarded(ctx context.Context, a *attempt, send func(context.Context) error) error {
	runContext, r, err := s.guard.enter(ctx, a.fingerprint)
	if err != nil {
		return err
	}
	err = send(runContext)
	if isDialError(err) {
		// This request did not reach the backend server, so it is no suspect.
		s.guard.exit(r, false)
		s.guard.died(r)
		return err
	}
	defer func() { s.guard.exit(r, err == nil) }()
	if err == nil || ctx.Err() != nil && !s.guard.crashedSince(r) {
		return err
	}
	if isBroken(err) && s.guard.died(r) {
		return errkind.Wrap(errkind.BackendFailed, err, "the backend server died")
	}
	return err
}

// isBroken reports whether err may come from the death of the backend server.
func isBroken(err error) bool {
	return errkind.Is(err, errkind.BackendFailed) || errkind.Is(err, errkind.StreamIncomplete) || errkind.Is(err, errkind.Canceled)
}

// runOnce runs a non-idempotent call under a claim.
func (s *Server) runOnce(ctx context.Context, a *attempt, call *pb.CallRequest) error {
	deadline, _ := ctx.Deadline()
	answer, err := s.claims.Run(ctx, claim.Request{
		Organisation: call.GetOrganisation(),
		Service:      call.GetService(),
		Key:          call.GetIdempotencyKey(),
		BodyHash:     claim.HashBody(call.GetMethod(), call.GetPath(), call.GetBody()),
		Deadline:     deadline,
	}, func(ctx context.Context) (answer claim.Answer, err error) {
		err = s.guarded(ctx, a, func(ctx context.Context) (err error) {
			answer, err = s.collect(ctx, call)
			return err
		})
		return answer, err
	})
	if err != nil {
		return err
	}
	return s.relayAnswer(ctx, a, answer)
}

// collect reads the whole answer of a non-idempotent call, because its outcome
// is written before the caller sees it.
func (s *Server) collect(ctx context.Context, call *pb.CallRequest) (claim.Answer, error) {
	resp, err := s.backend.do(ctx, call)
	if err != nil {
		return claim.Answer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(s.settings.MaxBodyBytes)+1))
	if err != nil {
		return claim.Answer{}, backendError(ctx, err)
	}
	if len(body) > s.settings.MaxBodyBytes {
		return claim.Answer{}, errkind.New(errkind.BackendFailed, "answer above %d bytes", s.settings.MaxBodyBytes)
	}
	return claim.Answer{
		Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body,
	}, nil
}

func (s *Server) relayAnswer(ctx context.Context, a *attempt, answer claim.Answer) error {
	head := &pb.Head{Status: int32(answer.Status)}
	add := func(name, value string) {
		head.Headers = append(head.Headers, &pb.Header{Name: name, Values: []string{value}})
	}
	if answer.ContentType != "" {
		add("Content-Type", answer.ContentType)
	}
	if answer.Replayed {
		add("Idempotency-Replayed", "true")
	}
	if err := a.head(ctx, head); err != nil {
		return err
	}
	for body := answer.Body; len(body) > 0; {
		n := min(len(body), s.settings.ChunkBytes)
		if err := a.data(ctx, body[:n:n]); err != nil {
			return err
		}
		body = body[n:]
	}
	return nil
}

// awaitSent waits until a connection took the end chunk, or until no entry
// wants the answer any more.
func (s *Server) awaitSent(ctx context.Context, a *attempt) {
	for {
		sent, changed := a.sent()
		if sent {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (s *Server) leaveRunning() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *Server) forget(a *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.attempts, keyOf(a.id))
}

// send writes the chunks of the attempt to one connection.
func (s *Server) send(ctx context.Context, a *attempt, connection uint64, out *connect.ServerStream[pb.Chunk]) error {
	defer s.lost(a, connection)
	heartbeat := time.NewTicker(s.settings.HeartbeatInterval)
	defer heartbeat.Stop()
	leaving := s.gate.Leaving()
	for {
		chunk, changed, done := a.next(connection)
		if done {
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
	reports := quarantine.Messages(s.guard.reports(f))
	end := proto.CloneOf(c.GetEnd())
	end.SuspectReports = reports
	return &pb.Chunk{Id: c.GetId(), Seq: c.GetSeq(), Kind: &pb.Chunk_End{End: end}}
}

func fingerprintOf(call *pb.CallRequest) quarantine.Fingerprint {
	return quarantine.NewFingerprint(call.GetService(), call.GetOrganisation(), call.GetMethod(), call.GetPath(), call.GetBody())
}

func (s *Server) refusal(id *pb.AttemptId, err error) *pb.Chunk {
	own := &pb.AttemptId{RequestId: id.GetRequestId(), Attempt: id.GetAttempt(), Incarnation: s.incarnation}
	sender := stream.NewSender(own, s.settings.ReplayBytes)
	sender.End(err)
	s.metrics.Count("refusals", 1)
	s.log.Info().Str(telemetry.RequestIDField, id.GetRequestId()).Err(err).Msg("attempt refused")
	return s.stamp(sender.Next())
}
