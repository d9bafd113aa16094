package sidecar

import (
	"context"
	"time"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/telemetry"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/internal/proxyhttp"
	"github.com/filbertmux/filbertmux/serve/claim"
)

// execute runs the call, waits until its response has been sent, and retains the
// response for replay during the resume window.
func (s *Server) execute(ctx context.Context, a *attempt, call *pb.CallRequest) {
	defer s.gate.Exit()
	err := s.runCall(ctx, a, call)
	a.appendEnd(err)
	s.decrementRunning()
	if err != nil {
		telemetry.RequestLogger(ctx).Warn().Err(err).Uint32("attempt", a.id.GetAttempt()).Msg("attempt failed")
	}
	s.awaitEndSent(ctx, a)
	a.cancel()
	s.awaitReceiptWhileDraining(a)
	s.retainFinished(a)
	time.AfterFunc(s.settings.ResumeWindow, func() { s.removeAttempt(a) })
}

func (s *Server) runCall(ctx context.Context, a *attempt, call *pb.CallRequest) error {
	if !call.GetIdempotent() {
		return s.runNonIdempotent(ctx, a, call)
	}
	return s.runAdmitted(ctx, a, func(ctx context.Context) error {
		if s.isModelCall(call) {
			return s.runModelCall(ctx, a, call)
		}
		start := time.Now()
		resp, err := s.backend.send(ctx, call)
		if err != nil {
			return err
		}
		defer func() { _ = resp.Body.Close() }()
		s.latency.add(time.Since(start))
		a.releaseBody(call)
		return relay(ctx, a, resp, s.settings.ChunkBytes)
	})
}

// runAdmitted calls send once the request is admitted. If the backend server
// crashes meanwhile, all requests in flight become suspects.
func (s *Server) runAdmitted(ctx context.Context, a *attempt, send func(context.Context) error) error {
	requestContext, r, err := s.admission.acquire(ctx, a.fingerprint, a.promptParts)
	if err != nil {
		return err
	}
	err = send(requestContext)
	if proxyhttp.IsDialError(err) {
		// The request did not reach the backend server, so it is not a suspect.
		s.admission.release(r, false)
		s.admission.confirmCrash(r)
		return err
	}
	defer func() { s.admission.release(r, err == nil) }()
	if err == nil || ctx.Err() != nil && !s.admission.crashedSince(r) {
		return err
	}
	if mayBeCrash(err) && s.admission.confirmCrash(r) {
		return errkind.Wrap(errkind.BackendFailed, err, "backend server crashed")
	}
	return err
}

// mayBeCrash reports whether err may have been caused by a crash of the backend
// server.
func mayBeCrash(err error) bool {
	return errkind.Is(err, errkind.BackendFailed) || errkind.Is(err, errkind.StreamIncomplete) || errkind.Is(err, errkind.Canceled)
}

// runNonIdempotent runs a non-idempotent call under a claim, so that it runs at
// most once.
func (s *Server) runNonIdempotent(ctx context.Context, a *attempt, call *pb.CallRequest) error {
	deadline, _ := ctx.Deadline()
	answer, err := s.claims.Run(ctx, claim.Request{
		Organisation: call.GetOrganisation(),
		Service:      call.GetService(),
		Key:          call.GetIdempotencyKey(),
		BodyHash:     claim.HashBody(call.GetMethod(), call.GetPath(), call.GetBody()),
		Deadline:     deadline,
	}, func(ctx context.Context) (answer claim.Answer, err error) {
		err = s.runAdmitted(ctx, a, func(ctx context.Context) (err error) {
			answer, err = s.readAnswer(ctx, a, call)
			return err
		})
		return answer, err
	})
	if err != nil {
		return err
	}
	return s.relayAnswer(ctx, a, answer)
}

// readAnswer sends a non-idempotent call and reads the complete response, because
// the outcome is written to the log before the caller receives it.
func (s *Server) readAnswer(ctx context.Context, a *attempt, call *pb.CallRequest) (claim.Answer, error) {
	resp, err := s.backend.send(ctx, call)
	if err != nil {
		return claim.Answer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	a.releaseBody(call)
	body, err := a.readAnswer(ctx, resp.Body, resp.ContentLength, s.settings.MaxBodyBytes+1)
	if errkind.Is(err, errkind.BackendFailed) {
		return claim.Answer{}, err
	}
	if err != nil {
		return claim.Answer{}, backendError(ctx, err)
	}
	if len(body) > s.settings.MaxBodyBytes {
		return claim.Answer{}, errkind.New(errkind.BackendFailed, "response body is larger than %d bytes", s.settings.MaxBodyBytes)
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
	if err := a.appendHead(ctx, head); err != nil {
		return err
	}
	for body := answer.Body; len(body) > 0; {
		n := min(len(body), s.settings.ChunkBytes)
		if err := a.appendData(ctx, body[:n:n]); err != nil {
			return err
		}
		body = body[n:]
	}
	return nil
}

// awaitEndSent waits until the end chunk was passed to a connection or the call
// was cancelled.
func (s *Server) awaitEndSent(ctx context.Context, a *attempt) {
	for {
		sent, changed := a.endSent()
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

func (s *Server) decrementRunning() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *Server) removeAttempt(a *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(a)
}
