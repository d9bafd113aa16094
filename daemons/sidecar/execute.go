package sidecar

import (
	"context"
	"io"
	"time"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/telemetry"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/internal/proxyhttp"
	"github.com/filbertmux/filbertmux/serve/claim"
)

// execute runs the call, waits until its answer was sent, and keeps it for
// replay for the resume window.
func (s *Server) execute(ctx context.Context, a *attempt, call *pb.CallRequest) {
	defer s.gate.Exit()
	err := s.run(ctx, a, call)
	a.end(err)
	s.leaveRunning()
	if err != nil {
		telemetry.RequestLogger(ctx).Warn().Err(err).Uint32("attempt", a.id.GetAttempt()).Msg("attempt failed")
	}
	s.awaitSent(ctx, a)
	a.cancel()
	s.holdWhileLeaving(a)
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
	if proxyhttp.IsDialError(err) {
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
